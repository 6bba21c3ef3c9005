package gwsession

import "time"

const (
	// maxSamples bounds the samples of a History: 13 s at one every 200 ms.
	maxSamples = 64
	// maxSampleAge is the age above which no class can use a sample.
	maxSampleAge = 30 * time.Second
)

// History keeps recent samples of the primary's position, oldest first. Each sample is an
// answer of the primary's owner with the time at which the request was sent.
//
// An answer covers every write acknowledged before its request was sent. A read that
// accepts a given staleness may therefore run at any server whose log contains the
// position of a sample no older than that. The oldest such sample requires the least of
// a lagging replica.
type History struct{ samples []timedPosition }

// Record records that a request sent at the given time was answered with p. It drops the
// sample if its request was not sent after that of the last sample.
func (h *History) Record(sent time.Time, p Position) {
	if n := len(h.samples); n > 0 && !sent.After(h.samples[n-1].at) {
		return
	}
	drop := 0
	for drop < len(h.samples) && (sent.Sub(h.samples[drop].at) > maxSampleAge || len(h.samples)-drop >= maxSamples) {
		drop++
	}
	h.samples = append(append(h.samples[:0], h.samples[drop:]...), timedPosition{at: sent, position: p})
}

// Required returns the position that a server's log must contain for a read at now that
// accepts the given staleness, and false if no sample is recent enough.
func (h *History) Required(now time.Time, staleness time.Duration) (Position, bool) {
	for _, s := range h.samples {
		if now.Sub(s.at) <= staleness {
			return s.position, true
		}
	}
	return Position{}, false
}
