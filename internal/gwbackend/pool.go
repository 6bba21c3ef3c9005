package gwbackend

import (
	"container/list"
	"context"
	"log/slog"
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
	idle            []idleConn // most recently used last
	inUse           map[Connection]struct{}
	dialing         int
	refusedDials    int       // refused while no connection was open and others were under way
	waiters         list.List // of *waiter, in order of arrival
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
	since time.Time
}

type grant struct {
	c   Connection
	err error
}

type waiter struct{ granted chan grant }

// Stats describes the state of a pool and counts its events.
type Stats struct {
	Limit, Open, Idle, InUse, Dialing, Waiting int

	Dials, DialErrors uint64
	Discards          uint64 // connections closed because they could not be used again
	Waits             uint64 // calls of Acquire that had to wait
	WaitTime          time.Duration
	DialTime          time.Duration // of the last successful dial
}

// NewPool starts a pool.
func NewPool(o PoolOptions) *Pool {
	o.setDefaults()
	p := &Pool{
		o: o, limit: max(1, o.Limit), inUse: make(map[Connection]struct{}),
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
func (p *Pool) AcquireFor(ctx context.Context, _ string) (Connection, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, p.error("acquire connection", ErrClosed)
	}
	if c := p.popIdle(); c != nil {
		p.inUse[c] = struct{}{}
		p.startDials()
		p.mu.Unlock()
		return c, nil
	}
	w := &waiter{granted: make(chan grant, 1)}
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

// put hands a clean connection to the first waiter, or keeps it idle.
func (p *Pool) put(c Connection) {
	p.mu.Lock()
	if p.closed || p.overLimit() || !c.Usable() {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	if p.serveWaiter(grant{c: c}) {
		p.inUse[c] = struct{}{}
	} else {
		delete(p.inUse, c)
		p.idle = append(p.idle, idleConn{c: c, since: p.o.Clock.Now()})
	}
	p.mu.Unlock()
}

// failDials fails a waiter for each dial that has failed since no connection was open or under
// way, and starts dials for the others. p.mu is held.
func (p *Pool) failDials(err error) {
	failed := 1
	if p.connectionCount() == 0 && p.refusedDials > 0 {
		failed += p.refusedDials
		p.refusedDials, p.nextDial = 0, time.Time{}
	}
	for range failed {
		if !p.serveWaiter(grant{err: err}) {
			return
		}
	}
	p.startDials()
}

// serveWaiter passes g to the first waiter. p.mu is held.
func (p *Pool) serveWaiter(g grant) bool {
	e := p.waiters.Front()
	if e == nil {
		return false
	}
	p.waiters.Remove(e)
	e.Value.(*waiter).granted <- g
	return true
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

// popIdle returns the most recently used idle connection. p.mu is held.
func (p *Pool) popIdle() Connection {
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1].c
		p.idle[n-1] = idleConn{}
		p.idle = p.idle[:n-1]
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

func (p *Pool) connectionCount() int { return len(p.idle) + len(p.inUse) + p.dialing }

// overLimit reports whether a connection must be closed because the limit was lowered.
func (p *Pool) overLimit() bool { return p.connectionCount() > p.requestLimit() }

// startDials starts the dials that waiters and MinIdle require. p.mu is held.
func (p *Pool) startDials() {
	if p.closed || p.o.Clock.Now().Before(p.nextDial) {
		return
	}
	want := p.waiters.Len()
	if !p.o.Clock.Now().Before(p.nextMinIdleDial) {
		want += max(0, p.o.MinIdle-len(p.idle))
	}
	for p.dialing < want && p.connectionCount() < p.requestLimit() {
		p.dialing++
		p.wg.Add(1)
		go p.dial()
	}
}

func (p *Pool) dial() {
	defer p.wg.Done()
	start := p.o.Clock.Now()
	c, err := p.connect(p.ctx)
	p.mu.Lock()
	p.dialing--
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
		} else {
			p.failDials(err)
		}
		p.checkAllClosed()
		p.mu.Unlock()
		return
	}
	p.stats.DialTime = p.o.Clock.Since(start)
	p.refusedDials = 0
	p.inUse[c] = struct{}{}
	p.mu.Unlock()
	p.put(c)
	c.NotifyClose(func() { p.removeClosed(c) })
}

func (p *Pool) connect(ctx context.Context) (Connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.o.DialTimeout)
	defer cancel()
	return p.o.Dial(ctx, p.o.Options)
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
