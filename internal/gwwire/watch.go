package gwwire

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"
)

// watchInterval is the interval between checks of the sessions. A request that is running
// at two consecutive checks may take long, so its caller's connection is checked.
const watchInterval = time.Second

// watchCallers cancels long-running requests of callers that have disconnected, so that
// they do not occupy backend connections and places in queues. A session does not read
// from its connection while a request runs and would not notice.
func (s *Server) watchCallers() {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
			s.sessions.forEach((*conn).checkCaller)
		}
	}
}

// checkCaller cancels the running request if it was also running at the previous check
// and the caller has disconnected.
func (c *conn) checkCaller() {
	n := c.requestCounter.Load()
	unchanged := n == c.checkedRequests
	c.checkedRequests = n
	if n%2 == 1 && unchanged && disconnected(c.in.nc) {
		c.cancelRequest(ErrCallerDisconnected)
	}
}

// disconnected reports whether the caller has closed nc, without reading from nc. For a
// TLS connection it checks the underlying one.
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
