package gwlimit

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// slowedFactor is the multiple of the usual slot time from which a class counts as slowed, and
	// recoveredFactor the one below which it has recovered.
	slowedFactor    = 2
	recoveredFactor = 1.5
	// usualWeight is the weight of the average in the usual slot time, for each request of a class that
	// is not slowed. It is the same in both directions: a usual time that falls faster than it rises is
	// that of short requests, and others count as slow.
	usualWeight = 1.0 / 64
	// usualFall is the weight if the average is below the usual time divided by recoveredFactor, as
	// after a start at a slow server.
	usualFall = 1.0 / 8
	// usualRiseTime is the time constant while the class is slowed. A slowdown of minutes must not
	// become usual.
	usualRiseTime = 10 * time.Minute
	// usualAfter is the number of requests whose average is the first usual slot time.
	usualAfter = 32
	// recoveryWeight is the weight of a usual slot time in the average of a slowed class: the
	// requests that are refused until the average shows the recovery have no try left afterwards.
	recoveryWeight = 0.3
	// shedInterval is the least time between two searches for requests without a chance.
	shedInterval = 50 * time.Millisecond
	// startMargin is the part of the expected slot time that is added to it before a deadline while
	// the server is slow. Slot times vary by a half.
	startMargin = 0.5
)

// speedState tells whether the requests of a class take longer than usual.
type speedState struct {
	usual    time.Duration
	usualAt  time.Time
	recorded int // up to usualAfter
	slowed   bool
	slowedAt time.Time // when it last was
	shedAt   time.Time
	// held are requests on the last try of their callers, the one with the least time left first,
	// see hold.
	held []*Item
	// heldWaiting is the number of those that still wait.
	heldWaiting int
}

// serviceWeight returns the weight of a slot time in the average of the class.
func (s *classState) serviceWeight(took time.Duration) float64 {
	if s.slowed && float64(took) <= recoveredFactor*float64(s.usual) {
		return recoveryWeight
	}
	return serviceTimeWeight
}

// recordUsual updates the usual slot time after the average has changed.
func (s *classState) recordUsual(now time.Time) {
	since := now.Sub(s.usualAt)
	s.usualAt = now
	switch mean := s.meanService; {
	case s.recorded < usualAfter:
		s.recorded++
		s.usual = mean
	case float64(mean)*recoveredFactor < float64(s.usual):
		s.usual += time.Duration(usualFall * float64(mean-s.usual))
	case s.slowed:
		s.usual += time.Duration((1 - math.Exp(-float64(since)/float64(usualRiseTime))) * float64(mean-s.usual))
	default:
		s.usual += time.Duration(usualWeight * float64(mean-s.usual))
	}
	if s.slowed {
		s.slowedAt = now
	}
	factor := float64(s.meanService) / float64(max(1, s.usual))
	s.slowed = factor >= slowedFactor || s.slowed && factor >= recoveredFactor
}

// latestStart returns when a request must start to meet its deadline at the present speed.
func (q *FairQueue) latestStart(it *Item, now time.Time) time.Time {
	s := it.state
	if !s.slowed && !q.overdue(s, now) {
		return it.startBy
	}
	expected := max(q.expectedService(s), q.longestRunning(now))
	start := it.Deadline.Add(-time.Duration((1 + startMargin) * float64(expected)))
	if start.After(it.startBy) {
		return it.startBy
	}
	return start
}

// overdue reports whether a running request shows that the server is slower than the average tells.
func (q *FairQueue) overdue(s *classState, now time.Time) bool {
	return float64(q.longestRunning(now)) >= slowedFactor*float64(q.expectedService(s))
}

// longestRunning returns for how long the request that started first has run, up to the longest time
// for which requests hold a slot.
func (q *FairQueue) longestRunning(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, it := range q.active {
		longest = max(longest, now.Sub(it.startedAt))
	}
	return min(longest, maxSlotTimeout)
}

// began records that a request has started.
func (q *FairQueue) began(it *Item, now time.Time) {
	it.startedAt = now
	q.active = append(q.active, it)
}

// ended records that a request has ended.
func (q *FairQueue) ended(it *Item) {
	if i := slices.Index(q.active, it); i >= 0 {
		q.active = slices.Delete(q.active, i, i+1)
	}
}

