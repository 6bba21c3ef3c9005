package gwbudget

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of clients that hold bytes which others wait for. Links of clients have 2 Mbit/s, 256 KiB
// per second, which many connections may share. Without others that wait, they are not applied.
const (
	// stallTime is how long a client may send or read nothing.
	stallTime = 5 * time.Second
	// minClientRate is the least average rate in bytes per second after stallTime.
	minClientRate = 8 << 10
	// slowCheckInterval is how often a waiter looks for clients beyond these limits, and after
	// which the first may exceed the limit of its pool.
	slowCheckInterval = 500 * time.Millisecond
)

// Pool is a number of bytes that holds take parts of. When it is full, holds wait in the order in
// which they began to take bytes. After a while, the first of them may exceed the limit until it is
// released: otherwise holds with a part each could wait for each other.
type Pool struct {
	name  string
	limit int64
	// hostLimit bounds the bytes of one host, so that others find room.
	hostLimit int64
	onClose   func(pool, host string, held int64)

	mu      sync.Mutex
	used    int64
	byHost  map[string]int64
	holds   list.List // of *Hold that have or wait for bytes, in order of their first bytes
	waiters int
	// over is the hold that may exceed the limit; nil if none does.
	over *Hold

	waits, refused, closed atomic.Int64
}

func newPool(name string, limit int64, onClose func(pool, host string, held int64)) *Pool {
	return &Pool{name: name, limit: limit, hostLimit: limit / 2, onClose: onClose, byHost: make(map[string]int64)}
}

// Hold is what one connection has of a pool. Its methods are safe for concurrent use, and a hold
// can be used again after Release.
type Hold struct {
	pool *Pool
	host string
	// end closes the client's connection; nil if it is not one of a client.
	end func()

	// The following fields are guarded by pool.mu.
	element *list.Element // nil while the hold has no bytes and waits for none
	held    int64
	want    int64
	granted chan struct{}
	// awaitedSince is when a wait for the client began, zero outside of one. awaited is the sum
	// of earlier waits and moved the number of bytes that the client has sent or read.
	awaitedSince time.Time
	awaited      time.Duration
	moved        int64
	ended        bool
}

// Open returns an empty hold. host is the client's address and may be empty; end closes the
// client's connection and may be nil.
func (p *Pool) Open(host string, end func()) *Hold {
	if p == nil {
		return nil
	}
	return &Hold{pool: p, host: host, end: end}
}

// Used returns the number of bytes that are taken.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Acquire takes n more bytes. While there is no room, it waits until ctx ends, and then returns
// false.
func (h *Hold) Acquire(ctx context.Context, n int64) bool {
	if h == nil || n <= 0 {
		return true
	}
	p := h.pool
	granted := p.request(h, n)
	if granted == nil {
		return true
	}
	p.waits.Add(1)
	t := time.NewTicker(slowCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-granted:
			return true
		case <-t.C:
			p.closeSlow()
			p.letFirstExceed()
		case <-ctx.Done():
			return p.withdraw(h, granted)
		}
	}
}

// request grants n bytes at once and returns nil, or a channel that is closed when they are
// granted.
func (p *Pool) request(h *Hold, n int64) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.enlist(h)
	if p.waiters == 0 && p.fits(h, n) {
		p.take(h, n)
		return nil
	}
	h.want, h.granted = n, make(chan struct{})
	p.waiters++
	granted := h.granted
	p.dispatch()
	select {
	case <-granted:
		return nil
	default:
		return granted
	}
}

// withdraw ends a wait and reports whether the bytes were granted before.
func (p *Pool) withdraw(h *Hold, granted <-chan struct{}) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-granted:
		return true
	default:
	}
	p.refused.Add(1)
	h.want, h.granted = 0, nil
	p.waiters--
	p.delist(h)
	p.dispatch()
	return false
}

// Force takes n more bytes without a wait, for what is complete and in memory already. Such holds
// come before those that wait, so that none of these exceeds the limit until they are released.
func (h *Hold) Force(n int64) {
	if h == nil || n <= 0 {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if h.element == nil {
		h.element = h.pool.holds.PushFront(h)
	}
	h.pool.take(h, n)
}

// Reduce returns what the hold has beyond n bytes.
func (h *Hold) Reduce(n int64) {
	if h == nil {
		return
	}
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.held > n {
		p.take(h, n-h.held)
	}
	p.delist(h)
	p.dispatch()
}

// Release returns all bytes and forgets the client's rate.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.Reduce(0)
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.awaitedSince, h.awaited, h.moved = time.Time{}, 0, 0
}

