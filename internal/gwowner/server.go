package gwowner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/pkg/gwlimit"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// server is one owned backend server.
type server struct {
	owner *Owner
	// known holds the latest facts, see facts.
	known     atomic.Pointer[gwcontrol.ServerFacts]
	backend   *gwbackend.Server
	admission *admission
	confirm   *confirmer
	cancel    context.CancelFunc

	pending  pendingStatements
	speed    *speed // nil if speeds are not estimated
	received received
	copies   recordedCopies

	// active counts the requests that have not been answered, including those that wait
	// for a confirmation.
	active atomic.Int64
	// overdue counts the statements that have given up their slot, see limitSlotHold.
	overdue atomic.Int64
	// answered counts the commits in the log that were answered.
	answered answeredCommits

	mu        sync.Mutex
	health    gwoutcome.Health
	freshness gwsession.Freshness
	history   gwsession.History
	// freshnessTerm is the term of the group for which freshness is valid.
	freshnessTerm uint64
	// basePeriod is the lease period in which committed is known to cover every write
	// that earlier owners acknowledged.
	basePeriod leasePeriod
	// baseRun is the run of the server that showed it.
	baseRun time.Time
	// leadQuery joins the questions for it.
	leadQuery singleflight.Group
	// committed is the latest position known to be committed at the primary.
	committed gwsession.Position
	// ackHistory holds earlier values of committed, for responses to the owners of replicas.
	ackHistory gwsession.AckHistory
	// leaseSeenAt is when the lease of the primary was last found valid.
	leaseSeenAt time.Time
	// transactions holds the open transactions.
	transactions map[*transaction]bool
	// checking means that superviseAll is checking the server.
	checking bool
	// supervisedSince is when the server was first supervised as a primary.
	supervisedSince time.Time
	// heardAt is when the server was last heard from as a primary, and heardAwake how long
	// this process had run then, see standstill.
	heardAt    time.Time
	heardAwake time.Duration
	// keysSweptAt is when expired request keys were last removed.
	keysSweptAt time.Time
	// freshnessAskedAt is when the owner of a replica last asked for the primary's position.
	freshnessAskedAt time.Time
	// followedTerm is the last term whose primary the server was told to follow.
	followedTerm uint64
	// changeSeen means that the server is no witness, see witnessReplica.
	changeSeen bool
}

// facts returns what the server has announced about itself.
func (s *server) facts() gwcontrol.ServerFacts { return *s.known.Load() }

// group returns the state of the server's group in the replicated log.
func (s *server) group() gwcontrol.GroupView {
	return s.owner.views.Current().Groups[s.facts().Group]
}

// holdsLease reports whether this instance may acknowledge writes under term.
func (s *server) holdsLease(term uint64) bool {
	return term != 0 && s.owner.leases.Valid(s.facts().Group, term)
}

// position returns the last known position of the server.
func (s *server) position() gwsession.Position {
	r, _, _ := s.backend.Report()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.committed.AtLeast(r.Position) {
		return s.committed
	}
	return r.Position
}

// recordCommit records the position of a commit of the term that is acknowledged. It returns false,
// and the commit may not be acknowledged, without the lease or, unless choice is 0, if the log does not
// name the backup of that choice under it. What this instance tells of its acknowledged position after
// the end of the lease is therefore final.
func (s *server) recordCommit(term uint64, p gwsession.Position, choice uint64) bool {
	now := s.owner.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holdsLease(term) || choice != 0 && !s.backupRecorded(term, choice) {
		return false
	}
	if p.AtLeast(s.committed) {
		s.committed = p
	}
	s.ackHistory.Record(now, s.committed)
	if s.guardsAcks() {
		s.storeAcked(term, p, false)
	}
	return true
}

