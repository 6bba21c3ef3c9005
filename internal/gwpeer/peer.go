package gwpeer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Dialing and its back-off.
const (
	// minBackoff and maxBackoff bound the pause between dials of a peer that is down.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// quickRetries is how many more pauses of minBackoff follow the first one before they
	// grow: a killed process is restarted within half a second.
	quickRetries = 4
	// downPeerWait is how long a dial may take until callers wait no longer for it while the
	// peer is known to be down. It suffices for handshake and hello between regions, two
	// round trips of 60 ms.
	downPeerWait = 250 * time.Millisecond

	// simultaneousDialWindow is the age below which an existing link counts as dialed at
	// the same time as a new link of the opposite direction.
	simultaneousDialWindow = 2 * time.Second

	// maxPendingDatagrams bounds the datagrams kept per peer while a dial runs.
	maxPendingDatagrams = 16
)

// peer is the dial state and the current link of one peer address.
type peer struct {
	node    *Node
	addr    netip.AddrPort
	current atomic.Pointer[link]

	mu       sync.Mutex
	dialing  chan struct{} // closed when the running dial ends; nil if none runs
	dialedAt time.Time     // start of the last dial
	failures int           // consecutive failed dials, and the loss of a link to a silent peer
	retryAt  time.Time
	lastErr  error
	pending  [][]byte // datagrams to send after the dial
}

func (n *Node) peer(addr netip.AddrPort) *peer {
	n.mu.RLock()
	p := n.peers[addr]
	n.mu.RUnlock()
	if p != nil {
		return p
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[addr]; p != nil {
		return p
	}
	p = &peer{node: n, addr: addr}
	n.peers[addr] = p
	return p
}

// link returns the current link to an address, and dials if there is none.
func (n *Node) link(ctx context.Context, address string) (*link, error) {
	addr, err := parseAddress(address)
	if err != nil {
		return nil, err
	}
	p := n.peer(addr)
	if l := p.current.Load(); l != nil && l.alive() {
		return l, nil
	}
	return p.wait(ctx)
}

// wait joins or starts a dial and returns the link when it ends.
func (p *peer) wait(ctx context.Context) (*link, error) {
	done, down, err := p.dial()
	if err != nil {
		return nil, err
	}
	if down {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.dialTimeLeft())
		defer cancel()
	}
	select {
	case <-done:
	case <-ctx.Done():
		if l := p.current.Load(); l != nil && l.alive() {
			return l, nil // the dial has ended as well
		}
		if down {
			return nil, errors.Wrap(p.lastFailure(), "the peer is down")
		}
		return nil, ctx.Err()
	}
	if l := p.current.Load(); l != nil && l.alive() {
		return l, nil
	}
	return nil, p.lastFailure()
}

// dialTimeLeft returns the rest of downPeerWait for the running dial. Callers that each waited
// for all of it spent the time in which another server could have answered.
func (p *peer) dialTimeLeft() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return downPeerWait - time.Since(p.dialedAt)
}

func (p *peer) lastFailure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastErr == nil {
		return errors.New("the link was lost")
	}
	return p.lastErr
}

// dial starts a dial if none runs, and returns a channel that is closed when it ends.
// During the back-off it returns an error instead. down is true if the last dial
// failed.
func (p *peer) dial() (done <-chan struct{}, down bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.current.Load(); l != nil && !l.alive() {
		p.dropLost(l)
	}
	down = p.failures > 0
	if p.dialing != nil {
		return p.dialing, down, nil
	}
	if down && time.Now().Before(p.retryAt) {
		return nil, true, errors.Wrap(p.lastErr, "the peer is down")
	}
	ch := make(chan struct{})
	if l := p.current.Load(); l != nil && l.alive() { // connected in the meantime
		close(ch)
		return ch, false, nil
	}
	started := p.node.goUnlessClosed(func() { p.runDial(ch) })
	if !started {
		return nil, down, errNodeClosed
	}
	p.dialing, p.dialedAt = ch, time.Now()
	return ch, down, nil
}

// runDial dials once, registers the link or the failure, and closes done.
func (p *peer) runDial(done chan struct{}) {
	l, err := p.dialLink()
	if err == nil {
		p.register(l)
		l.run()
	} else {
		p.dialFailed(err)
	}
	p.mu.Lock()
	p.dialing = nil
	p.mu.Unlock()
	close(done)
}

func (p *peer) dialLink() (*link, error) {
	n := p.node
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	conn, err := n.endpoint.dial(ctx, p.addr)
	if err != nil {
		return nil, err
	}
	h, err := n.exchangeHello(ctx, conn)
	if err != nil {
		_ = conn.CloseWithError(codeProtocol, err.Error())
		return nil, err
	}
	return n.newLink(conn, p.addr, h, true), nil
}

func (p *peer) dialFailed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.current.Load(); l != nil && l.alive() {
		return // the peer dialed this node in the meantime
	}
	p.lastErr = err
	p.retryAt = time.Now().Add(min(minBackoff<<min(max(0, p.failures-quickRetries), 10), maxBackoff))
	p.failures++
	p.pending = nil
	p.node.log.Warn("peer dial failed", "address", p.addr.String(), "failures", p.failures, "cause", err.Error())
}

// ExpectUp ends the back-off of an address whose peer is said to have returned, so that its next
// use dials at once.
func (n *Node) ExpectUp(address string) {
	addr, err := parseAddress(address)
	if err != nil {
		return
	}
	n.mu.RLock()
	p := n.peers[addr]
	n.mu.RUnlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures, p.retryAt = 0, time.Time{}
}

// register makes a new link current unless the existing one is preferred.
//
// If both instances dial at the same time, both keep the link that the instance with
// the smaller name dialed. A link of a restarted process replaces that of its
// predecessor at once.
func (p *peer) register(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures, p.lastErr = 0, nil
	old := p.current.Load()
	switch {
	case old == nil || !old.alive():
		p.current.Store(l)
	case old.epoch != l.epoch:
		p.current.Store(l)
		old.close(codeSuperseded, "the process was restarted")
	case old.dialed == l.dialed || time.Since(old.started) > simultaneousDialWindow || l.preferred():
		p.current.Store(l)
		old.retire()
	default:
		l.retire()
	}
	for _, d := range p.pending {
		_ = l.queueDatagram(d) // best effort
	}
	p.pending = nil
}

// preferred reports whether the instance with the smaller name dialed l.
func (l *link) preferred() bool { return l.dialed == (l.node.opts.Instance < l.instance) }

// linkLost records the end of a link.
func (p *peer) linkLost(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLost(l)
}

// dropLost drops a link that has ended. A peer that left a ping unanswered is probably down.
// p.mu is held.
func (p *peer) dropLost(l *link) {
	if p.current.CompareAndSwap(l, nil) && errors.Is(context.Cause(l.conn.Context()), errPeerUnresponsive) {
		p.failures, p.lastErr = max(1, p.failures), errPeerUnresponsive
	}
}
