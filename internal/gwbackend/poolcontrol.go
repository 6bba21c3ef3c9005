package gwbackend

import (
	"context"
	"time"
)

// AcquireControl returns the connection that is reserved for control
// statements, which are run one at a time. With a limit of 1 no connection is
// reserved and control statements compete with requests.
func (p *Pool) AcquireControl(ctx context.Context) (Connection, error) {
	select {
	case <-p.controlFree:
	case <-ctx.Done():
		return nil, p.error("acquire control connection", context.Cause(ctx))
	}
	p.mu.Lock()
	closed, reserved, c := p.closed, p.limit > 1, p.controlConn
	p.mu.Unlock()
	var err error
	switch {
	case closed:
		err = p.error("acquire control connection", ErrClosed)
	case !reserved:
		p.controlFree <- struct{}{}
		return p.Acquire(ctx)
	case c != nil && c.Usable():
		return c, nil
	default:
		c, err = p.dialControl(ctx)
	}
	if err != nil {
		p.controlFree <- struct{}{}
		return nil, err
	}
	return c, nil
}

func (p *Pool) dialControl(ctx context.Context) (Connection, error) {
	c, err := p.connect(ctx, "")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Dials++
	if err != nil {
		p.stats.DialErrors++
		return nil, err
	}
	p.controlConn, p.controlSince = c, p.o.Clock.Now()
	return c, nil
}

// controlOpened returns when c was opened if it is the control connection.
func (p *Pool) controlOpened(c Connection) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.controlSince, c == p.controlConn
}

func (p *Pool) releaseControl(c Connection, reusable bool) {
	p.mu.Lock()
	drop := !reusable || !c.Usable() || c.TxStatus() != 'I' || p.closed || p.limit < 2
	p.mu.Unlock()
	if drop {
		p.dropControl(c)
	}
	p.controlFree <- struct{}{}
}

// dropControl closes the control connection. The caller has taken the value of
// controlFree.
func (p *Pool) dropControl(c Connection) {
	_ = c.Close()
	p.mu.Lock()
	p.controlConn = nil
	p.stats.Discards++
	p.checkAllClosed()
	p.mu.Unlock()
}

// SetLimit changes the connection limit. Idle connections above it are closed
// at once, those in use when they are released.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	p.limit = max(1, n)
	var closing []Connection
	for p.overLimit() && len(p.idle) > 0 {
		closing = append(closing, p.takeOldest())
	}
	p.startDials()
	dropControl := p.limit < 2
	p.mu.Unlock()
	closeAll(closing)
	if !dropControl {
		return
	}
	select {
	case <-p.controlFree:
		p.mu.Lock()
		c := p.controlConn
		p.mu.Unlock()
		if c != nil {
			p.dropControl(c)
		}
		p.controlFree <- struct{}{}
	default: // in use; dropped on release
	}
}

// takeOldest removes the least recently used idle connection. p.mu is held.
func (p *Pool) takeOldest() Connection {
	c := p.idle[0].c
	p.idle = append(p.idle[:0], p.idle[1:]...)
	return c
}

func closeAll(conns []Connection) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// Stats returns the pool's state and counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Limit, s.Idle, s.InUse, s.Dialing = p.limit, len(p.idle), len(p.inUse), p.dialing
	s.Waiting = p.waiters.Len()
	s.Open = s.Idle + s.InUse
	if p.controlConn != nil {
		s.Open++
	}
	return s
}

// maintain closes expired idle connections and dials up to MinIdle, until the pool is
// closed.
func (p *Pool) maintain() {
	defer p.wg.Done()
	t := p.o.Clock.NewTicker(maintainInterval)
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.Chan():
			p.closeExpired(p.o.Clock.Now())
		}
	}
}

func (p *Pool) closeExpired(now time.Time) {
	p.mu.Lock()
	var closing []Connection
	minIdle := p.o.MinIdle
	if p.byUser {
		minIdle = 0
	}
	for len(p.idle) > minIdle && now.Sub(p.idle[0].since) >= p.o.IdleTimeout {
		closing = append(closing, p.takeOldest())
	}
	p.startDials()
	p.mu.Unlock()
	closeAll(closing)
}

// Close refuses new acquisitions, waits for connections in use to be released, and
// closes all. When ctx ends first, connections in use are aborted and ctx's error is
// returned.
func (p *Pool) Close(ctx context.Context) error {
	p.mu.Lock()
	first := !p.closed
	p.closed = true
	var closing []Connection
	for len(p.idle) > 0 {
		closing = append(closing, p.takeOldest())
	}
	for p.failFirst(ErrClosed) {
		continue
	}
	p.mu.Unlock()
	closeAll(closing)
	if first {
		go p.closeControl()
	}
	var err error
	select {
	case <-p.allClosed:
	case <-ctx.Done():
		err = p.error("close pool", ctx.Err())
		p.abortAll()
	}
	p.stop()
	p.wg.Wait()
	return err
}

// closeControl closes the control connection once it is free.
func (p *Pool) closeControl() {
	<-p.controlFree
	p.mu.Lock()
	c := p.controlConn
	p.mu.Unlock()
	if c != nil {
		p.dropControl(c)
	}
	p.controlFree <- struct{}{}
	p.mu.Lock()
	p.checkAllClosed()
	p.mu.Unlock()
}

// abortAll aborts the connections in use, whose requests then fail.
func (p *Pool) abortAll() {
	p.mu.Lock()
	conns := make([]Connection, 0, len(p.inUse)+1)
	for c := range p.inUse {
		conns = append(conns, c)
	}
	if p.controlConn != nil {
		conns = append(conns, p.controlConn)
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.Abort()
	}
}

// checkAllClosed signals to Close that the last connection has been closed. p.mu is
// held.
func (p *Pool) checkAllClosed() {
	if !p.closed || p.connectionCount() > 0 || p.controlConn != nil {
		return
	}
	select {
	case <-p.allClosed:
	default:
		close(p.allClosed)
	}
}
