package gwlimit

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	callersAim     = 800 * time.Millisecond // from the first try; also the deadline of each try
	callersTries   = 3
	callersBackoff = 250 * time.Millisecond // on average
	ownerOutage    = 2500 * time.Millisecond
	// callersShare is the least share of what the oracle serves within the aim.
	callersShare = 0.93
	// sharedKey is the key that operations share.
	sharedKey = 1
)

// callers is a load of callers that try again after a refusal or a lost answer.
type callers struct {
	name string
	// rates are the arrivals of each class, as shares of the capacity.
	rates []float64
	// slowBy is the factor on the service times at a time since the start; nil stands for 1.
	slowBy func(at time.Duration) float64
	// ownerLost is when the queue is lost with all requests, for ownerOutage; 0 for never.
	ownerLost time.Duration
	// sharedKey is the share of operations that have the same key.
	sharedKey float64
	// noKeys means that the queue does not know which tries belong together.
	noKeys bool
	// customers means that the rates are those of the customers of one class.
	customers bool
	// counted tells which arrivals count, by their time since the start.
	counted func(at time.Duration) bool
}

// operation is what a caller wants.
type operation struct {
	class   int
	key     uint64
	first   time.Time
	pauses  [callersTries - 1]time.Duration // after refusals
	tries   int
	inAim   bool
	waiting bool
}

// callersRun is the state of a replay.
type callersRun struct {
	callers
	rng   *rand.Rand
	queue *FairQueue // nil without an owner
	steps steps
	ops   []*operation
}

// step is something that happens at a time.
type step struct {
	at time.Time
	do func(now time.Time)
}

type steps []step

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)        { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	old := *s
	v := old[len(old)-1]
	*s = old[:len(old)-1]
	return v
}

// run replays the load.
func (c callers) run(seed uint64) *callersRun {
	r := &callersRun{callers: c, rng: rand.New(rand.NewPCG(seed, 11)), queue: NewFairQueue(loadSlots)}
	r.arrive()
	if c.ownerLost > 0 {
		r.at(testNow.Add(c.ownerLost), r.loseOwner)
		r.at(testNow.Add(c.ownerLost+ownerOutage), func(time.Time) { r.queue = NewFairQueue(loadSlots) })
	}
	for len(r.steps) > 0 {
		s := heap.Pop(&r.steps).(step)
		s.do(s.at)
	}
	return r
}

func (r *callersRun) at(at time.Time, do func(time.Time)) { heap.Push(&r.steps, step{at, do}) }

// arrive schedules the first tries of all operations.
func (r *callersRun) arrive() {
	for class, rate := range r.rates {
		for at := time.Duration(0); at < loadDuration; {
			at += time.Duration(r.rng.ExpFloat64() / (rate * capacity) * float64(time.Second))
			op := &operation{class: class, first: testNow.Add(at), key: uint64(len(r.ops) + 2)}
			for i := range op.pauses {
				op.pauses[i] = time.Duration((0.5 + r.rng.Float64()) * float64(callersBackoff))
			}
			switch {
			case r.noKeys:
				op.key = 0
			case r.rng.Float64() < r.sharedKey:
				op.key = sharedKey
			}
			r.ops = append(r.ops, op)
			r.at(op.first, func(now time.Time) { r.try(op, now) })
		}
	}
	slices.SortFunc(r.ops, func(a, b *operation) int { return a.first.Compare(b.first) })
}

func (r *callersRun) try(op *operation, now time.Time) {
	op.tries++
	it := &Item{
		Class: string(rune('a' + op.class)), Deadline: now.Add(callersAim), MaxWait: QueueWait(callersAim),
		Key: op.key, Ref: op,
	}
	if r.customers {
		it.Class, it.Customer = "a", it.Class
	}
	if r.queue == nil || r.queue.Push(it, now) != nil {
		r.tryAgain(op, now)
		return
	}
	op.waiting = true
	r.dispatch(now)
}

func (r *callersRun) tryAgain(op *operation, now time.Time) {
	op.waiting = false
	if op.tries < callersTries {
		r.at(now.Add(op.pauses[op.tries-1]), func(now time.Time) { r.try(op, now) })
	}
}

func (r *callersRun) dispatch(now time.Time) {
	for _, it := range r.queue.Expire(now) {
		r.tryAgain(it.Ref.(*operation), now)
	}
	for it := r.queue.Pop(now); it != nil; it = r.queue.Pop(now) {
		q := r.queue
		took := time.Duration(float64(loadServiceTime) * (0.5 + r.rng.Float64()) * r.slow(now))
		it.Ref.(*operation).waiting = false
		r.at(now.Add(took), func(end time.Time) { r.end(q, it, took, end) })
	}
}

// end ends a request. If its owner is gone, its answer is lost.
func (r *callersRun) end(q *FairQueue, it *Item, took time.Duration, now time.Time) {
	op := it.Ref.(*operation)
	if q != r.queue {
		r.tryAgain(op, now)
		return
	}
	q.Done(it)
	q.RecordServiceTime(it.Class, took)
	op.inAim = now.Sub(op.first) <= callersAim
	r.dispatch(now)
}

