package gwsession

import "time"

const (
	// trackStep is the least time between two values of a Track.
	ackInterval = 100 * time.Millisecond
	// maxTracked bounds the values that are kept: 6 s of one every trackStep.
	maxAckSamples = 64
)

// Sample is a position that covered every acknowledged write a while ago.
type Sample struct {
	Age      time.Duration `json:"age" cbor:"1,keyasint"`
	Position Position      `json:"position" cbor:"2,keyasint"`
}

// Track keeps the positions of acknowledged writes at a primary's owner over time,
// so that one answer to the owner of a replica can tell several of them. A replica
// that is nearly as late as a class accepts can be used with an answer from longer
// ago, and questions cost a round trip on a link that is charged by volume.
type AckHistory struct{ samples []timedPosition }

// Note records that p covers every write acknowledged so far.
func (h *AckHistory) Record(now time.Time, p Position) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < ackInterval {
		return
	}
	if len(h.samples) == maxAckSamples {
		h.samples = append(h.samples[:0], h.samples[1:]...)
	}
	h.samples = append(h.samples, timedPosition{at: now, position: p})
}

// Since returns the values of the last d, oldest first. Their ages count from now.
func (h *AckHistory) Since(now time.Time, d time.Duration) []Sample {
	var out []Sample
	for _, v := range h.samples {
		if age := now.Sub(v.at); age <= d {
			out = append(out, Sample{Age: age, Position: v.position})
		}
	}
	return out
}

// Reset forgets all values, as when this owner has just got the lease: writes that
// an earlier owner acknowledged are not among them.
func (h *AckHistory) Reset() { h.samples = h.samples[:0] }
