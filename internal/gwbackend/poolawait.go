package gwbackend

import (
	"container/list"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// maxAwaiting bounds the requests that wait in AwaitAvailable.
const maxAwaiting = 256

// awaitInterval is the interval at which AwaitAvailable checks whether a server that has refused
// connections may accept one more.
const awaitInterval = 200 * time.Millisecond

// ErrCrowded means that too many requests wait for a connection.
var ErrCrowded = errors.New("too many requests wait for a connection")

// AwaitAvailable waits until a request of the user can expect a connection without waiting for
// one that is in use, as all are while transactions are open, but at most for maxWait; 0 stands
// for any wait. It returns at once as long as no connection is requested for a user of its own.
// Every error is of KindNotSent.
func (p *Pool) AwaitAvailable(ctx context.Context, user string, maxWait time.Duration) error {
	const op = "wait for an available connection"
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.decisions.Available(user, p.o.Clock.Now()) {
		return nil
	}
	if p.stats.Awaiting >= maxAwaiting {
		return p.error(op, ErrCrowded)
	}
	if maxWait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxWait)
		defer cancel()
	}
	p.stats.Awaiting++
	woken := make(chan struct{}, 1)
	e := p.awaitingOf(user).PushBack(woken)
	defer func() {
		p.stats.Awaiting--
		if l := p.awaiting[user]; l != nil {
			l.Remove(e)
			if l.Len() == 0 {
				delete(p.awaiting, user)
			}
		}
	}()
	for !p.closed && !p.decisions.Available(user, p.o.Clock.Now()) {
		p.mu.Unlock()
		var err error
		select {
		case <-woken:
		case <-p.o.Clock.After(awaitInterval):
		case <-ctx.Done():
			err = p.error(op, context.Cause(ctx))
		}
		p.mu.Lock()
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitingOf returns the requests of the user in AwaitAvailable. p.mu is held.
func (p *Pool) awaitingOf(user string) *list.List {
	l := p.awaiting[user]
	if l == nil {
		l = list.New()
		p.awaiting[user] = l
	}
	return l
}

// wakeAvailable wakes the first request in AwaitAvailable of each user for which a connection may
// be available. The next one follows when that has asked for its connection: a customer with many
// requests does not wake all of them at each event. p.mu is held.
func (p *Pool) wakeAvailable(now time.Time) {
	for user, l := range p.awaiting {
		if p.decisions.Available(user, now) {
			wake(l.Front())
		}
	}
}

// wakeAll wakes all requests in AwaitAvailable. p.mu is held.
func (p *Pool) wakeAll() {
	for _, l := range p.awaiting {
		for e := l.Front(); e != nil; e = e.Next() {
			wake(e)
		}
	}
}

func wake(e *list.Element) {
	select {
	case e.Value.(chan struct{}) <- struct{}{}:
	default:
	}
}
