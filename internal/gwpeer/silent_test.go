package gwpeer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against calls that wait until their deadline for a peer of which it is known that it
// does not answer: it left a ping unanswered, and the dial that followed takes long. In the
// recorded partition 1,100 statements spent half a second or more in this way.
func TestCallsToSilentPeerFailSoon(t *testing.T) {
	ca, err := NewAuthority("test")
	require.NoError(t, err)
	var nodes []*Node
	for _, name := range []string{"a", "b"} {
		src, err := ca.IssueSource(name)
		require.NoError(t, err)
		n, err := Listen(context.Background(), Options{Address: "127.0.0.1:0", TLS: src, Instance: name, Transport: TCP})
		require.NoError(t, err)
		t.Cleanup(func() { _ = n.Close() })
		nodes = append(nodes, n)
	}
	a, b := nodes[0], nodes[1]
	serveEcho(b)
	ctx := testContext(t, 20*time.Second)
	_, err = callEcho(ctx, a, b.Address(), "x")
	require.NoError(t, err)
	a.Block(b.Address(), true)
	_, err = callEcho(ctx, a, b.Address(), "x") // until the ping is given up
	require.Error(t, err)
	begin := time.Now()
	for range 8 {
		_, err = callEcho(ctx, a, b.Address(), "x")
		assert.Equal(t, KindNotSent, errorKind(t, err))
		assert.ErrorContains(t, err, "the peer is down")
	}
	assert.Less(t, time.Since(begin), 2*downPeerWait, "8 calls, one after the other")
	a.Block(b.Address(), false)
	require.Eventually(t, func() bool {
		_, err := callEcho(ctx, a, b.Address(), "x")
		return err == nil
	}, 15*time.Second, 20*time.Millisecond)
}
