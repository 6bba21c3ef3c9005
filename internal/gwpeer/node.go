package gwpeer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"gentianward.example/gentianward/internal/gwbudget"
)

// alpn is the TLS application protocol (ALPN) of all links. The protocol version is
// negotiated in the hello exchange.
const alpn = "gentianward"

// Timeouts and limits of links.
const (
	defaultIdleTimeout = 5 * time.Second
	handshakeTimeout   = 2 * time.Second
	dialTimeout        = 3 * time.Second // handshake and hello exchange
	maintenancePeriod  = time.Second
	unusedTimeout      = 10 * time.Minute // without use, after which the dialer closes a link

	// maxStreams bounds the streams that a peer may keep open on a QUIC link; beyond it,
	// opening a stream waits.
	maxStreams = 8192

	// Flow control windows of QUIC in bytes. The initial window of a stream holds a
	// large response, so that short streams never wait for credit. The window of the
	// connection exceeds the bandwidth-delay product of all paths in use: 30 Mbit/s
	// over 60 ms is 225 kB.
	streamWindow        = 512 << 10
	maxStreamWindow     = 8 << 20
	connectionWindow    = 4 << 20
	maxConnectionWindow = 32 << 20
)

// Options configures a node.
type Options struct {
	Address string // "ip:port" that peers dial; port 0 selects a free port
	// ListenAddress is the "ip:port" to listen on if it is not Address, as behind address
	// translation. TCP only.
	ListenAddress string
	TLS           TLSSource // the node's certificate and trusted CAs
	Instance      string    // the node's name, equal to the name in its certificate
	Logger        *slog.Logger
	Shaper        Shaper // delays or drops sent packets; nil for none
	// IdleTimeout is after how long a silent QUIC link is closed; a TCP link is pinged
	// after half of it. The default is 5 s.
	IdleTimeout time.Duration
	// FixedPacketSize disables path MTU discovery. Its probes of 1,400 bytes are most of
	// the traffic of an idle link.
	FixedPacketSize bool
	// Transport must be the same on all nodes. Shaper and FixedPacketSize apply to QUIC
	// only.
	Transport Transport
	// Handshakes bounds the accepted TCP connections whose handshake is not complete; nil for no
	// bound.
	Handshakes *gwbudget.Connections

	versions versionRange // supportedVersions if zero
}

// Node is the endpoint of one instance's links.
type Node struct {
	opts      Options
	log       *slog.Logger
	epoch     uint64 // random, distinguishes a restarted process from its predecessor
	endpoint  endpoint
	blocklist blocklist
	traffic   trafficCounters
	// largeWindows counts the streams with a grown window.
	largeWindows atomic.Int64

	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	mu       sync.RWMutex
	peers    map[netip.AddrPort]*peer
	links    map[*link]struct{}
	handlers handlers
	pools    []*StreamPool
	closed   bool

	callPools  sync.Map // *StreamPool by kind ID
	callPoolMu sync.Mutex
}

var errNodeClosed = errors.New("the node is closed")

// Listen opens the node's socket and accepts links until ctx ends or Close is called.
// Handlers may be registered while the node runs.
func Listen(ctx context.Context, o Options) (*Node, error) {
	ap, err := parseAddress(o.Address)
	if err != nil {
		return nil, newError("listen", KindInvalid, o.Address, err)
	}
	if err := o.validate(); err != nil {
		return nil, newError("listen", KindKeys, o.Address, err)
	}
	if o.ListenAddress != "" && o.Transport != TCP {
		return nil, newError("listen", KindInvalid, o.ListenAddress, errors.New("another address to listen on needs TCP"))
	}
	n := newNode(ctx, o)
	if err := n.start(ap); err != nil {
		n.cancel(err)
		return nil, newError("listen", KindInvalid, o.Address, err)
	}
	return n, nil
}

