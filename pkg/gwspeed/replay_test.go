package gwspeed

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

var testNow = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// load is the load of one class: its rate per second and its mean service time.
type load struct {
	class   string
	rate    float64
	service time.Duration
	// slowBy is the factor on its service times at a time since the start; nil stands for 1.
	slowBy func(at time.Duration) float64
}

// backend simulates a server with a queue in front of its slots.
type backend struct {
	slots int
	loads []load
	// slowBy is the factor on all service times; nil stands for 1.
	slowBy func(at time.Duration) float64
	// crowding is the factor on the service times with a number of statements running; nil
	// stands for 1.
	crowding func(running int) float64
	// unanswered is the share of statements that are not answered.
	unanswered float64
	// exponential means that service times are exponentially distributed; otherwise they vary by
	// up to a half.
	exponential bool
	duration    time.Duration
	// limit returns the number of statements at once, nil for that of the estimator.
	limit func(e *Estimator) int
	// observe is called after each answer.
	observe func(e *Estimator, at time.Duration)
}

type simEvent struct {
	at time.Time
	do func(now time.Time)
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

// maxQueue bounds the simulated queue.
const maxQueue = 50

// run simulates the server. It returns the estimator at the end and the number of statements that
// were answered.
func (b backend) run(seed uint64) (*Estimator, int) {
	rng := rand.New(rand.NewPCG(seed, 3))
	e := NewEstimator(b.slots)
	var events simEvents
	var queue []load
	running, answered := 0, 0
	at := func(at time.Time, do func(time.Time)) { heap.Push(&events, simEvent{at, do}) }
	var start func(now time.Time)
	start = func(now time.Time) {
		limit := e.Concurrency()
		if b.limit != nil {
			limit = b.limit(e)
		}
		for len(queue) > 0 && running < limit {
			l := queue[0]
			queue = queue[1:]
			running++
			factor := 0.5 + rng.Float64()
			if b.exponential {
				factor = rng.ExpFloat64()
			}
			since := now.Sub(testNow)
			if b.slowBy != nil {
				factor *= b.slowBy(since)
			}
			if l.slowBy != nil {
				factor *= l.slowBy(since)
			}
			if b.crowding != nil {
				factor *= b.crowding(running)
			}
			s := e.Begin(l.class, now)
			ok := rng.Float64() >= b.unanswered
			at(now.Add(time.Duration(factor*float64(l.service))), func(now time.Time) {
				running--
				e.End(s, ok, len(queue), now)
				if ok {
					answered++
				}
				if b.observe != nil {
					b.observe(e, now.Sub(testNow))
				}
				start(now)
			})
		}
	}
	for _, l := range b.loads {
		for t := time.Duration(0); t < b.duration; {
			t += time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second))
			at(testNow.Add(t), func(now time.Time) {
				if len(queue) < maxQueue {
					queue = append(queue, l)
				}
				start(now)
			})
		}
	}
	for len(events) > 0 {
		ev := heap.Pop(&events).(simEvent)
		if ev.at.Sub(testNow) > b.duration {
			break
		}
		ev.do(ev.at)
	}
	return e, answered
}

// during returns a factor that applies from a time until another one.
func during(factor float64, from, until time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < until {
			return factor
		}
		return 1
	}
}
