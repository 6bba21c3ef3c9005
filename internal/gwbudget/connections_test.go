package gwbudget

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
)

// fakeConn is a connection from a host.
type fakeConn struct {
	net.Conn
	host   string
	closed bool
}

func (c *fakeConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(c.host), Port: 1} }

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// Guards against a host that keeps all places, against a busy connection that is closed for
// another, and against places that are lost or given back twice.
func TestConnectionsAreShared(t *testing.T) {
	c := NewConnections("test", 4, false, nil)
	always := func() bool { return true }
	add := func(host string, idle func() bool) (*fakeConn, func()) {
		nc := &fakeConn{host: host}
		return nc, c.Add(nc, idle)
	}
	busy, _ := add("10.0.0.1", func() bool { return false })
	oldest, removeOldest := add("10.0.0.1", always)
	for range 2 {
		add("10.0.0.1", always)
	}
	_, remove := add("10.0.0.1", always)
	assert.Nil(t, remove, "the host with the most connections gets no further one")
	_, remove = add("10.0.0.2", always)
	assert.NotNil(t, remove)
	assert.True(t, oldest.closed)
	assert.False(t, busy.closed)
	removeOldest()
	assert.Equal(t, 4, c.count)
	_, again := add("10.0.0.2", always)
	assert.NotNil(t, again)
	_, again = add("10.0.0.2", always)
	assert.Nil(t, again, "both hosts have as many")
	remove()
	assert.Equal(t, 3, c.count)
	_, again = add("10.0.0.1", always)
	assert.NotNil(t, again)
}

// Guards against requests that find no place because unfinished ones of the same host have all.
func TestConnectionsReplaceOwn(t *testing.T) {
	c := NewConnections("test", 2, true, nil)
	first := &fakeConn{host: "10.0.0.1"}
	for _, nc := range []*fakeConn{first, {host: "10.0.0.1"}, {host: "10.0.0.1"}} {
		assert.NotNil(t, c.Add(nc, nil))
	}
	assert.True(t, first.closed)
	assert.Equal(t, 2, c.count)
	assert.NotNil(t, c.Add(&fakeConn{host: "10.0.0.2"}, nil), "replaces a connection of the first host")
	assert.NotNil(t, c.Add(&fakeConn{host: "10.0.0.3"}, nil), "replaces one where all have one")
	assert.Equal(t, 2, c.count)
}

// Guards against a client that has as many places as addresses of its IPv6 network.
func TestHostOf(t *testing.T) {
	for address, want := range map[string]string{"10.0.0.1": "10.0.0.1", "::ffff:10.0.0.1": "10.0.0.1", "2001:db8::1": "2001:db8::/64", "2001:db8::2:1": "2001:db8::/64"} {
		assert.Equal(t, want, HostOf(&fakeConn{host: address}), address)
	}
}
