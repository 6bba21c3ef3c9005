package gwwire

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"
)

// watchInterval separates two looks at a session. A request that is met at
// two looks may wait for a long time, and its caller is checked.
const watchInterval = time.Second

// watchCallers cancels long requests of callers that have disconnected, so
// that these do not hold connections to servers and places in queues. A
// session reads no input while its request runs and would not notice.
func (s *Server) watchCallers() {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
			s.sessions.each((*conn).checkCaller)
		}
	}
}

func (c *conn) checkCaller() {
	n := c.requests.Load()
	again := n == c.seen
	c.seen = n
	if n%2 == 1 && again && disconnected(c.in.nc) {
		c.cancelRequest(ErrCallerDisconnected)
	}
}

// disconnected reports whether the caller has closed nc, without reading from
// it. Under TLS the connection below is checked.
func disconnected(nc net.Conn) bool {
	if tc, ok := nc.(*tls.Conn); ok {
		nc = tc.NetConn()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = peekClosed(int(fd)) })
	return err == nil && closed
}