func (o *Options) validate() error {
	if o.TLS == nil || o.TLS.Identity() == nil {
		return errors.New("no certificate")
	}
	leaf, err := o.TLS.Identity().leaf()
	if err != nil {
		return err
	}
	if name := leaf.Subject.CommonName; name != o.Instance {
		return errors.Newf("the certificate names instance %q, not %q", name, o.Instance)
	}
	return nil
}

func newNode(ctx context.Context, o Options) *Node {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.versions == (versionRange{}) {
		o.versions = supportedVersions
	}
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // never fails
	n := &Node{
		opts:     o,
		log:      o.Logger,
		epoch:    binary.BigEndian.Uint64(seed[:]),
		peers:    map[netip.AddrPort]*peer{},
		links:    map[*link]struct{}{},
		handlers: newHandlers(),
	}
	n.ctx, n.cancel = context.WithCancelCause(ctx)
	return n
}

func (n *Node) start(at netip.AddrPort) (err error) {
	if n.opts.Transport == TCP {
		n.endpoint, err = newTCPEndpoint(n, at)
	} else {
		n.endpoint, err = newQUICEndpoint(n, at)
	}
	if err != nil {
		return err
	}
	n.wg.Add(2)
	go n.accept()
	go n.maintain()
	return nil
}

func (n *Node) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 n.opts.IdleTimeout,
		KeepAlivePeriod:                n.opts.IdleTimeout / 2,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		EnableDatagrams:                true,
		DisablePathMTUDiscovery:        n.opts.FixedPacketSize,
	}
}

// Address returns the "ip:port" that peers dial.
func (n *Node) Address() string { return n.endpoint.address().String() }

// Block simulates a network partition: while blocked is true, nothing passes to or from
// the peer at an "ip:port", and sockets and links stay open. With TCP, it
// affects only links that this node dialed, as accepted ones come from other ports.
func (n *Node) Block(address string, blocked bool) {
	if ap, err := parseAddress(address); err == nil {
		n.blocklist.setBlocked(ap, blocked)
	}
}

// Close ends all links, cancels the contexts of the handlers and waits for them to
// return.
func (n *Node) Close() error {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel(errNodeClosed)
	for _, l := range n.linkList() {
		l.close(codeClosing, "the node is closed")
	}
	err := n.endpoint.close()
	n.wg.Wait()
	return err
}

// linkList returns a copy of the set of links.
func (n *Node) linkList() []*link {
	n.mu.RLock()
	defer n.mu.RUnlock()
	links := make([]*link, 0, len(n.links))
	for l := range n.links {
		links = append(links, l)
	}
	return links
}

func (n *Node) poolList() []*StreamPool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.pools[:len(n.pools):len(n.pools)]
}

// goUnlessClosed runs f in a goroutine that Close waits for. It returns false, without
// running f, if the node is closed.
func (n *Node) goUnlessClosed(f func()) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.closed {
		return false
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
	return true
}

func (n *Node) accept() {
	defer n.wg.Done()
	for {
		conn, err := n.endpoint.accept(n.ctx)
		if err != nil {
			return
		}
		ok := n.goUnlessClosed(func() { n.acceptLink(conn) })
		if !ok {
			_ = conn.CloseWithError(codeClosing, "the node is closed")
		}
	}
}

// maintain periodically closes idle streams of pools, and links that are no longer
// trusted, superseded or unused.
func (n *Node) maintain() {
	defer n.wg.Done()
	ticker := time.NewTicker(maintenancePeriod)
	defer ticker.Stop()
	checked := n.opts.TLS.Identity()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-ticker.C:
			id := n.opts.TLS.Identity()
			for _, p := range n.poolList() {
				p.sweep(now)
			}
			for _, l := range n.linkList() {
				l.maintain(now, id, id != checked)
			}
			checked = id
		}
	}
}

func parseAddress(address string) (netip.AddrPort, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.AddrPort{}, errors.Newf("address %q does not have the form ip:port", address)
	}
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()), nil
}
