package gwowner

import (
	"errors"
	"math"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwtelemetry"
	"gentianward.example/gentianward/pkg/gwlimit"
	"gentianward.example/gentianward/pkg/gwspeed"
)

// Speed is the part of a Report about a server that is not at its usual speed. It is left out
// otherwise, so that other servers cost no bytes and are chosen as before.
type Speed struct {
	// Percent is how long statements take, in hundredths of the usual time of their class.
	Percent uint32 `cbor:"1,keyasint,omitempty"`
	// Slots is the number of statements at once that the server handles well.
	Slots int `cbor:"2,keyasint,omitempty"`
	// Errors is the share of statements that are not answered, in hundredths.
	Errors uint32 `cbor:"3,keyasint,omitempty"`
	// Confidence is the confidence in Percent, in hundredths.
	Confidence uint32 `cbor:"4,keyasint,omitempty"`
	// AgeMillis is how long before the report the server last answered, in milliseconds.
	AgeMillis uint32 `cbor:"5,keyasint,omitempty"`
}

// speedLogInterval is the least time between two log lines about the speed of a server.
const speedLogInterval = 10 * time.Second

// speed estimates the speed of an owned server. A nil speed estimates nothing.
type speed struct {
	mu        sync.Mutex
	estimator *gwspeed.Estimator
	// loggedSlow is the last logged state, loggedAt the time of the line.
	loggedSlow bool
	loggedAt   time.Time
}

func newSpeed(slots int) *speed { return &speed{estimator: gwspeed.NewEstimator(max(1, slots))} }

// setSpeedSlots tells the estimator the number of slots of the server.
func (s *server) setSpeedSlots(n int) {
	if s.speed == nil {
		return
	}
	s.speed.mu.Lock()
	defer s.speed.mu.Unlock()
	s.speed.estimator.SetSlots(n)
}

// estimate returns the current estimate.
func (p *speed) estimate(now time.Time) gwspeed.Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.estimator.Estimate(now)
}

// stateToLog returns the estimate and whether the server has become slow, or normal again, since
// the last line.
func (p *speed) stateToLog(now time.Time) (gwspeed.Estimate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.estimator.Estimate(now)
	if e.State == gwspeed.Cold || p.estimator.IsSlow() == p.loggedSlow || now.Sub(p.loggedAt) < speedLogInterval {
		return e, false
	}
	p.loggedSlow, p.loggedAt = !p.loggedSlow, now
	return e, true
}

// timedStatement is a statement whose time at the server is measured.
type timedStatement struct {
	server    *server
	statement *gwspeed.Statement
	began     time.Time
	answered  bool
	sink      gwbackend.Sink
}

// beginTimed starts to measure a statement of a class that has its slot and connection. It returns
// nil for statements of this system itself.
func (s *server) beginTimed(class string, sink gwbackend.Sink) *timedStatement {
	if s.speed == nil || class == "" {
		return nil
	}
	now := s.owner.clock.Now()
	s.speed.mu.Lock()
	defer s.speed.mu.Unlock()
	return &timedStatement{server: s, statement: s.speed.estimator.Begin(class, now), began: now, sink: sink}
}

// setAnswered records whether the statement was answered.
func (t *timedStatement) setAnswered(answered bool) {
	if t != nil {
		t.answered = answered
	}
}

// end records the time of the statement and applies the number of statements at once that
// results from it.
func (t *timedStatement) end() {
	if t == nil {
		return
	}
	s := t.server
	now := s.owner.clock.Now()
	waiting := s.admission.waiting()
	limit := s.speed.ended(t, s.measurable(t), waiting, now)
	s.admission.setConcurrency(limit)
	s.logSpeed(now)
}

// ended passes the end of a statement to the estimator and returns the statements at once.
func (p *speed) ended(t *timedStatement, measurable bool, waiting int, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if measurable {
		p.estimator.End(t.statement, t.answered, waiting, now)
	} else {
		p.estimator.Abandon(t.statement)
	}
	return p.estimator.Concurrency()
}

