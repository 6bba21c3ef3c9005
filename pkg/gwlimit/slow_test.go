package gwlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against callers that lose their last try just before a slow server recovers, and against
// requests without a chance that make a server refuse those that have one. This is the first pattern of
// TestCallersWhenServerChanges, with more seeds.
func TestCallersOfSlowedServer(t *testing.T) {
	disturbed := between(20*time.Second, 40*time.Second)
	for _, tt := range []struct{ factor, bound float64 }{
		{3, callersShare},
		{5, callersShare},
		{8, 0.9}, // 0.909 to 0.990: it serves 25 a second, so that each late one costs 0.002
	} {
		p := callers{rates: []float64{0.8}, slowBy: slowDuring(tt.factor, disturbed), counted: disturbed}
		for seed := range uint64(10) {
			got := p.run(seed).share(func(*operation) bool { return true })
			assert.GreaterOrEqual(t, got, tt.bound, "slow by %g, seed %d", tt.factor, seed)
		}
	}
}

// Guards against a queue that serves less the more is asked of it: with waits up to the deadline, a
// server at 1.5 times its capacity answered mostly late.
func TestGoodputUnderOverload(t *testing.T) {
	goodput := func(rate float64, seed uint64) float64 {
		served := 0
		for _, op := range (callers{rates: []float64{rate}}).run(seed).ops {
			if op.inAim {
				served++
			}
		}
		return float64(served)
	}
	for seed := range uint64(3) {
		full := goodput(1, seed)
		for _, rate := range []float64{1.5, 10} {
			assert.GreaterOrEqual(t, goodput(rate, seed)/full, 0.95, "%g times the capacity, seed %d", rate, seed)
		}
	}
}

// slowQueue returns a queue with one slot, in use, whose requests take five times as long as usual, and
// the key of an operation that was refused twice.
func slowQueue(t *testing.T) (q *FairQueue, running *Item, lastTry uint64) {
	t.Helper()
	q = NewFairQueue(1)
	q.seenAt = testNow
	for range 2 * usualAfter {
		q.RecordServiceTime("c", 10*time.Millisecond)
	}
	for range 2 * usualAfter {
		q.RecordServiceTime("c", 50*time.Millisecond)
	}
	lastTry = 7
	running = &Item{Class: "c"}
	assert.True(t, q.TryStart(running, testNow))
	for range lastTryRefusals {
		q.refusals.add(lastTry, testNow.Add(-100*time.Millisecond))
	}
	return q, running, lastTry
}

func fillQueue(q *FairQueue, now time.Time) {
	for q.Push(&Item{Class: "c", Deadline: now.Add(callersAim), MaxWait: QueueWait(callersAim)}, now) == nil {
		continue
	}
}

// Guards against a held request that takes a slot from others while the server is slow, that is not
// served at once when it has recovered, or that stays longer than it can be served within its aim.
func TestHeldRequest(t *testing.T) {
	hold := func() (*FairQueue, *Item, *Item) {
		q, running, key := slowQueue(t)
		fillQueue(q, testNow)
		it := &Item{Class: "c", Deadline: testNow.Add(callersAim), MaxWait: QueueWait(callersAim), Key: key}
		assert.NoError(t, q.Push(it, testNow))
		return q, running, it
	}
	q, running, held := hold()
	q.Done(running)
	assert.NotSame(t, held, q.Pop(testNow.Add(time.Millisecond)), "others come first while it is slow")

	q, running, held = hold()
	for range usualAfter {
		q.RecordServiceTime("c", 10*time.Millisecond)
	}
	q.Done(running)
	assert.Same(t, held, q.Pop(testNow.Add(time.Millisecond)), "it has the least time left")

	q, _, held = hold()
	assert.Contains(t, q.Expire(testNow.Add(callersAim-100*time.Millisecond)), held)
	assert.Equal(t, Overloaded, held.Refused)
	assert.False(t, q.Remove(held))

	q, _, held = hold()
	waiting, _ := q.Len()
	assert.True(t, q.Remove(held))
	left, _ := q.Len()
	assert.Equal(t, waiting-1, left)
}

// Guards against waits behind requests that can no longer be served in time.
func TestShed(t *testing.T) {
	q := NewFairQueue(1)
	q.seenAt = testNow
	for range 2 * usualAfter {
		q.RecordServiceTime("c", 10*time.Millisecond)
	}
	assert.True(t, q.TryStart(&Item{Class: "c"}, testNow))
	fillQueue(q, testNow)
	before, _ := q.Len()
	for range 2 * usualAfter {
		q.RecordServiceTime("c", 50*time.Millisecond)
	}
	out := q.Expire(testNow.Add(time.Millisecond))
	for _, it := range out {
		assert.Equal(t, Overloaded, it.Refused, "it may be served elsewhere")
	}
	left, _ := q.Len()
	assert.Equal(t, before-left, len(out))
	assert.LessOrEqual(t, left, int(callersAim/(50*time.Millisecond)))
	assert.GreaterOrEqual(t, left, 10)
}

// Guards against a slowdown that lasts for minutes and becomes the usual speed, and against a first
// request that was quick by chance and makes the others look slow.
func TestUsualSlotTime(t *testing.T) {
	q := NewFairQueue(1)
	q.seenAt = testNow
	q.RecordServiceTime("c", time.Millisecond)
	for range 2 * usualAfter {
		q.RecordServiceTime("c", 10*time.Millisecond)
	}
	assert.False(t, q.class("c").slowed)
	for i := range 1200 {
		q.seenAt = testNow.Add(time.Duration(i) * 100 * time.Millisecond)
		q.RecordServiceTime("c", 50*time.Millisecond)
	}
	assert.True(t, q.class("c").slowed, "after two minutes")
}

// Guards against ordinary slot times that count as slow: those of a class vary by chance, and by what its
// statements do. With a usual time that fell faster than it rose, exponential times counted as slow for
// 0.37 of the time.
func TestVaryingSlotTimesAreNotSlow(t *testing.T) {
	for name, next := range map[string]func(*rand.Rand) float64{
		"exponential": func(rng *rand.Rand) float64 { return rng.ExpFloat64() },
		"a quarter takes five times as long": func(rng *rand.Rand) float64 {
			if rng.Float64() < 0.25 {
				return 2.5
			}
			return 0.5
		},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		q := NewFairQueue(1)
		const records = 50_000
		slowed := 0
		for i := range records {
			q.seenAt = testNow.Add(time.Duration(i) * 10 * time.Millisecond)
			q.RecordServiceTime("c", time.Duration(next(rng)*float64(loadServiceTime)))
			if q.class("c").slowed {
				slowed++
			}
		}
		assert.Less(t, float64(slowed)/records, 0.01, name)
	}
}
