package gwlimit

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testNow = time.Unix(1_800_000_000, 0)

// Guards against a flood of requests of one class that takes more than its share.
func TestFairQueueShares(t *testing.T) {
	q := NewFairQueue(1)
	q.SetClass(Class{Name: "flood", Weight: 1})
	q.SetClass(Class{Name: "payments", Weight: 3})
	for range 1000 {
		require.NoError(t, q.Push(&Item{Class: "flood"}, testNow))
	}
	for range 300 {
		require.NoError(t, q.Push(&Item{Class: "payments"}, testNow))
	}
	served := map[string]int{}
	for range 400 {
		it := q.Pop(testNow)
		served[it.Class]++
		q.Done(it)
	}
	assert.InDelta(t, 300, served["payments"], 2)
	assert.InDelta(t, 100, served["flood"], 2)
}

// Guards against an idle class that accumulates credit and then starves the others.
func TestFairQueueGivesNoCreditForIdleTime(t *testing.T) {
	q := NewFairQueue(1)
	for range 100 {
		require.NoError(t, q.Push(&Item{Class: "busy"}, testNow))
		q.Done(q.Pop(testNow))
	}
	for range 10 {
		require.NoError(t, q.Push(&Item{Class: "busy"}, testNow))
		require.NoError(t, q.Push(&Item{Class: "idle"}, testNow))
	}
	served := map[string]int{}
	for range 10 {
		it := q.Pop(testNow)
		served[it.Class]++
		q.Done(it)
	}
	assert.InDelta(t, 5, served["idle"], 1)
}

// Guards against unbounded queues, unbounded concurrency and requests that run after their
// deadline.
func TestFairQueueBounds(t *testing.T) {
	q := NewFairQueue(4)
	q.SetClass(Class{Name: "c", Queue: 3, Concurrency: 2})
	late := &Item{Class: "c", Deadline: testNow}
	assertKind(t, Expired, q.Push(late, testNow))

	for range 2 {
		require.NoError(t, q.Push(&Item{Class: "c"}, testNow))
		require.NotNil(t, q.Pop(testNow))
	}
	soon := &Item{Class: "c", Deadline: testNow.Add(time.Second)}
	require.NoError(t, q.Push(soon, testNow))
	for range 2 {
		require.NoError(t, q.Push(&Item{Class: "c"}, testNow))
	}
	assertKind(t, QueueFull, q.Push(&Item{Class: "c"}, testNow))
	assert.Nil(t, q.Pop(testNow), "the class is at its concurrency limit")

	assert.Equal(t, []*Item{soon}, q.Expire(testNow.Add(time.Second)))
	q.Close()
	assertKind(t, Closed, q.Push(&Item{Class: "c"}, testNow))
}

func assertKind(t *testing.T, want Kind, err error) {
	t.Helper()
	var e *Error
	require.True(t, errors.As(err, &e), "got %v", err)
	assert.Equal(t, want, e.Kind)
}

// Guards against slots that leak or are assigned twice under any order of events.
func TestFairQueueNeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := NewFairQueue(slots)
		var running, waiting []*Item
		pushed, finished := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				it := &Item{Class: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "class")}
				if q.Push(it, testNow) == nil {
					waiting = append(waiting, it)
					pushed++
				}
			case 2:
				if it := q.Pop(testNow); it != nil {
					running = append(running, it)
				}
			case 3:
				if len(running) > 0 {
					q.Done(running[0])
					running = running[1:]
					finished++
				}
			case 4:
				if len(waiting) > 0 && q.Remove(waiting[len(waiting)-1]) {
					finished++
				}
			}
			w, r := q.Len()
			if r > slots || r != len(running) || w+r+finished != pushed {
				t.Fatalf("got %d waiting, %d running; want %d running of %d, %d pushed, %d finished", w, r, len(running), slots, pushed, finished)
			}
		}
	})
}

func BenchmarkFairQueue(b *testing.B) {
	q := NewFairQueue(2)
	for b.Loop() {
		_ = q.Push(&Item{Class: "a", Deadline: testNow.Add(time.Second)}, testNow)
		q.Done(q.Pop(testNow))
		q.Expire(testNow)
	}
}

// Guards against charging a request that starts at once less than a queued one, which
// would give its class more than its share.
func TestStartEqualsPushAndPop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		direct, queued := NewFairQueue(2), NewFairQueue(2)
		for _, q := range []*FairQueue{direct, queued} {
			q.SetClass(Class{Name: "payments", Weight: 3})
			q.SetClass(Class{Name: "reports", Weight: 1, Concurrency: 1})
		}
		var running [2][]*Item
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if n := len(running[0]); n > 0 && rapid.Bool().Draw(t, "done") {
				i := rapid.IntRange(0, n-1).Draw(t, "which")
				for k, q := range []*FairQueue{direct, queued} {
					q.Done(running[k][i])
					running[k] = append(running[k][:i:i], running[k][i+1:]...)
				}
			} else {
				class := rapid.SampledFrom([]string{"payments", "reports"}).Draw(t, "class")
				a, b := &Item{Class: class}, &Item{Class: class}
				if direct.TryStart(a, now) {
					running[0] = append(running[0], a)
				} else {
					require.NoError(t, direct.Push(a, now))
				}
				require.NoError(t, queued.Push(b, now))
			}
			for k, q := range []*FairQueue{direct, queued} {
				for it := q.Pop(now); it != nil; it = q.Pop(now) {
					running[k] = append(running[k], it)
				}
			}
			require.Len(t, running[0], len(running[1]))
			for i, a := range running[0] {
				require.Equal(t, running[1][i].Class, a.Class)
				require.InDelta(t, running[1][i].virtualStart, a.virtualStart, 0)
			}
		}
	})
}
