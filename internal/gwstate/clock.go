package gwstate

import (
	"sync"
	"time"
)

// LeaseClock judges the expiry of leases by the local time at which each grant
// was applied. It is not part of the replicated state. A LeaseClock may be used
// by several goroutines.
type LeaseClock struct {
	drift float64 // greatest relative difference of two clocks' rates

	mu    sync.Mutex
	waits map[string]wait
}

type wait struct {
	from     time.Time
	duration time.Duration
	sequence uint64
}

func newLeaseClock(drift float64) *LeaseClock {
	return &LeaseClock{drift: drift, waits: map[string]wait{}}
}

// record notes a grant that was applied at now.
func (c *LeaseClock) record(l Lease, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits[l.Group] = wait{from: now, duration: l.Duration, sequence: l.Sequence}
}

func (c *LeaseClock) forget(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waits, group)
}

// RestartAll restarts the wait of every lease. It must be called when this
// node's status first reports LeaderReady in a term, before any expiry is
// judged: only by then has every renewal that a holder may rely on been applied.
func (c *LeaseClock) RestartAll(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for group, w := range c.waits {
		w.from = now
		c.waits[group] = w
	}
}

// Expired reports whether the group has no lease that its holder may still rely
// on, and the sequence of the expired lease, 0 if there is none. The sequence
// goes into Previous of a command.
func (c *LeaseClock) Expired(group string, now time.Time) (sequence uint64, expired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.waits[group]
	if !ok {
		return 0, true
	}
	return w.sequence, !now.Before(c.end(w))
}

// End returns when the group's lease expires; ok is false if there is none.
func (c *LeaseClock) End(group string) (end time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.waits[group]
	if !ok {
		return time.Time{}, false
	}
	return c.end(w), true
}

// end is inclusive of rounding: the wait is never shorter than duration × (1 + drift).
func (c *LeaseClock) end(w wait) time.Time {
	return w.from.Add(w.duration + time.Duration(float64(w.duration)*c.drift) + 1)
}

// restore replaces all waits by those of leases, starting at now.
func (c *LeaseClock) restore(leases map[string]Lease, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits = make(map[string]wait, len(leases))
	for group, l := range leases {
		c.waits[group] = wait{from: now, duration: l.Duration, sequence: l.Sequence}
	}
}
