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

// Session runs the requests of one caller on servers that this instance owns. It keeps
// a connection while a transaction is open. It is not safe for concurrent use.
type Session struct {
	owner *Owner
	open  *transaction
}

// transaction is an open transaction with its connection. write means that it needs the
// lease for term, and busy that a statement is running.
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
	srv := s.owner.beginRequest(req.Server)
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
		s.rollback()
	}
}

func (s *Session) read(ctx context.Context, srv *server, req *Request, deadline time.Time, out io.Writer) Result {
	g := srv.group()
	primary := g.Primary == srv.facts().Server
	// The lease proves that no later primary has accepted writes.
	underLease := primary && !req.SkipChecks && srv.holdsLease(g.Term)
	if req.RequireLease && !underLease {
		return failed(gwoutcome.NoLease, errNoLease.Error())
	}
	check := srv.checkReadable
	if underLease {
		check = srv.checkLead
	}
	if !req.SkipChecks {
		if r, ok := check(ctx, req, g); !ok {
			return r
		}
	}
	sink := &bufferedSink{out: out, limit: readBufferBytes}
	x := srv.run(ctx, req, deadline, sink, nil)
	if underLease && x.event == gwoutcome.TooStale {
		srv.endLead(g, "the primary lacks acknowledged writes")
		return failed(gwoutcome.NoLease, errNotLeading.Error())
	}
	if x.event != gwoutcome.Answered {
		return x.failure(sink)
	}
	if isReadOnlyError(x.Result) && !sink.relayed {
		s.keepTransaction(srv, x, g.Term, false)
		s.Close()
		return failed(gwoutcome.ServerReadOnly, "the statement writes, but the server is a replica")
	}
	if underLease && !srv.holdsLease(g.Term) {
		s.keepTransaction(srv, x, g.Term, false)
		s.Close()
		return x.leaseEnded(sink)
	}
	if !x.Position.IsZero() {
		// The statement was classified as a read but has written.
		return s.acknowledge(ctx, srv, req, g, x, sink)
	}
	s.keepTransaction(srv, x, g.Term, false)
	return x.deliver(sink)
}

// leaseEnded returns the result of a read at a primary whose lease ended in the meantime.
func (x execution) leaseEnded(sink *bufferedSink) Result {
	r := failed(gwoutcome.TooStale, "the primary's lease ended during the read")
	r.Relayed = sink.relayed
	return r
}

