package gwcontrol

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwpeer"
)

// netPath is a network path between regions, each direction of each connection.
type netPath struct {
	delay     time.Duration // one way
	bandwidth int           // bytes per second
	window    int           // bytes of a TCP connection in flight
}

// lagProxy forwards TCP connections over a path.
type lagProxy struct {
	net.Listener
	path netPath
}

func newLagProxy(t testing.TB, p netPath) *lagProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &lagProxy{Listener: l, path: p}
}

// run forwards connections to an address until the proxy is closed.
func (p *lagProxy) run(to string) {
	for {
		in, err := p.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			_ = in.Close()
			continue
		}
		go p.forward(out, in)
		go p.forward(in, out)
	}
}

// parcel is data on its way.
type parcel struct {
	b  []byte
	at time.Time // when it arrives
}

// forward copies data after the delay of the path, at most at its bandwidth and with at most its
// window in flight.
func (p *lagProxy) forward(to, from net.Conn) {
	const step = 16 << 10
	_ = from.(*net.TCPConn).SetReadBuffer(16 * step) // a smaller one than the loopback segment makes the sender wait for timers
	var mu sync.Mutex
	inFlight, acknowledged := 0, sync.NewCond(&mu)
	parcels := make(chan parcel, 1<<12)
	go func() {
		defer to.Close()
		for q := range parcels {
			time.Sleep(time.Until(q.at))
			_, _ = to.Write(q.b)
			time.AfterFunc(p.path.delay, func() {
				mu.Lock()
				defer mu.Unlock()
				inFlight -= len(q.b)
				acknowledged.Signal()
			})
		}
	}()
	defer close(parcels)
	free := time.Now() // when the link is free
	for {
		b := make([]byte, step)
		n, err := from.Read(b)
		if err != nil {
			return
		}
		mu.Lock()
		for inFlight > 0 && inFlight+n > p.path.window {
			acknowledged.Wait()
		}
		inFlight += n
		mu.Unlock()
		if now := time.Now(); free.Before(now) {
			free = now
		}
		free = free.Add(time.Duration(n) * time.Second / time.Duration(p.path.bandwidth))
		parcels <- parcel{b: b[:n], at: free.Add(p.path.delay)}
	}
}

// laggedNodes starts nodes that reach each other over a path.
func laggedNodes(t testing.TB, p netPath, names ...string) []*gwpeer.Node {
	t.Helper()
	ca, err := gwpeer.NewAuthority("test")
	require.NoError(t, err)
	nodes := make([]*gwpeer.Node, len(names))
	for i, name := range names {
		nodes[i] = laggedNode(t, ca, p, name)
	}
	return nodes
}

// laggedNode starts a node that others reach over a path, directly if that has no delay.
func laggedNode(t testing.TB, ca *gwpeer.Authority, p netPath, name string) *gwpeer.Node {
	t.Helper()
	tls, err := ca.IssueSource(name)
	require.NoError(t, err)
	o := gwpeer.Options{Address: "127.0.0.1:0", TLS: tls, Instance: name, Transport: gwpeer.TCP}
	if p.delay > 0 {
		proxy := newLagProxy(t, p)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		o.Address, o.ListenAddress = proxy.Addr().String(), inner.Addr().String()
		require.NoError(t, inner.Close())
		go proxy.run(o.ListenAddress)
		t.Cleanup(func() { _ = proxy.Close() })
	}
	node, err := gwpeer.Listen(context.Background(), o)
	require.NoError(t, err)
	t.Cleanup(func() { _ = node.Close() })
	return node
}
