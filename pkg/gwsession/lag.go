package gwsession

import "time"

// Sighting is a position that a replica's log was seen to hold; the zero value
// means that nothing was seen.
type Observation struct {
	Position Position
	At       time.Time
}

// Behind estimates how old the replica's log was when it was seen, from the times at
// which the primary had its position. It returns false if that is not known.
func (h *History) Lag(o Observation) (time.Duration, bool) {
	if o.At.IsZero() {
		return 0, false
	}
	upTo, known := h.currentUntil(o.Position, o.At)
	return max(0, o.At.Sub(upTo)), known
}

// Wait estimates how long the replica needs from now until its log contains p; 0 if
// nothing speaks for a wait. Whether the replica has a position is decided by the
// replica itself, the estimate says when it is worth asking.
//
// Load pattern: replicas that apply what they receive one or two seconds late,
// while the primary cannot serve all reads. Asked again and again, they refused two
// fifths of all statements, and the reads that could have waited for them timed out.
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

// heldUntil returns the last time at which p was the primary's position or a later
// one than that, as far as samples tell: at a later sample the primary had more. It
// is seenAt if no sample shows more than p, and unknown if all of them do.
func (h *History) currentUntil(p Position, observedAt time.Time) (time.Time, bool) {
	if len(h.samples) == 0 {
		return time.Time{}, false
	}
	for i, s := range h.samples {
		if p.AtLeast(s.position) {
			continue
		}
		if i == 0 {
			return s.at, true // at least as old as the oldest sample
		}
		return h.samples[i-1].at, true
	}
	return observedAt, true
}

// reached returns when the primary reached p, now if no sample shows it.
func (h *History) reachedAt(p Position, now time.Time) time.Time {
	for _, s := range h.samples {
		if s.position.AtLeast(p) {
			return s.at
		}
	}
	return now
}