// HostFull reports whether the host has its whole share of the pool.
func (h *Hold) HostFull() bool {
	if h == nil {
		return false
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return h.pool.byHost[h.host] >= h.pool.hostLimit
}

// Refuse counts a refusal that is due to the pool.
func (h *Hold) Refuse() { h.pool.refused.Add(1) }

// AwaitClient records that a wait for bytes from or to the client begins.
func (h *Hold) AwaitClient() {
	if h == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.awaitedSince = time.Now()
}

// ClientMoved records that the client has sent or read n bytes.
func (h *Hold) ClientMoved(n int) {
	if h == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if !h.awaitedSince.IsZero() {
		h.awaited += time.Since(h.awaitedSince)
		h.awaitedSince = time.Time{}
	}
	h.moved += int64(n)
}

// slow reports whether the client is beyond the limits of clients; pool.mu is held.
func (h *Hold) slow(now time.Time) bool {
	if h.awaitedSince.IsZero() || h.held == 0 || h.end == nil {
		return false
	}
	wait := now.Sub(h.awaitedSince)
	total := h.awaited + wait
	return wait >= stallTime || total >= stallTime && float64(h.moved) < minClientRate*total.Seconds()
}

// closeSlow closes the connections of slow clients.
func (p *Pool) closeSlow() {
	now := time.Now()
	var slow []*Hold
	var held []int64
	p.mu.Lock()
	for e := p.holds.Front(); e != nil; e = e.Next() {
		if h := e.Value.(*Hold); !h.ended && h.slow(now) {
			h.ended = true
			slow, held = append(slow, h), append(held, h.held)
		}
	}
	p.mu.Unlock()
	for i, h := range slow {
		p.closed.Add(1)
		p.onClose(p.name, h.host, held[i])
		h.end()
	}
}

// fits reports whether there is room for n more bytes; p.mu is held. A hold that has all that is
// taken may exceed the limit at once.
func (p *Pool) fits(h *Hold, n int64) bool {
	return p.used+n <= p.limit && p.hostFits(h, n) || p.over == h || p.used == h.held
}

// letFirstExceed lets the first hold exceed the limit if it waits and no other does so.
func (p *Pool) letFirstExceed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.holds.Front(); p.over == nil && e != nil && e.Value.(*Hold).want > 0 {
		p.over = e.Value.(*Hold)
		p.dispatch()
	}
}

func (p *Pool) hostFits(h *Hold, n int64) bool {
	return h.host == "" || p.byHost[h.host]+n <= p.hostLimit
}

// dispatch grants what fits, in order; p.mu is held. A waiter that only exceeds its host's share
// does not delay those behind it.
func (p *Pool) dispatch() {
	if p.waiters == 0 {
		return
	}
	for e := p.holds.Front(); e != nil; e = e.Next() {
		h := e.Value.(*Hold)
		switch {
		case h.want == 0:
			continue
		case p.fits(h, h.want):
			n := h.want
			h.want = 0
			p.waiters--
			p.take(h, n)
			close(h.granted)
		case p.hostFits(h, h.want):
			return
		}
	}
}

// take adds n bytes, which may be negative, to a hold; p.mu is held.
func (p *Pool) take(h *Hold, n int64) {
	h.held += n
	p.used += n
	if h.host == "" {
		return
	}
	if p.byHost[h.host] += n; p.byHost[h.host] == 0 {
		delete(p.byHost, h.host)
	}
}

func (p *Pool) enlist(h *Hold) {
	if h.element == nil {
		h.element = p.holds.PushBack(h)
	}
}

// delist removes a hold that has no bytes and waits for none; p.mu is held.
func (p *Pool) delist(h *Hold) {
	if h.element != nil && h.held == 0 && h.want == 0 {
		p.holds.Remove(h.element)
		h.element = nil
		if p.over == h {
			p.over = nil
		}
	}
}

// TryAcquire takes n more bytes if there is room at once.
func (h *Hold) TryAcquire(n int64) bool {
	if h == nil || n <= 0 {
		return true
	}
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fits(h, n) {
		p.refused.Add(1)
		return false
	}
	p.enlist(h)
	p.take(h, n)
	return true
}
