package gwpool

import (
	"container/list"
	"time"
)

// Pool decides about the connections to one server.
type Pool struct {
	limit   int
	minIdle int
	users   map[string]*user
	waiters list.List // of *Waiter, in order of arrival

	idle, inUse, dialing, closing int

	// shared is set when users other than the empty one are expected or have asked for a
	// connection. Until then no limit per user applies, and minIdle connections are kept.
	shared bool

	accepted acceptance
	// nextDial is the earliest time of any dial, and nextMinIdleDial that of one for minIdle.
	nextDial, nextMinIdleDial time.Time
	// refusedDials counts the dials that were refused while others were under way and no
	// connection was open.
	refusedDials int
	dialTime     time.Duration
	wake         time.Time
}

// user is the state of one user.
type user struct {
	name                 string
	idle, inUse, dialing int
	waiting              int
	// covered is used by Next: dials under way that no earlier waiter has claimed.
	covered int
	levels  []need
}

// open returns the number of connections of the user that are open.
func (u *user) open() int { return u.idle + u.inUse }

// Waiter is a request that waits for a connection.
type Waiter struct {
	User string
	// Ref is a value of the pool's user; the pool does not read it.
	Ref any

	since   time.Time
	element *list.Element // nil once granted, failed or withdrawn
}

// Constants of the decisions.
const (
	// MinIdleDialDelay is the time without dials for idle connections after a failed dial.
	MinIdleDialDelay = time.Second
	// defaultDialTime is the assumed time of a dial until the first one has succeeded.
	defaultDialTime = 12 * time.Millisecond
	// dialTimeWeight is the weight of the newest time in the moving average.
	dialTimeWeight = 0.1
	// maxUsers bounds the users whose needs are remembered, except for those with connections.
	maxUsers = 1024
)

// New returns a Pool for at most limit connections, of which minIdle are kept idle as long as
// only the empty user asks for connections.
func New(limit, minIdle int) *Pool {
	return &Pool{limit: max(1, limit), minIdle: minIdle, users: make(map[string]*user), dialTime: defaultDialTime}
}

// SetLimit changes the limit. Idle connections above it are closed first, those in use as they
// become free.
func (p *Pool) SetLimit(n int) { p.limit = max(1, n) }

// SetShared tells whether users other than the empty one are expected, before the first one asks
// for a connection, or no longer are.
func (p *Pool) SetShared(shared bool) { p.shared = shared }

func (p *Pool) user(name string) *user {
	u := p.users[name]
	if u == nil {
		p.forgetUsers()
		u = &user{name: name}
		p.users[name] = u
	}
	return u
}

// forgetUsers makes room for another user.
func (p *Pool) forgetUsers() {
	if len(p.users) < maxUsers {
		return
	}
	var oldest *user
	for _, u := range p.users {
		if u.open()+u.dialing+u.waiting == 0 && (oldest == nil || u.lastNeed().Before(oldest.lastNeed())) {
			oldest = u
		}
	}
	if oldest != nil {
		delete(p.users, oldest.name)
	}
}

// Count returns the number of connections that count towards the limit: also those that are
// being opened or closed.
func (p *Pool) Count() int { return p.idle + p.inUse + p.dialing + p.closing }

// Stats has the numbers of connections of a pool or of one user.
type Stats struct{ Idle, InUse, Dialing, Closing, Waiting int }

// Stats returns the numbers of connections and of waiters.
func (p *Pool) Stats() Stats {
	return Stats{Idle: p.idle, InUse: p.inUse, Dialing: p.dialing, Closing: p.closing, Waiting: p.waiters.Len()}
}

// UserStats calls f for each user that has connections or waits for one.
func (p *Pool) UserStats(f func(name string, s Stats)) {
	for _, u := range p.users {
		if u.open()+u.dialing+u.waiting > 0 {
			f(u.name, Stats{Idle: u.idle, InUse: u.inUse, Dialing: u.dialing, Waiting: u.waiting})
		}
	}
}

// Limit returns the number of connections that the pool may hold at present: its limit or, if
// fewer, what the server accepts besides the connections of others.
func (p *Pool) Limit() int { return p.accepted.limit(p.limit) }