func (r *callersRun) loseOwner(now time.Time) {
	r.queue = nil
	for _, op := range r.ops {
		if op.waiting {
			r.tryAgain(op, now)
		}
	}
}

// slow returns the factor on the service times.
func (r *callersRun) slow(now time.Time) float64 {
	if r.slowBy == nil {
		return 1
	}
	return r.slowBy(now.Sub(testNow))
}

// share returns which share of what the oracle serves within the aim is served, for the
// operations that are counted.
func (r *callersRun) share(counted func(*operation) bool) float64 {
	served, possible := 0, 0
	free := testNow
	for _, op := range r.ops {
		if !counted(op) {
			continue
		}
		end, ok := r.oracle(op, free)
		if ok {
			free = end
		}
		if !r.counted(op.first.Sub(testNow)) {
			continue
		}
		if ok {
			possible++
		}
		if op.inAim {
			served++
		}
	}
	return float64(served) / float64(possible)
}

// oracle returns when an operation ends if it is served as soon as the server is free, and
// whether it then ends within the aim. With an owner that is lost, it has no try left or
// begins afterwards.
func (r *callersRun) oracle(op *operation, free time.Time) (time.Time, bool) {
	start := op.first
	if free.After(start) {
		start = free
	}
	lost, back := testNow.Add(r.ownerLost), testNow.Add(r.ownerLost+ownerOutage)
	if r.ownerLost > 0 && !start.Before(lost) && start.Before(back) {
		if last := op.first.Add(op.pauses[0] + op.pauses[1]); last.Before(back) {
			return free, false
		}
		start = back
	}
	end := start.Add(time.Duration(float64(loadServiceTime) * r.slow(start) / loadSlots))
	return end, end.Sub(op.first) <= callersAim
}

func always(time.Duration) bool { return true }

func between(from, until time.Duration) func(time.Duration) bool {
	return func(at time.Duration) bool { return at >= from && at < until }
}

// slowDuring returns a factor on service times that applies while slow.
func slowDuring(factor float64, slow func(time.Duration) bool) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if slow(at) {
			return factor
		}
		return 1
	}
}

// Guards against a queue that serves callers which try again, but so late that their answers
// miss the aim: 0.81 of the oracle at one and a half times the capacity, for as long as it
// lasted.
func TestCallersUnderLoad(t *testing.T) {
	disturbed := between(20*time.Second, 40*time.Second)
	flapping := func(at time.Duration) bool { return disturbed(at) && at%(2*time.Second) < time.Second }
	patterns := []callers{
		{name: "nine tenths of the capacity", rates: []float64{0.9}, counted: always},
		{name: "one and a fifth of the capacity", rates: []float64{1.2}, counted: always},
		{name: "one and a half of the capacity", rates: []float64{1.5}, counted: always},
		{name: "three times the capacity", rates: []float64{3}, counted: always},
		{name: "slow by 5", rates: []float64{0.8}, slowBy: slowDuring(5, disturbed), counted: between(22*time.Second, 39*time.Second)},
		{name: "flapping", rates: []float64{0.55}, slowBy: slowDuring(5, flapping), counted: disturbed},
		{name: "owner lost", rates: []float64{0.6}, ownerLost: 20 * time.Second, counted: between(19*time.Second, 25*time.Second)},
		// With waits estimated as if the other class used no slot, 0.80.
		{name: "a class that floods", rates: []float64{0.4, 2}, counted: always},
	}
	testCallers(t, patterns)
}

// Guards against callers that have no try left when a server recovers, or that are admitted with
// waits that a server no longer has when it turns slow. The oracle knows both beforehand.
func TestCallersWhenServerChanges(t *testing.T) {
	disturbed := between(20*time.Second, 40*time.Second)
	testCallers(t, []callers{
		{name: "slow by 5", rates: []float64{0.8}, slowBy: slowDuring(5, disturbed), counted: disturbed},
		{name: "owner lost near the capacity", rates: []float64{0.9}, ownerLost: 20 * time.Second, counted: between(19*time.Second, 25*time.Second)},
	})
}

func testCallers(t *testing.T, patterns []callers) {
	t.Helper()
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			for seed := range uint64(5) {
				r := p.run(seed)
				first := r.share(func(op *operation) bool { return op.class == 0 })
				all := r.share(func(*operation) bool { return true })
				assert.GreaterOrEqual(t, all, callersShare, "seed %d", seed)
				assert.GreaterOrEqual(t, first, callersShare, "seed %d, first class", seed)
			}
		})
	}
}

// Guards against a statement that many callers send and that is refused in an overload for the
// sake of callers that were refused long before, as all of them have one key.
func TestSharedKeyUnderLoad(t *testing.T) {
	for seed := range uint64(5) {
		r := callers{rates: []float64{1.5}, sharedKey: 0.2}.run(seed)
		var served, all [2]float64
		for _, op := range r.ops {
			i := 0
			if op.key == sharedKey {
				i = 1
			}
			all[i]++
			if op.inAim {
				served[i]++
			}
		}
		assert.GreaterOrEqual(t, served[1]/all[1], callersShare*served[0]/all[0], "seed %d", seed)
	}
}
