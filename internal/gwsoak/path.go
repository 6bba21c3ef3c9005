package gwsoak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// path is one direction between two addresses. It holds or delays what is sent on it.
type path struct {
	mu   sync.Mutex
	held bool
	// silent means that the packets of the senders are dropped while the path is held.
	silent bool
	// gone means that a release has no effect, as one end is silent for good.
	gone  bool
	freed chan struct{} // closed when held ends
	delay time.Duration
	// distance and rate are those of the link, without a fault. A rate of 0 is not limited.
	distance time.Duration
	rate     int                       // bytes per second
	sent     time.Time                 // when the link has sent all that has arrived
	conns    map[*net.TCPConn]struct{} // receiving ends at the proxy
	// listener accepts connections of this path only, if it is not nil.
	listener *net.TCPListener
	bytes    atomic.Int64
}

func newPath() *path { return &path{conns: make(map[*net.TCPConn]struct{})} }

// hold holds all bytes until release, without a reset. If silent is set, the kernels of the
// senders get no acknowledgement of what they send meanwhile, as with a cut; otherwise they
// do, as with a proxy or a server that has received the bytes and does not go on.
func (p *path) hold(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held {
		return
	}
	p.held, p.silent, p.freed = true, silent, make(chan struct{})
	p.setDrop(silent)
}

// silence drops for good what arrives on the open connections; new ones work.
func (p *path) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		setDrop(c, true)
		delete(p.conns, c) // so that a release does not apply to it
	}
}

// release delivers the held bytes, except those whose sender has reset its connection.
func (p *path) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.held || p.gone {
		return
	}
	p.held, p.silent = false, false
	close(p.freed)
	p.setDrop(false)
}

// bury holds the path for good.
func (p *path) bury() {
	p.hold(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = true
}

// end releases the path even if it was held for good.
func (p *path) end() {
	p.mu.Lock()
	p.gone = false
	p.mu.Unlock()
	p.release()
}

// setDrop applies to all connections of the path; p.mu is held.
func (p *path) setDrop(drop bool) {
	if p.listener != nil {
		setDrop(p.listener, drop)
	}
	for c := range p.conns {
		setDrop(c, drop)
	}
}

// listen makes l the listener that accepts the connections of this path only.
func (p *path) listen(l *net.TCPListener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = l
}

func (p *path) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

func (p *path) isHeld() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// await waits until the path is not held. It returns false if done is closed before.
func (p *path) await(done <-chan struct{}) bool {
	for {
		p.mu.Lock()
		held, freed := p.held, p.freed
		p.mu.Unlock()
		if !held {
			return true
		}
		select {
		case <-freed:
		case <-done:
			return false
		}
	}
}

func (p *path) add(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	setDrop(c, p.silent)
}

func (p *path) remove(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// reset resets the connections of the path.
func (p *path) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *path) currentDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

// due returns when n bytes that arrive now are delivered, by the delay and the rate of the link.
func (p *path) due(now time.Time, n int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = latest(p.sent, now)
	if p.rate > 0 {
		p.sent = p.sent.Add(time.Duration(n) * time.Second / time.Duration(p.rate))
	}
	return p.sent.Add(p.distance + p.delay)
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
