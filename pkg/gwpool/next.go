package gwpool

import (
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	// Grant hands an idle connection of the user to the waiter.
	Grant ActionKind = iota + 1
	// Dial opens a connection for the user; Dialed or DialFailed reports its end.
	Dial
	// Close closes an idle connection of the user; Closed reports its end.
	Close
)

// Action is what the caller of Next has to do. The pool counts it as done.
type Action struct {
	Kind ActionKind
	User string
	// Waiter is set for Grant.
	Waiter *Waiter
	// ForOther means that a connection is closed for one of another user.
	ForOther bool
}

// burstShare bounds what a user may hold while the pool is shared: twice as many connections as
// are not in use. A single user thus leaves a third of the limit to the others, two of them a
// fifth, and a user without any always gets one.
const burstShare = 2

// patience is how long a request waits for a connection of its user that is in use, in dials,
// before one of another user that is needed earlier is closed for it. At steady load 0 leads to
// 1.83 times the dials of a pool that knows the future, 1 to 1.48, 2 to 1.21, 4 and 8 to 1.15 (with
// a needWeight of 0.1). With 8, a customer at 7 times its load costs 0.04 of the goodput.
const patience = 4

// mayHold reports whether the user may use one more connection.
func (p *Pool) mayHold(u *user) bool {
	if !p.shared {
		return true
	}
	held := u.inUse + u.dialing
	return held < max(1, burstShare*(p.Limit()-p.inUse-p.dialing))
}

// Available reports whether a request of the user can expect a connection without waiting for
// one that is in use. A request for which it is false should not occupy a slot of the server:
// it may have to wait until a transaction of somebody else ends.
func (p *Pool) Available(name string, now time.Time) bool {
	if !p.shared {
		return true
	}
	if !p.AnyAvailable() {
		p.accepted.grow(now)
	}
	u := p.users[name]
	if u == nil {
		u = &user{}
	}
	if !p.mayHold(u) {
		return false
	}
	return p.AnyAvailable()
}

// AnyAvailable reports whether Available can be true for any user.
func (p *Pool) AnyAvailable() bool {
	return p.idle > 0 || p.closing > 0 || p.idle+p.inUse+p.dialing < p.Limit()
}

// Next returns the next action. The caller calls it after each event until it returns false, and
// again at the time that Wake returns then.
func (p *Pool) Next(now time.Time) (Action, bool) {
	p.wake = time.Time{}
	if p.idle+p.inUse+p.dialing > p.Limit() && p.idle > 0 {
		return p.closeFor(p.leastNeeded(nil, now)), true
	}
	if p.waiters.Len() > 0 {
		p.accepted.grow(now)
	}
	if a, ok := p.nextForWaiters(now); ok {
		return a, true
	}
	if p.shared || now.Before(p.nextMinIdleDial) || now.Before(p.nextDial) {
		return Action{}, false
	}
	own := p.user("")
	if p.dialing < p.waiters.Len()+max(0, p.minIdle-own.idle) && p.Count() < p.Limit() {
		return p.dial(own), true
	}
	return Action{}, false
}

// nextForWaiters returns the next action that a waiter requires.
func (p *Pool) nextForWaiters(now time.Time) (Action, bool) {
	for e := p.waiters.Front(); e != nil; e = e.Next() {
		u := p.users[e.Value.(*Waiter).User]
		u.covered = u.dialing
	}
	blocked := 0 // waiters that wait for a connection of another user to be closed
	for e := p.waiters.Front(); e != nil; e = e.Next() {
		w := e.Value.(*Waiter)
		u := p.users[w.User]
		switch {
		case u.idle > 0 && p.mayHold(u):
			p.Withdraw(w)
			p.take(u, now)
			return Action{Kind: Grant, User: u.name, Waiter: w}, true
		case u.covered > 0:
			u.covered--
			continue
		case !p.mayHold(u) || now.Before(p.nextDial):
			continue
		case p.Count() < p.Limit():
			return p.dial(u), true
		}
		if blocked < p.closing || p.idle == 0 {
			blocked++
			continue
		}
		victim := p.leastNeeded(u, now)
		switch {
		case victim == nil:
			blocked++
		case !p.worthClosing(u, victim, w, now):
			// waits for a connection of its own user
		default:
			a := p.closeFor(victim)
			a.ForOther = true
			return a, true
		}
	}
	p.setWake(now)
	return Action{}, false
}

// leastNeeded returns the user whose highest level is expected to be needed last, nil if there is
// none. An idle connection whose user has a later waiter is closed for another user only if that
// holds no more.
func (p *Pool) leastNeeded(forUser *user, now time.Time) *user {
	var best *user
	bestWait := -1.0
	for _, u := range p.users {
		if u.idle == 0 || u == forUser {
			continue
		}
		if forUser != nil && u.waiting > 0 && u.inUse < forUser.inUse+forUser.dialing {
			continue
		}
		wait := u.levelWait(u.open(), now)
		if best == nil || wait > bestWait || wait == bestWait && u.name < best.name {
			best, bestWait = u, wait
		}
	}
	return best
}

// worthClosing reports whether a connection of victim is to be closed for one of u. If the
// victim's is expected to be needed earlier, w first waits for a connection of its own
// user that is in use.
func (p *Pool) worthClosing(u, victim *user, w *Waiter, now time.Time) bool {
	if u.inUse == 0 {
		return true
	}
	until := w.since.Add(patience * p.dialTime)
	if !now.Before(until) || u.levelWait(u.open()+u.dialing+1, now) < victim.levelWait(victim.open(), now) {
		return true
	}
	p.wakeBy(until)
	return false
}

func (p *Pool) dial(u *user) Action {
	u.dialing++
	p.dialing++
	p.accepted.dialed(p.Count())
	return Action{Kind: Dial, User: u.name}
}

func (p *Pool) closeFor(u *user) Action {
	p.Closing(u.name)
	return Action{Kind: Close, User: u.name}
}

// wakeBy makes Wake return at or an earlier time.
func (p *Pool) wakeBy(at time.Time) {
	if p.wake.IsZero() || at.Before(p.wake) {
		p.wake = at
	}
}

// setWake considers the times at which dials may go on after a refusal.
func (p *Pool) setWake(now time.Time) {
	if p.waiters.Len() == 0 || !p.shared {
		return
	}
	if now.Before(p.nextDial) {
		p.wakeBy(p.nextDial)
	}
	if p.accepted.bound > 0 && p.accepted.bound < p.limit {
		p.wakeBy(p.accepted.growAt)
	}
}

// Wake returns when Next should be called again even without an event; ok is false if there is
// no such time.
func (p *Pool) Wake() (at time.Time, ok bool) { return p.wake, !p.wake.IsZero() }