// hold keeps a request that would be refused, and reports whether it does: its caller has no try
// left, the server is slower than usual, and at its usual speed the request would be served within
// the aim. It is served if the server recovers in time or has nothing else to do, and takes no
// slot from others.
//
// Load pattern: a server is slow by 5 for 20 s. When it recovers, the callers of the last 0.8 s
// had no try left, 0.05 of all that it could have served since it became slow.
func (q *FairQueue) hold(it *Item, now time.Time) bool {
	s := q.class(it.Class)
	before := q.refusals.of(it.Key, now)
	if !s.slowed || before.count < lastTryRefusals || it.MaxWait <= 0 || it.Deadline.IsZero() {
		return false
	}
	end := before.first.Add(queueWaitDivisor * it.MaxWait)
	if it.Deadline.Before(end) {
		end = it.Deadline
	}
	drain := time.Duration(float64(len(s.held)) * float64(s.usual) / float64(max(1, q.slots)))
	if now.Add(drain + s.usual).After(end) {
		return false
	}
	it.state, it.held, it.aimEnd = s, true, end
	it.startBy = end.Add(-s.usual)
	i, _ := slices.BinarySearchFunc(s.held, it, func(a, b *Item) int { return a.startBy.Compare(b.startBy) })
	s.held = slices.Insert(s.held, i, it)
	q.joinCustomer(it, s)
	it.customer.waiting++
	s.waiting++
	s.heldWaiting++
	q.waiting++
	heap.Push(&q.expiry, it)
	return true
}

// ahead returns the number of waiting requests that are served before a new one.
func (s *classState) ahead() int {
	if s.slowed {
		return s.waiting - s.heldWaiting
	}
	return s.waiting
}

// shed removes and returns the requests of slowed classes that cannot be served in time behind those
// ahead of them.
//
// Load pattern: a server turns slow by 5 with waits accepted at its usual speed. For 0.8 s, requests
// that no longer had a chance made it refuse those that had one.
func (q *FairQueue) shed(now time.Time) []*Item {
	var out []*Item
	for _, s := range q.classes {
		if !s.slowed || now.Sub(s.shedAt) < shedInterval {
			continue
		}
		s.shedAt = now
		step := q.waitBehind(s, 1, now) - q.waitBehind(s, 0, now)
		wait := q.waitBehind(s, 0, now) + q.expectedService(s)
		for _, it := range s.items {
			switch {
			case it.dequeued:
			case !it.Deadline.IsZero() && now.Add(wait).After(it.Deadline):
				q.dequeue(it)
				it.Refused = Overloaded
				q.refusals.add(it.Key, now)
				out = append(out, it)
			default:
				wait += step
			}
		}
	}
	return out
}

// setAimEnd sets when the latency aim of a request's operation ends. One that can no longer be
// answered within it yields to those that can. What was refused at the usual speed counts as new:
// when a crowd returns, putting those that tried first in front of others loses 0.014 of all.
func (q *FairQueue) setAimEnd(it *Item, s *classState, now time.Time) {
	aim := queueWaitDivisor * it.MaxWait
	first := now
	if before := q.refusals.of(it.Key, now); before.count > 0 && now.Sub(s.slowedAt) <= refusalMemory {
		first = before.first
	}
	it.aimEnd = first.Add(aim)
	if now.Add(q.expectedService(s)).After(it.aimEnd) {
		it.aimEnd = now.Add(aim)
	}
}

// insert adds a request to those of its class, which are in the order of the ends of their aims. A
// virtual start time belongs to the place in this order.
func (s *classState) insert(it *Item) {
	i := len(s.items)
	for i > 0 && s.items[i-1] != nil && it.aimEnd.Before(s.items[i-1].aimEnd) {
		i--
	}
	s.items = slices.Insert(s.items, i, it)
	for ; i+1 < len(s.items); i++ {
		s.items[i].virtualStart, s.items[i+1].virtualStart = s.items[i+1].virtualStart, s.items[i].virtualStart
	}
}

// trimHeld drops held requests that were started, removed or can no longer be served in time.
func (s *classState) trimHeld(now time.Time) {
	for len(s.held) > 0 && (s.held[0].dequeued || !now.Before(s.held[0].startBy)) {
		s.held[0] = nil
		s.held = s.held[1:]
	}
}

// head returns the next request of a class, nil if there is none. Held requests come first once the
// server has recovered, as they have the least time left, and last before.
func (q *FairQueue) head(s *classState, now time.Time) *Item {
	s.trim()
	q.skipExpired(s, now)
	s.trimHeld(now)
	switch {
	case len(s.held) > 0 && (len(s.items) == 0 || !s.slowed && s.held[0].aimEnd.Before(s.items[0].aimEnd)):
		s.held[0].virtualStart = max(q.virtualTime, s.virtualFinish)
		if len(s.items) > 0 {
			s.held[0].virtualStart = s.items[0].virtualStart
		}
		return s.held[0]
	case len(s.items) > 0:
		return s.items[0]
	}
	return nil
}
