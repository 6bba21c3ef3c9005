package gwpeer

import (
	"bufio"
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// versionRange is the range of protocol versions that a node supports.
type versionRange struct{ min, max uint16 }

var supportedVersions = versionRange{min: 1, max: 1}

// choose returns the highest version in both ranges, or false if they do not overlap.
func (v versionRange) choose(w versionRange) (uint16, bool) {
	lo, hi := max(v.min, w.min), min(v.max, w.max)
	return hi, lo <= hi && hi > 0
}

// hello is the first message in each direction of a connection.
type hello struct {
	MinVersion uint16 `cbor:"1,keyasint"`
	MaxVersion uint16 `cbor:"2,keyasint"`
	Version    uint16 `cbor:"3,keyasint,omitempty"` // chosen by the acceptor
	Instance   string `cbor:"4,keyasint"`
	Epoch      uint64 `cbor:"5,keyasint"`
	// Port is the port that the sender listens on if it dials from other ports, else 0.
	Port uint16 `cbor:"6,keyasint,omitempty"`
}

const (
	maxHelloBytes  = 1024
	readerBytes    = 4096
	helloFrameKind = 1
)

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }}

func (n *Node) hello() hello {
	return hello{
		MinVersion: n.opts.versions.min,
		MaxVersion: n.opts.versions.max,
		Instance:   n.opts.Instance,
		Epoch:      n.epoch,
		Port:       n.endpoint.announcedPort(),
	}
}

// exchangeHello is the dialer's side of the hello exchange.
func (n *Node) exchangeHello(ctx context.Context, c transportConn) (hello, error) {
	bs, err := c.OpenStream(ctx)
	if err != nil {
		return hello{}, err
	}
	deadline, _ := ctx.Deadline()
	_ = bs.SetDeadline(deadline)
	if err := writeHello(bs, n.hello()); err != nil {
		return hello{}, err
	}
	h, err := readHello(bs)
	if err != nil {
		return hello{}, err
	}
	if h.Version < n.opts.versions.min || h.Version > n.opts.versions.max {
		return hello{}, errors.Newf("the peer chose version %d outside %d to %d", h.Version, n.opts.versions.min, n.opts.versions.max)
	}
	return h, checkName(c, h.Instance)
}

// acceptLink is the acceptor's side of the hello exchange; it runs the accepted link.
func (n *Node) acceptLink(c transportConn) {
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	h, code, err := n.answerHello(ctx, c)
	if err != nil {
		n.log.Warn("peer link refused", "address", c.RemoteAddr().String(), "instance", h.Instance, "cause", err.Error())
		_ = c.CloseWithError(code, err.Error())
		return
	}
	remote := addrPort(c.RemoteAddr())
	if h.Port != 0 {
		remote = netip.AddrPortFrom(remote.Addr(), h.Port)
	}
	l := n.newLink(c, remote, h, false)
	if h.Epoch != n.epoch { // equal if the node dialed itself
		n.peer(l.remote).register(l)
	}
	l.run()
}

func (n *Node) answerHello(ctx context.Context, c transportConn) (hello, quic.ApplicationErrorCode, error) {
	bs, err := c.AcceptStream(ctx)
	if err != nil {
		return hello{}, codeProtocol, err
	}
	_ = bs.SetDeadline(time.Now().Add(handshakeTimeout))
	h, err := readHello(bs)
	if err != nil {
		return hello{}, codeProtocol, err
	}
	if err := checkName(c, h.Instance); err != nil {
		return h, codeNameMismatch, err
	}
	peerRange := versionRange{min: h.MinVersion, max: h.MaxVersion}
	version, ok := n.opts.versions.choose(peerRange)
	if !ok {
		return h, codeVersion, errors.Newf("no common version: own %d to %d, peer %d to %d",
			n.opts.versions.min, n.opts.versions.max, peerRange.min, peerRange.max)
	}
	answer := n.hello()
	answer.Version = version
	h.Version = version
	return h, codeProtocol, writeHello(bs, answer)
}

func writeHello(bs byteStream, h hello) error {
	payload, err := Marshal(h)
	if err != nil {
		return err
	}
	b := streamHeader{typ: streamHello}.encode()
	if _, err := bs.Write(appendFrame(b, helloFrameKind, 0, payload)); err != nil {
		return err
	}
	return bs.Close()
}

func readHello(r io.Reader) (hello, error) {
	br := bufio.NewReaderSize(r, maxHelloBytes)
	head, err := readStreamHeader(br)
	if err != nil {
		return hello{}, err
	}
	if head.typ != streamHello {
		return hello{}, errors.Newf("the first stream is of type %d, not a hello", head.typ)
	}
	_, payload, err := readFrame(br, nil, maxHelloBytes)
	if err != nil {
		return hello{}, err
	}
	var h hello
	err = Unmarshal(payload, &h)
	return h, err
}

// checkName checks that a claimed instance name equals that in the peer's certificate.
func checkName(c transportConn, name string) error {
	cert := c.Certificate()
	if cert == nil {
		return errors.New("the peer has no certificate")
	}
	if cn := cert.Subject.CommonName; cn != name || name == "" {
		return errors.Newf("the peer claims instance %q but its certificate names %q", name, cn)
	}
	return nil
}
