package gwquotas

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwfilter"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwtelemetry"
	"gentianward.example/gentianward/pkg/gwquota"
)

// Metrics receives the decisions of an instance.
type Metrics interface {
	// QuotaDecision counts an operation of a customer by its outcome at this agent.
	QuotaDecision(customer, outcome string)
	// Gauge adds a metric whose value is read from f; once for each name and labels.
	Gauge(name string, f func() float64, labels ...gwtelemetry.Label)
}

// Options configures a Service.
type Options struct {
	Node  *gwpeer.Node
	Clock clockwork.Clock
	Log   *slog.Logger
	Views *gwcontrol.Views
	// Topology returns the live instances.
	Topology func() *gwcontrol.Topology
	// Epoch returns a number that is greater than that of every earlier run of this instance, 0
	// until it is known.
	Epoch func() uint64
	// Report sends a report to the leader.
	Report  func(ctx context.Context, r gwquota.Report) (gwquota.Answer, error)
	Rules   gwquota.Rules
	Metrics Metrics
}

// Service admits the operations of customers that arrive at one instance, and is the agent of some
// customers. It implements gwfilter.Quota.
type Service struct {
	Options
	limits  atomic.Pointer[limits]
	agents  atomic.Pointer[agents]
	leaving atomic.Bool
	// began is when this run of the instance began.
	began time.Time
	// joinedAt is when other members were first seen; mu guards it.
	joinedAt time.Time

	failures  failures
	exhausted exhausted
	grants    grants
	changes   changeLog
	wake      chan struct{}

	mu    sync.Mutex
	agent *gwquota.Agent // nil until the epoch is known
}

var _ gwfilter.Quota = (*Service)(nil)

// limits holds the limits of one manifest.
type limits struct {
	manifest   *gwmanifest.Index
	byCustomer map[string]gwquota.Limit
}

// New returns a service and registers its handlers.
func New(o Options) *Service {
	s := &Service{Options: o, began: o.Clock.Now(), wake: make(chan struct{}, 1)}
	s.failures.until = make(map[string]time.Time)
	s.changes.log = o.Log
	s.limits.Store(&limits{})
	gwpeer.Handle(o.Node, gwcontrol.KindQuotaAdmit, func(_ context.Context, _ string, r admitRequest) (admitAnswer, error) {
		return s.admitHere(r), nil
	})
	gwpeer.Handle(o.Node, gwcontrol.KindQuotaReturn, func(_ context.Context, _ string, r admitRequest) (gwcontrol.Empty, error) {
		s.returnHere(r)
		return gwcontrol.Empty{}, nil
	})
	return s
}

// currentLimits returns the limits of the current manifest, which apply at once.
func (s *Service) currentLimits() *limits {
	m := s.Views.Current().Manifest
	l := s.limits.Load()
	if l.manifest == m {
		return l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Read again: another goroutine may have applied a later manifest.
	m = s.Views.Current().Manifest
	if l = s.limits.Load(); l.manifest == m {
		return l
	}
	l = &limits{manifest: m, byCustomer: gwcontrol.QuotaLimits(m, s.Rules)}
	s.limits.Store(l)
	s.applyLimits(l)
	return l
}

// applyLimits sets the limits of the agent; the caller holds the lock.
func (s *Service) applyLimits(l *limits) {
	if s.agent == nil {
		return
	}
	s.agent.SetLimits(s.Clock.Now(), l.byCustomer)
	s.want()
}

// want tells the agent whose customers' agent it is; the caller holds the lock.
func (s *Service) want() {
	a := s.currentAgents()
	wants := !s.leaving.Load() && s.settled(a.topology)
	s.agent.SetWanted(func(customer string) bool { return wants && a.isAgent(customer) })
}

// settled reports whether the instance has known other members for settleTime. While the members
// find one another, each takes itself for the agent, and after a loss of power everywhere shares
// went to 40 instances before they came to the 18 agents.
func (s *Service) settled(t *gwcontrol.Topology) bool {
	now := s.Clock.Now()
	if s.joinedAt.IsZero() && (len(t.Live) > 1 || now.Sub(s.began) >= aloneTime) {
		s.joinedAt = now
	}
	return !s.joinedAt.IsZero() && now.Sub(s.joinedAt) >= settleTime
}

const (
	// settleTime is three intervals of the gossip within a data centre.
	settleTime = 300 * time.Millisecond
	// aloneTime is the time without other members after which an instance is taken to be alone.
	aloneTime = 3 * time.Second
)

// currentAgents returns the agents according to the current topology.
func (s *Service) currentAgents() *agents {
	t := s.Topology()
	a := s.agents.Load()
	if a == nil || a.topology != t {
		without := ""
		if s.leaving.Load() {
			without = t.Self.Instance
		}
		a = newAgents(t, without)
		s.agents.Store(a)
	}
	return a
}

// Run reports to the leader until ctx ends.
func (s *Service) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Views.Changed():
			s.currentLimits()
			continue
		case <-s.Clock.After(s.untilNext()):
		case <-s.wake:
		}
		s.step(ctx)
	}
}