// staleness returns an upper bound of the age of the server's data, and false if none
// is known.
func (s *server) staleness(g gwcontrol.GroupView) (time.Duration, bool) {
	now := s.owner.clock.Now()
	primary := g.Primary == s.facts().Server
	leased := primary && s.holdsLease(g.Term)
	r, _, _ := s.backend.Report()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case leased:
		s.leaseSeenAt = now
		return 0, true
	case primary && !s.leaseSeenAt.IsZero():
		return now.Sub(s.leaseSeenAt), true
	}
	if s.freshnessTerm != g.Term {
		return 0, false
	}
	s.freshness.RecordReplica(r.Position)
	return s.freshness.Staleness(now)
}

// recordPrimaryPosition records p, the answer to a request for the primary's position
// that was sent at the given time, and the earlier positions that came with it.
func (s *server) recordPrimaryPosition(term uint64, sent time.Time, p gwsession.Position, earlier []gwsession.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freshnessTerm != term {
		s.freshness.Reset()
		s.freshnessTerm = term
	}
	s.freshness.RecordPrimary(sent, p)
	for _, e := range earlier {
		s.history.Record(sent.Add(-e.Age), e.Position)
	}
	s.history.Record(sent, p)
}

// report returns the state of the server for an entry instance.
func (s *server) report() Report {
	g := s.group()
	staleness, known := s.staleness(g)
	lag, lagKnown := s.lag()
	return Report{
		Lag: lag, LagKnown: lagKnown,
		Position:       s.position(),
		Staleness:      staleness,
		StalenessKnown: known,
		Load:           float64(s.admission.load()) / float64(max(1, s.facts().Slots)),
		ServiceTime:    s.expectedService(),
		Speed:          s.reportSpeed(s.owner.clock.Now()),
	}
}

// lag returns how old the log of a replica was when it last sent its position, and
// false if that is not known.
func (s *server) lag() (time.Duration, bool) {
	observed := s.backend.ObservedPosition()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Lag(observed)
}

// observe records how an attempt ended, which may eject the server. The owner checks
// an ejected server again at once.
func (s *server) observe(e gwoutcome.Event) {
	now := s.owner.clock.Now()
	s.mu.Lock()
	before := s.health.Ejected(now)
	ejected := s.health.Observe(e, now)
	s.mu.Unlock()
	if ejected && !before {
		s.owner.log.Warn("backend server ejected", "server", s.facts().Server, "group", s.facts().Group, "cause", e.String())
		s.owner.recheck(s)
	}
}

// execution describes how one statement ended at the backend server. conn is set while
// its transaction is still open.
type execution struct {
	gwbackend.Result
	event  gwoutcome.Event
	detail string
	conn   gwbackend.Connection
	// shared means that Position includes commits that have not been answered.
	shared bool
}

// run acquires a slot and a connection and executes the request. leaseHeld, unless nil,
// is called before the request is sent; if it returns false the request is not run.
func (s *server) run(ctx context.Context, req *Request, deadline time.Time, sink gwbackend.Sink, leaseHeld func() bool) execution {
	conn, release, x := s.acquire(ctx, req, deadline, 1, leaseHeld)
	if conn == nil {
		return x
	}
	defer release()
	panicked := true
	defer s.discardIf(&panicked, conn)
	timed := s.beginTimed(req.Class, sink)
	defer timed.end()
	x = s.exchange(ctx, conn, req.Request, sink)
	panicked = false
	timed.setAnswered(x.event == gwoutcome.Answered)
	if x.event == gwoutcome.Answered && x.TxStatus != 'I' {
		x.conn = conn
		return x
	}
	if r, ok := conn.(gwbackend.Recoverer); ok && x.event == gwoutcome.TimedOut {
		go s.recoverConnection(conn, r)
		return x
	}
	// A statement that was refused or not sent leaves the connection usable. The pool rolls
	// back a transaction that was opened for it.
	s.backend.Pool().Release(conn, x.event == gwoutcome.Answered || x.event == gwoutcome.NotEncodable || x.Refusal != 0)
	return x
}

