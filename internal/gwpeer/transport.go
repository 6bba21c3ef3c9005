package gwpeer

import (
	"context"
	"crypto/x509"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Transport selects the protocol under the links of a node. All nodes of a deployment
// use the same one.
type Transport int

// Transports.
const (
	// QUIC recovers from packet loss per stream, without head-of-line blocking.
	QUIC Transport = iota
	// TCP multiplexes the streams of a link over one TCP connection. Setting up a link
	// takes a third of the bytes that QUIC needs, and a saturated link delays data
	// instead of dropping it, but a lost packet delays all streams of its link.
	TCP
)

// transportConn is the connection under a link: a QUIC connection or a multiplexed
// TCP connection.
type transportConn interface {
	// Context ends with the connection; its cause is the reason.
	Context() context.Context
	OpenStream(ctx context.Context) (byteStream, error)
	AcceptStream(ctx context.Context) (byteStream, error)
	SendDatagram(b []byte) error
	ReceiveDatagram(ctx context.Context) ([]byte, error)
	CloseWithError(code quic.ApplicationErrorCode, reason string) error
	RemoteAddr() net.Addr
	// Certificate returns the peer's certificate, nil if it presented none.
	Certificate() *x509.Certificate
	Stats() connStats
}

type connStats struct {
	roundTrip      time.Duration
	sent, received uint64 // bytes
}

// byteStream is one stream of a transportConn. Error codes and error types are those
// of QUIC.
type byteStream interface {
	io.Reader
	io.Writer
	// Close ends the write side after the data written so far.
	Close() error
	CancelRead(code quic.StreamErrorCode)
	CancelWrite(code quic.StreamErrorCode)
	// Context ends with the write side.
	Context() context.Context
	SetPriority(p Priority)
	SetDeadline(t time.Time) error
	// GrowWindow lets the peer send up to size bytes that have not been read here, if it may
	// send fewer.
	GrowWindow(size int)
}

// quicConn implements transportConn on a QUIC connection.
type quicConn struct{ *quic.Conn }

func (c quicConn) OpenStream(ctx context.Context) (byteStream, error) {
	qs, err := c.Conn.OpenStream()
	var full *quic.StreamLimitReachedError
	if err != nil && errors.As(err, &full) {
		qs, err = c.OpenStreamSync(ctx)
	}
	if err != nil {
		return nil, err
	}
	return quicStream{qs}, nil
}

func (c quicConn) AcceptStream(ctx context.Context) (byteStream, error) {
	qs, err := c.Conn.AcceptStream(ctx)
	if err != nil {
		return nil, err
	}
	return quicStream{qs}, nil
}

func (c quicConn) Certificate() *x509.Certificate {
	return firstCert(c.ConnectionState().TLS.PeerCertificates)
}

func (c quicConn) Stats() connStats {
	s := c.ConnectionStats()
	return connStats{roundTrip: s.SmoothedRTT, sent: s.BytesSent, received: s.BytesReceived}
}

func firstCert(certs []*x509.Certificate) *x509.Certificate {
	if len(certs) == 0 {
		return nil
	}
	return certs[0]
}

type quicStream struct{ *quic.Stream }

func (s quicStream) SetPriority(p Priority) {
	if p != PriorityNormal {
		s.Stream.SetPriority(p.urgency(), true)
	}
}

// GrowWindow implements byteStream. It has nothing to do, as QUIC grows the window of a stream
// that is read as fast as it is filled, up to maxStreamWindow.
func (s quicStream) GrowWindow(int) {}

// endpoint accepts and dials the connections of a node.
type endpoint interface {
	accept(ctx context.Context) (transportConn, error)
	dial(ctx context.Context, to netip.AddrPort) (transportConn, error)
	// address returns the address that peers dial.
	address() netip.AddrPort
	// announcedPort returns the port of address if dialed connections come from other
	// ports, else 0.
	announcedPort() uint16
	// close stops listening and closes all connections.
	close() error
}

// quicEndpoint implements endpoint with QUIC. It listens and dials on one UDP socket, so
// that a peer knows the address to dial from an accepted connection, and one connection
// per pair of instances serves both directions.
type quicEndpoint struct {
	node      *Node
	conn      net.PacketConn
	local     netip.AddrPort
	transport *quic.Transport
	listener  *quic.Listener
}

func newQUICEndpoint(n *Node, at netip.AddrPort) (*quicEndpoint, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	e := &quicEndpoint{node: n, local: addrPort(udp.LocalAddr())}
	if n.opts.Shaper != nil {
		e.conn = newShapedConn(udp, &n.blocklist, n.opts.Shaper)
	} else {
		e.conn = newDirectConn(udp, &n.blocklist)
	}
	if err := e.listen(); err != nil {
		_ = e.conn.Close()
		return nil, err
	}
	return e, nil
}

func (e *quicEndpoint) listen() error {
	key, err := e.node.opts.TLS.Identity().resetKey()
	if err != nil {
		return err
	}
	e.transport = &quic.Transport{Conn: e.conn, StatelessResetKey: key, ConnectionIDLength: 8}
	e.listener, err = e.transport.Listen(serverConfig(e.node.opts.TLS), e.node.quicConfig())
	return err
}

func (e *quicEndpoint) accept(ctx context.Context) (transportConn, error) {
	qc, err := e.listener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	return quicConn{qc}, nil
}

func (e *quicEndpoint) dial(ctx context.Context, to netip.AddrPort) (transportConn, error) {
	tlsConf := clientConfig(e.node.opts.TLS.Identity(), to.Addr().String())
	qc, err := e.transport.Dial(ctx, net.UDPAddrFromAddrPort(to), tlsConf, e.node.quicConfig())
	if err != nil {
		return nil, err
	}
	return quicConn{qc}, nil
}

func (e *quicEndpoint) announcedPort() uint16 { return 0 }

func (e *quicEndpoint) address() netip.AddrPort { return e.local }

func (e *quicEndpoint) close() error {
	err := e.transport.Close()
	_ = e.conn.Close()
	return err
}
