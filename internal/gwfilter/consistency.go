package gwfilter

import (
	"context"
	"sync"

	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwroute"
	"gentianward.example/gentianward/pkg/gwsession"
)

// consistency decides which position and staleness a read requires.
//
// A read-only class states only a staleness. Other sessions read their own
// writes: their watermark is required, after one barrier if writes through
// other instances may be unknown here. A class that accepts no staleness asks
// for a barrier with every read, so that a replica can still serve it.
func (e *Entry) consistency(next handler) handler {
	return func(ctx context.Context, r *request) gwowner.Result {
		s := r.session
		if !r.read() || s.transaction != nil || r.need.Policy != gwroute.Session {
			return next(ctx, r)
		}
		class := r.rules.class
		strict := class.Staleness.Duration == 0
		if strict && r.backend.Statement != nil {
			// One round trip to the primary instead of one for the barrier and
			// one for the read.
			r.need.Policy, r.exec.RequireLease = gwroute.PrimaryOnly, true
			return next(ctx, r)
		}
		if strict || (!class.ReadOnly && s.state.NeedsBarrier(s.group)) {
			if res, ok := e.barrier(ctx, r, strict); !ok {
				return res
			}
		}
		if p, ok := s.state.Watermark().Position(s.group); ok && !r.need.Position.AtLeast(p) {
			r.need.Position, r.need.RequiredAt = p, s.written
		}
		if !strict {
			r.need.Staleness = class.Staleness.Duration
		}
		r.exec.Position, r.exec.Staleness = r.need.Position, r.need.Staleness
		return next(ctx, r)
	}
}

// barrier asks for the primary's position, waiting during a change of primary.
func (e *Entry) barrier(ctx context.Context, r *request, strict bool) (gwowner.Result, bool) {
	s := r.session
	for {
		sent := e.Clock.Now()
		p, err := e.barriers.get(ctx, s.group)
		if err == nil {
			r.need.Position, r.need.RequiredAt = p, sent
			if !strict {
				s.state = s.state.WithBarrier(s.group, p)
				s.written = sent
			}
			return gwowner.Result{}, true
		}
		if !e.waitForChange(ctx, r) {
			return notRun(gwoutcome.NoLease, "the group's primary cannot be asked for its position: "+err.Error()), false
		}
	}
}

// notRun is the result of a request that was not sent.
func notRun(e gwoutcome.Event, reason string) gwowner.Result {
	return gwowner.Result{Event: e, State: gwoutcome.SQLState(e), Message: "not run: " + reason, TxStatus: 'I'}
}

// barriers shares one question to the owner of a primary between the reads
// that wait for it. A read only uses an answer to a question that was sent
// after the read began.
type barriers struct {
	ask func(ctx context.Context, group string) (gwsession.Position, error)

	mu     sync.Mutex
	groups map[string]*barrierQueue
}

type barrierQueue struct {
	running *barrierCall
	next    *barrierCall
}

type barrierCall struct {
	done     chan struct{}
	position gwsession.Position
	err      error
}

func newBarriers(ask func(ctx context.Context, group string) (gwsession.Position, error)) *barriers {
	return &barriers{ask: ask, groups: make(map[string]*barrierQueue)}
}

func (b *barriers) get(ctx context.Context, group string) (gwsession.Position, error) {
	c := b.join(group)
	select {
	case <-c.done:
		return c.position, c.err
	case <-ctx.Done():
		return gwsession.Position{}, ctx.Err()
	}
}

// join returns the question that is sent next, starting it if none is running.
func (b *barriers) join(group string) *barrierCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	q, ok := b.groups[group]
	if !ok {
		q = &barrierQueue{}
		b.groups[group] = q
	}
	if q.next == nil {
		q.next = &barrierCall{done: make(chan struct{})}
	}
	c := q.next
	if q.running == nil {
		b.start(group, q)
	}
	return c
}

// start sends the next question; the caller holds the lock.
func (b *barriers) start(group string, q *barrierQueue) {
	c := q.next
	q.running, q.next = c, nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
		defer cancel()
		c.position, c.err = b.ask(ctx, group)
		close(c.done)
		b.mu.Lock()
		defer b.mu.Unlock()
		q.running = nil
		if q.next != nil {
			b.start(group, q)
		}
	}()
}
