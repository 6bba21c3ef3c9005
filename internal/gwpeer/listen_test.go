package gwpeer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a node behind address translation that announces or dials from the address
// that it listens on: its peers would not find it, or take it for another instance.
func TestListenAddress(t *testing.T) {
	ca, err := NewAuthority("test")
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.2:0")
	require.NoError(t, err)
	defer l.Close()
	announced := l.Addr().String()
	src, err := ca.IssueSourceAt("b", net.IPv4(127, 0, 0, 2))
	require.NoError(t, err)
	b, err := Listen(t.Context(), Options{Address: announced, ListenAddress: "127.0.0.3:0", TLS: src, Instance: "b", Transport: TCP})
	require.NoError(t, err)
	defer b.Close()
	serveEcho(b)
	assert.Equal(t, announced, b.Address())
	listens := b.endpoint.(*tcpEndpoint).listener.Addr().String()
	assert.NotEqual(t, announced, listens)
	go translate(l, listens)

	asrc, err := ca.IssueSource("a")
	require.NoError(t, err)
	a, err := Listen(t.Context(), Options{Address: "127.0.0.1:0", TLS: asrc, Instance: "a", Transport: TCP})
	require.NoError(t, err)
	defer a.Close()
	serveEcho(a)
	got, err := callEcho(testContext(t, 5*time.Second), a, announced, "x")
	require.NoError(t, err)
	assert.Equal(t, "x", got)
	got, err = callEcho(testContext(t, 5*time.Second), b, a.Address(), "y")
	require.NoError(t, err)
	assert.Equal(t, "y", got)
}

// translate forwards the connections that l accepts to an address.
func translate(l net.Listener, to string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", to)
		if err != nil {
			_ = c.Close()
			return
		}
		copyAndClose := func(dst, src net.Conn) {
			_, _ = io.Copy(dst, src)
			_, _ = dst.Close(), src.Close()
		}
		go copyAndClose(far, c)
		go copyAndClose(c, far)
	}
}

// Guards against a listening address that is ignored: QUIC listens and dials on one socket.
func TestListenAddressNeedsTCP(t *testing.T) {
	ca, err := NewAuthority("test")
	require.NoError(t, err)
	src, err := ca.IssueSource("a")
	require.NoError(t, err)
	_, err = Listen(context.Background(), Options{Address: "127.0.0.1:0", ListenAddress: "127.0.0.3:0", TLS: src, Instance: "a", Transport: QUIC})
	assert.Equal(t, KindInvalid, errorKind(t, err))
}
