package gwoutcome

import "time"

const (
	// firstHold is how long no request is sent after a first refusal.
	firstHold = 20 * time.Millisecond
	// maxHold bounds the delay with which the end of the refusals is noticed.
	maxHold = 160 * time.Millisecond
)

// Hold remembers that a server's owner refuses requests of one kind, so that an entry
// instance refuses further ones itself instead of sending them. The time until the next
// request is sent doubles with each refusal.
//
// Load pattern: 24 of 58 instances return after a loss of power, and the callers of the lost
// time repeat their requests. Refusals by owners that have no lease yet, or a full queue,
// were 4,900 a second for one group. They filled the owners' links of 2 Mbit/s, the lease was
// not renewed, and the refusals went on for 5 s.
//
// It is not safe for concurrent use.
type Hold struct {
	until    time.Time
	refusals int
}

// Holds reports whether an event is a refusal that holds for other requests of its kind, too.
func Holds(e Event) bool {
	return e == QueueFull || e == NoLease || e == FreshnessUnknown || e == NotOwner
}

// Refused records a refusal. The argument random, in [0, 1), spreads the next requests of
// many instances.
func (h *Hold) Refused(now time.Time, random float64) {
	if now.Before(h.until) {
		return // of a request that was sent before the last refusal arrived
	}
	hold := min(maxHold, firstHold<<min(h.refusals, 8))
	h.refusals++
	h.until = now.Add(hold/2 + time.Duration(random*float64(hold)))
}

// Active reports whether requests are refused without sending them.
func (h *Hold) Active(now time.Time) bool { return now.Before(h.until) }
