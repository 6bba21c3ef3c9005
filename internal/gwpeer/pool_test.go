package gwpeer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a caller that receives the response to another request, after requests
// on reused streams were canceled, failed or ended out of order.
func TestResponsesMatchRequests(t *testing.T) {
	const workers, calls, seed = 32, 100, 1
	nodes := startNodes(t, "a", "b")
	a, b := nodes[0], nodes[1]
	Handle(b, kindEcho, func(_ context.Context, _ string, req echo) (echo, error) {
		switch h := len(req.Text) + int(req.Text[len(req.Text)-1]); h % 4 {
		case 0:
			time.Sleep(time.Duration(h) * 10 * time.Microsecond)
		case 1:
			return echo{}, Codef(req.Text, "refused")
		}
		return req, nil
	})
	ctx := testContext(t, 60*time.Second)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(w)))
			for i := range calls {
				text := fmt.Sprintf("%d-%d", w, i)
				short, cancel := context.WithTimeout(ctx, time.Duration(200+rnd.IntN(3000))*time.Microsecond)
				got, err := callEcho(short, a, b.Address(), text)
				cancel()
				if code, remote := RemoteCode(err); remote {
					assert.Equal(t, text, code)
				} else if err == nil {
					assert.Equal(t, text, got)
				}
			}
		})
	}
	wg.Wait()
	_, err := callEcho(ctx, a, b.Address(), "x2")
	require.NoError(t, err)
}

// Guards against idle streams, their handlers and unused links that are never closed.
func TestIdleResourcesEnd(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	a, b := nodes[0], nodes[1]
	serveEcho(b)
	ctx := testContext(t, 20*time.Second)
	_, err := callEcho(ctx, a, b.Address(), "x")
	require.NoError(t, err)
	pool := a.callPool(kindEcho)
	idle := func() int { p := pool.idleFor(b.Address()); p.mu.Lock(); defer p.mu.Unlock(); return len(p.stack) }
	require.Equal(t, 1, idle())
	pool.sweep(time.Now())
	require.Equal(t, 1, idle())
	pool.sweep(time.Now().Add(idleStreamTimeout + time.Second))
	require.Equal(t, 0, idle())
	require.Eventually(t, func() bool { return b.Links()[0].Streams == 0 }, 5*time.Second, 10*time.Millisecond)

	link := a.linkList()[0]
	link.maintain(time.Now(), a.opts.TLS.Identity(), false)
	require.True(t, link.alive())
	link.maintain(time.Now().Add(unusedTimeout+time.Second), a.opts.TLS.Identity(), false)
	require.False(t, link.alive())
	_, err = callEcho(ctx, a, b.Address(), "x")
	require.NoError(t, err)
}

// Guards against a reload of invalid files that replaces a valid identity.
func TestFileSourceReload(t *testing.T) {
	folder := KeyFolder{Path: t.TempDir(), Now: time.Now()}
	_, err := folder.Init("test")
	require.NoError(t, err)
	_, err = folder.Issue("a", []net.IP{net.IPv6loopback}, false)
	require.NoError(t, err)
	file := func(name string) string { return filepath.Join(folder.Path, name) }
	src, err := NewFileSource(file("ca.pem"), file("a.pem"), file("a.key"))
	require.NoError(t, err)
	first := src.Identity()
	_, err = folder.Issue("a", []net.IP{net.IPv6loopback}, true)
	require.NoError(t, err)
	require.NoError(t, src.Reload())
	second := src.Identity()
	assert.NotSame(t, first, second)
	require.NoError(t, os.WriteFile(file("a.pem"), []byte("broken"), 0o600))
	require.Error(t, src.Reload())
	assert.Same(t, second, src.Identity())
	_, err = LoadAuthority([]byte("broken"), nil)
	require.Error(t, err)
}
