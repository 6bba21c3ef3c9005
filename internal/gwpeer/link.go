package gwpeer

import (
	"bufio"
	"context"
	"crypto/x509"
	"fmt"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Error codes with which a connection is closed.
const (
	codeClosing      quic.ApplicationErrorCode = 0
	codeVersion      quic.ApplicationErrorCode = 1
	codeNameMismatch quic.ApplicationErrorCode = 2
	codeProtocol     quic.ApplicationErrorCode = 3
	codeUntrusted    quic.ApplicationErrorCode = 4
	codeSuperseded   quic.ApplicationErrorCode = 5
	codeUnused       quic.ApplicationErrorCode = 6
	codeDisconnected quic.ApplicationErrorCode = 7
)

// Error codes with which a stream is reset.
const (
	codeDone     quic.StreamErrorCode = 0 // the reader needs no more data
	codeCanceled quic.StreamErrorCode = 1
	codeRefused  quic.StreamErrorCode = 2 // the handler was not called
)

// retiredGrace is how long a superseded link stays open after its last use, so that a
// peer that still prefers it learns of the newer link.
const retiredGrace = 5 * time.Second

// link is a connection to a peer after the hello exchange.
type link struct {
	node     *Node
	conn     transportConn
	remote   netip.AddrPort
	instance string
	epoch    uint64 // identifies the peer's process
	version  uint16
	dialed   bool // by this node
	started  time.Time
	cert     *x509.Certificate
	operator bool // the peer is an operator

	datagrams chan []byte // waiting to be sent

	ctx      context.Context
	cancel   context.CancelFunc
	streams  atomic.Int64 // open streams
	lastUsed atomic.Int64 // Unix nanoseconds
	retired  atomic.Int64 // Unix nanoseconds when the link was superseded, 0 before
}

func (n *Node) newLink(c transportConn, remote netip.AddrPort, h hello, dialed bool) *link {
	l := &link{
		node:      n,
		conn:      c,
		remote:    remote,
		instance:  h.Instance,
		epoch:     h.Epoch,
		version:   h.Version,
		dialed:    dialed,
		started:   time.Now(),
		datagrams: make(chan []byte, maxQueuedDatagrams),
		cert:      c.Certificate(),
	}
	l.operator = isOperator(l.cert)
	l.ctx, l.cancel = context.WithCancel(c.Context())
	l.markUsed()
	return l
}

func (l *link) alive() bool { return l.conn.Context().Err() == nil }

func (l *link) markUsed() { l.lastUsed.Store(time.Now().UnixNano()) }

func (l *link) close(code quic.ApplicationErrorCode, reason string) {
	_ = l.conn.CloseWithError(code, reason)
	l.cancel()
}

// run serves the peer's streams and datagrams until the link ends.
func (l *link) run() {
	n := l.node
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		l.close(codeClosing, "the node is closed")
		return
	}
	n.links[l] = struct{}{}
	n.wg.Add(3)
	n.mu.Unlock()
	n.log.Info("peer link up", "peer", l.instance, "address", l.remote.String(), "dialed", l.dialed)
	go func() {
		defer n.wg.Done()
		l.receiveDatagrams()
	}()
	go func() {
		defer n.wg.Done()
		l.sendDatagrams()
	}()
	go func() {
		defer n.wg.Done()
		l.acceptStreams()
		l.cleanUp()
	}()
}

func (l *link) cleanUp() {
	n := l.node
	l.cancel()
	cause := context.Cause(l.conn.Context())
	n.log.Info("peer link down", "peer", l.instance, "address", l.remote.String(), "cause", errString(cause))
	n.mu.Lock()
	delete(n.links, l)
	p := n.peers[l.remote]
	n.mu.Unlock()
	if p != nil {
		p.linkLost(l)
	}
}

func (l *link) acceptStreams() {
	for {
		bs, err := l.conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		l.streams.Add(1)
		ok := l.node.goUnlessClosed(func() {
			defer l.streams.Add(-1)
			l.serve(bs)
		})
		if !ok {
			l.streams.Add(-1)
			refuse(bs)
		}
	}
}

// serve reads the header of an accepted stream and runs the handler of its kind.
func (l *link) serve(bs byteStream) {
	defer l.recoverPanic("stream")
	l.markUsed()
	r := getReader(bs)
	h, err := readStreamHeader(r)
	if err != nil || h.typ == streamHello {
		putReader(r)
		refuse(bs)
		return
	}
	l.streams.Add(1) // subtracted by Stream.release
	s := &Stream{link: l, bs: bs, address: l.remote.String(), kind: h.kind, r: r}
	ctx, cancel := l.handlerContext(bs)
	defer cancel()
	defer s.finish(ctx)
	if h.typ == streamCall {
		l.serveCalls(ctx, s, h.kind)
		return
	}
	fn, ok := find(&l.node.handlers, l.node.handlers.streams, h.kind)
	if !ok || l.authorize(h.kind) != nil {
		s.reset(codeRefused)
		return
	}
	fn(ctx, l.instance, s)
}

// recoverPanic ends only the stream or datagram whose handler panicked, not the process.
func (l *link) recoverPanic(what string) {
	if cause := recover(); cause != nil {
		l.node.log.Error("handler of a peer's message ended by a panic", "peer", l.instance, "message", what, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	}
}

// handlerContext returns a context that ends with the link or when the peer cancels
// the stream.
func (l *link) handlerContext(bs byteStream) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(l.ctx)
	stop := context.AfterFunc(bs.Context(), func() {
		if cause := context.Cause(bs.Context()); !errors.Is(cause, quic.ErrStreamClosed) && !errors.Is(cause, errStreamClosed) {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// maintain closes the link if the peer's certificate is no longer trusted. The dialer
// also closes a link without streams that has been unused for unusedTimeout, or
// superseded and unused for retiredGrace.
func (l *link) maintain(now time.Time, id *Identity, rotated bool) {
	if (rotated || now.After(l.cert.NotAfter)) && !id.trusts(l.cert) {
		l.close(codeUntrusted, "the certificate is no longer trusted")
		return
	}
	if !l.dialed || l.streams.Load() > 0 {
		return
	}
	idle := now.Sub(time.Unix(0, l.lastUsed.Load()))
	if at := l.retired.Load(); at > 0 && now.Sub(time.Unix(0, at)) > retiredGrace && idle > retiredGrace {
		l.close(codeSuperseded, "superseded by a newer connection")
		return
	}
	if idle > unusedTimeout {
		l.close(codeUnused, "unused")
	}
}

func (l *link) retire() { l.retired.CompareAndSwap(0, time.Now().UnixNano()) }

// openStream opens a stream without sending anything on it.
func (l *link) openStream(ctx context.Context, kind Kind) (byteStream, error) {
	bs, err := l.conn.OpenStream(ctx)
	if err != nil {
		return nil, err
	}
	bs.SetPriority(kind.Priority)
	l.streams.Add(1)
	l.markUsed()
	return bs, nil
}

func refuse(bs byteStream) {
	bs.CancelRead(codeRefused)
	bs.CancelWrite(codeRefused)
}

func getReader(bs byteStream) *bufio.Reader {
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(bs)
	return r
}

func putReader(r *bufio.Reader) {
	r.Reset(nil)
	readerPool.Put(r)
}

func errString(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
