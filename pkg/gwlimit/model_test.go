package gwlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Guards against requests that get lost, or end twice, or are counted as waiting after their end, when a
// class slows down and recovers: held, shed and expired ones leave the queue in different ways.
func TestEachRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFairQueue(2)
		q.SetClass(Class{Name: "b", Weight: 2, Concurrency: 1})
		for range 2 * usualAfter { // so that slowdowns are found
			q.RecordServiceTime("a", 10*time.Millisecond)
			q.RecordServiceTime("b", 10*time.Millisecond)
		}
		now := testNow
		waiting := make(map[*Item]bool)
		var running []*Item
		var waiters []*Item // in the order of Push, with those that have ended
		end := func(it *Item) {
			if !waiting[it] {
				t.Fatalf("a request ended that does not wait")
			}
			delete(waiting, it)
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			class := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class")
			switch rapid.IntRange(0, 5).Draw(t, "do") {
			case 0, 1:
				for range rapid.IntRange(1, 12).Draw(t, "burst") {
					it := &Item{Class: class, Deadline: now.Add(callersAim), MaxWait: QueueWait(callersAim), Key: rapid.Uint64Range(0, 6).Draw(t, "key")}
					if q.Push(it, now) == nil {
						waiting[it] = true
						waiters = append(waiters, it)
					}
				}
			case 2:
				if it := q.Pop(now); it != nil {
					end(it)
					running = append(running, it)
				}
			case 3:
				if len(running) > 0 {
					took := time.Duration(rapid.SampledFrom([]int{10, 10, 100, 200}).Draw(t, "took")) * time.Millisecond
					q.RecordServiceTime(running[0].Class, took)
					q.Done(running[0])
					running = running[1:]
				}
			case 4:
				for _, it := range q.Expire(now) {
					if it.Refused == 0 {
						t.Fatalf("a request was refused without a kind")
					}
					end(it)
				}
			case 5:
				if len(waiters) > 0 {
					it := waiters[rapid.IntRange(0, len(waiters)-1).Draw(t, "remove")]
					if q.Remove(it) {
						end(it)
					}
				}
			}
			if n, r := q.Len(); n != len(waiting) || r != len(running) {
				t.Fatalf("%d waiting and %d running, want %d and %d", n, r, len(waiting), len(running))
			}
		}
		for _, it := range q.Expire(now.Add(time.Hour)) {
			end(it)
		}
		assert.Empty(t, waiting)
		for name, s := range q.classes {
			if s.waiting != 0 || s.heldWaiting != 0 {
				t.Fatalf("class %s: %d waiting, %d held", name, s.waiting, s.heldWaiting)
			}
		}
	})
}
