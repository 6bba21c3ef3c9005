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
	sweepInterval       = time.Second // also the pause of warm dials after a failed one
	// refusedPause is the time between two dials to a server that has no room. Each
	// one costs it a slot for a moment.
	refusedPause = 200 * time.Millisecond
)

// PoolOptions configures a Pool.
type PoolOptions struct {
	Options
	Limit       int           // connections to the server at most, the control connection included
	MinIdle     int           // idle connections kept ready, so that requests do not wait for a dial
	IdleTimeout time.Duration // idle connections above MinIdle are closed after it; 0: 5 min
	DialTimeout time.Duration // 0: 5 s
	// Dial opens connections; nil for the PostgreSQL protocol.
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

// Pool holds the connections of one server. One connection of the limit is
// reserved for control statements, so that a fence or a position query never
// waits behind requests.
type Pool struct {
	o    PoolOptions
	ctx  context.Context // of dials and resets
	stop context.CancelFunc
	wg   sync.WaitGroup

	control chan struct{} // holds a token while the control connection is free

	mu          sync.Mutex
	limit       int
	idle        []idleConn // most recently used last
	used        map[Connection]struct{}
	dialing     int
	waiters     list.List // of *waiter, first come first served
	controlConn Connection
	closed      bool
	empty       chan struct{} // closed when the last connection is gone after Close
	warmAfter   time.Time     // no warm dials before, after a failed dial
	dialAfter   time.Time     // no dials at all before, after the server had no room
	stats       Stats
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
	Waits             uint64 // acquisitions that had to wait
	WaitTime          time.Duration
	DialTime          time.Duration // of the last successful dial
}

// NewPool starts a pool.
func NewPool(o PoolOptions) *Pool {
	o.setDefaults()
	p := &Pool{
		o: o, limit: max(1, o.Limit), used: make(map[Connection]struct{}),
		control: make(chan struct{}, 1), empty: make(chan struct{}),
	}
	p.control <- struct{}{}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.wg.Add(1)
	go p.sweepLoop()
	p.mu.Lock()
	p.dialMore()
	p.mu.Unlock()
	return p
}

// Acquire returns a connection that is idle outside of a transaction, waiting
// for one if necessary. Every error is of KindNotSent.
func (p *Pool) Acquire(ctx context.Context) (Connection, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, p.error("acquire", ErrClosed)
	}
	if c := p.popIdle(); c != nil {
		p.used[c] = struct{}{}
		p.dialMore()
		p.mu.Unlock()
		return c, nil
	}
	w := &waiter{granted: make(chan grant, 1)}
	e := p.waiters.PushBack(w)
	p.stats.Waits++
	p.dialMore()
	p.mu.Unlock()
	start := p.o.Clock.Now()
	defer func() {
		p.mu.Lock()
		p.stats.WaitTime += p.o.Clock.Since(start)
		p.mu.Unlock()
	}()
	select {
	case g := <-w.granted:
		return p.granted(g)
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.waiters.Remove(e)
	p.mu.Unlock()
	select {
	case g := <-w.granted: // granted while ctx ended
		if g.c != nil {
			p.Release(g.c, true)
		}
	default:
	}
	return nil, p.error("acquire", context.Cause(ctx))
}

func (p *Pool) granted(g grant) (Connection, error) {
	if g.err != nil {
		return nil, p.error("acquire", g.err)
	}
	return g.c, nil
}

func (p *Pool) error(op string, err error) error {
	return &Error{Op: op, Kind: KindNotSent, Server: p.o.Name, Err: err}
}

// Release gives a connection back. One that is not reusable, or that has an
// answer outstanding, is closed; one inside a transaction or with changed
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
	if p.closed || p.surplus() || !c.Usable() {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	if p.serveWaiter(grant{c: c}) {
		p.used[c] = struct{}{}
	} else {
		delete(p.used, c)
		p.idle = append(p.idle, idleConn{c: c, since: p.o.Clock.Now()})
	}
	p.mu.Unlock()
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
	delete(p.used, c)
	p.stats.Discards++
	p.dialMore()
	p.checkEmpty()
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
		// Its reader has failed and is about to call ended, which finds
		// nothing to remove.
	}
	return nil
}

// requestLimit is the limit of connections for requests. p.mu is held.
func (p *Pool) requestLimit() int { return max(1, p.limit-1) }

func (p *Pool) opened() int { return len(p.idle) + len(p.used) + p.dialing }

// surplus reports whether a connection has to go after the limit was lowered.
func (p *Pool) surplus() bool { return p.opened() > p.requestLimit() }

// dialMore starts the dials that waiters and the minimum of idle connections
// call for. p.mu is held.
func (p *Pool) dialMore() {
	if p.closed || p.o.Clock.Now().Before(p.dialAfter) {
		return
	}
	want := p.waiters.Len()
	if !p.o.Clock.Now().Before(p.warmAfter) {
		want += max(0, p.o.MinIdle-len(p.idle))
	}
	for p.dialing < want && p.opened() < p.requestLimit() {
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
		p.warmAfter = p.o.Clock.Now().Add(sweepInterval)
		if ServerError(err) != nil && len(p.idle)+len(p.used) > 0 {
			// The server has no room for more connections, as while an earlier
			// owner's are open. Those that are open will serve the waiters.
			p.dialAfter = p.o.Clock.Now().Add(refusedPause)
		} else if p.serveWaiter(grant{err: err}) {
			p.dialMore()
		}
		p.checkEmpty()
		p.mu.Unlock()
		return
	}
	p.stats.DialTime = p.o.Clock.Since(start)
	p.used[c] = struct{}{}
	p.mu.Unlock()
	p.put(c)
	c.NotifyClose(func() { p.ended(c) })
}

func (p *Pool) connect(ctx context.Context) (Connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.o.DialTimeout)
	defer cancel()
	return p.o.Dial(ctx, p.o.Options)
}

// ended removes an idle connection that the server has closed.
func (p *Pool) ended(c Connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.idle {
		if p.idle[i].c == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			p.stats.Discards++
			break
		}
	}
	p.dialMore()
	p.checkEmpty()
}
