package gwstate

import (
	"sync"
	"time"
)

// LeaseClock determines the expiry of leases from the local time at which each
// grant was applied. It is not part of the replicated state. It is safe for
// concurrent use.
type LeaseClock struct {
	drift float64 // greatest relative difference between the rates of two clocks

	mu    sync.Mutex
	waits map[string]leaseWait
}

// leaseWait is the time to wait until a lease has expired.
type leaseWait struct {
	start    time.Time
	duration time.Duration
	sequence uint64
	// told means that Expired has reported the end of the wait, on which a command that is
	// not yet committed may rely.
	told bool
}

func newLeaseClock(drift float64) *LeaseClock {
	return &LeaseClock{drift: drift, waits: map[string]leaseWait{}}
}

// record starts the wait of a lease whose grant was applied at now.
func (c *LeaseClock) record(l Lease, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits[l.Group] = leaseWait{start: now, duration: l.Duration, sequence: l.Sequence}
}

// renew restarts the wait of a lease at now, and returns false if the wait has ended or Expired
// has told so. The wait never becomes shorter, as requests may be handled in another order than
// they arrived in.
func (c *LeaseClock) renew(l Lease, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.waits[l.Group]
	if !ok || w.told || !now.Before(c.end(w)) {
		return false
	}
	if now.After(w.start) {
		w.start = now
		c.waits[l.Group] = w
	}
	return true
}

func (c *LeaseClock) forget(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waits, group)
}

// RestartAll restarts the wait of every lease. It must be called when this
// node's status first reports LeaderReady in a term, before any expiry is
// determined: only by then has every renewal that a holder may rely on been applied.
func (c *LeaseClock) RestartAll(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for group, w := range c.waits {
		w.start = now
		c.waits[group] = w
	}
}

// Expired reports whether the group has no lease that its holder may still rely
// on. It also returns the sequence of the recorded lease, 0 if there is none, for
// the field Previous of a command. A lease that it has told expired is renewed by a
// grant in the log only, so that the command takes effect only if the lease has not been renewed.
func (c *LeaseClock) Expired(group string, now time.Time) (sequence uint64, expired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.waits[group]
	if !ok {
		return 0, true
	}
	if now.Before(c.end(w)) {
		return w.sequence, false
	}
	w.told = true
	c.waits[group] = w
	return w.sequence, true
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

// end returns the end of the wait.
func (c *LeaseClock) end(w leaseWait) time.Time { return w.start.Add(c.Outlast(w.duration)) }

// Outlast returns how long to wait here until d has passed on every clock. One nanosecond is
// added for rounding, so that the wait is never shorter than d × (1 + drift).
func (c *LeaseClock) Outlast(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.drift) + 1
}

// restore replaces all waits with those of leases, starting at now.
func (c *LeaseClock) restore(leases map[string]Lease, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits = make(map[string]leaseWait, len(leases))
	for group, l := range leases {
		c.waits[group] = leaseWait{start: now, duration: l.Duration, sequence: l.Sequence}
	}
}
