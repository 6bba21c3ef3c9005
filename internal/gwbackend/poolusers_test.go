package gwbackend

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// userServer is a server that accepts a number of connections and knows the user of each. A
// connection counts until it has been closed, which takes a while.
type userServer struct {
	limit     int
	closeTime time.Duration

	mu   sync.Mutex
	open int
	peak int
}

type userConn struct {
	stubConn
	s    *userServer
	user string
	// busy detects two holders of the connection.
	busy   atomic.Bool
	closed sync.Once
}

func (c *userConn) Close() error {
	c.closed.Do(func() {
		time.Sleep(c.s.closeTime)
		c.s.mu.Lock()
		c.s.open--
		c.s.mu.Unlock()
	})
	return nil
}

func (c *userConn) Abort() {}

func (s *userServer) dial(_ context.Context, o Options) (Connection, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.limit {
		return nil, &pgconn.PgError{Severity: "ERROR", Code: "53300", Message: "too many connections"}
	}
	s.open++
	s.peak = max(s.peak, s.open)
	return &userConn{s: s, user: o.User}, nil
}

func (s *userServer) pool(t *testing.T, limit, minIdle int) *Pool {
	p := NewPool(PoolOptions{Options: Options{User: "own"}, Limit: limit, MinIdle: minIdle, Dial: s.dial})
	t.Cleanup(func() { _ = p.Close(timeoutContext(t, 5*time.Second)) })
	return p
}

// Guards against a request that runs on another customer's connection, and against more
// connections than the limit while some are being closed.
func TestPoolConnectionsOfUsers(t *testing.T) {
	s := &userServer{limit: 1000, closeTime: 200 * time.Microsecond}
	p := s.pool(t, 5, 2)
	users := []string{"a", "b", "c", "d", "e", "f", "g", ""}
	ctx := timeoutContext(t, 20*time.Second)
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			for range 50 {
				user := users[rng.IntN(len(users))]
				c, err := p.AcquireFor(ctx, user)
				if !assert.NoError(t, err) {
					return
				}
				u := c.(*userConn)
				if user == "" {
					user = "own"
				}
				assert.Equal(t, user, u.user)
				assert.False(t, u.busy.Swap(true), "two holders")
				time.Sleep(time.Duration(rng.IntN(300)) * time.Microsecond)
				u.busy.Store(false)
				p.Release(c, rng.IntN(20) > 0)
			}
		})
	}
	wg.Wait()
	assert.LessOrEqual(t, s.peak, 4, "connections at once; one of the limit is for control statements")
	assert.NotZero(t, p.Stats().ClosedForOther)
}

// Guards against a customer that gets no connection while a server refuses more of them and
// other customers' are idle.
func TestPoolUserAfterRefusal(t *testing.T) {
	s := &userServer{limit: 2}
	p := s.pool(t, 16, 0)
	for _, user := range []string{"a", "b"} {
		c, err := p.AcquireFor(timeoutContext(t, time.Second), user)
		require.NoError(t, err)
		p.Release(c, true)
	}
	c, err := p.AcquireFor(timeoutContext(t, 5*time.Second), "c")
	require.NoError(t, err)
	assert.Equal(t, "c", c.(*userConn).user)
	p.Release(c, true)
}

// Guards against requests of an instance that becomes the owner while the server still counts the
// connections of the previous one: they wait for the connections that the server accepts, and the
// pool grows once the others are gone.
func TestPoolAfterChangeOfOwner(t *testing.T) {
	s := &userServer{limit: 12}
	before := s.pool(t, 12, 0)
	var held []Connection
	for i := range 9 {
		c, err := before.AcquireFor(timeoutContext(t, time.Second), string(rune('a'+i)))
		require.NoError(t, err)
		held = append(held, c)
	}
	p := s.pool(t, 12, 0)
	run := func(n int) (failed int64) {
		var wg sync.WaitGroup
		var errs atomic.Int64
		for i := range n {
			wg.Go(func() {
				c, err := p.AcquireFor(timeoutContext(t, 10*time.Second), string(rune('a'+i%10)))
				if err != nil {
					errs.Add(1)
					return
				}
				time.Sleep(time.Millisecond)
				p.Release(c, true)
			})
		}
		wg.Wait()
		return errs.Load()
	}
	assert.Zero(t, run(60), "with 3 connections for 10 users")
	assert.LessOrEqual(t, p.Stats().Open, 3)
	for _, c := range held {
		before.Release(c, true)
	}
	require.NoError(t, before.Close(timeoutContext(t, time.Second)))
	eventually(t, func() bool { return run(20) == 0 && p.Stats().Open == 10 }, "one connection of each user")
	assert.LessOrEqual(t, s.peak, 12)
	assert.Less(t, p.Stats().DialErrors, uint64(30), "dials to a server that refuses more connections")
}

// Guards against connections beyond a limit that is lowered while requests are running, and against
// requests of customers that wait for ever then.
func TestPoolLimitLoweredWithUsers(t *testing.T) {
	s := &userServer{limit: 100}
	p := s.pool(t, 11, 0)
	ctx := timeoutContext(t, 10*time.Second)
	var held []Connection
	for i := range 10 {
		c, err := p.AcquireFor(ctx, string(rune('a'+i)))
		require.NoError(t, err)
		held = append(held, c)
	}
	p.SetLimit(4)
	require.Equal(t, 10, p.Stats().Open, "connections in use stay open")
	waiting := make(chan error)
	go func() {
		c, err := p.AcquireFor(ctx, "z")
		if err == nil {
			p.Release(c, true)
		}
		waiting <- err
	}()
	for _, c := range held {
		p.Release(c, true)
	}
	require.NoError(t, <-waiting)
	eventually(t, func() bool { st := p.Stats(); return st.Open+st.Closing <= 3 }, "closed")
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.LessOrEqual(t, s.open, 3)
}

