package gwowner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/pkg/gwlimit"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// server is one owned backend server.
type server struct {
	owner     *Owner
	facts     gwcontrol.ServerFacts
	backend   *gwbackend.Server
	admission *admission
	confirm   *confirmer
	cancel    context.CancelFunc

	flights flights

	// active counts the requests that have not been answered, those that wait
	// for a confirmation included.
	active atomic.Int64
	// overdue counts the statements that run without a slot, see slotHold.
	overdue atomic.Int64

	mu        sync.Mutex
	health    gwoutcome.Health
	freshness gwsession.Freshness
	history   gwsession.History
	// freshTerm is the group's term to which freshness applies.
	freshTerm uint64
	// base is the reign for which committed covers every earlier acknowledged write.
	base      reign
	committed gwsession.Position
	// track holds earlier values of committed, for answers to the owners of replicas.
	track gwsession.AckHistory
	// leased is the last time at which the lease of the primary was seen valid.
	leased time.Time
	// transactions are the open ones.
	transactions map[*transaction]bool
	// checking means that a supervision of the server is running.
	checking bool
	openedAt time.Time
	// sweptAt is when old request keys were last removed.
	sweptAt time.Time
	// askedAt is when the freshness of a replica was last asked for.
	askedAt time.Time
	// followed is the last term whose primary the server was told to follow.
	followed uint64
}

// group returns the agreed state of the server's group.
func (s *server) group() gwcontrol.GroupView {
	return s.owner.views.Current().Groups[s.facts.Group]
}

// holdsLease reports whether this instance may acknowledge writes at term.
func (s *server) holdsLease(term uint64) bool {
	return term != 0 && s.owner.leases.Valid(s.facts.Group, term)
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

// noteCommit records the position of a commit at the primary.
func (s *server) noteCommit(p gwsession.Position) {
	now := s.owner.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.AtLeast(s.committed) {
		s.committed = p
	}
	s.track.Record(now, s.committed)
}

// barrier returns a position that covers every write acknowledged before the
// call, provided that the lease holds after it.
func (s *server) barrier(ctx context.Context) (gwsession.Position, error) {
	g := s.group()
	if g.Primary != s.facts.Server || g.Changing || !s.holdsLease(g.Term) {
		return gwsession.Position{}, errNoLease
	}
	now := reign{term: g.Term, grant: s.owner.leases.Grant(g.Group)}
	p, known := s.barrierPosition(now)
	if !known {
		r, err := s.backend.Refresh(ctx)
		if err != nil {
			return gwsession.Position{}, err
		}
		p = s.setBase(now, r.Position)
	}
	if !s.holdsLease(g.Term) || s.owner.leases.Grant(g.Group) != now.grant {
		return gwsession.Position{}, errNoLease
	}
	return p, nil
}

var errNoLease = errors.New("the owner holds no lease for the group's primary")

// reign is one term of a primary under one grant of the write lease. An instance
// that was cut off for a while gets the lease of the same term back after another
// one has acknowledged writes.
type reign struct{ term, grant uint64 }

func (s *server) barrierPosition(now reign) (gwsession.Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committed, s.base == now
}

// setBase records that p, read from the primary in this reign, covers every write
// that an earlier owner acknowledged.
func (s *server) setBase(now reign, p gwsession.Position) gwsession.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.AtLeast(s.committed) {
		s.committed = p
	}
	if s.base != now {
		s.track.Reset()
	}
	s.base = now
	return s.committed
}

// staleness returns an upper bound of how old the server's data is.
func (s *server) staleness(g gwcontrol.GroupView) (time.Duration, bool) {
	now := s.owner.clock.Now()
	primary := g.Primary == s.facts.Server
	leased := primary && s.holdsLease(g.Term)
	r, _, _ := s.backend.Report()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case leased:
		s.leased = now
		return 0, true
	case primary && !s.leased.IsZero():
		return now.Sub(s.leased), true
	}
	if s.freshTerm != g.Term {
		return 0, false
	}
	s.freshness.RecordReplica(r.Position)
	return s.freshness.Staleness(now)
}

// answered records the primary's position as of the time a question was sent, and
// what it was earlier.
func (s *server) answered(term uint64, sent time.Time, p gwsession.Position, earlier []gwsession.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freshTerm != term {
		s.freshness.Reset()
		s.freshTerm = term
	}
	s.freshness.RecordPrimary(sent, p)
	for _, e := range earlier {
		s.history.Record(sent.Add(-e.Age), e.Position)
	}
	s.history.Record(sent, p)
}

// report describes the server to an entry instance.
func (s *server) report() Report {
	g := s.group()
	staleness, known := s.staleness(g)
	behind, behindKnown := s.behind()
	return Report{
		Lag: behind, LagKnown: behindKnown,
		Position:       s.position(),
		Staleness:      staleness,
		StalenessKnown: known,
		Load:           float64(s.admission.load()) / float64(max(1, s.facts.Slots)),
		ServiceTime:    s.admission.service(),
	}
}

// behind returns how old the log of a replica was when it last sent its position.
func (s *server) behind() (time.Duration, bool) {
	held := s.backend.Held()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Lag(held)
}

