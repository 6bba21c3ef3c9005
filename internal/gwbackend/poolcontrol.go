package gwbackend

import (
	"context"
	"time"

	"gentianward.example/gentianward/pkg/gwpool"
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
		if ServerError(err) != nil {
			p.decisions.ControlRefused(p.o.Clock.Now())
			p.decide()
		}
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

// controlState reports whether a connection is reserved for control statements, and whether it is open.
func (p *Pool) controlState() (reserved, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit > 1, p.controlConn != nil && p.controlConn.Usable()
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
	p.decisions.SetLimit(p.requestLimit())
	p.decide()
	dropControl := p.limit < 2
	p.mu.Unlock()
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

// SetShared tells whether requests of users of their own are expected. A shared pool bounds what a
// user may hold and keeps no connections ready for its own user. A request with a user makes it
// shared as well.
func (p *Pool) SetShared(shared bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decisions.SetShared(shared)
	p.decide()
}

// Stats returns the pool's state and counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	d := p.decisions.Stats()
	s.Limit, s.Idle, s.InUse, s.Dialing, s.Closing, s.Waiting = p.limit, d.Idle, d.InUse, d.Dialing, d.Closing, d.Waiting
	s.Open = s.Idle + s.InUse
	s.Accepted = p.decisions.Limit()
	if p.controlConn != nil {
		s.Open++
	}
	return s
}

// OpenByUser returns the number of open connections of each user other than the pool's own.
func (p *Pool) OpenByUser() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make(map[string]int)
	p.decisions.UserStats(func(name string, s gwpool.Stats) {
		if n := s.Idle + s.InUse; n > 0 && name != "" {
			open[name] = n
		}
	})
	return open
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
	keep := p.decisions.MinIdle()
	for user := range p.idle {
		for conns := p.idle[user]; len(conns) > keep && now.Sub(conns[0].since) >= p.o.IdleTimeout; conns = p.idle[user] {
			p.closeIdle(user)
		}
	}
	p.decide()
	p.mu.Unlock()
}

// Close refuses new acquisitions, waits for connections in use to be released, and
// closes all. When ctx ends first, connections in use are aborted and ctx's error is
// returned.
func (p *Pool) Close(ctx context.Context) error {
	p.mu.Lock()
	first := !p.closed
	p.closed = true
	for user := range p.idle {
		for len(p.idle[user]) > 0 {
			p.closeIdle(user)
		}
	}
	for _, w := range p.decisions.FailAll() {
		w.Ref.(*waiter).granted <- grant{err: ErrClosed}
	}
	p.stopTimer()
	p.wakeAll()
	p.mu.Unlock()
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
	if !p.closed || p.decisions.Count() > 0 || p.controlConn != nil {
		return
	}
	select {
	case <-p.allClosed:
	default:
		close(p.allClosed)
	}
}
