package gwlimit

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// pattern is a load on one server that replay applies to a queue in simulated time.
type pattern struct {
	name     string
	rate     float64 // arrivals a second; the capacity is 200 a second
	burst    float64 // factor on the rate from second 1 to 4
	deadline time.Duration
	maxWait  time.Duration
	// minShare is the least number of requests served in time, as a share of the oracle's.
	minShare float64
}

const (
	loadSlots       = 2
	loadServiceTime = 10 * time.Millisecond
	// loadDuration is long enough that the requests waiting at the end hardly count.
	loadDuration = 60 * time.Second
	capacity     = float64(loadSlots) / 0.010
)

type event struct {
	at   time.Time
	item *Item // nil for an arrival
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

// result counts how the requests of a replay ended.
type result struct {
	offered, inTime, late, refusedAtOnce, refusedLate int
	// oracle is the number of requests that a scheduler with constant service times serves
	// before their deadlines, in order of arrival and without those that would be late.
	oracle int
}

// replay simulates a pattern. Service times vary by up to a half around the mean.
func replay(p pattern, seed uint64) result {
	rng := rand.New(rand.NewPCG(seed, 1))
	q := NewFairQueue(loadSlots)
	var r result
	var ev events
	backlog, last := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < loadDuration; {
		rate := p.rate
		if p.burst > 0 && at > time.Second && at < 4*time.Second {
			rate *= p.burst
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		heap.Push(&ev, event{at: testNow.Add(at)})
		backlog, last = max(0, backlog-(at-last)), at
		if backlog+loadServiceTime <= p.deadline {
			r.oracle++
			backlog += loadServiceTime / loadSlots
		}
	}
	for len(ev) > 0 {
		e := heap.Pop(&ev).(event)
		if e.item == nil {
			r.offered++
			it := &Item{Class: "c", Deadline: e.at.Add(p.deadline), MaxWait: p.maxWait}
			if err := q.Push(it, e.at); err != nil {
				r.refusedAtOnce++
			}
		} else {
			q.Done(e.item)
			q.RecordServiceTime("c", e.at.Sub(e.item.Ref.(time.Time)))
			if e.at.After(e.item.Deadline) {
				r.late++
			} else {
				r.inTime++
			}
		}
		r.refusedLate += len(q.Expire(e.at))
		for it := q.Pop(e.at); it != nil; it = q.Pop(e.at) {
			it.Ref = e.at
			took := time.Duration(float64(loadServiceTime) * (0.5 + rng.Float64()))
			heap.Push(&ev, event{at: e.at.Add(took), item: it})
		}
	}
	return r
}

// Guards against a queue that serves requests whose callers have given up. When requests
// were rejected only at their deadline, half of the requests failed for 20 s after a burst
// of 3 s. The bounds are relative to the oracle of the same arrivals.
func TestQueueUnderLoad(t *testing.T) {
	patterns := []pattern{
		{name: "half of the capacity", rate: 0.5 * capacity, minShare: 0.99},
		{name: "nine tenths of the capacity", rate: 0.9 * capacity, minShare: 0.97},
		{name: "the capacity", rate: capacity, minShare: 0.93},
		{name: "one and a half of the capacity", rate: 1.5 * capacity, minShare: 0.95},
		{name: "three times the capacity", rate: 3 * capacity, minShare: 0.95},
		{name: "burst of 1.7 for 3 s", rate: 0.8 * capacity, burst: 1.7, minShare: 0.93},
	}
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			p.deadline, p.maxWait = 800*time.Millisecond, 200*time.Millisecond
			for seed := range uint64(5) {
				r := replay(p, seed)
				assert.GreaterOrEqual(t, float64(r.inTime)/float64(r.oracle), p.minShare, "seed %d: %+v", seed, r)
				assert.Zero(t, r.late, "seed %d: served after the deadline", seed)
				assert.Zero(t, r.refusedLate, "seed %d: refused after a wait", seed)
			}
		})
	}
}

