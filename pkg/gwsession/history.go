package gwsession

import "time"

const (
	// maxSamples bounds the samples of a History: 13 s of one every 200 ms.
	maxSamples = 64
	// maxSampleAge is the age above which no class accepts a sample.
	maxSampleAge = 30 * time.Second
)

// History keeps the positions that the primary's owner answered, with the times
// at which they were asked for, oldest first.
//
// A read that accepts data of a certain age may run at any server whose log
// contains the position of a sample that was asked for no longer ago: the answer
// covers every write acknowledged before the question was sent. The oldest such
// sample asks the least of a replica that is behind.
type History struct{ samples []timedPosition }

// Answered records that a question sent at the given time was answered with p.
// A sample that was sent before the last one is dropped.
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

// Required returns the position that a server's log must contain for a read at
// now that accepts the given staleness, and false if no sample is new enough.
func (h *History) Required(now time.Time, staleness time.Duration) (Position, bool) {
	for _, s := range h.samples {
		if now.Sub(s.at) <= staleness {
			return s.position, true
		}
	}
	return Position{}, false
}
