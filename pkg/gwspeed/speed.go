package gwspeed

import (
	"math"
	"slices"
	"time"
)

const (
	// slowFactor is the least factor with which a server counts as slow, and normalFactor the one
	// from which a slow server counts as normal again.
	slowFactor   = 2.2
	normalFactor = 1.6
	// fastFactor is the factor below which a server has become faster than usual.
	fastFactor = 0.6
	// logSpread is the standard deviation of the logarithm of exponentially distributed times. Those
	// of statements vary less.
	logSpread = 1.3
	// oldest is the age of the times from which a factor is derived if there are few of them.
	oldest = 10 * time.Second
	// enoughSamples is the number of times from which on the confidence is full.
	enoughSamples = 12
	// confidenceHalfLife is the time without answers in which the confidence halves.
	confidenceHalfLife = 5 * time.Second
	// maxClasses bounds the classes with a usual time of their own.
	maxClasses = 64
	// recoveredTime is the time for which Estimate.Service is set after a slowdown.
	recoveredTime = 10 * time.Second
	// usualMeanWeight is the weight of the newest statement in the mean time while not slow.
	usualMeanWeight = 0.02
	// maxMeanFactor bounds the effect of one statement on the mean time, as the first ones of a slowdown
	// end before it is found.
	maxMeanFactor = 3
	// errorWeight is the weight of the newest statement in the share of unanswered ones.
	errorWeight = 0.05
	// failingShare is the share of unanswered statements from which a server counts as failing. A
	// lost answer among 24 is put down to its connection.
	failingShare = 0.1
)

// State is what an Estimator finds about a server.
type State uint8

// States of a server. Cold is one whose usual times are not known yet, as after its start.
const (
	Cold State = iota
	Normal
	Full
	Slow
	Failing
)

// String returns the state as text.
func (s State) String() string {
	return [...]string{"cold", "normal", "full", "slow", "failing"}[min(s, Failing)]
}

// Estimate describes the speed of a server.
type Estimate struct {
	State State
	// Factor is how long statements take, as a multiple of the usual time of their class.
	Factor float64
	// Errors is the share of statements that are not answered.
	Errors float64
	// Concurrency is the number of statements at once that the server handles well.
	Concurrency int
	// Confidence is between 0, if nothing is known, and 1.
	Confidence float64
	// Age is the time since the last answer.
	Age time.Duration
	// Service is set for recoveredTime after a slowdown: the mean time of statements before it.
	// Averages over the last statements are still those of the slowdown.
	Service time.Duration
}

// Statement is a statement that runs at the server.
type Statement struct {
	class *classTimes
	began time.Time
	// beside is the number of statements that ran when it was sent, itself included.
	beside int
}

// Estimator estimates the speed of one server from the statements that it runs.
//
// Load pattern: a server takes 4 or 8 times as long for every statement for 20 s, and entry
// instances keep sending to it as it is the nearest one.
type Estimator struct {
	classes map[string]*classTimes
	running map[*Statement]struct{}
	window  *Window
	// crowding tells whether statements take longer the more of them run.
	crowding crowding
	factor   float64
	errors   float64
	slow     bool
	// measured is the number of times from which factor was derived.
	measured   int
	answeredAt time.Time
	waiting    int
	scratch    []float64
	// usualMean is the mean time of statements in seconds while the server is not slow, 0 if unknown, and
	// recoveredAt when it last ceased to be slow.
	usualMean   float64
	recoveredAt time.Time
}

// NewEstimator returns an Estimator of a server with the given number of slots.
func NewEstimator(slots int) *Estimator {
	return &Estimator{classes: make(map[string]*classTimes), running: make(map[*Statement]struct{}), window: NewWindow(slots), factor: 1}
}

// SetSlots changes the number of slots.
func (e *Estimator) SetSlots(n int) { e.window.SetSlots(n) }

// Concurrency returns how many statements should run at once.
func (e *Estimator) Concurrency() int { return e.window.Limit() }

// IsSlow reports whether the server was found slow and has not been found normal since.
func (e *Estimator) IsSlow() bool { return e.slow }

// Begin records that a statement of a class is sent to the server.
func (e *Estimator) Begin(class string, now time.Time) *Statement {
	c, ok := e.classes[class]
	if !ok {
		if len(e.classes) >= maxClasses {
			class = ""
		}
		if c = e.classes[class]; c == nil {
			c = &classTimes{}
			e.classes[class] = c
		}
	}
	s := &Statement{class: c, began: now, beside: len(e.running) + 1}
	e.running[s] = struct{}{}
	return s
}

// End records that a statement was answered or given up. waiting is the number of requests
// that wait for a slot. An unanswered statement says nothing about the speed: its end may have
// been a lost connection.
func (e *Estimator) End(s *Statement, answered bool, waiting int, now time.Time) {
	if _, ok := e.running[s]; !ok {
		return
	}
	delete(e.running, s)
	e.waiting = waiting
	e.errors *= 1 - errorWeight
	if !answered {
		e.errors += errorWeight
		return
	}
	e.answeredAt = now
	if s.class.known() {
		e.crowding.record(s.class.logRatio(now.Sub(s.began)), s.beside, e.window.Limit())
	}
	s.class.record(now.Sub(s.began), e.factor, now)
	e.update(now)
	e.recordMean(now.Sub(s.began))
	if s.class.known() {
		e.window.Crowded = e.crowding.possible()
		e.window.Served(s.class.usual().Seconds(), waiting > 0, e.factor, now)
	}
}