// Guards against an expired request at the head of one class that blocks the requests of
// other classes while slots are free.
func TestPopSkipsExpired(t *testing.T) {
	q := NewFairQueue(1)
	q.RecordServiceTime("a", 10*time.Microsecond) // short enough to meet a deadline of 1 ms
	old := &Item{Class: "a", Deadline: testNow.Add(time.Millisecond)}
	next := &Item{Class: "b"}
	assert.NoError(t, q.Push(old, testNow))
	assert.NoError(t, q.Push(next, testNow))
	later := testNow.Add(time.Second)
	assert.Same(t, next, q.Pop(later))
	assert.Equal(t, []*Item{old}, q.Expire(later))
}

// Guards against queueing a request that certainly cannot finish before its deadline.
func TestPushRefusesUnmeetableDeadline(t *testing.T) {
	q := NewFairQueue(1)
	q.RecordServiceTime("c", 100*time.Millisecond)
	for range 3 {
		assert.NoError(t, q.Push(&Item{Class: "c"}, testNow))
	}
	err := q.Push(&Item{Class: "c", Deadline: testNow.Add(300 * time.Millisecond)}, testNow)
	var e *Error
	assert.True(t, errors.As(err, &e) && e.Kind == Overloaded, "%v", err)
	assert.NoError(t, q.Push(&Item{Class: "c", Deadline: testNow.Add(500 * time.Millisecond)}, testNow))
}

// Guards against urgent requests that are refused like any other at a server that gets one
// and a half times its capacity: with equal weights, the urgent class lost a sixth.
func TestPriorityUnderLoad(t *testing.T) {
	classes := []struct {
		name     string
		priority int
		rate     float64
		minShare float64 // served in time, of what an oracle serves that puts urgent ones first
	}{
		{name: "urgent", priority: 1, rate: 0.6 * capacity, minShare: 0.95},
		{name: "other", priority: 2, rate: 0.9 * capacity, minShare: 0.9},
	}
	rng := rand.New(rand.NewPCG(7, 1))
	q := NewFairQueue(loadSlots)
	var ev events
	for _, c := range classes {
		q.SetClass(Class{Name: c.name, Weight: PriorityWeight(c.priority)})
		for at := time.Duration(0); at < loadDuration; {
			at += time.Duration(rng.ExpFloat64() / c.rate * float64(time.Second))
			heap.Push(&ev, event{at: testNow.Add(at), item: &Item{Class: c.name}})
		}
	}
	inTime := make(map[string]int)
	for len(ev) > 0 {
		e := heap.Pop(&ev).(event)
		if started, ok := e.item.Ref.(time.Time); ok {
			q.Done(e.item)
			q.RecordServiceTime(e.item.Class, e.at.Sub(started))
			if !e.at.After(e.item.Deadline) {
				inTime[e.item.Class]++
			}
		} else {
			e.item.Deadline, e.item.MaxWait = e.at.Add(800*time.Millisecond), 200*time.Millisecond
			_ = q.Push(e.item, e.at) // a refusal
		}
		q.Expire(e.at)
		for it := q.Pop(e.at); it != nil; it = q.Pop(e.at) {
			it.Ref = e.at
			heap.Push(&ev, event{at: e.at.Add(time.Duration(float64(loadServiceTime) * (0.5 + rng.Float64()))), item: it})
		}
	}
	served := func(rate float64) float64 { return rate * loadDuration.Seconds() }
	assert.GreaterOrEqual(t, float64(inTime["urgent"]), classes[0].minShare*served(classes[0].rate))
	assert.GreaterOrEqual(t, float64(inTime["other"]), classes[1].minShare*served(capacity-classes[0].rate))
}

