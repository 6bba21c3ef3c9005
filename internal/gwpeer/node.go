package gwpeer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// alpn is the TLS application protocol of the links; versions of the messages
// on them are negotiated in the hello.
const alpn = "gentianward"

// Times and bounds of links.
const (
	defaultIdleTimeout = 5 * time.Second
	handshakeTimeout   = 2 * time.Second
	dialTimeout        = 3 * time.Second // handshake and hello
	maintenancePeriod  = time.Second
	unusedTimeout      = 10 * time.Minute // after which the dialer closes an unused link

	// maxStreams bounds the streams that one peer may keep open on a link; a
	// sender that reaches the bound waits.
	maxStreams = 8192

	// A stream starts with a window that holds a large response, so that short
	// streams never wait for credit. The connection's window is above the
	// product of bandwidth and delay of any path in use: 30 Mbit/s over 60 ms
	// is 225 kB.
	streamWindow        = 512 << 10
	maxStreamWindow     = 8 << 20
	connectionWindow    = 4 << 20
	maxConnectionWindow = 32 << 20
)

// Options configures a node.
type Options struct {
	Address     string    // "ip:port" to listen on; port 0 selects a free port
	TLS         TLSSource // own certificate and trusted CAs
	Instance    string    // own name, equal to the name in the certificate
	Logger      *slog.Logger
	Shaper      Shaper        // delays and limits, nil for none
	IdleTimeout time.Duration // a silent link is lost after this time; default 5 s
	// FixedPacketSize leaves out the search for the largest packet size, whose
	// probes of 1,400 bytes are most of what an idle link carries.
	FixedPacketSize bool
	// Transport is that of all nodes; Shape and FixedPacketSize are for QUIC only.
	Transport Transport

	versions versionRange // the package's range when zero
}

// Node is the endpoint of one instance's links.
type Node struct {
	opts     Options
	log      *slog.Logger
	epoch    uint64 // random, tells a restarted process from its predecessor
	endpoint endpoint
	block    blocklist

	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	mu       sync.RWMutex
	peers    map[netip.AddrPort]*peer
	links    map[*link]struct{}
	handlers handlers
	pools    []*StreamPool
	closed   bool

	callPools  sync.Map // of *StreamPool by kind ID
	callPoolMu sync.Mutex
}

var errClosed = errors.New("the node is closed")

// Listen opens the node's socket and accepts links until ctx ends or Close is
// called. Handlers registered later serve later requests.
func Listen(ctx context.Context, o Options) (*Node, error) {
	ap, err := parseAddress(o.Address)
	if err != nil {
		return nil, newError("listen", KindInvalid, o.Address, err)
	}
	if err := o.check(); err != nil {
		return nil, newError("listen", KindKeys, o.Address, err)
	}
	n := newNode(ctx, o)
	if err := n.start(ap); err != nil {
		n.cancel(err)
		return nil, newError("listen", KindInvalid, o.Address, err)
	}
	return n, nil
}

func (o *Options) check() error {
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

// Address returns the "ip:port" that the node listens on.
func (n *Node) Address() string { return n.endpoint.address().String() }

// Block drops everything to and from an "ip:port" while blocked is true, as a network
// partition would; sockets and links stay open. Of TCP links, only those that this
// node dialed are known by the peer's address.
func (n *Node) Block(address string, blocked bool) {
	if ap, err := parseAddress(address); err == nil {
		n.block.block(ap, blocked)
	}
}

// Close ends all links, cancels the handlers' contexts and waits for them.
func (n *Node) Close() error {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel(errClosed)
	for _, l := range n.linkList() {
		l.close(codeClosing, "the node is closed")
	}
	err := n.endpoint.close()
	n.wg.Wait()
	return err
}

// linkList copies the set of links.
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

// goIfOpen runs f in a goroutine that Close waits for.
func (n *Node) goIfOpen(f func()) bool {
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
		qc, err := n.endpoint.accept(n.ctx)
		if err != nil {
			return
		}
		ok := n.goIfOpen(func() { n.acceptLink(qc) })
		if !ok {
			_ = qc.CloseWithError(codeClosing, "the node is closed")
		}
	}
}

// maintain closes links that are no longer trusted, superseded or unused.
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
		return netip.AddrPort{}, errors.Newf("address %q is not of the form ip:port", address)
	}
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()), nil
}
