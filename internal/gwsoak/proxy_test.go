package gwsoak

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startEcho returns the address of a server that sends back what it receives, a proxy before
// it, and the path to it.
func startEcho(t *testing.T) (address string, there, back *path) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	there, back = newPath(), newPath()
	p, err := startProxy("127.0.0.1:0", proxy{target: l.Addr().String(), paths: func(netip.Addr) (*path, *path) { return there, back }})
	require.NoError(t, err)
	there.listen(p.listener)
	t.Cleanup(p.close)
	return p.listener.Addr().String(), there, back
}

func dialProxy(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// readWithin returns what arrives within a time.
func readWithin(c net.Conn, d time.Duration) string {
	_ = c.SetReadDeadline(time.Now().Add(d))
	b := make([]byte, 64)
	n, _ := c.Read(b)
	return string(b[:n])
}

const (
	silence = 300 * time.Millisecond
	// arrival is long enough for bytes that the kernel sends again after silence.
	arrival = 10 * time.Second
)

// Guards against cuts that let bytes through, lose them or reset connections: a scenario would
// then show another fault than the one that it names.
func TestPathHold(t *testing.T) {
	for _, test := range []struct {
		name           string
		silent, before bool // before: the connection is opened before the path is held
		oneWay         bool // the way back is held, not the way there
	}{
		{name: "held before it is opened"},
		{name: "held while it is open", before: true},
		{name: "cut before it is opened", silent: true},
		{name: "cut while it is open", silent: true, before: true},
		{name: "answers held", before: true, oneWay: true},
		{name: "answers cut", silent: true, before: true, oneWay: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, there, back := startEcho(t)
			held := there
			if test.oneWay {
				held = back
			}
			var c *net.TCPConn
			if test.before {
				c = dialProxy(t, address)
				_, _ = c.Write([]byte("a"))
				require.Equal(t, "a", readWithin(c, arrival))
			}
			held.hold(test.silent)
			if !test.before {
				c = dialProxy(t, address)
			}
			_, err := c.Write([]byte("b"))
			require.NoError(t, err)
			assert.Empty(t, readWithin(c, silence), "while it is held")
			held.release()
			assert.Equal(t, "b", readWithin(c, arrival), "after the release")
		})
	}
}

// Guards against held bytes that are delivered although their sender has reset its
// connection: such a call would be the fault of the rig.
func TestHeldBytesOfResetConnection(t *testing.T) {
	for _, silent := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		there, back := newPath(), newPath()
		p, err := startProxy("127.0.0.1:0", proxy{target: l.Addr().String(), paths: func(netip.Addr) (*path, *path) { return there, back }})
		require.NoError(t, err)
		t.Cleanup(p.close)
		there.listen(p.listener)
		there.hold(silent)
		c := dialProxy(t, p.listener.Addr().String())
		_, err = c.Write([]byte("b"))
		require.NoError(t, err)
		time.Sleep(silence)
		reset(c)
		time.Sleep(silence)
		there.release()
		require.NoError(t, l.(*net.TCPListener).SetDeadline(time.Now().Add(time.Second)))
		if server, err := l.Accept(); err == nil {
			assert.Empty(t, readWithin(server, time.Second), "silent %v", silent)
		}
	}
}

// Guards against a silent cut that acknowledges what it drops: a sender could then not find
// out by TCP_USER_TIMEOUT that its bytes have not arrived.
func TestSilentPathAcknowledgesNothing(t *testing.T) {
	address, there, _ := startEcho(t)
	for range 20 {
		there.hold(true)
		c := dialProxy(t, address)
		_, err := c.Write([]byte("b"))
		require.NoError(t, err)
		time.Sleep(silence)
		assert.Equal(t, 1, unacknowledged(t, c))
		there.release()
	}
}
