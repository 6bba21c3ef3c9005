package gwbackend

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/pkg/gwsession"
)

const (
	defaultPollInterval = 200 * time.Millisecond
	defaultWaitInterval = 3 * time.Millisecond
	pollTimeout         = time.Second

	// fullPollIntervals is the number of poll intervals after which the server is
	// queried even while it sends positions on its own, since these do not include its
	// role.
	fullPollIntervals = 5
)

// ServerOptions configures a Server.
type ServerOptions struct {
	Pool         PoolOptions
	Dialect      Dialect       // nil: StandinDialect
	PollInterval time.Duration // time between position queries without waiters; 0: 200 ms
	WaitInterval time.Duration // time between position queries with waiters; 0: 3 ms
}

// Server is one backend server: its pool, its dialect and its position.
type Server struct {
	o       ServerOptions
	pool    *Pool
	stop    context.CancelFunc
	done    chan struct{}
	pollNow chan struct{} // wakes the poll loop for a new waiter

	mu           sync.Mutex
	report       Report
	validAt      time.Time // time at which the report was valid
	polledAt     time.Time // start of the last successful query
	lastObserved time.Time // arrival of the last position that the server sent on its own
	observation  gwsession.Observation
	err          error // of the last query
	waiters      map[*positionWaiter]struct{}
	run          runSpan
}

// runSpan is a time in which a server is known not to have started again: a connection that was
// opened at its beginning, or one that overlaps with it, was answered at its end.
type runSpan struct{ since, until time.Time }

// extend returns the span after an answer to a statement that was sent at sent over a connection
// that was opened at opened. A connection that was opened after the last answer may be to a later
// run.
func (r runSpan) extend(opened, sent time.Time) runSpan {
	if opened.After(r.until) {
		return runSpan{since: opened, until: sent}
	}
	if sent.Before(r.since) {
		return r // recorded late, of a connection that was replaced
	}
	if opened.Before(r.since) {
		r.since = opened
	}
	if sent.After(r.until) {
		r.until = sent
	}
	return r
}

type positionWaiter struct {
	position gwsession.Position
	reached  chan Report
}

// NewServer starts a server's pool and the polling of its position.
func NewServer(o ServerOptions) *Server {
	o.Pool.setDefaults()
	if o.Dialect == nil {
		o.Dialect = StandinDialect{}
	}
	if o.PollInterval <= 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.WaitInterval <= 0 {
		o.WaitInterval = defaultWaitInterval
	}
	s := &Server{
		done: make(chan struct{}), pollNow: make(chan struct{}, 1),
		waiters: make(map[*positionWaiter]struct{}),
	}
	o.Pool.Dial = o.Dialect.Dial
	next := o.Pool.OnPosition
	o.Pool.OnPosition = func(p gwsession.Position) {
		s.recordPosition(p)
		if next != nil {
			next(p)
		}
	}
	s.o = o
	s.pool = NewPool(o.Pool)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go s.pollLoop(ctx)
	return s
}

// Pool returns the server's connections.
func (s *Server) Pool() *Pool { return s.pool }

// Report returns the last known report and the time at which it was valid, zero if
// there is none yet. err is the error of the last query, nil if it succeeded.
func (s *Server) Report() (r Report, at time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report, s.validAt, s.err
}

// ObservedPosition returns the last position that the server sent on its own, with an
// answer or between answers, and when it arrived. It is the position up to which the
// server has applied its log, whereas a Report may also count entries that are received
// and not yet applied.
func (s *Server) ObservedPosition() gwsession.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.observation
}

// Refresh queries the server for its report.
func (s *Server) Refresh(ctx context.Context) (Report, error) {
	return s.runControl(ctx, func(ctx context.Context, c Connection) (Report, error) {
		return s.o.Dialect.Position(ctx, c)
	})
}

// queryRetryDelay is the time between two queries of a server that is too busy to report.
const queryRetryDelay = 10 * time.Millisecond

// Query returns a report that the server gave after the call; Refresh returns an earlier one while
// the server is too busy.
func (s *Server) Query(ctx context.Context) (Report, error) {
	return s.runControl(ctx, func(ctx context.Context, c Connection) (Report, error) {
		for {
			r, err := s.o.Dialect.Position(ctx, c)
			if !errors.Is(err, ErrServerBusy) {
				return r, err
			}
			t := s.o.Pool.Clock.NewTimer(queryRetryDelay)
			select {
			case <-ctx.Done():
				t.Stop()
				return Report{}, context.Cause(ctx)
			case <-t.Chan():
			}
		}
	})
}

// Fence makes the server refuse writes of terms before the given one.
func (s *Server) Fence(ctx context.Context, term uint64) (Report, error) {
	return s.runControl(ctx, func(ctx context.Context, c Connection) (Report, error) {
		return s.o.Dialect.Fence(ctx, c, term)
	})
}

// Promote makes the server the primary of the term.
func (s *Server) Promote(ctx context.Context, term uint64) (start gwsession.Position, err error) {
	_, err = s.runControl(ctx, func(ctx context.Context, c Connection) (Report, error) {
		var err error
		if start, err = s.o.Dialect.Promote(ctx, c, term); err != nil {
			return Report{}, err
		}
		return s.o.Dialect.Position(ctx, c)
	})
	return start, err
}

// Follow makes the server a replica of the primary at the address.
func (s *Server) Follow(ctx context.Context, term uint64, primaryAddress string) (dropped uint64, err error) {
	_, err = s.runControl(ctx, func(ctx context.Context, c Connection) (Report, error) {
		var err error
		if dropped, err = s.o.Dialect.Follow(ctx, c, term, primaryAddress); err != nil {
			return Report{}, err
		}
		return s.o.Dialect.Position(ctx, c)
	})
	return dropped, err
}

