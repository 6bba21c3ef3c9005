package gwbackend

import (
	"slices"
	"time"

	"gentianward.example/gentianward/pkg/gwpool"
)

// takeIdle takes the most recently used idle connection of user. p.mu is held.
func (p *Pool) takeIdle(user string) Connection {
	for p.decisions.Take(user, p.o.Clock.Now()) {
		if c := p.useIdle(user); c != nil {
			return c
		}
	}
	return nil
}

// useIdle moves the most recently used idle connection of user to those in use, as the pool's
// decisions have done. It returns nil if the connection has closed: its reader has failed and is
// about to call removeClosed, which will find nothing to remove. p.mu is held.
func (p *Pool) useIdle(user string) Connection {
	conns := p.idle[user]
	c := conns[len(conns)-1].c
	conns[len(conns)-1] = idleConn{}
	p.setIdle(user, conns[:len(conns)-1])
	if !c.Usable() {
		p.decisions.Lost(user)
		return nil
	}
	p.inUse[c] = user
	return c
}

func (p *Pool) pushIdle(user string, c Connection) {
	p.idle[user] = append(p.idle[user], idleConn{c: c, since: p.o.Clock.Now()})
}

func (p *Pool) setIdle(user string, conns []idleConn) {
	if len(conns) == 0 {
		delete(p.idle, user)
		return
	}
	p.idle[user] = conns
}

// decide carries out the decisions that are due. p.mu is held.
func (p *Pool) decide() {
	if p.closed {
		return
	}
	now := p.o.Clock.Now()
	for a, ok := p.decisions.Next(now); ok; a, ok = p.decisions.Next(now) {
		switch a.Kind {
		case gwpool.Grant:
			if c := p.useIdle(a.User); c != nil {
				a.Waiter.Ref.(*waiter).granted <- grant{c: c}
			} else {
				p.decisions.Retry(a.Waiter)
			}
		case gwpool.Dial:
			p.wg.Go(func() { p.dial(a.User) })
		case gwpool.Close:
			wait := time.Duration(0)
			if a.ForOther {
				p.stats.ClosedForOther++
				wait = p.endWait
			}
			p.closeOldest(a.User, wait)
		}
	}
	p.schedule(now)
	p.wakeAvailable(now)
}

// schedule sets the timer to the time of the next decision without an event. p.mu is held.
func (p *Pool) schedule(now time.Time) {
	at, ok := p.decisions.Wake()
	switch {
	case !ok:
		p.stopTimer()
	case p.timer != nil && at.Equal(p.timerAt):
	default:
		p.stopTimer()
		p.timerAt = at
		p.timer = p.o.Clock.AfterFunc(at.Sub(now), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.timer = nil
			p.decide()
		})
	}
}

func (p *Pool) stopTimer() {
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
}

// closeIdle closes the least recently used idle connection of user. It counts towards the limit
// until it is closed. p.mu is held.
func (p *Pool) closeIdle(user string) {
	p.decisions.Closing(user)
	p.closeOldest(user, 0)
}

// closeOldest does what closeIdle does after the decision to close is recorded, and waits until the
// server has ended the connection, for at most the given time. p.mu is held.
func (p *Pool) closeOldest(user string, wait time.Duration) {
	conns := p.idle[user]
	c := conns[0].c
	p.setIdle(user, slices.Delete(conns, 0, 1))
	p.wg.Go(func() {
		ended, waited := false, false
		if g, ok := c.(GracefulCloser); ok && wait > 0 {
			ended, waited = g.CloseGracefully(wait), true
		} else {
			_ = c.Close()
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if waited {
			p.adjustEndWait(ended)
		}
		p.decisions.Closed()
		p.decide()
		p.checkAllClosed()
	})
}

// maxEndWait and minEndWait bound the wait for the server to end a connection that is replaced. A
// server that still counts it would refuse the replacement. The answer from another region takes
// 60 ms.
const (
	maxEndWait = 200 * time.Millisecond
	minEndWait = time.Millisecond
)

// adjustEndWait shortens the wait for a server that does not end connections when it is asked to, as
// one that is frozen. p.mu is held.
func (p *Pool) adjustEndWait(ended bool) {
	if ended {
		p.endWait = maxEndWait
		return
	}
	p.endWait = max(minEndWait, p.endWait/2)
}
