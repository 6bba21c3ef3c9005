package gwowner

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Session runs the requests of one caller at this owner. It holds a connection
// while a transaction is open. It is not safe for concurrent use.
type Session struct {
	owner *Owner
	open  *transaction
}

// transaction is an open transaction with its connection.
type transaction struct {
	server *server
	conn   gwbackend.Connection
	term   uint64
	write  bool

	mu    sync.Mutex
	busy  bool
	ended bool
	timer clockwork.Timer
}

// NewSession returns a session without an open transaction.
func (o *Owner) NewSession() *Session { return &Session{owner: o} }

// Exec runs one request and writes its answer to out.
func (s *Session) Exec(ctx context.Context, req *Request, out io.Writer) Result {
	now := s.owner.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	if s.open != nil {
		return s.continueTransaction(ctx, req, out)
	}
	srv := s.owner.begin(req.Server)
	if srv == nil {
		return failed(gwoutcome.NotOwner, "this instance does not own backend server "+req.Server)
	}
	defer srv.active.Add(-1)
	var r Result
	if req.Access == Write {
		r = s.write(ctx, srv, req, now.Add(req.Timeout), out)
	} else {
		r = s.read(ctx, srv, req, now.Add(req.Timeout), out)
	}
	r.Report = srv.report()
	return r
}

// Close rolls back the open transaction, if any.
func (s *Session) Close() {
	if s.open != nil {
		s.abandon()
	}
}

func (s *Session) read(ctx context.Context, srv *server, req *Request, deadline time.Time, out io.Writer) Result {
	g := srv.group()
	primary := g.Primary == srv.facts.Server
	// The primary proves by its lease that no later primary has taken writes.
	underLease := primary && !req.SkipChecks && srv.holdsLease(g.Term)
	if req.RequireLease && !underLease {
		return failed(gwoutcome.NoLease, errNoLease.Error())
	}
	if !req.SkipChecks && !underLease {
		r, ok := srv.readable(ctx, req, g)
		if !ok {
			return r
		}
	}
	sink := &heldSink{out: out, limit: holdReadBytes}
	x := srv.run(ctx, req, deadline, sink, nil)
	if x.event != gwoutcome.Answered {
		return x.failure(sink)
	}
	if isReadOnlyError(x.Result) && !sink.relayed {
		s.keep(srv, x, g.Term, false)
		s.Close()
		return failed(gwoutcome.ServerReadOnly, "the statement writes and the server is a replica")
	}
	if underLease && !srv.holdsLease(g.Term) {
		s.keep(srv, x, g.Term, false)
		s.Close()
		return x.stale(sink)
	}
	if !x.Position.IsZero() {
		// A statement that looked like a read has written.
		return s.acknowledge(ctx, srv, req, g, x, sink)
	}
	s.keep(srv, x, g.Term, false)
	return x.finish(sink)
}

// stale is the result of a read at a primary whose lease ended meanwhile.
func (x execution) stale(sink *heldSink) Result {
	r := failed(gwoutcome.TooStale, "the primary's lease ended during the read")
	r.Relayed = sink.relayed
	return r
}

// readable checks that the server satisfies the position and staleness of req,
// waiting for the position when the request allows.
func (s *server) readable(ctx context.Context, req *Request, g gwcontrol.GroupView) (Result, bool) {
	if req.Line != nil {
		return s.requirePosition(ctx, req)
	}
	p := s.position()
	if g.Diverged(p) {
		return failed(gwoutcome.TooStale, "the server holds writes that its group has dropped"), false
	}
	if !p.AtLeast(req.Position) {
		wctx, cancel := context.WithTimeout(ctx, req.MaxWait)
		defer cancel()
		reached, err := s.backend.WaitPosition(wctx, req.Position)
		if err != nil || !reached.Position.AtLeast(req.Position) {
			return failed(gwoutcome.TooStale, "the server has not reached position "+req.Position.String()), false
		}
	}
	if req.Staleness > 0 {
		if staleness, known := s.staleness(g); !known || staleness > req.Staleness {
			return failed(gwoutcome.TooStale, "the server's data is older than the class accepts"), false
		}
	}
	return Result{}, true
}

