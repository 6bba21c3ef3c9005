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

// inflightShards is the number of shards of the requests in flight, each with its own
// lock.
const inflightShards = 64

// errSuperseded is the cancellation cause of requests whose answer can no longer arrive.
var errSuperseded = errors.New("the group's primary or the server's owner was replaced while the request was in flight")

// inflight tracks the requests that wait for an owner's answer, so that they can be
// canceled, instead of timing out, when the owner or the primary is replaced.
type inflight struct {
	next   atomic.Uint64
	shards [inflightShards]inflightShard
}

type inflightShard struct {
	mu       sync.Mutex
	requests map[uint64]inflightRequest
}

// inflightRequest is one request in flight.
type inflightRequest struct {
	group  string
	term   uint64
	owner  string
	write  bool
	cancel context.CancelCauseFunc
}

func newInflight() *inflight {
	f := &inflight{}
	for i := range f.shards {
		f.shards[i].requests = make(map[uint64]inflightRequest)
	}
	return f
}

// add registers a request and returns the function that removes it.
func (f *inflight) add(r inflightRequest) func() {
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

// cancelSuperseded cancels the requests whose answer can no longer arrive: writes of
// terms that have ended, and requests at owners that are lost.
//
// An owner that leaves in an orderly way finishes its requests, so these are kept.
func (f *inflight) cancelSuperseded(view *gwcontrol.View, lost func(instance string) bool) {
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

// Run cancels requests whose owner or primary has been replaced, until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	for {
		views, members := e.Views.Changed(), e.Members.Changed()
		e.inflight.cancelSuperseded(e.Views.Current(), e.Members.Lost)
		select {
		case <-ctx.Done():
			return
		case <-views:
		case <-members:
		}
	}
}

// exec runs the request at the owner until it is answered, fails or is superseded.
func (e *Entry) exec(ctx context.Context, r *request, up upstream) gwowner.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	remove := e.inflight.add(inflightRequest{
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