// observe records how an attempt ended for the decision on ejection.
func (s *server) observe(e gwoutcome.Event) {
	now := s.owner.clock.Now()
	s.mu.Lock()
	before := s.health.Ejected(now)
	ejected := s.health.Observe(e, now)
	s.mu.Unlock()
	if ejected && !before {
		s.owner.log.Warn("backend server ejected", "server", s.facts.Server, "group", s.facts.Group, "cause", e.String())
		s.owner.suspect(s)
	}
}

// execution is the end of one statement at the backend server.
type execution struct {
	gwbackend.Result
	event  gwoutcome.Event
	detail string
	conn   gwbackend.Connection
}

// run takes a slot and a connection and sends the request. The caller gets the
// connection in the execution when the transaction is still open.
func (s *server) run(ctx context.Context, req *Request, deadline time.Time, sink gwbackend.Sink, ready func() bool) execution {
	queued := s.owner.clock.Now()
	release, err := s.admission.acquire(ctx, req.Class, deadline, req.QueueWait)
	if err != nil {
		return execution{event: admissionEvent(err), detail: err.Error()}
	}
	release = s.bounded(release, s.flights.hold())
	defer release()
	s.owner.metrics.QueueWait(req.Class, s.facts.Group, s.owner.clock.Since(queued))
	conn, err := s.backend.Pool().Acquire(ctx)
	if err != nil {
		e := acquireEvent(err)
		s.observe(e)
		return execution{event: e, detail: err.Error()}
	}
	if ready != nil && !ready() {
		s.backend.Pool().Release(conn, true)
		return execution{event: gwoutcome.NoLease, detail: errNoLease.Error()}
	}
	x := s.exchange(ctx, conn, req.Request, sink)
	if x.event == gwoutcome.Answered && x.TxStatus != 'I' {
		x.conn = conn
		return x
	}
	if r, ok := conn.(gwbackend.Recoverer); ok && x.event == gwoutcome.TimedOut {
		go s.recover(conn, r)
		return x
	}
	// A refused statement leaves the connection usable; the pool ends a
	// transaction that was opened for it.
	s.backend.Pool().Release(conn, x.event == gwoutcome.Answered || x.Refusal != 0)
	return x
}

// maxOverdue is the number of statements that may have given their slot up before
// their end. It covers a server that loses 10 answers a second; at one that is slow,
// more would fill its own queue of 16 and make it slower still: a group of the grown
// deployment refused a tenth of its statements for 15 s after the cause had gone.
const maxOverdue = 8

// States of a statement that may give its slot up, see bounded.
const (
	holdsSlot int32 = iota
	overdueWithoutSlot
	statementEnded
)

// bounded returns release so that it runs once, usually at the latest after hold.
func (s *server) bounded(release func(), hold time.Duration) func() {
	once := sync.OnceFunc(release)
	var state atomic.Int32
	t := s.owner.clock.AfterFunc(hold, func() {
		// The statement may end at this moment: it is counted only if its end will
		// see that it was.
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

// recoverTimeout bounds the wait for the answer to a statement that was given up.
// Above it a new connection, which costs 12 ms of a slot, is cheaper.
const recoverTimeout = 300 * time.Millisecond

// recover keeps the connection of a statement that was given up, once its answer
// has come.
func (s *server) recover(conn gwbackend.Connection, r gwbackend.Recoverer) {
	ctx, cancel := context.WithTimeout(s.owner.ctx, recoverTimeout)
	defer cancel()
	err := r.Recover(ctx)
	s.backend.Pool().Release(conn, err == nil)
}

// exchange sends one request on a connection and classifies its end.
func (s *server) exchange(ctx context.Context, conn gwbackend.Connection, req gwbackend.Request, sink gwbackend.Sink) execution {
	ctx, f := s.flights.begin(ctx, s.owner.clock.Now(), req)
	res, err := conn.Exchange(ctx, req, sink)
	x := execution{Result: res, event: exchangeEvent(ctx, res, err)}
	s.flights.end(f, s.owner.clock.Now(), err == nil)
	switch {
	case err != nil:
		x.detail = err.Error()
	case x.Refusal != 0 && (x.TxStatus == 'I' || opens(req)):
		x.event, x.detail = x.Refusal, "the server refused: "+x.ServerError.Message
	}
	s.observe(x.event)
	return x
}

// opens reports whether the request opens a transaction, so that nothing has run
// in it before.
func opens(req gwbackend.Request) bool { return req.Line != nil && req.Line.Begin != gwbackend.NoBegin }

// sqlReadOnly is the SQLSTATE of a write that reached a replica.
const sqlReadOnly = "25006"

func exchangeEvent(ctx context.Context, res gwbackend.Result, err error) gwoutcome.Event {
	switch {
	case err == nil:
		return gwoutcome.Answered
	case gwbackend.KindOf(err) == gwbackend.KindSink:
		return gwoutcome.PeerBroken
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

func acquireEvent(err error) gwoutcome.Event {
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return gwoutcome.Expired
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