// Guards against a customer that withdraws its requests and whose connection then stays in use or
// keeps others waiting.
func TestPoolUserWithdraws(t *testing.T) {
	s := &userServer{limit: 100}
	p := s.pool(t, 3, 0)
	ctx := timeoutContext(t, 10*time.Second)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			short, cancel := context.WithTimeout(ctx, time.Duration(i%4)*50*time.Microsecond)
			defer cancel()
			if c, err := p.AcquireFor(short, "withdraws"); err == nil {
				p.Release(c, true)
			}
		})
		wg.Go(func() {
			c, err := p.AcquireFor(ctx, string(rune('a'+i%3)))
			if assert.NoError(t, err) {
				p.Release(c, true)
			}
		})
	}
	wg.Wait()
	eventually(t, func() bool { st := p.Stats(); return st.InUse+st.Dialing+st.Closing+st.Waiting == 0 }, "idle")
	assert.LessOrEqual(t, s.peak, 2)
}

// Guards against requests that occupy slots while transactions hold all connections, and against
// a deadlock of the two.
func TestPoolAwaitAvailable(t *testing.T) {
	s := &userServer{limit: 100}
	p := s.pool(t, 4, 0)
	ctx := timeoutContext(t, 10*time.Second)
	var held []Connection
	for _, user := range []string{"a", "b", "c"} {
		require.NoError(t, p.AwaitAvailable(ctx, user, 0))
		c, err := p.AcquireFor(ctx, user)
		require.NoError(t, err)
		held = append(held, c)
	}
	require.ErrorIs(t, p.AwaitAvailable(ctx, "d", 20*time.Millisecond), context.DeadlineExceeded)
	result := make(chan error)
	go func() { result <- p.AwaitAvailable(ctx, "d", 0) }()
	eventually(t, func() bool { return p.Stats().Awaiting == 1 }, "waiting")
	p.Release(held[0], true)
	require.NoError(t, <-result)
	c, err := p.AcquireFor(ctx, "d")
	require.NoError(t, err)
	go func() { result <- p.AwaitAvailable(ctx, "e", 0) }()
	eventually(t, func() bool { return p.Stats().Awaiting == 1 }, "waiting")
	for _, c := range append(held[1:], c) {
		p.Release(c, true)
	}
	require.NoError(t, <-result)
}

// Guards against a request that waits for an available connection when its pool is closed.
func TestPoolCloseEndsAwait(t *testing.T) {
	s := &userServer{limit: 100}
	p := s.pool(t, 2, 0)
	c, err := p.AcquireFor(t.Context(), "a")
	require.NoError(t, err)
	result := make(chan error)
	go func() { result <- p.AwaitAvailable(t.Context(), "b", 0) }()
	eventually(t, func() bool { return p.Stats().Awaiting == 1 }, "waiting")
	closed := make(chan error)
	go func() { closed <- p.Close(timeoutContext(t, 5*time.Second)) }()
	require.NoError(t, <-result)
	_, err = p.AcquireFor(t.Context(), "b")
	require.ErrorIs(t, err, ErrClosed)
	p.Release(c, true)
	require.NoError(t, <-closed)
}

// Guards against connections that are opened for the pool's own user while customers need them.
func TestPoolKeepsNoneIdleWithUsers(t *testing.T) {
	s := &userServer{limit: 100}
	p := s.pool(t, 5, 4)
	eventually(t, func() bool { return p.Stats().Idle == 4 }, "warm")
	for _, user := range []string{"a", "b", "c"} {
		c, err := p.AcquireFor(timeoutContext(t, time.Second), user)
		require.NoError(t, err)
		p.Release(c, true)
	}
	assert.Equal(t, uint64(3), p.Stats().ClosedForOther)
	assert.Equal(t, uint64(7), p.Stats().Dials)
	p.SetShared(false)
	p.SetLimit(9)
	eventually(t, func() bool { return p.Stats().Idle == 7 }, "4 of the own user and 3 of others")

	shared := NewPool(PoolOptions{Options: Options{User: "own"}, Limit: 5, MinIdle: 4, Shared: true, Dial: s.dial})
	defer func() { _ = shared.Close(timeoutContext(t, time.Second)) }()
	time.Sleep(20 * time.Millisecond)
	assert.Zero(t, shared.Stats().Dials)
}

// frozenConn is a connection that the server does not end when it is asked to.
type frozenConn struct {
	stubConn
	waits chan<- time.Duration
}

func (c *frozenConn) CloseGracefully(wait time.Duration) bool {
	c.waits <- wait
	return false
}

// Guards against requests that wait 200 ms for each connection that a frozen server does not end.
func TestPoolWaitsLessForFrozenServer(t *testing.T) {
	waits := make(chan time.Duration, 100)
	p := NewPool(PoolOptions{Limit: 2, Dial: func(context.Context, Options) (Connection, error) { return &frozenConn{waits: waits}, nil }})
	defer func() { _ = p.Close(t.Context()) }()
	for i := range 12 {
		c, err := p.AcquireFor(timeoutContext(t, 5*time.Second), string(rune('a'+i)))
		require.NoError(t, err)
		p.Release(c, true)
	}
	close(waits)
	want := maxEndWait
	for w := range waits {
		assert.Equal(t, want, w)
		want = max(minEndWait, want/2)
	}
	assert.Equal(t, minEndWait, want)
}
