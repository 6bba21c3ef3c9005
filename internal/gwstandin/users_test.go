package gwstandin

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
)

// Guards against a pool that opens connections with another user than that of the request, or more
// of them than the server accepts, over the network.
func TestPoolOfUsers(t *testing.T) {
	s := startServer(t, Options{Connections: 6, ConnectCost: time.Millisecond})
	p := gwbackend.NewPool(gwbackend.PoolOptions{Options: gwbackend.Options{Address: s.Address(), User: "own", Database: "db"}, Limit: 6, MinIdle: 2})
	defer func() { require.NoError(t, p.Close(testContext(t))) }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for k := range 20 {
				c, err := p.AcquireFor(ctx, fmt.Sprintf("u%d", (i+k)%9))
				if !assert.NoError(t, err) {
					return
				}
				_, err = c.Exchange(ctx, gwbackend.Query("select 1"), nil)
				assert.NoError(t, err)
				p.Release(c, err == nil)
			}
		})
	}
	wg.Wait()
	assert.Zero(t, p.Stats().DialErrors, "refused connections")
	require.Eventually(t, func() bool {
		users, open := s.Connections(), p.OpenByUser()
		return len(users) > 1 && users["own"] == 0 && fmt.Sprint(users) == fmt.Sprint(open)
	}, 5*time.Second, 5*time.Millisecond, "users at the server and in the pool")
}
