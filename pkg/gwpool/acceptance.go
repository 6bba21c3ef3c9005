package gwpool

import "time"

// Times between attempts to open connections at a server that has refused one.
const (
	// refusedDialDelay is the time between two dials beyond the connections that the server
	// has accepted. Each dial briefly occupies one of its slots.
	refusedDialDelay = 200 * time.Millisecond
	// maxRefusedDoublings bounds the time after several refusals to 3.2 s. A server counts
	// the connections of an instance that is gone for 3 s.
	maxRefusedDoublings = 4
	// growthDivisor: after a successful attempt, a quarter more is accepted at once.
	growthDivisor = 4
)

// acceptance is what is known about how many connections the server accepts besides those of
// others; the zero value knows of no bound.
type acceptance struct {
	bound    int       // 0: none
	refusals int       // of attempts beyond the bound since the last success
	growAt   time.Time // when the bound is raised
	// attempting means that the bound was raised since the last refusal, and reached that a
	// dial has reached the raised bound.
	attempting, reached bool
}

// limit returns the lower of the limit and the bound.
func (a *acceptance) limit(limit int) int {
	if a.bound == 0 {
		return limit
	}
	return min(limit, a.bound)
}

// refused records that the server refused a connection besides count others.
func (a *acceptance) refused(count int, now time.Time) {
	again := a.bound > 0 && !a.attempting && now.Before(a.growAt) // one of several dials at once
	a.bound = max(1, count)
	if again {
		return
	}
	a.attempting, a.reached = false, false
	a.growAt = now.Add(refusedDialDelay << min(a.refusals, maxRefusedDoublings))
	a.refusals++
}

// dialed records that a dial made the number of connections count.
func (a *acceptance) dialed(count int) { a.reached = a.reached || count >= a.bound }

// grow raises the bound if it is time to: by one and, if the server has accepted that, by more.
func (a *acceptance) grow(now time.Time) {
	if a.bound == 0 || now.Before(a.growAt) {
		return
	}
	switch {
	case !a.attempting:
		a.attempting = true
		a.bound++
	case a.reached:
		a.refusals = 0
		a.bound += max(1, a.bound/growthDivisor)
	}
	a.reached = false
	a.growAt = now.Add(refusedDialDelay)
}

// refused records that the server refused one more connection, for example while those of a
// previous owner are still open.
func (p *Pool) refused(now time.Time) {
	if p.shared {
		p.accepted.refused(p.Count(), now)
		return
	}
	p.nextDial = now.Add(refusedDialDelay)
}

// ControlRefused records that the server refused a connection that the pool does not count. An
// idle connection is closed, so that the next attempt succeeds.
func (p *Pool) ControlRefused(now time.Time) {
	if n := p.Count(); n > 1 && p.shared {
		p.accepted.refused(n-1, now)
	}
}
