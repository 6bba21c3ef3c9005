package gwfilter

import (
	"context"
	"time"

	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwroute"
)

// barrierTimeout bounds the question for a primary's position.
const barrierTimeout = 500 * time.Millisecond

// retry attempts a request until it is answered, its outcome is final, or the
// wait for a primary has passed.
func (e *Entry) retry(next handler) handler {
	return func(ctx context.Context, r *request) gwowner.Result {
		if r.session.transaction != nil {
			return next(ctx, r)
		}
		e.firstAttempt()
		for attempts := 1; ; {
			r.offers++
			res := next(ctx, r)
			if res.Relayed && res.Event != gwoutcome.Answered && r.w.Discard() {
				res.Relayed = false
			}
			if gwoutcome.CountsAsFailure(res.Event) {
				attempts++
			}
			if res.Event == gwoutcome.Answered || !e.again(ctx, r, res, attempts) {
				if r.refused.Event != 0 && res.Event == noServer {
					return r.refused // says more than that no server is left
				}
				return res
			}
			if gwoutcome.CountsAsFailure(res.Event) {
				e.logAttempt("statement retried", r, res)
			}
		}
	}
}

func (e *Entry) firstAttempt() {
	if !e.budgetUsed.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.RecordRequest()
	e.budgetUsed.Store(!e.budget.Full())
}

// again decides whether the request is attempted again, and waits before it.
func (e *Entry) again(ctx context.Context, r *request, res gwowner.Result, attempts int) bool {
	decision := gwoutcome.ShouldRetry(res.Event, gwoutcome.Request{
		Read: r.read(), Repeatable: r.rules.class.Retry || r.rules.class.ReadOnly, Relayed: res.Relayed, Keyed: r.exec.Key != "",
		Remaining: r.deadline.Sub(e.Clock.Now()), Attempts: attempts,
	})
	switch decision {
	case gwoutcome.Elsewhere:
		return e.elsewhere(ctx, r, res)
	case gwoutcome.Refresh:
		return e.waitForChange(ctx, r)
	default:
		return r.read() && res.Event == gwoutcome.ServerReadOnly && e.asWrite(r)
	}
}

// elsewhere excludes the server that failed. Once all have refused, they are asked
// again after a pause, for as long as callers wait during a change. Servers that are
// full or late are not: the caller is told at once and has time to come back.
func (e *Entry) elsewhere(ctx context.Context, r *request, res gwowner.Result) bool {
	if res.Event == noServer && r.served.Name == "" {
		if r.refused.Event != 0 {
			return false
		}
		r.need.Excluded = nil
		return e.waitForChange(ctx, r)
	}
	r.refused = gwowner.Result{}
	if gwoutcome.IsBusyOrLagging(res.Event) {
		if aim := r.rules.class.Aim.Duration; aim > 0 && e.Clock.Since(r.started) > aim/queueShare {
			return false // while links are full, each refusal takes its time
		}
		r.refused = res
	}
	if gwoutcome.CountsAsFailure(res.Event) && !e.takeRetry() {
		return false
	}
	if r.need.Excluded == nil {
		r.need.Excluded = make(map[string]bool)
	}
	r.need.Excluded[r.served.Name] = true
	return true
}

// noServer is the event of a request for which no server could be chosen.
const noServer = gwoutcome.TooStale

func (e *Entry) takeRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budgetUsed.Store(true)
	return e.budget.Take()
}

// asWrite sends a statement that looked like a read to the primary.
func (e *Entry) asWrite(r *request) bool {
	if r.rules.class.ReadOnly || r.need.Write {
		return false
	}
	r.stmt = stmtWrite
	r.need.Write = true
	r.exec.Access = gwowner.Write
	return true
}

// waitForChange waits a moment for the agreed state to change. It reports
// false once the caller has waited as long as it may for a primary.
func (e *Entry) waitForChange(ctx context.Context, r *request) bool {
	waited := e.Clock.Since(r.started)
	limit := r.rules.limits.GapWait.Duration
	if waited >= limit {
		return false
	}
	if e.LeaderLost != nil && e.LeaderLost() {
		// Nothing will change here soon; the caller is better off elsewhere.
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-e.Views.Changed():
	case <-e.Clock.After(min(r.backoff.Next(e.rng.Float64()), limit-waited)):
	}
	return true
}

// execute chooses a server and runs the request at its owner.
func (e *Entry) execute(ctx context.Context, r *request) gwowner.Result {
	s := r.session
	r.exec.Timeout = r.deadline.Sub(e.Clock.Now())
	if s.transaction != nil {
		return e.inTransaction(ctx, r)
	}
	if r.rules.class.ReadOnly && r.stmt == stmtWrite {
		return gwowner.Result{Event: gwoutcome.Expired, State: stateReadOnlyClass, Message: "not run: class " + s.class + " is read-only", TxStatus: 'I'}
	}
	if r.need.Policy == gwroute.RoundRobin {
		r.need.Turn = e.nextTurn()
	}
	switch c := e.choose(r).(type) {
	case gwroute.Serve:
		return e.serve(ctx, r, c)
	case gwroute.Reject:
		r.served = gwroute.Server{}
		if r.need.Write {
			return notRun(gwoutcome.NoLease, c.Reason)
		}
		return notRun(noServer, c.Reason)
	}
	return gwowner.Result{}
}

// serve runs the request at the owner of the chosen server.
func (e *Entry) serve(ctx context.Context, r *request, c gwroute.Serve) gwowner.Result {
	r.served = c.Server
	r.exec.Server = c.Server.Name
	up, err := e.upstream(ctx, c.Server.Name)
	if err != nil {
		return notRun(gwoutcome.PeerUnreachable, err.Error())
	}
	started := e.Clock.Now()
	if !e.servers.begin(c.Server.Name) {
		up.Close()
		return notRun(gwoutcome.QueueFull, "too many statements to the server are unanswered")
	}
	res := e.exec(ctx, r, up)
	e.servers.note(c.Server.Name, res, started, e.Clock.Now(), r.exec.MaxWait)
	s := r.session
	if res.Event == gwoutcome.Answered && res.TxStatus != 'I' {
		s.transaction, s.server, s.write = up, c.Server.Name, r.need.Write
		return res
	}
	up.Close()
	return res
}

// inTransaction sends a request over the open transaction's connection.
func (e *Entry) inTransaction(ctx context.Context, r *request) gwowner.Result {
	s := r.session
	r.exec.Server = s.server
	r.served = gwroute.Server{Name: s.server, Primary: s.write}
	res := e.exec(ctx, r, s.transaction)
	if res.Event != gwoutcome.Answered || res.TxStatus == 'I' {
		s.transaction.Close()
		s.transaction = nil
	}
	return res
}
