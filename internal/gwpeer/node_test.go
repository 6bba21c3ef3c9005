package gwpeer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// transport is the transport of the nodes that startNode starts.
var transport Transport

// bothTransports runs all tests over QUIC and then over TCP.
type bothTransports struct{ m *testing.M }

func (b bothTransports) Run() int {
	code := 0
	for _, transport = range []Transport{QUIC, TCP} {
		code = max(code, b.m.Run())
	}
	return code
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(bothTransports{m}) }

var (
	kindEcho   = Kind{ID: 1, Name: "test.echo"}
	kindStream = Kind{ID: 2, Name: "test.stream"}
	kindNote   = Kind{ID: 3, Name: "test.note", Priority: PriorityControl}
)

type echo struct {
	Text string `cbor:"1,keyasint"`
}

// startNodes starts nodes with the given names that trust the same CA.
func startNodes(t testing.TB, names ...string) []*Node {
	t.Helper()
	ca, err := NewAuthority("test")
	require.NoError(t, err)
	nodes := make([]*Node, len(names))
	for i, name := range names {
		nodes[i] = startNode(t, ca, Options{Instance: name})
	}
	return nodes
}

func startNode(t testing.TB, ca *Authority, o Options) *Node {
	t.Helper()
	if o.TLS == nil {
		src, err := ca.IssueSource(o.Instance)
		require.NoError(t, err)
		o.TLS = src
	}
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.Shaper == nil {
		o.Transport = transport
	}
	n, err := Listen(context.Background(), o)
	require.NoError(t, err)
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func testContext(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func serveEcho(n *Node) {
	Handle(n, kindEcho, func(_ context.Context, from string, req echo) (echo, error) {
		if req.Text == "fail" {
			return echo{}, Codef("busy", "no slot for %s", from)
		}
		return req, nil
	})
	n.HandleStream(kindStream, func(_ context.Context, _ string, s *Stream) {
		for {
			kind, payload, err := s.ReadFrame()
			if err != nil {
				return
			}
			if s.WriteFrame(kind, payload) != nil {
				return
			}
		}
	})
}

// Guards against calls, streams and datagrams that do not arrive, and against handler
// errors that arrive without their code.
func TestRoundTrips(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	a, b := nodes[0], nodes[1]
	serveEcho(b)
	notes := make(chan string, 1)
	HandleDatagram(b, kindNote, func(from string, msg echo) { notes <- from + ":" + msg.Text })
	ctx := testContext(t, 10*time.Second)

	require.NoError(t, a.SendDatagram(b.Address(), kindNote, echo{Text: "first"}), "a datagram sent before the link is up")
	assert.Equal(t, "a:first", receive(t, notes))

	got, err := Call[echo, echo](ctx, a, b.Address(), kindEcho, echo{Text: "hello"})
	require.NoError(t, err)
	assert.Equal(t, "hello", got.Text)

	_, err = Call[echo, echo](ctx, a, b.Address(), kindEcho, echo{Text: "fail"})
	code, ok := RemoteCode(err)
	assert.True(t, ok)
	assert.Equal(t, "busy", code)
	assert.ErrorContains(t, err, "no slot for a")

	s, err := a.OpenStream(ctx, b.Address(), kindStream)
	require.NoError(t, err)
	for _, size := range []int{0, 1, 100, 1 << 20, MaxFrameBytes} {
		want := make([]byte, size)
		require.NoError(t, s.WriteFrame(7, want))
		kind, payload, err := s.ReadFrame()
		require.NoError(t, err)
		assert.Equal(t, byte(7), kind)
		assert.Len(t, payload, size)
	}
	assert.True(t, IsNotSent(s.WriteFrame(1, make([]byte, MaxFrameBytes+1))))
	require.NoError(t, s.CloseWrite())
	_, _, err = s.ReadFrame()
	assert.ErrorIs(t, err, io.EOF)
	require.NoError(t, s.Close())
}