// measurable reports whether the time of a statement tells about the server. It does not if this
// process stood still meanwhile, or if a part of the answer was sent to a caller, who may be slow.
func (s *server) measurable(t *timedStatement) bool {
	if stood, _ := s.owner.standstill.state(); stood.After(t.began) {
		return false
	}
	sink, ok := t.sink.(*bufferedSink)
	return !ok || sink == nil || !sink.relayed
}

// logSpeed logs that the server has become slow or normal again.
func (s *server) logSpeed(now time.Time) {
	e, due := s.speed.stateToLog(now)
	if !due {
		return
	}
	f := s.facts()
	if e.State == gwspeed.Slow {
		s.owner.log.Warn("backend server is slow", "server", f.Server, "group", f.Group, "factor", roundTenth(e.Factor), "slots", e.Concurrency)
		return
	}
	s.owner.log.Info("backend server is at its usual speed again", "server", f.Server, "group", f.Group, "factor", roundTenth(e.Factor))
}

func roundTenth(f float64) float64 { return math.Round(f*10) / 10 }

// expectedService returns the expected time for which a request holds a slot. Just after a slowdown it
// is that of the estimate: the average would keep requests away, and so stay high.
func (s *server) expectedService() time.Duration {
	average := s.admission.serviceTime()
	if s.speed == nil {
		return average
	}
	if e := s.speed.estimate(s.owner.clock.Now()); e.Service > 0 {
		return min(average, e.Service)
	}
	return average
}

// reportSpeed returns the speed for a Report, nil if the server is at its usual speed.
func (s *server) reportSpeed(now time.Time) *Speed {
	if s.speed == nil {
		return nil
	}
	e := s.speed.estimate(now)
	slots := max(1, s.facts().Slots)
	if e.State != gwspeed.Slow && e.State != gwspeed.Failing && e.Concurrency >= slots {
		return nil
	}
	return &Speed{
		Percent: hundredths(e.Factor), Slots: e.Concurrency, Errors: hundredths(e.Errors), Confidence: hundredths(e.Confidence),
		AgeMillis: uint32(min(math.MaxUint32, e.Age.Milliseconds())),
	}
}

func hundredths(f float64) uint32 { return uint32(math.Round(max(0, f) * 100)) }

// SpeedOf returns the estimate for an owned server, and false if there is none.
func (o *Owner) SpeedOf(name string) (gwspeed.Estimate, bool) {
	s := o.server(name)
	if s == nil || s.speed == nil {
		return gwspeed.Estimate{}, false
	}
	return s.speed.estimate(o.clock.Now()), true
}

// exposeSpeed adds gauges of the speed of an owned server. The value of one that is no longer owned is
// 0.
func (o *Owner) exposeSpeed(name string) {
	m, ok := o.metrics.(SpeedMetrics)
	if !ok {
		return
	}
	gauge := func(metric string, value func(gwspeed.Estimate) float64) {
		m.Gauge(metric, func() float64 {
			e, ok := o.SpeedOf(name)
			if !ok {
				return 0
			}
			return value(e)
		}, gwtelemetry.Label{Name: "server", Value: name})
	}
	gauge("gentianward_server_slowness", func(e gwspeed.Estimate) float64 { return e.Factor })
	gauge("gentianward_server_slowness_age_seconds", func(e gwspeed.Estimate) float64 { return e.Age.Seconds() })
	gauge("gentianward_server_concurrency", func(e gwspeed.Estimate) float64 { return float64(e.Concurrency) })
}

// countRefusal counts a request that got no slot.
func (o *Owner) countRefusal(class string, err error) {
	m, ok := o.metrics.(SpeedMetrics)
	if !ok {
		return
	}
	reason := "callerGone"
	var e *gwlimit.Error
	if errors.As(err, &e) {
		reason = e.Kind.String()
	}
	m.SlotRefused(class, reason)
}
