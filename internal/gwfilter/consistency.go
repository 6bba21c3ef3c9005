package gwfilter

import (
	"context"
	"sync"

	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwroute"
	"gentianward.example/gentianward/pkg/gwsession"
)

// consistency sets the position and staleness that a read requires.
//
// A read-only class states only a staleness; a watermark is required in addition if the
// caller presented a session token. Sessions of other classes read their own writes: the
// server must have reached the session's watermark, which takes one barrier if the
// caller may have written through another instance. A class that accepts no staleness
// takes a barrier with every read, so that replicas can still serve it; its reads of the
// statement protocol go to the primary instead.
func (e *Entry) consistency(next handler) handler {
	return func(ctx context.Context, r *request) gwowner.Result {
		s := r.session
		if !r.read() || s.transaction != nil || r.need.Policy != gwroute.Session {
			return next(ctx, r)
		}
		class := r.rules.class
		strict := class.Staleness.Duration == 0
		if strict && r.backend.Statement != nil {
			// Reading at the primary takes one round trip. A barrier and a read take two.
			r.need.Policy, r.exec.RequireLease = gwroute.PrimaryOnly, true
			return next(ctx, r)
		}
		if strict || (!class.ReadOnly && s.state.NeedsBarrier(s.group)) {
			if res, ok := e.barrier(ctx, r, strict); !ok {
				return res
			}
		}
		if p, ok := s.state.Watermark().Position(s.group); ok && !r.need.Position.AtLeast(p) {
			r.need.Position, r.need.RequiredAt = p, s.writtenAt
		}
		if !strict {
			r.need.Staleness = class.Staleness.Duration
		}
		r.exec.Position, r.exec.Staleness = r.need.Position, r.need.Staleness
		return next(ctx, r)
	}
}

// barrier makes the read require the current position of the group's primary. It waits
// while the primary is being changed. If it gets no position, it returns the result of
// the request and false.
func (e *Entry) barrier(ctx context.Context, r *request, strict bool) (gwowner.Result, bool) {
	s := r.session
	for {
		sent := e.Clock.Now()
		p, err := e.barriers.get(ctx, s.group)
		if err == nil {
			r.need.Position, r.need.RequiredAt = p, sent
			if !strict {
				s.state = s.state.WithBarrier(s.group, p)
				s.writtenAt = sent
			}
			return gwowner.Result{}, true
		}
		if !e.waitForChange(ctx, r) {
			return notRun(gwoutcome.NoLease, "the position of the group's primary could not be obtained: "+err.Error()), false
		}
	}
}

// notRun returns the result of a request that was not sent to a server.
func notRun(e gwoutcome.Event, reason string) gwowner.Result {
	return gwowner.Result{Event: e, State: gwoutcome.SQLState(e), Message: "not run: " + reason, TxStatus: 'I'}
}

// barriers fetches the positions of primaries from their owners, with one call per
// group at a time. Reads that wait for the same group share a call, but a read only
// uses the result of a call that was sent after the read began.
type barriers struct {
	fetch func(ctx context.Context, group string) (gwsession.Position, error)

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

func newBarriers(fetch func(ctx context.Context, group string) (gwsession.Position, error)) *barriers {
	return &barriers{fetch: fetch, groups: make(map[string]*barrierQueue)}
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

// join returns the group's next call, and starts it if none is running.
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

// start starts the group's next call. b.mu must be held.
func (b *barriers) start(group string, q *barrierQueue) {
	c := q.next
	q.running, q.next = c, nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
		defer cancel()
		c.position, c.err = b.fetch(ctx, group)
		close(c.done)
		b.mu.Lock()
		defer b.mu.Unlock()
		q.running = nil
		if q.next != nil {
			b.start(group, q)
		}
	}()
}
