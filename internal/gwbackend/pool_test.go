package gwbackend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"gentianward.example/gentianward/pkg/gwsession"
)

func newPool(t testing.TB, o PoolOptions) *Pool {
	p := NewPool(o)
	t.Cleanup(func() { _ = p.Close(timeoutContext(t, time.Second)) })
	return p
}

func eventually(t testing.TB, cond func() bool, what string) {
	require.Eventually(t, cond, 5*time.Second, time.Millisecond, what)
}

// Guards against more connections than the server allows, and against a
// control statement that waits behind requests.
func TestPoolLimit(t *testing.T) {
	f := startFake(t, nil)
	p := newPool(t, PoolOptions{Options: f.options(), Limit: 4, MinIdle: 2})
	var g errgroup.Group
	for range 20 {
		g.Go(func() error {
			for range 20 {
				c, err := p.Acquire(timeoutContext(t, 5*time.Second))
				if err != nil {
					return err
				}
				if _, err := c.Exchange(t.Context(), Query("x"), nil); err != nil {
					return err
				}
				p.Release(c, true)
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	var held []Connection
	for range 3 {
		c, err := p.Acquire(timeoutContext(t, time.Second))
		require.NoError(t, err)
		held = append(held, c)
	}
	control, err := p.AcquireControl(timeoutContext(t, time.Second))
	require.NoError(t, err)
	_, err = p.Acquire(timeoutContext(t, 20*time.Millisecond))
	require.Equal(t, KindNotSent, KindOf(err))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, 4, p.Stats().Open)
	for _, c := range append(held, control) {
		p.Release(c, true)
	}
	require.LessOrEqual(t, f.peakSessions, 4)
}

// Guards against waiters that are served out of order, or that block others after
// their context ended.
func TestPoolOrder(t *testing.T) {
	f := startFake(t, nil)
	p := newPool(t, PoolOptions{Options: f.options(), Limit: 2})
	c, err := p.Acquire(timeoutContext(t, time.Second))
	require.NoError(t, err)
	order := make(chan int, 3)
	var wg sync.WaitGroup
	for i, waiting := range []int{1, 2, 2, 3} {
		ctx, cancel := context.WithCancel(t.Context())
		wg.Go(func() {
			c, err := p.Acquire(ctx)
			if err != nil {
				return
			}
			order <- i
			p.Release(c, true)
		})
		eventually(t, func() bool { return p.Stats().Waiting == waiting }, "queued")
		if i == 1 {
			cancel()
			eventually(t, func() bool { return p.Stats().Waiting == 1 }, "waiter canceled")
		}
		defer cancel()
	}
	p.Release(c, true)
	wg.Wait()
	require.Equal(t, []int{0, 2, 3}, []int{<-order, <-order, <-order})
}

// Guards against requests that wait for a dial although MinIdle connections are kept,
// and against idle connections that are kept forever or used after the server closed
// them.
func TestPoolIdle(t *testing.T) {
	f := startFake(t, nil)
	clock := clockwork.NewFakeClock()
	p := newPool(t, PoolOptions{Options: f.options(), Limit: 8, MinIdle: 2, IdleTimeout: time.Minute, Clock: clock})
	eventually(t, func() bool { return p.Stats().Idle == 2 }, "warm")
	var held []Connection
	for i := range 4 {
		eventually(t, func() bool { return p.Stats().Idle == 2 }, "warm again")
		c, err := p.Acquire(timeoutContext(t, time.Second))
		require.NoError(t, err)
		held = append(held, c)
		require.Zero(t, p.Stats().Waits, "acquisition %d waited for a dial", i)
	}
	for _, c := range held {
		p.Release(c, true)
	}
	eventually(t, func() bool { return p.Stats().Idle >= 6 }, "released")
	clock.Advance(2 * time.Minute)
	eventually(t, func() bool { return p.Stats().Idle == 2 }, "expired")
	f.eachSession(func(s *fakeSession) { _ = s.nc.Close() })
	eventually(t, func() bool { return p.Stats().Discards >= 2 && p.Stats().Idle == 2 }, "replaced")
	c, err := p.Acquire(timeoutContext(t, time.Second))
	require.NoError(t, err)
	_, err = c.Exchange(t.Context(), Query("x"), nil)
	require.NoError(t, err)
	p.Release(c, true)
}

// Guards against a session that inherits the transaction or the settings of
// another, and against a broken connection that is handed out.
func TestPoolReset(t *testing.T) {
	f := startFake(t, map[string]func(s *fakeSession){
		"set":         func(s *fakeSession) { s.send(&pgproto3.CommandComplete{CommandTag: []byte("SET")}) },
		"DISCARD ALL": func(s *fakeSession) { s.send(&pgproto3.CommandComplete{CommandTag: []byte("DISCARD ALL")}) },
		"cut":         func(s *fakeSession) { _ = s.nc.Close() },
	})
	p := newPool(t, PoolOptions{Options: f.options(), Limit: 2})
	run := func(sql string) {
		c, err := p.Acquire(timeoutContext(t, time.Second))
		require.NoError(t, err)
		require.Equal(t, byte('I'), c.TxStatus())
		_, _ = c.Exchange(t.Context(), Query(sql), nil)
		p.Release(c, true)
	}
	for _, sql := range []string{"BEGIN", "set", "cut", "x"} {
		run(sql)
	}
	require.Equal(t, []string{"query BEGIN", "query ROLLBACK", "query set", "query DISCARD ALL", "query cut", "query x"}, f.takeLog())
	require.Equal(t, uint64(1), p.Stats().Discards)
}

// Guards against a limit change or a close that aborts requests in flight or leaves
// connections open.
func TestPoolSetLimitAndClose(t *testing.T) {
	f := startFake(t, nil)
	p := NewPool(PoolOptions{Options: f.options(), Limit: 6, MinIdle: 5})
	eventually(t, func() bool { return p.Stats().Idle == 5 }, "warm")
	c, err := p.Acquire(timeoutContext(t, time.Second))
	require.NoError(t, err)
	p.SetLimit(3)
	eventually(t, func() bool { return p.Stats().Open == 2 }, "shrunk")
	closed := make(chan error)
	go func() { closed <- p.Close(timeoutContext(t, 5*time.Second)) }()
	eventually(t, func() bool {
		c, err := p.Acquire(t.Context())
		if err == nil {
			p.Release(c, true)
		}
		return err != nil
	}, "closing")
	_, err = c.Exchange(t.Context(), Query("x"), nil)
	require.NoError(t, err)
	p.Release(c, true)
	require.NoError(t, <-closed)
	require.Zero(t, p.Stats().Open)
}

// Guards against waiters that hang when the server refuses connections, instead of
// failing with KindNotSent.
func TestPoolDialFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	p := newPool(t, PoolOptions{Options: Options{Address: l.Addr().String(), User: "u", Database: "d"}, Limit: 3, MinIdle: 1})
	var g errgroup.Group
	for range 5 {
		g.Go(func() error {
			_, err := p.Acquire(timeoutContext(t, 5*time.Second))
			require.Equal(t, KindNotSent, KindOf(err))
			require.NotErrorIs(t, err, context.DeadlineExceeded)
			return nil
		})
	}
	require.NoError(t, g.Wait())
}

// Guards against waits that miss a position, and against one query per wait.
func TestWaitPosition(t *testing.T) {
	var mu sync.Mutex
	queries, position := 0, "5"
	f := startFake(t, map[string]func(s *fakeSession){
		"SHOW gentianward.position": func(s *fakeSession) {
			mu.Lock()
			defer mu.Unlock()
			queries++
			s.row("role term offset previousterm_unused previoustermend", "replica 2 "+position+" 0 3")
		},
	})
	s := NewServer(ServerOptions{Pool: PoolOptions{Options: f.options(), Limit: 3}})
	defer func() { require.NoError(t, s.Close(timeoutContext(t, time.Second))) }()
	r, err := s.WaitPosition(timeoutContext(t, time.Second), gwsession.Position{Term: 2, Offset: 5})
	require.NoError(t, err)
	require.Equal(t, Report{Role: RoleReplica, Term: 2, Position: gwsession.Position{Term: 2, Offset: 5}, PreviousTermEnd: 3}, r)
	_, err = s.WaitPosition(timeoutContext(t, 20*time.Millisecond), gwsession.Position{Term: 3})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	mu.Lock()
	before := queries
	mu.Unlock()
	var g errgroup.Group
	for range 50 {
		g.Go(func() error {
			_, err := s.WaitPosition(timeoutContext(t, 5*time.Second), gwsession.Position{Term: 2, Offset: 9})
			return err
		})
	}
	time.Sleep(30 * time.Millisecond)
	mu.Lock()
	position = "9"
	mu.Unlock()
	require.NoError(t, g.Wait())
	mu.Lock()
	require.Less(t, queries-before, 50, "queries are shared")
	mu.Unlock()
	// A position that the server sends on its own ends a wait without a query.
	f.sendUnsolicited(t, &pgproto3.ParameterStatus{Name: positionParameter, Value: "2/20"})
	_, err = s.WaitPosition(timeoutContext(t, 5*time.Second), gwsession.Position{Term: 2, Offset: 20})
	require.NoError(t, err)
}

// Guards against control statements that differ from the stand-in's, and against lost
// errors of the server.
func TestStandinDialect(t *testing.T) {
	f := startFake(t, map[string]func(s *fakeSession){
		"SHOW gentianward.position":             func(s *fakeSession) { s.row("role term offset previousTermEnd", "primary 4 8 7") },
		"GENTIANWARD FENCE 5":                   func(s *fakeSession) { s.row("role term offset previousTermEnd", "primary 4 8 7") },
		"GENTIANWARD PROMOTE 5":                 func(s *fakeSession) { s.row("position", "5/8") },
		"GENTIANWARD FOLLOW 5 '127.0.0.1:1''x'": func(s *fakeSession) { s.row("dropped", "2") },
		"GENTIANWARD FENCE 1":                   func(s *fakeSession) { s.sendError("ERROR", "55000", "older term") },
	})
	s := NewServer(ServerOptions{Pool: PoolOptions{Options: f.options(), Limit: 3}})
	defer func() { require.NoError(t, s.Close(timeoutContext(t, time.Second))) }()
	ctx := timeoutContext(t, 5*time.Second)
	r, err := s.Fence(ctx, 5)
	require.NoError(t, err)
	require.Equal(t, Report{Role: RolePrimary, Term: 4, Position: gwsession.Position{Term: 4, Offset: 8}, PreviousTermEnd: 7}, r)
	start, err := s.Promote(ctx, 5)
	require.NoError(t, err)
	require.Equal(t, gwsession.Position{Term: 5, Offset: 8}, start)
	dropped, err := s.Follow(ctx, 5, "127.0.0.1:1'x")
	require.NoError(t, err)
	require.Equal(t, uint64(2), dropped)
	_, err = s.Fence(ctx, 1)
	require.Equal(t, KindServer, KindOf(err))
	require.Equal(t, "55000", ServerError(err).Code)
}

// BenchmarkAcquire measures acquiring and releasing an idle connection.
func BenchmarkAcquire(b *testing.B) {
	p := newPool(b, PoolOptions{Options: startFake(b, nil).options(), Limit: 3, MinIdle: 1})
	eventually(b, func() bool { return p.Stats().Idle == 1 }, "warm")
	b.ReportAllocs()
	for b.Loop() {
		c, _ := p.Acquire(b.Context())
		p.Release(c, true)
	}
}

// stubConn is a connection that does nothing.
type stubConn struct{ Connection }

func (*stubConn) Usable() bool                { return true }
func (*stubConn) Clean() bool                 { return true }
func (*stubConn) TxStatus() byte              { return 'I' }
func (*stubConn) Close() error                { return nil }
func (*stubConn) NotifyClose(func())          {}
func (*stubConn) Reset(context.Context) error { return nil }

// Guards against requests that fail because a dial is refused, although connections are
// open. A new owner got only 4 of 16 connections, because those of the frozen previous
// owner were still open, and refused 500 statements instead of queueing them for the 4.
func TestPoolWaitsWhenDialsAreRefused(t *testing.T) {
	const serverLimit = 2
	var dials atomic.Int64
	p := NewPool(PoolOptions{Limit: 16, Dial: func(context.Context, Options) (Connection, error) {
		if dials.Add(1) > serverLimit {
			return nil, &pgconn.PgError{Severity: "ERROR", Code: "53300", Message: "too many connections"}
		}
		return &stubConn{}, nil
	}})
	defer func() { _ = p.Close(t.Context()) }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var failed atomic.Int64
	for range 50 {
		wg.Go(func() {
			c, err := p.Acquire(ctx)
			if err != nil {
				failed.Add(1)
				return
			}
			time.Sleep(time.Millisecond)
			p.Release(c, true)
		})
	}
	wg.Wait()
	assert.Zero(t, failed.Load())
	assert.Less(t, dials.Load(), int64(20), "dials to a server that refuses more connections")
}

// Guards against requests that fail because a dial is refused while another one, which
// succeeds, is under way.
func TestPoolWaitsForDialsUnderWay(t *testing.T) {
	refused := make(chan struct{})
	var dials atomic.Int64
	p := NewPool(PoolOptions{Limit: 16, Dial: func(context.Context, Options) (Connection, error) {
		if dials.Add(1) == 1 {
			<-refused
			return &stubConn{}, nil
		}
		return nil, &pgconn.PgError{Severity: "ERROR", Code: "53300", Message: "too many connections"}
	}})
	defer func() { _ = p.Close(t.Context()) }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			c, err := p.Acquire(ctx)
			if assert.NoError(t, err) {
				p.Release(c, true)
			}
		})
	}
	require.Eventually(t, func() bool { return p.Stats().DialErrors > 0 }, time.Second, time.Millisecond)
	close(refused)
	wg.Wait()
}

// Guards against requests that wait for a server which refuses every connection.
func TestPoolFailsWithoutAnyConnection(t *testing.T) {
	p := NewPool(PoolOptions{Limit: 16, Dial: func(context.Context, Options) (Connection, error) {
		return nil, &pgconn.PgError{Severity: "ERROR", Code: "53300", Message: "too many connections"}
	}})
	defer func() { _ = p.Close(t.Context()) }()
	_, err := p.Acquire(t.Context())
	assert.NotNil(t, ServerError(err))
}
