package gwbackend

import (
	"container/list"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/pkg/gwpool"
)

const (
	defaultIdleTimeout  = 5 * time.Minute
	defaultDialTimeout  = 5 * time.Second
	defaultResetTimeout = time.Second
	maintainInterval    = time.Second
)

// PoolOptions configures a Pool.
type PoolOptions struct {
	Options
	Limit       int           // maximum of connections to the server, including the control connection
	MinIdle     int           // idle connections kept ready, so that requests do not wait for a dial
	Shared      bool          // see Pool.SetShared
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

	mu           sync.Mutex
	decisions    *gwpool.Pool
	idle         map[string][]idleConn // by user, most recently used last
	inUse        map[Connection]string // user by connection
	limit        int
	timer        clockwork.Timer // calls decide when a decision is due without an event
	timerAt      time.Time
	endWait      time.Duration         // for the server to end a connection that is replaced
	awaiting     map[string]*list.List // of chan struct{}: the requests in AwaitAvailable by user
	controlConn  Connection
	controlSince time.Time // when controlConn was opened
	closed       bool
	allClosed    chan struct{} // closed when the last connection has been closed after Close
	stats        Stats
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
	Limit, Open, Idle, InUse, Dialing, Closing int
	Waiting                                    int // in AcquireFor
	Awaiting                                   int // in AwaitAvailable
	Accepted                                   int // connections for requests that the pool may hold at present

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
		o: o, limit: max(1, o.Limit), endWait: maxEndWait, awaiting: make(map[string]*list.List), idle: make(map[string][]idleConn), inUse: make(map[Connection]string),
		controlFree: make(chan struct{}, 1), allClosed: make(chan struct{}),
	}
	p.decisions = gwpool.New(p.requestLimit(), o.MinIdle)
	p.decisions.SetShared(o.Shared)
	p.controlFree <- struct{}{}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.wg.Add(1)
	go p.maintain()
	p.mu.Lock()
	p.decide()
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
	if p.closed {
		p.mu.Unlock()
		return nil, p.error("acquire connection", ErrClosed)
	}
	if c := p.takeIdle(user); c != nil {
		p.decide()
		p.mu.Unlock()
		return c, nil
	}
	w := &waiter{granted: make(chan grant, 1)}
	queued := p.decisions.Wait(user, p.o.Clock.Now(), w)
	p.stats.Waits++
	p.decide()
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
	p.decisions.Withdraw(queued)
	p.decide()
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

// put makes a clean connection idle, so that it is granted to a waiter, kept or closed.
func (p *Pool) put(c Connection) {
	p.mu.Lock()
	if p.closed || !c.Usable() {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	user := p.inUse[c]
	delete(p.inUse, c)
	p.decisions.Released(user)
	p.pushIdle(user, c)
	p.decide()
	p.mu.Unlock()
}

// discard closes a connection that was in use.
func (p *Pool) discard(c Connection) {
	_ = c.Close()
	p.mu.Lock()
	if user, ok := p.inUse[c]; ok {
		delete(p.inUse, c)
		p.decisions.Lost(user)
	}
	p.stats.Discards++
	p.decide()
	p.checkAllClosed()
	p.mu.Unlock()
}

// requestLimit returns the limit of connections for requests. p.mu is held.
func (p *Pool) requestLimit() int { return max(1, p.limit-1) }

func (p *Pool) dial(user string) {
	start := p.o.Clock.Now()
	c, err := p.connect(p.ctx, user)
	p.mu.Lock()
	p.stats.Dials++
	if err != nil {
		p.stats.DialErrors++
		for _, w := range p.decisions.DialFailed(user, ServerError(err) != nil, p.o.Clock.Now()) {
			w.Ref.(*waiter).granted <- grant{err: err}
		}
		p.decide()
		p.checkAllClosed()
		p.mu.Unlock()
		return
	}
	p.stats.DialTime = p.o.Clock.Since(start)
	p.decisions.Dialed(user, p.stats.DialTime)
	p.pushIdle(user, c)
	if p.closed {
		p.closeIdle(user)
	}
	p.decide()
	p.mu.Unlock()
	c.NotifyClose(func() { p.removeClosed(c, user) })
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
func (p *Pool) removeClosed(c Connection, user string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[user]
	if i := slices.IndexFunc(conns, func(ic idleConn) bool { return ic.c == c }); i >= 0 {
		p.idle[user] = slices.Delete(conns, i, i+1)
		p.decisions.IdleLost(user)
		p.stats.Discards++
	}
	p.decide()
	p.checkAllClosed()
}
