package gwbackend

import (
	"container/list"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	defaultIdleTimeout  = 5 * time.Minute
	defaultDialTimeout  = 5 * time.Second
	defaultResetTimeout = time.Second
	maintainInterval    = time.Second // also the delay of dials for MinIdle after a failed dial
	// refusedDialDelay is the time between two dials to a server that refuses more
	// connections. Each dial briefly occupies one of its slots.
	refusedDialDelay = 200 * time.Millisecond
)

// PoolOptions configures a Pool.
type PoolOptions struct {
	Options
	Limit       int           // maximum of connections to the server, including the control connection
	MinIdle     int           // idle connections kept ready, so that requests do not wait for a dial
	IdleTimeout time.Duration // idle connections above MinIdle are closed after this time; 0: 5 min
	DialTimeout time.Duration // 0: 5 s
	// Dial opens connections; nil means the PostgreSQL protocol.
	Dial         func(ctx context.Context, o Options) (Connection, error)
	ResetTimeout time.Duration // 0: 1 s
	Clock        clockwork.Clock
	Logger       *slog.Logger
}

func (o *PoolOptions) setDefaults() {
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.ResetTimeout <= 0 {
		o.ResetTimeout = defaultResetTimeout
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, o Options) (Connection, error) { return Dial(ctx, o) }
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Name == "" {
		o.Name = o.Address
	}
}

// Pool holds the connections to one server. One connection of the limit is
// reserved for control statements, so that a fence or a position query never
// waits behind requests.
type Pool struct {
	o    PoolOptions
	ctx  context.Context // of dials and resets
	stop context.CancelFunc
	wg   sync.WaitGroup

	controlFree chan struct{} // semaphore: holds a value while the control connection is free

	mu              sync.Mutex
	limit           int
	idle            []idleConn            // most recently used last
	inUse           map[Connection]string // user by connection
	dialing         int
	dialingFor      map[string]int // dials under way by user
	closing         int            // idle connections being closed for a dial of another user
	byUser          bool           // a connection for a user other than the pool's own was requested
	refusedDials    int            // refused while no connection was open and others were under way
	waiters         list.List      // of *waiter, in order of arrival
	controlConn     Connection
	controlSince    time.Time // when controlConn was opened
	closed          bool
	allClosed       chan struct{} // closed when the last connection has been closed after Close
	nextMinIdleDial time.Time     // no dials for MinIdle before this time, after a failed dial
	nextDial        time.Time     // no dials at all before this time, after the server refused one
	stats           Stats
}

type idleConn struct {
	c     Connection
	user  string
	since time.Time
}

type grant struct {
	c   Connection
	err error
}

type waiter struct {
	user    string
	granted chan grant
}

// Stats describes the state of a pool and counts its events.
type Stats struct {
	Limit, Open, Idle, InUse, Dialing, Waiting int

	Dials, DialErrors uint64
	Discards          uint64 // connections closed because they could not be used again
	ClosedForOther    uint64 // idle connections closed for a connection of another user
	Waits             uint64 // calls of Acquire that had to wait
	WaitTime          time.Duration
	DialTime          time.Duration // of the last successful dial
}

// NewPool starts a pool.
func NewPool(o PoolOptions) *Pool {
	o.setDefaults()
	p := &Pool{
		o: o, limit: max(1, o.Limit), inUse: make(map[Connection]string), dialingFor: make(map[string]int),
		controlFree: make(chan struct{}, 1), allClosed: make(chan struct{}),
	}
	p.controlFree <- struct{}{}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.wg.Add(1)
	go p.maintain()
	p.mu.Lock()
	p.startDials()
	p.mu.Unlock()
	return p
}

// Acquire returns a connection of the pool's own user, see AcquireFor.
func (p *Pool) Acquire(ctx context.Context) (Connection, error) { return p.AcquireFor(ctx, "") }

