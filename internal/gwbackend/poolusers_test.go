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
