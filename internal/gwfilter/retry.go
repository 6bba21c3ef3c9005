package gwfilter

import (
	"context"
	"time"

	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwroute"
)

// barrierTimeout bounds one call for a primary's position.
const barrierTimeout = 500 * time.Millisecond

// retry repeats a request until it is answered, its failure cannot be retried, or the
// time to wait for a primary or another server is over.
func (e *Entry) retry(next handler) handler {
	return func(ctx context.Context, r *request) gwowner.Result {
		if r.session.transaction != nil {
			return next(ctx, r)
		}
		e.countFirstAttempt()
		for countedAttempts := 1; ; {
			r.attempts++
			res := next(ctx, r)
			r.spendQuota(res)
			if res.Relayed && res.Event != gwoutcome.Answered && r.w.Discard() {
				res.Relayed = false
			}
			if gwoutcome.CountsAsAttempt(res.Event) {
				countedAttempts++
			}
			if res.Event == gwoutcome.Answered || !e.prepareRetry(ctx, r, res, countedAttempts) {
				if r.refused.Event != 0 && res.Event == noServer {
					return r.refused // more specific than noServer
				}
				return res
			}
			if e.takeQuota(ctx, r) != nil {
				return res // the attempt that may have run decides the outcome
			}
			if gwoutcome.CountsAsAttempt(res.Event) {
				e.logAttempt("statement retried", r, res)
			}
		}
	}
}

func (e *Entry) countFirstAttempt() {
	if !e.budgetUsed.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.RecordRequest()
	e.budgetUsed.Store(!e.budget.Full())
}

// prepareRetry reports whether the request is attempted again. It updates the request
// for the next attempt and waits where that is required. countedAttempts counts the
// next attempt and the earlier ones that failed (see gwoutcome.CountsAsAttempt).
func (e *Entry) prepareRetry(ctx context.Context, r *request, res gwowner.Result, countedAttempts int) bool {
	decision := gwoutcome.ShouldRetry(res.Event, gwoutcome.Request{
		Read: r.read(), Repeatable: r.rules.class.Retry || r.rules.class.ReadOnly, Relayed: res.Relayed, Keyed: r.exec.Key != "",
		Remaining: r.deadline.Sub(e.Clock.Now()), Attempts: countedAttempts,
	})
	switch decision {
	case gwoutcome.Elsewhere:
		return e.excludeServer(ctx, r, res)
	case gwoutcome.Refresh:
		return e.waitForChange(ctx, r)
	default:
		return r.read() && res.Event == gwoutcome.ServerReadOnly && e.retryAsWrite(r)
	}
}

// excludeServer excludes the server that refused or failed, and reports whether the
// request is attempted again. When no server is left, all are tried again after a pause,
// for as long as callers may wait for a change of primary. There is no such round if the
// last server was full or too stale: the caller gets the refusal at once and has time
// to retry.
func (e *Entry) excludeServer(ctx context.Context, r *request, res gwowner.Result) bool {
	if res.Event == noServer && r.served.Name == "" {
		if r.refused.Event != 0 {
			return false
		}
		r.need.Excluded = nil
		return e.waitForChange(ctx, r)
	}
	r.refused = gwowner.Result{}
	if gwoutcome.IsBusyOrLagging(res.Event) {
		if aim := r.rules.class.Aim.Duration; aim > 0 && e.Clock.Since(r.started) > aim/refusalsDivisor {
			return false // on congested links, each refusal takes long
		}
		r.refused = res
	}
	if gwoutcome.CountsAsAttempt(res.Event) && !e.takeRetry() {
		return false
	}
	if r.need.Excluded == nil {
		r.need.Excluded = make(map[string]bool)
	}
	r.need.Excluded[r.served.Name] = true
	return true
}

// refusalsDivisor divides a class's latency aim to give the time in which refusals by one
// server are followed by a try at another.
const refusalsDivisor = 4

// noServer is the event of a request for which no server could be chosen.
const noServer = gwoutcome.TooStale

func (e *Entry) takeRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budgetUsed.Store(true)
	return e.budget.Take()
}

