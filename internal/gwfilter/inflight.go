package gwfilter

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// inflightShards divides the requests in flight, each part under its own lock.
const inflightShards = 64

// errSuperseded is the cause of giving up on an answer that cannot arrive any more.
var errSuperseded = errors.New("the group's primary or the server's owner was replaced while the request was in flight")

// inflight holds the requests that wait for an owner, so that they need not
// wait for a timeout when the owner or the primary has been replaced.
type inflight struct {
	next   atomic.Uint64
	shards [inflightShards]inflightShard
}

type inflightShard struct {
	mu       sync.Mutex
	requests map[uint64]flight
}

// flight is one request in flight.
type flight struct {
	group  string
	term   uint64
	owner  string
	write  bool
	cancel context.CancelCauseFunc
}

func newInflight() *inflight {
	f := &inflight{}
	for i := range f.shards {
		f.shards[i].requests = make(map[uint64]flight)
	}
	return f
}

// add registers a request and returns the function that removes it.
func (f *inflight) add(r flight) func() {
	id := f.next.Add(1)
	sh := &f.shards[id%inflightShards]
	sh.mu.Lock()
	sh.requests[id] = r
	sh.mu.Unlock()
	return func() {
		sh.mu.Lock()
		delete(sh.requests, id)
		sh.mu.Unlock()
	}
}

// sweep cancels the requests whose answer cannot arrive any more: writes of
// terms that are over, and requests at owners that are no longer members.
//
// An instance that leaves finishes what it has begun, so that only the loss of
// an owner counts.
func (f *inflight) sweep(view *gwcontrol.View, lost func(instance string) bool) {
	for i := range f.shards {
		sh := &f.shards[i]
		sh.mu.Lock()
		for _, r := range sh.requests {
			if lost(r.owner) || (r.write && view.Groups[r.group].Term > r.term) {
				r.cancel(errSuperseded)
			}
		}
		sh.mu.Unlock()
	}
}

// Run gives up on requests whose owner or primary was replaced, until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	for {
		views, members := e.Views.Changed(), e.Members.Changed()
		e.inflight.sweep(e.Views.Current(), e.Members.Lost)
		select {
		case <-ctx.Done():
			return
		case <-views:
		case <-members:
		}
	}
}

// exec runs the request at its owner until it is answered or superseded.
func (e *Entry) exec(ctx context.Context, r *request, up upstream) gwowner.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	remove := e.inflight.add(flight{
		group: r.exec.Group, term: e.Views.Current().Groups[r.exec.Group].Term, owner: up.Owner(),
		write: r.exec.Access == gwowner.Write, cancel: cancel,
	})
	defer remove()
	res := up.Exec(ctx, &r.exec, r)
	if res.Event == gwoutcome.TimedOut && errors.Is(context.Cause(ctx), errSuperseded) {
		res.Event, res.State = gwoutcome.PeerBroken, gwoutcome.SQLState(gwoutcome.PeerBroken)
		res.Message = "outcome unknown: " + errSuperseded.Error()
	}
	return res
}