// Abandon forgets a statement without recording anything, as one that was never sent.
func (e *Estimator) Abandon(s *Statement) { delete(e.running, s) }

// Estimate returns the current estimate.
func (e *Estimator) Estimate(now time.Time) Estimate {
	e.update(now)
	out := Estimate{Factor: e.factor, Errors: e.errors, Concurrency: e.window.Kept()}
	if e.measured == 0 {
		return out
	}
	out.Age = max(0, now.Sub(e.answeredAt))
	if !e.slow && !e.recoveredAt.IsZero() && now.Sub(e.recoveredAt) < recoveredTime {
		out.Service = time.Duration(e.usualMean * float64(time.Second))
	}
	out.Confidence = min(1, float64(e.measured)/enoughSamples) * math.Exp2(-float64(out.Age)/float64(confidenceHalfLife))
	switch {
	case e.errors >= failingShare:
		out.State = Failing
	case e.slow:
		out.State = Slow
	case e.waiting > 0:
		out.State = Full
	default:
		out.State = Normal
	}
	return out
}

// update derives the factor from the recent times of all classes. It is at most that of the class
// which is least affected: a slow server is slow for all of them, and a slow statement only for its
// own.
func (e *Estimator) update(now time.Time) {
	e.expireLong(now)
	lowest, sum, count := math.Inf(1), 0.0, 0
	for _, c := range e.classes {
		logs := e.logs(c, now)
		classSum := total(logs)
		sum += classSum
		count += len(logs)
		if n := float64(len(logs)); n >= minSamples {
			lowest = min(lowest, classSum/n+logSpread/math.Sqrt(n))
		}
	}
	if count < minSamples {
		sum, count = e.lastLogs(now)
	}
	if count < minSamples {
		return
	}
	e.factor, e.measured = math.Exp(min(sum/float64(count), lowest)), count
	if e.factor >= foundFactor(count) {
		e.slow = true
	} else if e.factor <= normalFactor {
		if e.slow {
			e.recoveredAt = now
		}
		e.slow = false
	}
}

// recordMean updates the mean time of statements unless the server is slower than usual.
func (e *Estimator) recordMean(took time.Duration) {
	switch {
	case e.usualMean == 0:
		e.usualMean = took.Seconds()
	case !e.slow && e.factor < normalFactor:
		e.usualMean += usualMeanWeight * (min(took.Seconds(), maxMeanFactor*e.usualMean) - e.usualMean)
	}
}

// foundFactor returns the factor from which a server is found slow by the given number of times:
// slowFactor or, if they are few, two standard errors above normalFactor.
func foundFactor(times int) float64 {
	return max(slowFactor, normalFactor*math.Exp(2*logSpread/math.Sqrt(float64(times))))
}

// logs returns the recent times of a class and the ages of its running statements that already
// exceed the usual time, as logarithms relative to the usual time.
func (e *Estimator) logs(c *classTimes, now time.Time) []float64 {
	if !c.known() {
		return nil
	}
	out := c.recentLogs(e.scratch[:0], now)
	for s := range e.running {
		if s.class != c {
			continue
		}
		if l := c.logRatio(now.Sub(s.began)); l > 0 {
			out = append(out, l)
		}
	}
	e.scratch = out
	return out
}

// total returns the sum of the values, each within the range of clampDeviation.
func total(logs []float64) float64 {
	sum := 0.0
	for _, l := range logs {
		sum += clampDeviation(l)
	}
	return sum
}

// lastLogs returns the sum of the last minSamples times of all classes, and their number.
func (e *Estimator) lastLogs(now time.Time) (float64, int) {
	var last []sample
	for _, c := range e.classes {
		last = append(last, c.recent[max(0, len(c.recent)-minSamples):]...)
	}
	slices.SortFunc(last, func(a, b sample) int { return b.at.Compare(a.at) })
	var logs []float64
	for _, s := range last[:min(len(last), minSamples)] {
		if now.Sub(s.at) <= oldest {
			logs = append(logs, s.log)
		}
	}
	return total(logs), len(logs)
}

// expireLong forgets running statements that were never ended, as an upper bound on the memory
// that a missing End costs.
func (e *Estimator) expireLong(now time.Time) {
	for s := range e.running {
		if now.Sub(s.began) > time.Minute {
			delete(e.running, s)
		}
	}
}

// SlowClasses returns the sorted names of classes whose statements take longer although the
// server is at its usual speed.
func (e *Estimator) SlowClasses(now time.Time) []string {
	if e.slow {
		return nil
	}
	var out []string
	for name, c := range e.classes {
		l := e.logs(c, now)
		if n := float64(len(l)); n >= minSamples && total(l)/n >= math.Log(slowFactor) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