// AcquireFor returns a connection that was opened for the given user, that is outside of a
// transaction and that nobody else uses, waiting for one if necessary. An empty user is that
// of the pool's options. Every error is of KindNotSent.
func (p *Pool) AcquireFor(ctx context.Context, user string) (Connection, error) {
	p.mu.Lock()
	p.byUser = p.byUser || user != ""
	if p.closed {
		p.mu.Unlock()
		return nil, p.error("acquire connection", ErrClosed)
	}
	if c := p.popIdle(user); c != nil {
		p.inUse[c] = user
		p.startDials()
		p.mu.Unlock()
		return c, nil
	}
	w := &waiter{user: user, granted: make(chan grant, 1)}
	e := p.waiters.PushBack(w)
	p.stats.Waits++
	p.startDials()
	p.mu.Unlock()
	start := p.o.Clock.Now()
	defer func() {
		p.mu.Lock()
		p.stats.WaitTime += p.o.Clock.Since(start)
		p.mu.Unlock()
	}()
	select {
	case g := <-w.granted:
		return p.grantResult(g)
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.waiters.Remove(e)
	p.mu.Unlock()
	select {
	case g := <-w.granted: // granted at the same time as ctx ended
		if g.c != nil {
			p.Release(g.c, true)
		}
	default:
	}
	return nil, p.error("acquire connection", context.Cause(ctx))
}

func (p *Pool) grantResult(g grant) (Connection, error) {
	if g.err != nil {
		return nil, p.error("acquire connection", g.err)
	}
	return g.c, nil
}

func (p *Pool) error(op string, err error) error {
	return &Error{Op: op, Kind: KindNotSent, Server: p.o.Name, Err: err}
}

// Release returns a connection to the pool. A connection that is not reusable, or that
// has an answer outstanding, is closed; one inside a transaction or with changed
// session state is reset first.
func (p *Pool) Release(c Connection, reusable bool) {
	p.mu.Lock()
	control := c == p.controlConn
	p.mu.Unlock()
	if control {
		p.releaseControl(c, reusable)
		return
	}
	if !reusable || !c.Usable() {
		p.discard(c)
		return
	}
	if c.Clean() {
		p.put(c)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, p.o.ResetTimeout)
		defer cancel()
		if err := c.Reset(ctx); err != nil || !c.Clean() {
			p.discard(c)
			return
		}
		p.put(c)
	}()
}

// put hands a clean connection to the first waiter of its user, or keeps it idle.
func (p *Pool) put(c Connection) {
	p.mu.Lock()
	if p.closed || p.overLimit() || !c.Usable() {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	user := p.inUse[c]
	if !p.serveWaiter(user, grant{c: c}) {
		delete(p.inUse, c)
		p.idle = append(p.idle, idleConn{c: c, user: user, since: p.o.Clock.Now()})
		if p.waiters.Len() > 0 {
			p.startDials()
		}
	}
	p.mu.Unlock()
}

// failDials fails a waiter of user for each dial that has failed since no connection was open
// or under way, and starts dials for the others. p.mu is held.
func (p *Pool) failDials(user string, err error) {
	p.serveWaiter(user, grant{err: err})
	if p.connectionCount() == 0 && p.refusedDials > 0 {
		for range p.refusedDials {
			p.failFirst(err)
		}
		p.refusedDials, p.nextDial = 0, time.Time{}
	}
	p.startDials()
}

// serveWaiter passes g to the first waiter of user. p.mu is held.
func (p *Pool) serveWaiter(user string, g grant) bool {
	for e := p.waiters.Front(); e != nil; e = e.Next() {
		if w := e.Value.(*waiter); w.user == user {
			p.waiters.Remove(e)
			w.granted <- g
			return true
		}
	}
	return false
}

// failFirst fails the first waiter of any user. p.mu is held.
func (p *Pool) failFirst(err error) bool {
	e := p.waiters.Front()
	if e == nil {
		return false
	}
	return p.serveWaiter(e.Value.(*waiter).user, grant{err: err})
}

// discard closes a connection that was in use.
func (p *Pool) discard(c Connection) {
	_ = c.Close()
	p.mu.Lock()
	delete(p.inUse, c)
	p.stats.Discards++
	p.startDials()
	p.checkAllClosed()
	p.mu.Unlock()
}

// popIdle returns the most recently used idle connection of user. p.mu is held.
func (p *Pool) popIdle(user string) Connection {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].user != user {
			continue
		}
		c := p.idle[i].c
		p.idle = slices.Delete(p.idle, i, i+1)
		if c.Usable() {
			return c
		}
		// Its reader has failed and is about to call removeClosed, which will
		// find nothing to remove.
	}
	return nil
}

// requestLimit returns the limit of connections for requests. p.mu is held.
func (p *Pool) requestLimit() int { return max(1, p.limit-1) }