// runControl calls fn, which runs control statements and returns a report, with the
// control connection, and records the report or the error.
func (s *Server) runControl(ctx context.Context, fn func(context.Context, Connection) (Report, error)) (Report, error) {
	c, err := s.pool.AcquireControl(ctx)
	if err != nil {
		s.recordError(err)
		return Report{}, err
	}
	opened, control := s.pool.controlOpened(c)
	start := s.now()
	r, err := fn(ctx, c)
	s.pool.Release(c, c.Usable())
	if errors.Is(err, ErrServerBusy) {
		return s.recordBusy(start)
	}
	if err != nil {
		s.recordError(err)
		return Report{}, err
	}
	s.recordReport(r, start)
	if control {
		s.mu.Lock()
		s.run = s.run.extend(opened, start)
		s.mu.Unlock()
	}
	return r, nil
}

// SameRunSince returns since when the server is known not to have started again, up to the last
// answer to a control statement. It returns zero without a connection that is reserved for these.
func (s *Server) SameRunSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run.since
}

// PresentRun returns the start of the time in which the server is known not to have started again, and
// false if the connection over which that is known has ended. Without a connection that is reserved
// for control statements it returns zero and true, as nothing is known.
func (s *Server) PresentRun() (since time.Time, shown bool) {
	reserved, open := s.pool.controlState()
	if !reserved {
		return time.Time{}, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run.since, open && !s.run.since.IsZero()
}

// Since returns the time that has passed since t by the clock of the server's pool.
func (s *Server) Since(t time.Time) time.Duration { return s.now().Sub(t) }

func (s *Server) now() time.Time { return s.o.Pool.Clock.Now() }

func (s *Server) recordError(err error) {
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()
}

// recordBusy records that the server was too busy to report: it is alive, and its last
// report remains valid.
func (s *Server) recordBusy(start time.Time) (Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.polledAt.IsZero() {
		return Report{}, &Error{Op: "query", Kind: KindServer, Server: s.o.Pool.Name, Err: ErrServerBusy}
	}
	s.validAt, s.err = start, nil
	return s.report, nil
}

// recordReport records the answer to a query that was sent at start. The position may
// go back, if the server dropped the end of its log, but not behind a position that
// the server sent on its own after the start of the query.
func (s *Server) recordReport(r Report, start time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if start.Before(s.polledAt) {
		return
	}
	if s.lastObserved.After(start) && s.report.Position.Compare(r.Position) > 0 {
		r.Position = s.report.Position
	}
	s.report, s.validAt, s.polledAt, s.err = r, start, start, nil
	s.notifyWaiters()
}

// recordPosition records a position that the server sent on its own.
func (s *Server) recordPosition(p gwsession.Position) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastObserved = now
	s.observation = gwsession.Observation{Position: p, At: now}
	if s.polledAt.IsZero() || p.Compare(s.report.Position) < 0 {
		return
	}
	s.report.Position, s.validAt = p, now
	s.notifyWaiters()
}

// notifyWaiters ends the waits for positions that have been reached. s.mu is held.
func (s *Server) notifyWaiters() {
	for w := range s.waiters {
		if s.report.Position.AtLeast(w.position) {
			delete(s.waiters, w)
			w.reached <- s.report
		}
	}
}

// WaitPosition waits until the server has reached the position. All waiters
// share one sequence of queries. Errors are of KindNotSent.
func (s *Server) WaitPosition(ctx context.Context, p gwsession.Position) (Report, error) {
	s.mu.Lock()
	if !s.polledAt.IsZero() && s.report.Position.AtLeast(p) {
		r := s.report
		s.mu.Unlock()
		return r, nil
	}
	w := &positionWaiter{position: p, reached: make(chan Report, 1)}
	s.waiters[w] = struct{}{}
	s.mu.Unlock()
	select {
	case s.pollNow <- struct{}{}:
	default:
	}
	var err error
	select {
	case r := <-w.reached:
		return r, nil
	case <-ctx.Done():
		err = context.Cause(ctx)
	case <-s.done:
		err = ErrClosed
	}
	s.mu.Lock()
	delete(s.waiters, w)
	last := s.report.Position
	s.mu.Unlock()
	return Report{}, &Error{Op: "wait for position", Kind: KindNotSent, Server: s.o.Pool.Name, Err: errors.Wrapf(err, "position %s, waiting for %s", last, p)}
}

// pollLoop polls the position until ctx ends.
func (s *Server) pollLoop(ctx context.Context) {
	defer close(s.done)
	for {
		pollFailed := false
		if s.pollDue() {
			pollFailed = s.poll(ctx) != nil
		}
		wait := s.o.PollInterval
		pollNow := s.pollNow
		switch {
		case pollFailed:
			pollNow = nil // waiters do not cause more queries to a server that refuses connections
		case s.hasWaiters():
			wait = s.o.WaitInterval
		}
		t := s.o.Pool.Clock.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.Chan():
		case <-pollNow:
			t.Stop()
		}
	}
}

func (s *Server) hasWaiters() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters) > 0
}

// pollDue reports whether a query is due. While nobody waits for a position and the
// server sends positions on its own, only the infrequent full poll is due.
func (s *Server) pollDue() bool {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters) > 0 || now.Sub(s.lastObserved) >= s.o.PollInterval ||
		now.Sub(s.polledAt) >= fullPollIntervals*s.o.PollInterval
}

func (s *Server) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	_, err := s.Refresh(ctx)
	return err
}

// Close stops polling and closes the pool; see Pool.Close.
func (s *Server) Close(ctx context.Context) error {
	s.stop()
	<-s.done
	return s.pool.Close(ctx)
}