// startInterval is the time between two attempts of the first report of a run, for which a new
// leader waits before it assigns shares.
const startInterval = 100 * time.Millisecond

// untilNext returns the time until the next step. Intervals begin at multiples of the interval, so
// that a step in between does not delay them.
func (s *Service) untilNext() time.Duration {
	now := s.Clock.Now()
	wait := gwquota.ReportInterval - time.Duration(now.UnixNano())%gwquota.ReportInterval
	limited := len(s.currentLimits().byCustomer) > 0
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.agent == nil && !limited:
		return wait
	case s.agent == nil, !s.agent.Announced(), !s.settled(s.Topology()):
		return min(wait, startInterval)
	case s.agent.Next().IsZero():
		return wait
	}
	return max(0, min(wait, s.agent.Next().Sub(now)))
}

// step sends a report if one is due, and applies the answer.
func (s *Service) step(ctx context.Context) {
	l := s.currentLimits()
	for range 2 { // the second time if the leader needs a complete report
		r, ok := s.report(l)
		if !ok {
			return
		}
		if again := s.send(ctx, r); !again {
			return
		}
	}
}

// report returns the report to send now.
func (s *Service) report(l *limits) (gwquota.Report, bool) {
	epoch := s.Epoch()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.agent == nil {
		if epoch == 0 || len(l.byCustomer) == 0 {
			return gwquota.Report{}, false
		}
		s.agent = gwquota.NewAgent(epoch, s.began)
		s.applyLimits(l)
	}
	now := s.Clock.Now()
	s.want()
	s.agent.Measure(now)
	_, valid := s.agent.Valid(now)
	s.changes.noteValid(valid, now)
	return s.agent.Report(now)
}

// send sends a report and applies the answer. again means that another report is needed at once.
func (s *Service) send(ctx context.Context, r gwquota.Report) (again bool) {
	ctx, cancel := context.WithTimeout(ctx, gwquota.MaxAnswerAge)
	defer cancel()
	answer, err := s.Report(ctx, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.agent.Failed()
		s.Log.Debug("shares of customers' limits not renewed", "error", err)
		return false
	}
	now := s.Clock.Now()
	changes, again := s.agent.Apply(now, answer)
	_, valid := s.agent.Valid(now)
	s.changes.noteValid(valid, now)
	s.changes.note(changes, now)
	for _, c := range changes {
		s.Metrics.Gauge("gentianward_quota_share", func() float64 { return s.Share(c.Customer) }, gwtelemetry.Label{Name: "customer", Value: c.Customer})
	}
	return again
}

// Release gives up all shares, for a planned stop. This instance is no agent from then on. Run must
// continue until the report has been sent; otherwise the shares end after gwquota.Validity.
func (s *Service) Release() {
	s.leaving.Store(true)
	s.agents.Store(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.agent == nil {
		return
	}
	s.agent.Release(s.Clock.Now())
	s.changes.valid = false
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Share returns the share of a customer's limit that this instance holds.
func (s *Service) Share(customer string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.agent == nil {
		return 0
	}
	return float64(s.agent.Share(s.Clock.Now(), customer)) / float64(gwquota.Whole)
}