// requirePosition sets the position that the server itself checks before it runs
// the statement: that of the session, and one that is as fresh as the class wants. It
// waits until the server is expected to have the position.
func (s *server) requirePosition(ctx context.Context, req *Request) (Result, bool) {
	now := s.owner.clock.Now()
	held := s.backend.Held()
	after := req.Position
	s.mu.Lock()
	if req.Staleness > 0 {
		p, ok := s.history.Required(now, req.Staleness)
		if !ok {
			s.mu.Unlock()
			return failed(gwoutcome.FreshnessUnknown, "the primary's position has not been known for longer than the class accepts"), false
		}
		if p.AtLeast(after) {
			after = p
		}
	}
	wait := s.history.ExpectedWait(held, now, after)
	s.mu.Unlock()
	if wait > req.MaxWait {
		return failed(gwoutcome.TooStale, "the server is expected to reach position "+after.String()+" in "+wait.String()+", it held "+held.Position.String()), false
	}
	if wait > 0 {
		select {
		case <-ctx.Done():
			return failed(gwoutcome.Expired, ctx.Err().Error()), false
		case <-s.owner.clock.After(wait):
		}
	}
	line := *req.Line
	line.After = after
	req.Line = &line
	return Result{}, true
}

func (s *Session) write(ctx context.Context, srv *server, req *Request, deadline time.Time, out io.Writer) Result {
	g := srv.group()
	switch {
	case g.Primary != srv.facts.Server || g.Changing:
		return failed(gwoutcome.ServerReadOnly, "the server is not the group's primary")
	case !srv.holdsLease(g.Term):
		return failed(gwoutcome.NoLease, errNoLease.Error())
	}
	sink := &heldSink{out: out, limit: holdWriteBytes}
	if req.Key != "" {
		return s.writeKeyed(ctx, srv, req, g, deadline, sink)
	}
	x := srv.run(ctx, req, deadline, sink, func() bool { return srv.holdsLease(g.Term) })
	if x.event != gwoutcome.Answered {
		if x.event == gwoutcome.ServerReadOnly {
			s.owner.suspect(srv)
		}
		r := x.failure(sink)
		r.Term = g.Term
		return r
	}
	if isReadOnlyError(x.Result) && !sink.relayed {
		s.owner.suspect(srv)
		return failed(gwoutcome.ServerReadOnly, "the server refuses writes")
	}
	if !x.Position.IsZero() {
		return s.acknowledge(ctx, srv, req, g, x, sink)
	}
	s.keep(srv, x, g.Term, true)
	if s.open != nil && !srv.holdsLease(g.Term) {
		// What the transaction read may be older than a later primary's writes.
		s.Close()
		return x.stale(sink)
	}
	return x.finish(sink)
}

// acknowledge passes the answer on once the commit at x.Position is confirmed
// and the lease still holds.
func (s *Session) acknowledge(ctx context.Context, srv *server, req *Request, g gwcontrol.GroupView, x execution, sink *heldSink) Result {
	s.keep(srv, x, g.Term, true)
	if e := srv.settle(ctx, req, g, x.Position); e != gwoutcome.Answered {
		s.Close()
		r := failed(e, settleDetail(e))
		r.Term, r.Relayed = g.Term, sink.relayed
		return r
	}
	r := x.finish(sink)
	r.Position, r.Term = x.Position, g.Term
	return r
}

func settleDetail(e gwoutcome.Event) string {
	if e == gwoutcome.Unconfirmed {
		return "the write was committed and no replica confirmed it in time"
	}
	return "the write was committed and the primary's lease ended before it was acknowledged"
}

// settle decides whether a commit may be acknowledged.
func (s *server) settle(ctx context.Context, req *Request, g gwcontrol.GroupView, p gwsession.Position) gwoutcome.Event {
	// A transaction that wrote nothing ends at the position of an earlier commit.
	if p.Term > g.Term || p.Term < g.Term && req.Line == nil {
		return gwoutcome.LeaseLost
	}
	if !req.PrimaryAcknowledges {
		started := s.owner.clock.Now()
		if err := s.confirm.wait(ctx, p); err != nil {
			return gwoutcome.Unconfirmed
		}
		s.owner.metrics.ConfirmWait(req.Class, s.facts.Group, s.owner.clock.Since(started))
	}
	if !s.holdsLease(g.Term) {
		return gwoutcome.LeaseLost
	}
	s.noteCommit(p)
	return gwoutcome.Answered
}

// keep holds the connection while the transaction is open.
func (s *Session) keep(srv *server, x execution, term uint64, write bool) {
	if x.conn == nil || s.open != nil {
		return
	}
	t := &transaction{server: srv, conn: x.conn, term: term, write: write}
	s.open = t
	srv.pin(t)
	t.armIdle(s.owner.idleLimit())
}