// Guards against slots that are used for answers after the deadline while a server turns
// slow by five for 20 s: a fifth of its time went to requests that had waited too long.
func TestSlowServer(t *testing.T) {
	const (
		slowFrom, slowUntil = 20 * time.Second, 40 * time.Second
		slowBy              = 5
	)
	slow := func(at time.Time) bool {
		since := at.Sub(testNow)
		return since >= slowFrom && since < slowUntil
	}
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 5))
		q := NewFairQueue(loadSlots)
		var ev events
		for at := time.Duration(0); at < loadDuration; {
			at += time.Duration(rng.ExpFloat64() / (0.8 * capacity) * float64(time.Second))
			heap.Push(&ev, event{at: testNow.Add(at), item: &Item{Class: "c"}})
		}
		inTime, late, held := 0, 0, 0
		for len(ev) > 0 {
			e := heap.Pop(&ev).(event)
			if started, ok := e.item.Ref.(time.Time); ok {
				q.Done(e.item)
				q.RecordServiceTime("c", e.at.Sub(started))
				if slow(started) && e.at.After(e.item.Deadline) {
					late++
				} else if slow(started) {
					inTime++
				}
			} else {
				e.item.Deadline = e.at.Add(800 * time.Millisecond)
				_ = q.Push(e.item, e.at) // a refusal
			}
			held += len(q.Expire(e.at))
			for it := q.Pop(e.at); it != nil; it = q.Pop(e.at) {
				it.Ref = e.at
				took := time.Duration(float64(loadServiceTime) * (0.5 + rng.Float64()))
				if slow(e.at) {
					took *= slowBy
				}
				heap.Push(&ev, event{at: e.at.Add(took), item: it})
			}
		}
		slowCapacity := capacity / slowBy * (slowUntil - slowFrom).Seconds()
		assert.GreaterOrEqual(t, float64(inTime), 0.93*slowCapacity, "seed %d: %d late, %d refused after a wait", seed, late, held)
	}
}

// crowd replays the return of all callers after an outage of 2.5 s at 0.6 of the capacity. A
// refused caller tries twice more, each time after about 250 ms, and a statement takes at
// most 800 ms. It returns the share of the callers of the first 3 s that are served.
func crowd(maxWait time.Duration, seed uint64) float64 {
	const (
		tries   = 3
		backoff = 250 * time.Millisecond
		outage  = 2500 * time.Millisecond
		rate    = 0.6 * capacity
		counted = 3 * time.Second
	)
	rng := rand.New(rand.NewPCG(seed, 9))
	q := NewFairQueue(loadSlots)
	var ev events
	tried := make(map[*Item]int)
	asked, served := 0, 0
	arrive := func(at time.Time, n int, key uint64) {
		it := &Item{Class: "c", MaxWait: maxWait, Key: key}
		tried[it] = n
		heap.Push(&ev, event{at: at, item: it})
	}
	for range int(rate * outage.Seconds()) {
		arrive(testNow.Add(time.Duration(rng.Float64()*float64(backoff))), 1, uint64(asked+1))
		asked++
	}
	for at := time.Duration(0); at < counted; asked++ {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		arrive(testNow.Add(at), 1, uint64(asked+1))
	}
	for len(ev) > 0 {
		e := heap.Pop(&ev).(event)
		if started, ok := e.item.Ref.(time.Time); ok {
			q.Done(e.item)
			q.RecordServiceTime("c", e.at.Sub(started))
			served++
		} else {
			e.item.Deadline = e.at.Add(800 * time.Millisecond)
			if q.Push(e.item, e.at) != nil && tried[e.item] < tries {
				arrive(e.at.Add(time.Duration((0.5+rng.Float64())*float64(backoff))), tried[e.item]+1, e.item.Key)
			}
		}
		for _, it := range q.Expire(e.at) {
			if tried[it] < tries {
				arrive(e.at.Add(backoff), tried[it]+1, it.Key)
			}
		}
		for it := q.Pop(e.at); it != nil; it = q.Pop(e.at) {
			it.Ref = e.at
			heap.Push(&ev, event{at: e.at.Add(time.Duration(float64(loadServiceTime) * (0.5 + rng.Float64()))), item: it})
		}
	}
	return float64(served) / float64(asked)
}

// Guards against callers that are refused until they have no try left after an outage, by
// servers that are idle a second later. The bound is a share of what an oracle serves, which
// is all of them.
func TestCrowdReturns(t *testing.T) {
	for seed := range uint64(5) {
		assert.GreaterOrEqual(t, crowd(QueueWait(800*time.Millisecond), seed), 0.93, "share served, seed %d", seed)
	}
}

// Guards against a wait for a slot that is so short that a returning crowd is refused.
func TestQueueWaitServesCrowd(t *testing.T) {
	const aim = 800 * time.Millisecond
	for seed := range uint64(5) {
		assert.Greater(t, crowd(QueueWait(aim), seed), crowd(aim/4, seed), "seed %d", seed)
	}
}
