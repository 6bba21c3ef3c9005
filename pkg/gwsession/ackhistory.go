package gwsession

import "time"

const (
	// ackInterval is the least time between two samples of an AckHistory.
	ackInterval = 100 * time.Millisecond
	// maxAckSamples bounds the samples of an AckHistory: 6 s at one every ackInterval.
	maxAckSamples = 64
)

// Sample is a position that covered every write acknowledged at least Age ago.
type Sample struct {
	Age      time.Duration `json:"age" cbor:"1,keyasint"`
	Position Position      `json:"position" cbor:"2,keyasint"`
}

// AckHistory keeps the positions of acknowledged writes over time at a primary's owner, so
// that one answer to the owner of a replica can contain several of them. A replica whose
// lag is near the staleness that a class accepts can be used only with an older position,
// and each request for one costs a round trip on a link that is charged by volume.
type AckHistory struct{ samples []timedPosition }

// Record records that p covers every write acknowledged so far, at most once every
// ackInterval.
func (h *AckHistory) Record(now time.Time, p Position) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < ackInterval {
		return
	}
	if len(h.samples) == maxAckSamples {
		h.samples = append(h.samples[:0], h.samples[1:]...)
	}
	h.samples = append(h.samples, timedPosition{at: now, position: p})
}

// Since returns the samples of the last d, oldest first. Their ages count from now.
func (h *AckHistory) Since(now time.Time, d time.Duration) []Sample {
	var out []Sample
	for _, v := range h.samples {
		if age := now.Sub(v.at); age <= d {
			out = append(out, Sample{Age: age, Position: v.position})
		}
	}
	return out
}

// Reset drops all samples. It is needed when the owner has just got the lease, because the
// samples do not cover writes that an earlier owner acknowledged.
func (h *AckHistory) Reset() { h.samples = h.samples[:0] }
