package gwpeer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// connectTimeouts are the timeouts of the connection attempts of one dial. Most are
// slightly longer than two round trips between regions; the last ones leave time for a
// saturated link. A single attempt is not enough, because the kernel retransmits a lost
// first packet only after a second: when all machines came back from a power loss
// within 0.4 s of each other, the first ones had to wait half a second longer for that
// retransmission than the last one.
var connectTimeouts = [...]time.Duration{
	150 * time.Millisecond, 150 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
}

const (
	// tcpBacklog bounds the accepted connections that wait for their hello exchange.
	tcpBacklog = 64
)

// tcpEndpoint implements endpoint with TLS over TCP.
type tcpEndpoint struct {
	node     *Node
	listener net.Listener
	local    netip.AddrPort // that peers dial
	accepted chan *mux
	wg       sync.WaitGroup

	mu     sync.Mutex
	open   map[*mux]struct{}
	closed bool
}

func newTCPEndpoint(n *Node, at netip.AddrPort) (*tcpEndpoint, error) {
	listenAt := at
	if n.opts.ListenAddress != "" {
		var err error
		if listenAt, err = parseAddress(n.opts.ListenAddress); err != nil {
			return nil, err
		}
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listenAt))
	if err != nil {
		return nil, err
	}
	if at.Port() == 0 || listenAt == at {
		at = addrPort(l.Addr())
	}
	e := &tcpEndpoint{node: n, listener: l, local: at, accepted: make(chan *mux, tcpBacklog), open: make(map[*mux]struct{})}
	e.wg.Add(1)
	go e.acceptLoop()
	return e, nil
}

func (e *tcpEndpoint) acceptLoop() {
	defer e.wg.Done()
	for {
		nc, err := e.listener.Accept()
		if err != nil {
			if e.node.ctx.Err() != nil || e.isClosed() {
				return
			}
			e.node.log.Warn("peer connection not accepted", "cause", err.Error())
			time.Sleep(minBackoff) // for example no file descriptor is free
			continue
		}
		// Before the goroutine starts, as thousands may be accepted until it runs.
		leave := e.admit(nc)
		if leave == nil {
			_ = nc.Close()
			continue
		}
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			defer leave()
			e.handshake(nc)
		}()
	}
}

// admit returns the function that ends the handshake of a connection, or nil if there is no place.
func (e *tcpEndpoint) admit(nc net.Conn) (leave func()) {
	if c := e.node.opts.Handshakes; c != nil {
		return c.Add(nc, nil)
	}
	return func() {}
}

func (e *tcpEndpoint) handshake(nc net.Conn) {
	ctx, cancel := context.WithTimeout(e.node.ctx, handshakeTimeout)
	defer cancel()
	nc = e.wrapBlockable(nc, addrPort(nc.RemoteAddr()))
	tc := tls.Server(nc, serverConfig(e.node.opts.TLS))
	if err := tc.HandshakeContext(ctx); err != nil {
		e.node.log.Warn("peer handshake failed", "address", nc.RemoteAddr().String(), "cause", err.Error())
		_ = nc.Close()
		return
	}
	m := e.newConn(tc, nc, false)
	if m == nil {
		return
	}
	select {
	case e.accepted <- m:
	case <-ctx.Done():
		_ = m.CloseWithError(codeClosing, "the node does not accept links")
	}
}

// newConn starts the multiplexing of a connection. It returns nil if the endpoint is
// closed.
func (e *tcpEndpoint) newConn(tc *tls.Conn, raw net.Conn, dialed bool) *mux {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		_ = raw.Close()
		return nil
	}
	m := newMux(tc, raw, firstCert(tc.ConnectionState().PeerCertificates), dialed, e.node.opts.IdleTimeout/2)
	e.open[m] = struct{}{}
	context.AfterFunc(m.ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.open, m)
	})
	return m
}

func (e *tcpEndpoint) isClosed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

func (e *tcpEndpoint) accept(ctx context.Context) (transportConn, error) {
	select {
	case m := <-e.accepted:
		return m, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (e *tcpEndpoint) dial(ctx context.Context, to netip.AddrPort) (transportConn, error) {
	// Dials from the node's own IP address, by which peers know it.
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IP(e.address().Addr().AsSlice())}}
	nc, err := dialWithRetry(ctx, &d, to.String())
	if err != nil {
		return nil, err
	}
	nc = e.wrapBlockable(nc, to)
	tc := tls.Client(nc, clientConfig(e.node.opts.TLS.Identity(), to.Addr().String()))
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = nc.Close()
		return nil, err
	}
	if m := e.newConn(tc, nc, true); m != nil {
		return m, nil
	}
	return nil, errNodeClosed
}

// dialWithRetry makes the connection attempts of one dial. An attempt is repeated only
// if it timed out: a refused connection means that no process listens.
func dialWithRetry(ctx context.Context, d *net.Dialer, to string) (nc net.Conn, err error) {
	for _, d.Timeout = range connectTimeouts {
		nc, err = d.DialContext(ctx, "tcp", to)
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return nc, err
		}
	}
	return nil, err
}

func (e *tcpEndpoint) address() netip.AddrPort { return e.local }

func (e *tcpEndpoint) announcedPort() uint16 { return e.address().Port() }

func (e *tcpEndpoint) close() error {
	e.mu.Lock()
	e.closed = true
	open := make([]*mux, 0, len(e.open))
	for m := range e.open {
		open = append(open, m)
	}
	e.mu.Unlock()
	err := e.listener.Close()
	for _, m := range open {
		_ = m.CloseWithError(codeClosing, "the node is closed")
		m.wg.Wait()
	}
	e.wg.Wait()
	return err
}

// wrapBlockable wraps a connection so that Node.Block applies to it.
func (e *tcpEndpoint) wrapBlockable(nc net.Conn, peer netip.AddrPort) net.Conn {
	return &blockableConn{Conn: nc, blocklist: &e.node.blocklist, peer: peer, closed: make(chan struct{})}
}

// blockedPollInterval is how often a blocked read or write checks whether the block has ended.
const blockedPollInterval = 5 * time.Millisecond

// blockableConn neither sends nor receives while its peer is blocked. Without fault
// injection, the check costs one atomic load.
type blockableConn struct {
	net.Conn
	blocklist     *blocklist
	peer          netip.AddrPort
	closed        chan struct{}
	once          sync.Once
	writeDeadline atomic.Int64 // Unix nanoseconds, 0 for none
}

// Write waits while the peer is blocked, as a write with a full send window does.
func (c *blockableConn) Write(b []byte) (int, error) {
	for c.blocklist.contains(c.peer) {
		if deadline := c.writeDeadline.Load(); deadline > 0 && time.Now().UnixNano() > deadline {
			return 0, os.ErrDeadlineExceeded
		}
		if err := c.pause(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Read returns data that arrives while the peer is blocked once it is not blocked any more, as
// TCP delivers it after a partition.
func (c *blockableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, err
	}
	for c.blocklist.contains(c.peer) {
		if err := c.pause(); err != nil {
			return 0, err
		}
	}
	return n, nil
}

// pause waits for blockedPollInterval, and fails once the connection is closed.
func (c *blockableConn) pause() error {
	select {
	case <-c.closed:
		return net.ErrClosed
	case <-time.After(blockedPollInterval):
		return nil
	}
}

// SetWriteDeadline implements net.Conn.
func (c *blockableConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(t.UnixNano())
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *blockableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