// acquire acquires a slot, for up to the given number of exchanges, and a connection. It
// returns the function that releases the slot. If it fails, the connection is nil and the
// execution tells why.
func (s *server) acquire(ctx context.Context, req *Request, deadline time.Time, exchanges int, leaseHeld func() bool) (gwbackend.Connection, func(), execution) {
	queued := s.owner.clock.Now()
	if err := s.awaitConnection(ctx, req); err != nil {
		return nil, nil, execution{event: awaitEvent(ctx), detail: err.Error()}
	}
	release, err := s.admission.acquire(ctx, &gwlimit.Item{
		Class: req.Class, Customer: req.Customer, Deadline: deadline, MaxWait: remainingWait(req.QueueWait, s.owner.clock.Since(queued)), Key: operationKey(req),
	})
	if err != nil {
		s.owner.countRefusal(req.Class, err)
		return nil, nil, execution{event: admissionEvent(err), detail: err.Error()}
	}
	release = s.limitSlotHold(release, time.Duration(exchanges)*s.pending.slotLimit())
	s.owner.metrics.QueueWait(req.Class, s.facts().Group, s.owner.clock.Since(queued))
	conn, err := s.backend.Pool().AcquireFor(ctx, req.Customer)
	if err != nil {
		release()
		e := acquireEvent(err)
		s.observe(e)
		return nil, nil, execution{event: e, detail: err.Error()}
	}
	if leaseHeld != nil && !leaseHeld() {
		s.backend.Pool().Release(conn, true)
		release()
		return nil, nil, execution{event: gwoutcome.NoLease, detail: errNoLease.Error()}
	}
	return conn, release, execution{}
}

// discardIf closes a connection whose request ended by a panic, in a deferred call. The
// pool would otherwise count it as in use for ever.
func (s *server) discardIf(panicked *bool, conn gwbackend.Connection) {
	if *panicked {
		s.backend.Pool().Release(conn, false)
	}
}

// maxOverdue is the number of statements per server that may have given up their slot
// and still run. It suffices for a server that loses 10 answers per second. At a slow
// server, more of them would fill the server's own queue of 16 and slow it down further:
// a group then refused a tenth of its statements for 15 s after the cause had gone.
const maxOverdue = 8

// States of a statement that may give up its slot, see limitSlotHold.
const (
	holdsSlot int32 = iota
	overdueWithoutSlot
	statementEnded
)

// limitSlotHold returns the function to call at the end of a statement, which calls
// release. If the statement has not ended after the time hold, release is called then,
// unless maxOverdue other statements of the server are overdue. release is called only
// once.
func (s *server) limitSlotHold(release func(), hold time.Duration) func() {
	once := sync.OnceFunc(release)
	var state atomic.Int32
	t := s.owner.clock.AfterFunc(hold, func() {
		// The statement may be ending concurrently. It stays counted as overdue only if
		// its end will find the state changed and undo the count.
		if s.overdue.Add(1) > maxOverdue || !state.CompareAndSwap(holdsSlot, overdueWithoutSlot) {
			s.overdue.Add(-1)
			return
		}
		once()
	})
	return func() {
		t.Stop()
		once()
		if state.Swap(statementEnded) == overdueWithoutSlot {
			s.overdue.Add(-1)
		}
	}
}

// recoverTimeout bounds the wait for the answer to an abandoned statement. A new
// connection, which occupies a slot for 12 ms, is cheaper than a longer wait.
const recoverTimeout = 300 * time.Millisecond

// recoverConnection returns the connection of an abandoned statement to the pool once
// the answer has arrived, and has it closed if it does not arrive in time.
func (s *server) recoverConnection(conn gwbackend.Connection, r gwbackend.Recoverer) {
	ctx, cancel := context.WithTimeout(s.owner.ctx, recoverTimeout)
	defer cancel()
	err := r.Recover(ctx)
	s.backend.Pool().Release(conn, err == nil)
}