func (p *Pool) connectionCount() int { return len(p.idle) + len(p.inUse) + p.dialing + p.closing }

// overLimit reports whether a connection must be closed because the limit was lowered.
func (p *Pool) overLimit() bool { return p.connectionCount() > p.requestLimit() }

// startDials starts the dials that waiters and MinIdle require. Where the limit is reached, it
// closes the least recently used idle connections, which are of other users. p.mu is held.
func (p *Pool) startDials() {
	if p.closed || p.o.Clock.Now().Before(p.nextDial) {
		return
	}
	pending := maps.Clone(p.dialingFor)
	blocked := 0 // waiters whose dial the limit prevents
	for e := p.waiters.Front(); e != nil; e = e.Next() {
		user := e.Value.(*waiter).user
		switch {
		case pending[user] > 0:
			pending[user]--
		case p.connectionCount() < p.requestLimit():
			p.startDial(user)
		default:
			blocked++
		}
	}
	for p.closing < blocked && len(p.idle) > 0 {
		p.closeOldest()
	}
	if p.byUser || p.o.Clock.Now().Before(p.nextMinIdleDial) {
		return
	}
	want := p.waiters.Len() + max(0, p.o.MinIdle-len(p.idle))
	for p.dialing < want && p.connectionCount() < p.requestLimit() {
		p.startDial("")
	}
}

// startDial starts a dial for user. p.mu is held.
func (p *Pool) startDial(user string) {
	p.dialing++
	p.dialingFor[user]++
	p.wg.Go(func() { p.dial(user) })
}

// closeOldest starts to close the least recently used idle connection, so that one of another
// user can be opened. p.mu is held.
func (p *Pool) closeOldest() {
	p.closing++
	p.stats.ClosedForOther++
	c := p.takeOldest()
	p.wg.Go(func() { p.closeForOther(c) })
}

// closeForOther closes an idle connection and then dials in its place.
func (p *Pool) closeForOther(c Connection) {
	_ = c.Close()
	p.mu.Lock()
	p.closing--
	p.startDials()
	p.checkAllClosed()
	p.mu.Unlock()
}

func (p *Pool) dial(user string) {
	start := p.o.Clock.Now()
	c, err := p.connect(p.ctx, user)
	p.mu.Lock()
	p.dialing--
	if p.dialingFor[user]--; p.dialingFor[user] == 0 {
		delete(p.dialingFor, user)
	}
	p.stats.Dials++
	if err != nil {
		p.stats.DialErrors++
		p.nextMinIdleDial = p.o.Clock.Now().Add(maintainInterval)
		if ServerError(err) != nil && p.connectionCount() > 0 {
			// The server refuses more connections, for example while those of a
			// previous owner are still open. The open ones, or those of the dials under
			// way, will serve the waiters.
			p.nextDial = p.o.Clock.Now().Add(refusedDialDelay)
			if p.connectionCount() == p.dialing {
				p.refusedDials++
			}
			p.dialAfterRefusal()
		} else {
			p.failDials(user, err)
		}
		p.checkAllClosed()
		p.mu.Unlock()
		return
	}
	p.stats.DialTime = p.o.Clock.Since(start)
	p.refusedDials = 0
	p.inUse[c] = user
	p.mu.Unlock()
	p.put(c)
	c.NotifyClose(func() { p.removeClosed(c) })
}

// dialAfterRefusal makes the dial of a user whose first one was refused possible: an idle
// connection of another user is closed, and dials resume as soon as they may. p.mu is held.
func (p *Pool) dialAfterRefusal() {
	if !p.byUser {
		return
	}
	if len(p.idle) > 0 {
		p.closeOldest()
	}
	p.o.Clock.AfterFunc(refusedDialDelay, func() {
		p.mu.Lock()
		p.startDials()
		p.mu.Unlock()
	})
}

// connect opens a connection for user; an empty one is the pool's own.
func (p *Pool) connect(ctx context.Context, user string) (Connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.o.DialTimeout)
	defer cancel()
	o := p.o.Options
	if user != "" {
		o.User = user
	}
	return p.o.Dial(ctx, o)
}

// removeClosed removes an idle connection that the server has closed.
func (p *Pool) removeClosed(c Connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.idle {
		if p.idle[i].c == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			p.stats.Discards++
			break
		}
	}
	p.startDials()
	p.checkAllClosed()
}