// retryAsWrite makes a statement that was classified as a read a write, and reports
// whether that is allowed.
func (e *Entry) retryAsWrite(r *request) bool {
	if r.rules.class.ReadOnly || r.need.Write {
		return false
	}
	r.kind = stmtWrite
	r.need.Write = true
	r.exec.Access = gwowner.Write
	return true
}

// waitForChange waits for a change of the control state, at most for the next pause of
// the backoff. It returns false if ctx ends, and at once if the request has already waited
// for the limit GapWait, this instance has lost contact with the leader, or the change of
// primary cannot end by itself.
func (e *Entry) waitForChange(ctx context.Context, r *request) bool {
	waited := e.Clock.Since(r.started)
	limit := r.rules.limits.GapWait.Duration
	if waited >= limit {
		return false
	}
	if e.LeaderLost != nil && e.LeaderLost() {
		// The control state will not change here soon. The caller can try another
		// instance.
		return false
	}
	g := e.Views.Current().Groups[r.session.group]
	if g.Wait != "" {
		return false
	}
	if g.Changing {
		defer func() { r.held += e.Clock.Since(r.started) - waited }()
	}
	select {
	case <-ctx.Done():
		return false
	case <-e.Views.Changed():
	case <-e.Clock.After(min(r.backoff.Next(e.rng.Float64()), limit-waited)):
	}
	return true
}

// execute chooses a server and runs the request at the server's owner.
func (e *Entry) execute(ctx context.Context, r *request) gwowner.Result {
	s := r.session
	r.exec.Timeout = r.deadline.Sub(e.Clock.Now())
	if s.transaction != nil {
		return e.execInTransaction(ctx, r)
	}
	if r.rules.class.ReadOnly && r.kind == stmtWrite {
		return gwowner.Result{Event: gwoutcome.Expired, State: sqlstateReadOnlyClass, Message: "not run: class " + s.class + " is read-only", TxStatus: 'I'}
	}
	if r.need.Policy == gwroute.RoundRobin {
		r.need.Turn = e.nextTurn()
	}
	switch c := e.choose(r).(type) {
	case gwroute.Serve:
		return e.serve(ctx, r, c)
	case gwroute.Reject:
		r.served = gwroute.Server{}
		reason := c.Reason
		if e.Views.Current().Groups[s.group].Wait != "" {
			reason = "the group waits for an operator, as an acknowledged write may be missing from the copies that are left"
		}
		if r.need.Write {
			return notRun(gwoutcome.NoLease, reason)
		}
		return notRun(noServer, reason)
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
	return e.attempt(ctx, r, c.Server.Name, up)
}

// attempt runs the request at a server over up, which it closes unless a transaction is
// open on it afterwards.
func (e *Entry) attempt(ctx context.Context, r *request, server string, up upstream) (res gwowner.Result) {
	kept := false
	defer func() {
		if !kept {
			up.Close()
		}
	}()
	started := e.Clock.Now()
	_, local := up.(localUpstream)
	if !local {
		if res, ok := e.servers.held(server, up.Owner(), &r.exec, started); ok {
			return res
		}
	}
	if !e.servers.beginAttempt(server, up.Owner()) {
		return notRun(gwoutcome.QueueFull, "too many statements at the server have not been answered yet")
	}
	// Deferred, so that a panic leaves no attempt counted and no stream open.
	defer func() { e.servers.endAttempt(server, up.Owner(), res, started, e.Clock.Now(), r.exec.MaxWait) }()
	res = e.exec(ctx, r, up)
	if !local {
		e.servers.recordRefusal(server, up.Owner(), &r.exec, res, e.Clock.Now(), e.rng.Float64())
	}
	if res.Event == gwoutcome.Answered && res.TxStatus != 'I' {
		s := r.session
		s.transaction, s.transactionServer, s.transactionWrites = up, server, r.need.Write
		kept = true
	}
	return res
}

// execInTransaction runs a request in the open transaction.
func (e *Entry) execInTransaction(ctx context.Context, r *request) gwowner.Result {
	s := r.session
	r.exec.Server = s.transactionServer
	r.served = gwroute.Server{Name: s.transactionServer, Primary: s.transactionWrites}
	res := e.exec(ctx, r, s.transaction)
	if res.Event != gwoutcome.Answered || res.TxStatus == 'I' {
		s.transaction.Close()
		s.transaction = nil
	}
	return res
}
