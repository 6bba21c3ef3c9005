package gwsession

import "time"

// Observation is the position of a replica's log at a time; the zero value means that the
// position is unknown.
type Observation struct {
	Position Position
	At       time.Time
}

// Lag estimates how far the replica's log was behind the primary when it was observed,
// from the last time at which its position was the primary's. It returns false if the
// lag is unknown.
func (h *History) Lag(o Observation) (time.Duration, bool) {
	if o.At.IsZero() {
		return 0, false
	}
	upTo, known := h.currentUntil(o.Position, o.At)
	return max(0, o.At.Sub(upTo)), known
}

// ExpectedWait estimates how long the replica needs from now until its log contains p; it
// is 0 if the observed log contains p or the lag is unknown. Only the replica itself decides
// whether it has reached a position; the estimate predicts when a request to it can succeed.
//
// Load pattern: replicas apply writes one or two seconds late, while the primary cannot
// serve all reads. With immediate retries, the replicas refused two fifths of all
// statements, and reads that could have waited for them timed out.
func (h *History) ExpectedWait(o Observation, now time.Time, p Position) time.Duration {
	if o.Position.AtLeast(p) {
		return 0
	}
	lag, known := h.Lag(o)
	if !known {
		return 0
	}
	return max(0, h.reachedAt(p, now).Add(lag).Sub(now))
}

// currentUntil returns the last time at which, by the samples, the primary's position had
// not passed p. It returns observedAt if no sample is past p, the time of the oldest
// sample if all samples are, and false if there are no samples.
func (h *History) currentUntil(p Position, observedAt time.Time) (time.Time, bool) {
	if len(h.samples) == 0 {
		return time.Time{}, false
	}
	for i, s := range h.samples {
		if p.AtLeast(s.position) {
			continue
		}
		if i == 0 {
			return s.at, true // passed by the time of the oldest sample: the lag is at least this
		}
		return h.samples[i-1].at, true
	}
	return observedAt, true
}

// reachedAt returns the time of the first sample at or past p, or now if there is none.
func (h *History) reachedAt(p Position, now time.Time) time.Time {
	for _, s := range h.samples {
		if s.position.AtLeast(p) {
			return s.at
		}
	}
	return now
}