// checkReadable checks that the server satisfies the position and staleness of req. It
// waits for the position for up to req.MaxWait. If it returns false, the result is that
// of the request.
func (s *server) checkReadable(ctx context.Context, req *Request, g gwcontrol.GroupView) (Result, bool) {
	if req.Statement != nil {
		return s.requirePosition(ctx, req)
	}
	p := s.position()
	if g.Diverged(p) {
		return failed(gwoutcome.TooStale, "the server holds writes that its group has discarded"), false
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

// requirePosition sets the position that the server itself checks before it runs the
// statement: the later one of req.Position and the least position that satisfies
// req.Staleness. It waits until the server is expected to have reached it.
func (s *server) requirePosition(ctx context.Context, req *Request) (Result, bool) {
	now := s.owner.clock.Now()
	observed := s.backend.ObservedPosition()
	after := req.Position
	s.mu.Lock()
	if req.Staleness > 0 {
		p, ok := s.history.Required(now, req.Staleness)
		if !ok {
			s.mu.Unlock()
			return failed(gwoutcome.FreshnessUnknown, "the primary's position has been unknown for longer than the class accepts"), false
		}
		if p.AtLeast(after) {
			after = p
		}
	}
	wait := s.history.ExpectedWait(observed, now, after)
	s.mu.Unlock()
	if wait > req.MaxWait {
		return failed(gwoutcome.TooStale, "the server is expected to reach position "+after.String()+" in "+wait.String()+"; its last known position is "+observed.Position.String()), false
	}
	if wait > 0 {
		select {
		case <-ctx.Done():
			return failed(gwoutcome.Expired, ctx.Err().Error()), false
		case <-s.owner.clock.After(wait):
		}
	}
	req.requireAfter(after)
	return Result{}, true
}

// requireAfter makes the server check that its log contains p before it runs the statement. The caller's
// statement is not changed.
func (r *Request) requireAfter(p gwsession.Position) {
	stmt := *r.Statement
	stmt.After = p
	r.Statement = &stmt
}

func (s *Session) write(ctx context.Context, srv *server, req *Request, deadline time.Time, out io.Writer) Result {
	g := srv.group()
	switch {
	case g.Primary != srv.facts().Server || g.Changing:
		return failed(gwoutcome.ServerReadOnly, "the server is not the group's primary")
	case !srv.holdsLease(g.Term):
		return failed(gwoutcome.NoLease, errNoLease.Error())
	}
	sink := &bufferedSink{out: out, limit: writeBufferBytes}
	if req.Key != "" {
		return s.writeKeyed(ctx, srv, req, g, deadline, sink)
	}
	x := srv.run(ctx, req, deadline, sink, func() bool { return srv.holdsLease(g.Term) })
	if x.event != gwoutcome.Answered {
		if x.event == gwoutcome.ServerReadOnly {
			s.owner.recheck(srv)
		}
		r := x.failure(sink)
		r.Term = g.Term
		return r
	}
	if isReadOnlyError(x.Result) && !sink.relayed {
		s.owner.recheck(srv)
		return failed(gwoutcome.ServerReadOnly, "the server refuses writes")
	}
	if !x.Position.IsZero() {
		return s.acknowledge(ctx, srv, req, g, x, sink)
	}
	s.keepTransaction(srv, x, g.Term, true)
	if s.open != nil && !srv.holdsLease(g.Term) {
		// A later primary may have accepted writes that the transaction has not read.
		s.Close()
		return x.leaseEnded(sink)
	}
	return x.deliver(sink)
}

// acknowledge passes the answer on once the commit at x.Position is confirmed, provided
// that the lease is still held then.
func (s *Session) acknowledge(ctx context.Context, srv *server, req *Request, g gwcontrol.GroupView, x execution, sink *bufferedSink) Result {
	s.keepTransaction(srv, x, g.Term, true)
	if e := srv.confirmCommit(ctx, req, g, x); e != gwoutcome.Answered {
		s.Close()
		r := failed(e, commitFailureDetail(e))
		r.Term, r.Relayed = g.Term, sink.relayed
		return r
	}
	r := x.deliver(sink)
	r.Position, r.Term = x.Position, g.Term
	return r
}

// commitFailureDetail describes why a commit is not acknowledged.
func commitFailureDetail(e gwoutcome.Event) string {
	if e == gwoutcome.Unconfirmed {
		return "the write was committed, but no replica confirmed it in time"
	}
	return "the write was committed, but the primary's lease ended before it was acknowledged"
}

// confirmCommit waits for the confirmation of the commit of x if req requires one. It
// returns Answered if the commit may be acknowledged.
func (s *server) confirmCommit(ctx context.Context, req *Request, g gwcontrol.GroupView, x execution) gwoutcome.Event {
	p := x.Position
	// In the statement protocol, a transaction that wrote nothing reports the position of an
	// earlier commit, which may be of an earlier term.
	if p.Term > g.Term || p.Term < g.Term && req.Statement == nil {
		return gwoutcome.LeaseLost
	}
	choice, ok := s.awaitConfirmation(ctx, req, g.Term, x)
	if !ok {
		return gwoutcome.Unconfirmed
	}
	for {
		if !s.awaitRecordedCopies(ctx, g.Term, choice) {
			return gwoutcome.Unconfirmed
		}
		if !s.awaitLease(ctx, g.Term) {
			return gwoutcome.LeaseLost
		}
		if s.recordCommit(g.Term, p, choice) {
			return gwoutcome.Answered
		}
		// The lease has changed since. Another instance may have held it.
	}
}

// awaitConfirmation waits until a replica has confirmed the commit of x, if req requires that, or until its
// position is kept. It returns the choice of the backup that keeps it, 0 if none does.
func (s *server) awaitConfirmation(ctx context.Context, req *Request, term uint64, x execution) (choice uint64, ok bool) {
	started := s.owner.clock.Now()
	switch {
	case !req.PrimaryAcknowledges:
		ok = s.confirm.wait(ctx, x.Position) == nil
	case s.guardsAcks():
		choice, ok = s.keepAck(ctx, term, x.Position, x.shared)
	default:
		return 0, true
	}
	if ok {
		s.owner.metrics.ConfirmWait(req.Class, s.facts().Group, s.owner.clock.Since(started))
	}
	return choice, ok
}

// keepTransaction keeps the connection of x in the session if a transaction is open on it.
func (s *Session) keepTransaction(srv *server, x execution, term uint64, write bool) {
	if x.conn == nil || s.open != nil {
		return
	}
	t := &transaction{server: srv, conn: x.conn, term: term, write: write}
	s.open = t
	srv.addTransaction(t)
	t.startIdleTimer(s.owner.idleLimit())
}

func (s *Session) continueTransaction(ctx context.Context, req *Request, out io.Writer) Result {
	t := s.open
	t.server.active.Add(1)
	defer t.server.active.Add(-1)
	if !t.beginStatement() {
		s.open = nil
		return failed(gwoutcome.BrokenBeforeSend, "the transaction was rolled back because it was idle for too long or its server moved to another owner")
	}
	if t.write && !t.server.holdsLease(t.term) {
		s.rollback()
		return failed(gwoutcome.NoLease, "the transaction was rolled back because the primary's lease ended")
	}
	sink := &bufferedSink{out: out, limit: readBufferBytes}
	x := t.server.exchangeWithoutSlot(ctx, t.conn, req.Request, sink)
	if x.event != gwoutcome.Answered {
		s.finishTransaction(false)
		r := x.failure(sink)
		r.Term = t.term
		return r
	}
	if x.TxStatus != 'I' {
		if t.write && !t.server.holdsLease(t.term) {
			s.rollback()
			return x.leaseEnded(sink)
		}
		t.startIdleTimer(s.owner.idleLimit())
		return x.deliver(sink)
	}
	s.finishTransaction(true)
	if x.Position.IsZero() {
		return x.deliver(sink)
	}
	if e := t.server.confirmCommit(ctx, req, gwcontrol.GroupView{Term: t.term}, x); e != gwoutcome.Answered {
		r := failed(e, commitFailureDetail(e))
		r.Term, r.Relayed = t.term, sink.relayed
		return r
	}
	r := x.deliver(sink)
	r.Position, r.Term = x.Position, t.term
	return r
}

// finishTransaction returns the connection of a transaction that has ended to the pool.
func (s *Session) finishTransaction(reusable bool) {
	t := s.open
	s.open = nil
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	t.server.removeTransaction(t)
	t.server.backend.Pool().Release(t.conn, reusable)
}

// rollback rolls back the open transaction, unless it has been rolled back already.
func (s *Session) rollback() {
	if s.open.markEnded() {
		s.open.server.discard(s.open)
	}
	s.open = nil
}

// beginStatement marks the transaction as busy and stops the idle timer. It returns false
// if the transaction has been rolled back.
func (t *transaction) beginStatement() bool {
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

// markEnded marks the transaction as ended and reports whether it was open.
func (t *transaction) markEnded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	open := !t.ended
	t.ended = true
	return open
}

// startIdleTimer marks the transaction as idle and rolls it back if it is still idle
// after limit.
func (t *transaction) startIdleTimer(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy = false
	t.timer = t.server.owner.clock.AfterFunc(limit, t.expire)
}

// expire rolls the transaction back if it is idle, so that it does not occupy its
// connection and locks any longer.
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

// discard returns the connection of an open transaction to the pool, which rolls the
// transaction back.
func (s *server) discard(t *transaction) {
	s.removeTransaction(t)
	s.backend.Pool().Release(t.conn, true)
}

func (s *server) addTransaction(t *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transactions == nil {
		s.transactions = make(map[*transaction]bool)
	}
	s.transactions[t] = true
}

func (s *server) removeTransaction(t *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.transactions, t)
}

// endTransactions waits until the transactions of a released primary have ended. After
// Options.HandOver it rolls back those that are left, each between two statements.
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
		s.owner.clock.Sleep(activePollInterval)
	}
}

func (s *server) openTransactions() []*transaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.transactions))
}

// deliver passes the buffered answer on and returns the result of the request.
func (x execution) deliver(sink *bufferedSink) Result {
	if err := sink.flush(); err != nil {
		return Result{Event: gwoutcome.PeerBroken, State: gwoutcome.SQLStateConnectionUnknown, Message: err.Error(), TxStatus: x.TxStatus}
	}
	r := Result{Event: gwoutcome.Answered, TxStatus: x.TxStatus, Relayed: true}
	if x.ServerError != nil {
		r.SQLError = x.ServerError.Code
	}
	return r
}

// failure returns the result of a request that was not run or not answered completely.
func (x execution) failure(sink *bufferedSink) Result {
	r := failed(x.event, x.detail)
	r.Relayed = sink.relayed
	return r
}

// isReadOnlyError reports whether the server refused a write as read-only and no
// transaction is open.
func isReadOnlyError(r gwbackend.Result) bool {
	return r.ServerError != nil && r.ServerError.Code == sqlReadOnly && r.TxStatus == 'I'
}