// exchange runs one request on a connection and classifies how it ended.
func (s *server) exchange(ctx context.Context, conn gwbackend.Connection, req gwbackend.Request, sink gwbackend.Sink) execution {
	ctx, pending := s.pending.begin(ctx, s.owner.clock.Now(), conn, req)
	answered := false
	defer func() { s.pending.end(pending, s.owner.clock.Now(), answered) }()
	res, err := conn.Exchange(ctx, req, sink)
	x := execution{Result: res, event: exchangeEvent(ctx, res, err)}
	answered = err == nil
	x.shared = s.answered.add(res.Position)
	switch {
	case err != nil:
		x.detail = err.Error()
	case x.Refusal != 0 && (x.TxStatus == 'I' || opensTransaction(req)):
		x.event, x.detail = x.Refusal, "the server refused the request: "+x.ServerError.Message
	}
	// A deadline that a long message exceeds tells nothing about the server.
	if x.event != gwoutcome.TimedOut || !pending.onItsWay() {
		s.observe(x.event)
	}
	return x
}

// exchangeWithoutSlot runs a later request of a transaction, which waits for no slot.
func (s *server) exchangeWithoutSlot(ctx context.Context, conn gwbackend.Connection, req gwbackend.Request, sink gwbackend.Sink) execution {
	defer s.admission.acquireWithoutSlot()()
	return s.exchange(ctx, conn, req, sink)
}

// opensTransaction reports whether the request opens a transaction, so that no earlier
// statement has run in it.
func opensTransaction(req gwbackend.Request) bool {
	return req.Statement != nil && req.Statement.Begin != gwbackend.NoBegin
}

// sqlReadOnly is the SQLSTATE with which a replica or a fenced primary refuses a write.
const sqlReadOnly = "25006"

func exchangeEvent(ctx context.Context, res gwbackend.Result, err error) gwoutcome.Event {
	switch {
	case err == nil:
		return gwoutcome.Answered
	case !res.Sent && errors.Is(err, gwbackend.ErrNotEncodable):
		return gwoutcome.NotEncodable
	case gwbackend.KindOf(err) == gwbackend.KindSink:
		return gwoutcome.PeerBroken
	case errors.Is(err, gwbackend.ErrUnreadable) && res.Sent:
		return gwoutcome.ReplyUnreadable
	case errors.Is(err, gwbackend.ErrUnreadable), errors.Is(err, gwbackend.ErrSessionUnknown):
		return gwoutcome.SessionNotSet
	case !res.Sent:
		return gwoutcome.BrokenBeforeSend
	case errors.Is(context.Cause(ctx), errAnswerLost):
		return gwoutcome.AnswerLost
	case ctx.Err() != nil:
		return gwoutcome.TimedOut
	default:
		return gwoutcome.BrokenAfterSend
	}
}

// awaitEvent returns the event of a request that no connection became available for.
func awaitEvent(ctx context.Context) gwoutcome.Event {
	if ctx.Err() != nil {
		return gwoutcome.Expired
	}
	return gwoutcome.QueueFull
}

func acquireEvent(err error) gwoutcome.Event {
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return gwoutcome.Expired
	case errors.Is(err, gwbackend.ErrNotEncodable):
		return gwoutcome.NotEncodable
	case errors.Is(err, gwbackend.ErrUnreadable):
		return gwoutcome.BrokenBeforeSend
	case gwbackend.ServerError(err) != nil:
		return gwoutcome.ServerRefused
	default:
		return gwoutcome.DialFailed
	}
}

func admissionEvent(err error) gwoutcome.Event {
	var e *gwlimit.Error
	if errors.As(err, &e) && (e.Kind == gwlimit.QueueFull || e.Kind == gwlimit.Overloaded) {
		return gwoutcome.QueueFull
	}
	if errors.As(err, &e) && e.Kind == gwlimit.Closed {
		return gwoutcome.NotOwner
	}
	return gwoutcome.Expired
}
