package gwowner

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwsession"
)

// codeOutdated is the error code of a request of an attempt at a change of primary that a
// later one has replaced or that has ended.
const codeOutdated = "outdated"

var errOutdated = errors.New("a later attempt at a change of primary has begun, or the change has ended")

// attempts holds, by group, the latest attempt at a change of primary that this instance has
// been asked to take part in. The number of an attempt is the log index at which it began,
// which grows over all leaders; its tries count from 1. A request that comes late, of a leader
// that was replaced or of an earlier attempt or try, would stop a primary that a later one has
// made.
type attempts struct {
	mu     sync.Mutex
	latest map[string]*attempt
}

type attempt struct {
	number, try uint64
	// ctx ends when a later attempt or try begins.
	ctx    context.Context
	cancel context.CancelFunc
}

// compare returns 1 for a try that is later than a, 0 for a itself and -1 for an earlier one.
func (a *attempt) compare(number, try uint64) int {
	return cmp.Or(cmp.Compare(number, a.number), cmp.Compare(try, a.try))
}

// begin returns a context for a request of a try of an attempt, which ends when a later one
// begins, and false if one has begun already.
func (a *attempts) begin(ctx context.Context, group string, number, try uint64) (context.Context, context.CancelFunc, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.latest[group]
	switch {
	case known != nil && known.compare(number, try) < 0:
		return ctx, nil, false
	case known == nil || known.compare(number, try) > 0:
		if known != nil {
			known.cancel()
		}
		if a.latest == nil {
			a.latest = make(map[string]*attempt)
		}
		known = &attempt{number: number, try: try}
		known.ctx, known.cancel = context.WithCancel(context.Background())
		a.latest[group] = known
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(known.ctx, func() { cancel(errOutdated) })
	return ctx, func() { stop(); cancel(context.Canceled) }, true
}

// beginAttempt returns a context for a request about an owned server in an attempt, or an
// error if the attempt is outdated: a later one is known, or the view of this instance shows
// that the change has ended. Requests of earlier releases, with number 0, are not checked.
func (o *Owner) beginAttempt(ctx context.Context, s *server, number, try uint64) (context.Context, context.CancelFunc, error) {
	if number == 0 {
		return ctx, func() {}, nil
	}
	f, g := s.facts(), s.group()
	ended := !g.Changing && g.Index > number
	if !ended {
		if ctx, cancel, ok := o.attempts.begin(ctx, f.Group, number, try); ok {
			return ctx, cancel, nil
		}
	}
	o.log.Warn("request of an outdated change of primary refused", "group", f.Group, "server", f.Server, "attempt", number, "try", try, "ended", ended)
	return ctx, nil, gwpeer.Codef(codeOutdated, "%v", errOutdated)
}

// fence makes an owned server refuse writes and replication of earlier terms.
func (o *Owner) fence(ctx context.Context, r gwcontrol.FenceRequest) (gwcontrol.Copy, error) {
	return o.copyOf(ctx, r, func(ctx context.Context, s *gwbackend.Server) (gwbackend.Report, error) { return s.Fence(ctx, r.Term) })
}

// askCopy returns the copy of an owned server without fencing it.
func (o *Owner) askCopy(ctx context.Context, r gwcontrol.FenceRequest) (gwcontrol.Copy, error) {
	return o.copyOf(ctx, r, func(ctx context.Context, s *gwbackend.Server) (gwbackend.Report, error) { return s.Query(ctx) })
}

// copyOf returns the copy that report tells of an owned server in an attempt.
func (o *Owner) copyOf(ctx context.Context, r gwcontrol.FenceRequest, report func(context.Context, *gwbackend.Server) (gwbackend.Report, error)) (gwcontrol.Copy, error) {
	s := o.server(r.Server)
	if s == nil {
		return gwcontrol.Copy{}, gwpeer.Codef(codeNotOwner, "backend server %s is not owned here", r.Server)
	}
	ctx, cancel, err := o.beginAttempt(ctx, s, r.Attempt, r.Try)
	if err != nil {
		return gwcontrol.Copy{}, err
	}
	defer cancel()
	earlier := s.received.latest()
	rep, err := report(ctx, s.backend)
	if err != nil {
		return gwcontrol.Copy{}, gwpeer.Codef(codeServer, "%v", err)
	}
	if lostData(earlier, rep) {
		return gwcontrol.Copy{}, gwpeer.Codef(codeServer, "backend server %s is at %s and was at %s: it has started again without its data", r.Server, rep.Position, earlier.Position)
	}
	s.received.record(rep)
	return gwcontrol.Copy{Server: r.Server, Position: rep.Position, Held: rep.Term, RunAge: s.runAge()}, nil
}

// runAge returns for how long the server is known not to have started again, 0 if that is unknown.
func (s *server) runAge() time.Duration {
	since := s.backend.SameRunSince()
	if since.IsZero() {
		return 0
	}
	return max(1, s.backend.Since(since))
}

// promote makes an owned server the primary of r.Term.
func (o *Owner) promote(ctx context.Context, r gwcontrol.PromoteRequest) (gwsession.Position, error) {
	s := o.server(r.Server)
	if s == nil {
		return gwsession.Position{}, gwpeer.Codef(codeNotOwner, "backend server %s is not owned here", r.Server)
	}
	ctx, cancel, err := o.beginAttempt(ctx, s, r.Attempt, r.Try)
	if err != nil {
		return gwsession.Position{}, err
	}
	defer cancel()
	p, err := s.backend.Promote(ctx, r.Term)
	if err != nil {
		return p, gwpeer.Codef(codeServer, "%v", err)
	}
	return p, nil
}