func (s *Session) continueTransaction(ctx context.Context, req *Request, out io.Writer) Result {
	t := s.open
	t.server.active.Add(1)
	defer t.server.active.Add(-1)
	if !t.begin() {
		s.open = nil
		return failed(gwoutcome.BrokenBeforeSend, "the transaction was rolled back because it was idle for too long or its server got another owner")
	}
	if t.write && !t.server.holdsLease(t.term) {
		s.abandon()
		return failed(gwoutcome.NoLease, "the transaction was rolled back because the primary's lease ended")
	}
	sink := &heldSink{out: out, limit: holdReadBytes}
	release := t.server.admission.acquireUrgent()
	x := t.server.exchange(ctx, t.conn, req.Request, sink)
	release()
	if x.event != gwoutcome.Answered {
		s.leave(false)
		r := x.failure(sink)
		r.Term = t.term
		return r
	}
	if x.TxStatus != 'I' {
		if t.write && !t.server.holdsLease(t.term) {
			s.abandon()
			return x.stale(sink)
		}
		t.armIdle(s.owner.idleLimit())
		return x.finish(sink)
	}
	s.leave(true)
	if x.Position.IsZero() {
		return x.finish(sink)
	}
	if e := t.server.settle(ctx, req, gwcontrol.GroupView{Term: t.term}, x.Position); e != gwoutcome.Answered {
		r := failed(e, settleDetail(e))
		r.Term, r.Relayed = t.term, sink.relayed
		return r
	}
	r := x.finish(sink)
	r.Position, r.Term = x.Position, t.term
	return r
}

// leave gives the connection of a finished transaction back.
func (s *Session) leave(reusable bool) {
	t := s.open
	s.open = nil
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	t.server.unpin(t)
	t.server.backend.Pool().Release(t.conn, reusable)
}

// abandon rolls the transaction back, whose connection is kept.
func (s *Session) abandon() {
	if s.open.end() {
		s.open.server.discard(s.open)
	}
	s.open = nil
}

// begin claims the transaction for a statement, unless the idle limit ended it.
func (t *transaction) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.ended {
		return false
	}
	t.busy = true
	return true
}

// end marks the transaction as ended and reports whether it was open.
func (t *transaction) end() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	open := !t.ended
	t.ended = true
	return open
}

func (t *transaction) armIdle(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy = false
	t.timer = t.server.owner.clock.AfterFunc(limit, t.expire)
}

// expire rolls back a transaction that was idle for too long, so that it does
// not keep its connection and locks from others.
func (t *transaction) expire() {
	t.mu.Lock()
	idle := !t.busy && !t.ended
	if idle {
		t.ended = true
		if t.timer != nil {
			t.timer.Stop()
		}
	}
	t.mu.Unlock()
	if idle {
		t.server.discard(t)
	}
}

// discard gives the connection of an abandoned transaction back to the pool,
// which rolls it back.
func (s *server) discard(t *transaction) {
	s.unpin(t)
	s.backend.Pool().Release(t.conn, true)
}

func (s *server) pin(t *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transactions == nil {
		s.transactions = make(map[*transaction]bool)
	}
	s.transactions[t] = true
}

func (s *server) unpin(t *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.transactions, t)
}

// endTransactions rolls back the open transactions of a released primary, each
// between two of its statements, once they have had their time.
func (s *server) endTransactions(ctx context.Context) {
	started := s.owner.clock.Now()
	for ctx.Err() == nil {
		open := s.openTransactions()
		if len(open) == 0 {
			return
		}
		if s.owner.clock.Since(started) >= s.owner.handOver {
			for _, t := range open {
				t.expire()
			}
		}
		s.owner.clock.Sleep(activePoll)
	}
}

func (s *server) openTransactions() []*transaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.transactions))
}

// finish passes the held answer on.
func (x execution) finish(sink *heldSink) Result {
	if err := sink.flush(); err != nil {
		return Result{Event: gwoutcome.PeerBroken, State: gwoutcome.SQLStateConnectionUnknown, Message: err.Error(), TxStatus: x.TxStatus}
	}
	r := Result{Event: gwoutcome.Answered, TxStatus: x.TxStatus, Relayed: true}
	if x.ServerError != nil {
		r.SQLError = x.ServerError.Code
	}
	return r
}

// failure describes an exchange that was not answered completely.
func (x execution) failure(sink *heldSink) Result {
	r := failed(x.event, x.detail)
	r.Relayed = sink.relayed
	return r
}

func isReadOnlyError(r gwbackend.Result) bool {
	return r.ServerError != nil && r.ServerError.Code == sqlReadOnly && r.TxStatus == 'I'
}