// Take takes an idle connection for a request of the user, which needs no Wait then. It returns
// false if there is none or if the user holds its share.
func (p *Pool) Take(name string, now time.Time) bool {
	p.shared = p.shared || name != ""
	u := p.user(name)
	if u.idle == 0 || !p.mayHold(u) {
		return false
	}
	p.take(u, now)
	return true
}

// take turns an idle connection into one in use.
func (p *Pool) take(u *user, now time.Time) {
	u.idle--
	p.idle--
	u.inUse++
	p.inUse++
	u.recordNeed(u.inUse, now)
}

// Wait adds a request that waits for a connection.
func (p *Pool) Wait(name string, now time.Time, ref any) *Waiter {
	p.shared = p.shared || name != ""
	p.user(name).waiting++
	w := &Waiter{User: name, Ref: ref, since: now}
	w.element = p.waiters.PushBack(w)
	return w
}

// Withdraw removes a waiter. It returns false if the waiter was granted or has failed.
func (p *Pool) Withdraw(w *Waiter) bool {
	if w.element == nil {
		return false
	}
	p.waiters.Remove(w.element)
	w.element = nil
	p.users[w.User].waiting--
	return true
}

// Retry makes a granted waiter the first one again, as the connection that it was granted was
// found to be closed, which Lost records.
func (p *Pool) Retry(w *Waiter) {
	p.users[w.User].waiting++
	w.element = p.waiters.PushFront(w)
}

// MinIdle returns the number of idle connections that are kept.
func (p *Pool) MinIdle() int {
	if p.shared {
		return 0
	}
	return p.minIdle
}

// Released records that a connection in use is idle again.
func (p *Pool) Released(name string) {
	u := p.users[name]
	u.inUse--
	p.inUse--
	u.idle++
	p.idle++
}

// Lost records that a connection in use has been closed.
func (p *Pool) Lost(name string) {
	p.users[name].inUse--
	p.inUse--
}

// IdleLost records that an idle connection has been closed by the server.
func (p *Pool) IdleLost(name string) {
	p.users[name].idle--
	p.idle--
}

// Closing records that the pool's user begins to close an idle connection.
func (p *Pool) Closing(name string) {
	p.IdleLost(name)
	p.closing++
}

// Closed records that a connection has been closed after Closing or an action of kind Close.
func (p *Pool) Closed() { p.closing-- }

// Dialed records that a dial has succeeded. The connection is idle.
func (p *Pool) Dialed(name string, took time.Duration) {
	u := p.endDial(name)
	u.idle++
	p.idle++
	p.refusedDials = 0
	p.dialTime += time.Duration(dialTimeWeight * float64(took-p.dialTime))
}

func (p *Pool) endDial(name string) *user {
	u := p.users[name]
	u.dialing--
	p.dialing--
	return u
}

// DialFailed records that a dial has failed and returns the waiters that fail with it. refused
// means that the server refused the connection: then the waiters go on waiting as long as
// other connections are open or being opened.
func (p *Pool) DialFailed(name string, refused bool, now time.Time) []*Waiter {
	p.endDial(name)
	p.nextMinIdleDial = now.Add(MinIdleDialDelay)
	if refused && p.Count() > 0 {
		p.refused(now)
		if p.Count() == p.dialing {
			p.refusedDials++
		}
		return nil
	}
	failed := p.fail(nil, name)
	if p.Count() == 0 && p.refusedDials > 0 {
		for range p.refusedDials {
			if e := p.waiters.Front(); e != nil {
				failed = p.fail(failed, e.Value.(*Waiter).User)
			}
		}
		p.refusedDials, p.nextDial = 0, time.Time{}
	}
	if p.Count() == 0 {
		p.accepted = acceptance{}
	}
	return failed
}

// fail appends the first waiter of the user to failed.
func (p *Pool) fail(failed []*Waiter, name string) []*Waiter {
	for e := p.waiters.Front(); e != nil; e = e.Next() {
		if w := e.Value.(*Waiter); w.User == name {
			p.Withdraw(w)
			return append(failed, w)
		}
	}
	return failed
}

// FailAll removes and returns all waiters.
func (p *Pool) FailAll() []*Waiter {
	var failed []*Waiter
	for e := p.waiters.Front(); e != nil; e = p.waiters.Front() {
		w := e.Value.(*Waiter)
		p.Withdraw(w)
		failed = append(failed, w)
	}
	return failed
}
