package gwpeer

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func newNetwork(t *testing.T, o NetworkOptions) (n *Network, addrs [3]netip.AddrPort) {
	t.Helper()
	n = NewNetwork(o)
	places := [3]location{{"rennes-a", "rennes"}, {"rennes-b", "rennes"}, {"brest-a", "brest"}}
	for i, p := range places {
		addrs[i] = netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 1000+i))
		require.NoError(t, n.Place(addrs[i].String(), p.dataCentre, p.region))
	}
	return n, addrs
}

// Guards against wrong delays, and against a bandwidth limit per link instead of one
// that all links between two regions share.
func TestNetworkPlan(t *testing.T) {
	n, a := newNetwork(t, NetworkOptions{IntraRegionDelay: time.Millisecond, InterRegionDelay: 30 * time.Millisecond, Bandwidth: 8_000_000})
	now := time.Unix(1000, 0)
	delay := func(from, to netip.AddrPort, size int) time.Duration {
		at, ok := n.Plan(from, to, size, now)
		require.True(t, ok)
		return at.Sub(now)
	}
	assert.Zero(t, delay(a[0], a[0], 1000))
	assert.Equal(t, time.Millisecond, delay(a[0], a[1], 1000))
	// 1000 bytes take 1 ms at 8 Mbit/s.
	assert.Equal(t, 31*time.Millisecond, delay(a[0], a[2], 1000))
	assert.Equal(t, 32*time.Millisecond, delay(a[1], a[2], 1000), "the second link waits for the first")
	assert.Equal(t, 31*time.Millisecond, delay(a[2], a[0], 1000), "the other direction has its own bandwidth")
	lost := 0
	for range 400 {
		if _, ok := n.Plan(a[0], a[2], 1000, now); !ok {
			lost++
		}
	}
	assert.Positive(t, lost, "a full queue drops packets")
	assert.Equal(t, int64(lost), n.Drops("rennes", "brest"))
	assert.Equal(t, int64(402-lost)*1000, n.Bytes("rennes", "brest"))
}

// Guards against packets that are sent too early or out of order.
func TestDelayQueue(t *testing.T) {
	type sent struct {
		text string
		at   time.Time
	}
	var mu sync.Mutex
	var got []sent
	q := newDelayQueue(func(p []byte, _ net.Addr) {
		mu.Lock()
		defer mu.Unlock()
		got = append(got, sent{text: string(p), at: time.Now()})
	})
	start := time.Now()
	late, early := start.Add(20*time.Millisecond), start.Add(10*time.Millisecond)
	q.push([]byte("3"), nil, late)
	q.push([]byte("1"), nil, early)
	q.push([]byte("4"), nil, late)
	q.push([]byte("2"), nil, early)
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return len(got) == 4 }, 5*time.Second, time.Millisecond)
	q.close()
	for i, s := range got {
		assert.Equal(t, fmt.Sprint(i+1), s.text)
	}
	assert.False(t, got[0].at.Before(early))
	assert.False(t, got[2].at.Before(late))
}

// Guards against links that bypass the shaper, and against links that fail over a path
// with a long delay.
func TestShapedLink(t *testing.T) {
	const between = 30 * time.Millisecond
	network := NewNetwork(NetworkOptions{InterRegionDelay: between, Bandwidth: 30_000_000})
	ca, err := NewAuthority("test")
	require.NoError(t, err)
	a := startNode(t, ca, Options{Instance: "a", Shaper: network})
	b := startNode(t, ca, Options{Instance: "b", Shaper: network})
	require.NoError(t, network.Place(a.Address(), "rennes-a", "rennes"))
	require.NoError(t, network.Place(b.Address(), "brest-a", "brest"))
	serveEcho(b)
	ctx := testContext(t, 20*time.Second)
	_, err = callEcho(ctx, a, b.Address(), "x")
	require.NoError(t, err)
	start := time.Now()
	_, err = callEcho(ctx, a, b.Address(), "x")
	require.NoError(t, err)
	assert.GreaterOrEqual(t, time.Since(start), 2*between)

	s, err := a.OpenStream(ctx, b.Address(), kindStream)
	require.NoError(t, err)
	defer s.Close()
	start = time.Now()
	require.NoError(t, s.WriteFrame(1, make([]byte, 1<<20)))
	_, payload, err := s.ReadFrame()
	require.NoError(t, err)
	assert.Len(t, payload, 1<<20)
	// Each direction needs 280 ms for 1 MiB at 30 Mbit/s.
	assert.GreaterOrEqual(t, time.Since(start), 500*time.Millisecond)
	assert.GreaterOrEqual(t, network.Bytes("rennes", "brest"), int64(1<<20))
}
