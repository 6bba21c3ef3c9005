package gwpeer

import (
	"crypto/tls"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Guards against handshakes that fill the links of a large deployment when its instances
// start: they took 4.1 KB each.
func TestHandshakeBytes(t *testing.T) {
	const maxHandshakeBytes = 3 << 10 // of both sides
	a, err := NewAuthority("test")
	require.NoError(t, err)
	ip := net.IPv4(10, 1, 0, 29)
	source, err := a.IssueSourceAt(ip.String(), ip)
	require.NoError(t, err)
	left, right := net.Pipe()
	var written atomic.Int64
	server := tls.Server(countingConn{left, &written}, serverConfig(source))
	client := tls.Client(countingConn{right, &written}, clientConfig(source.Identity(), ip.String()))
	done := make(chan error, 1)
	go func() { done <- server.HandshakeContext(t.Context()) }()
	require.NoError(t, client.HandshakeContext(t.Context()))
	require.NoError(t, <-done)
	assert.LessOrEqual(t, written.Load(), int64(maxHandshakeBytes))
	t.Logf("%d bytes", written.Load())
}
