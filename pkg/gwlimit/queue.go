package gwlimit

import (
	"container/heap"
	"fmt"
	"time"
)

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// QueueFull means that the class has as many waiting requests as it may.
	QueueFull Kind = iota + 1
	// Expired means that the deadline had passed when the request arrived.
	Expired
	// Closed means that the queue admits no new work.
	Closed
	// Overloaded means that the request would wait longer than it accepts, or
	// for so long that it could not end before its deadline.
	Overloaded
)

// Error is the error type of this package.
type Error struct {
	Op    string
	Kind  Kind
	Class string
}

// Error formats the operation, the class and the kind.
func (e *Error) Error() string {
	switch e.Kind {
	case QueueFull:
		return fmt.Sprintf("%s: queue of class %q is full", e.Op, e.Class)
	case Overloaded:
		return fmt.Sprintf("%s: the wait for a slot is too long for class %q", e.Op, e.Class)
	case Expired:
		return fmt.Sprintf("%s: deadline of class %q passed", e.Op, e.Class)
	default:
		return fmt.Sprintf("%s: no new work is admitted", e.Op)
	}
}

// Class holds the limits of one class. Zero values of Queue and Concurrency
// mean no bound.
type Class struct {
	Name        string
	Weight      int
	Queue       int
	Concurrency int
}

// Item is a request that waits for a slot.
type Item struct {
	Class    string
	Deadline time.Time
	// MaxWait is the longest expected wait that the request accepts; 0 for any.
	MaxWait time.Duration
	// Cost is the expected use of a slot relative to other requests; 0 counts as 1.
	Cost float64
	// Ref is the owner's reference to the request.
	Ref any

	virtualStart float64
	seq          uint64
	dequeued     bool
	state        *classState
}

type classState struct {
	Class
	waiting, running int
	virtualFinish    float64
	items            []*Item
	// service is the moving average of the time that a request holds a slot.
	meanService time.Duration
}

// FairQueue shares a number of slots between classes by start-time fair
// queueing: the class with the lowest virtual start time goes first.
type FairQueue struct {
	slots       int
	running     int
	waiting     int
	virtualTime float64
	seq         uint64
	closed      bool
	classes     map[string]*classState
	expiry      expiryHeap
	// service is the moving average over all classes.
	meanService time.Duration
}

// serviceWeight is the weight of the newest time in the moving averages: the last
// ten or so requests decide.
const serviceTimeWeight = 0.1

// Took records for how long a request of a class has held its slot.
func (q *FairQueue) RecordServiceTime(class string, d time.Duration) {
	s := q.class(class)
	if s.meanService == 0 {
		s.meanService = d
	}
	s.meanService += time.Duration(serviceTimeWeight * float64(d-s.meanService))
	if q.meanService == 0 {
		q.meanService = d
	}
	q.meanService += time.Duration(serviceTimeWeight * float64(d-q.meanService))
}

// defaultService is the time that requests are taken to hold a slot while none has
// ended, as after a restart, when a crowd comes back: about what the statements of
// the users' databases take.
const defaultServiceTime = 10 * time.Millisecond

// Service returns the average time for which requests of all classes hold a slot.
func (q *FairQueue) ServiceTime() time.Duration {
	if q.meanService == 0 {
		return defaultServiceTime
	}
	return q.meanService
}

// serviceOf returns the expected time of a request of the class.
func (q *FairQueue) expectedService(s *classState) time.Duration {
	if s.meanService > 0 {
		return s.meanService
	}
	return q.ServiceTime()
}

// Wait estimates how long a new request of a class waits for a slot: until the
// work before it has ended, all of it or, if that is less, what its own class
// has waiting at the class's share of the slots.
func (q *FairQueue) ExpectedWait(class string) time.Duration {
	own := q.class(class)
	var all time.Duration
	weights := 0
	for _, s := range q.classes {
		all += time.Duration(s.waiting) * q.expectedService(s)
		if s.waiting > 0 || s == own {
			weights += s.Weight
		}
	}
	slots := time.Duration(max(1, q.slots))
	// The requests in the slots are half done on average.
	running := time.Duration(min(q.running, q.slots)) * q.ServiceTime() / 2 / slots
	if q.running < q.slots && q.waiting == 0 {
		return 0
	}
	shared := time.Duration(own.waiting) * q.expectedService(own) * time.Duration(weights) / time.Duration(max(1, own.Weight))
	return running + min(all, shared)/slots
}

// NewFairQueue returns a queue for a server with the given number of slots.
func NewFairQueue(slots int) *FairQueue {
	return &FairQueue{slots: slots, classes: make(map[string]*classState)}
}

// SetSlots changes the number of slots; running work is not interrupted.
func (q *FairQueue) SetSlots(n int) { q.slots = n }

// SetClass adds a class or replaces its limits.
func (q *FairQueue) SetClass(c Class) {
	if c.Weight <= 0 {
		c.Weight = 1
	}
	if s, ok := q.classes[c.Name]; ok {
		s.Class = c
		return
	}
	q.classes[c.Name] = &classState{Class: c}
}

// Close refuses new work; waiting work is still served.
func (q *FairQueue) Close() { q.closed = true }

// Len returns the numbers of waiting and running requests.
func (q *FairQueue) Len() (waiting, running int) { return q.waiting, q.running }

func (q *FairQueue) class(name string) *classState {
	s, ok := q.classes[name]
	if !ok {
		s = &classState{Class: Class{Name: name, Weight: 1}}
		q.classes[name] = s
	}
	return s
}

// Start gives a slot to it at once, with the effect of Push and Pop, and
// reports whether it did. It does so only while nothing waits, so that it
// overtakes no other request.
func (q *FairQueue) TryStart(it *Item, now time.Time) bool {
	s := q.class(it.Class)
	switch {
	case q.closed, q.waiting > 0, q.running >= q.slots:
		return false
	case s.Concurrency > 0 && s.running >= s.Concurrency:
		return false
	case !it.Deadline.IsZero() && !now.Before(it.Deadline):
		return false
	}
	q.schedule(it, s)
	it.dequeued = true
	s.running++
	q.running++
	q.virtualTime = max(q.virtualTime, it.virtualStart)
	return true
}

// schedule sets the virtual times of it and of its class.
func (q *FairQueue) schedule(it *Item, s *classState) {
	cost := it.Cost
	if cost <= 0 {
		cost = 1
	}
	it.virtualStart = max(q.virtualTime, s.virtualFinish)
	s.virtualFinish = it.virtualStart + cost/float64(s.Weight)
	q.seq++
	it.seq = q.seq
	it.state = s
}

// Push adds it to the queue. It fails when the queue of the class is full, the
// deadline has passed, the queue is closed, or the request would wait in vain: at
// 1.5 times the capacity a queue that only drops what has expired serves work
// whose callers have given up, and little else.
func (q *FairQueue) Push(it *Item, now time.Time) error {
	const op = "admit"
	s := q.class(it.Class)
	if q.closed {
		return &Error{Op: op, Kind: Closed, Class: it.Class}
	}
	if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
		return &Error{Op: op, Kind: Expired, Class: it.Class}
	}
	if s.Queue > 0 && s.waiting >= s.Queue {
		return &Error{Op: op, Kind: QueueFull, Class: it.Class}
	}
	wait := q.ExpectedWait(it.Class)
	if it.MaxWait > 0 && wait > it.MaxWait || !it.Deadline.IsZero() && now.Add(wait+q.expectedService(s)).After(it.Deadline) {
		return &Error{Op: op, Kind: Overloaded, Class: it.Class}
	}
	q.schedule(it, s)
	s.items = append(s.items, it)
	s.waiting++
	q.waiting++
	if !it.Deadline.IsZero() {
		heap.Push(&q.expiry, it)
	}
	return nil
}

// Pop takes a slot for the next request, or returns nil when no slot is free
// or nothing may run. The caller must call Done when the request has finished.
func (q *FairQueue) Pop(now time.Time) *Item {
	if q.running >= q.slots {
		return nil
	}
	var best *classState
	for _, s := range q.classes {
		s.trim()
		s.skipExpired(now)
		if len(s.items) == 0 || (s.Concurrency > 0 && s.running >= s.Concurrency) {
			continue
		}
		if best == nil || before(s.items[0], best.items[0]) {
			best = s
		}
	}
	if best == nil {
		return nil
	}
	it := best.items[0]
	q.dequeue(it)
	best.trim()
	best.running++
	q.running++
	q.virtualTime = max(q.virtualTime, it.virtualStart)
	return it
}

// Done returns the slot of a request that Pop returned.
func (q *FairQueue) Done(it *Item) {
	it.state.running--
	q.running--
}

// Remove takes a waiting request out of the queue, as when its caller has left.
// It reports whether the request was still waiting.
func (q *FairQueue) Remove(it *Item) bool {
	if it.state == nil || it.dequeued {
		return false
	}
	q.dequeue(it)
	return true
}

// Expire removes and returns the requests whose deadline has passed.
func (q *FairQueue) Expire(now time.Time) []*Item {
	var out []*Item
	for len(q.expiry) > 0 && (q.expiry[0].dequeued || !now.Before(q.expiry[0].Deadline)) {
		it, _ := heap.Pop(&q.expiry).(*Item)
		if it.dequeued {
			continue
		}
		q.dequeue(it)
		out = append(out, it)
	}
	return out
}

// NextExpiry returns the earliest deadline of a waiting request.
func (q *FairQueue) NextExpiry() (time.Time, bool) {
	for len(q.expiry) > 0 && q.expiry[0].dequeued {
		heap.Pop(&q.expiry)
	}
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].Deadline, true
}

func (q *FairQueue) dequeue(it *Item) {
	it.dequeued = true
	it.state.waiting--
	q.waiting--
}

// trim drops items at the head that have been served, removed or expired.
func (s *classState) trim() {
	n := 0
	for n < len(s.items) && s.items[n].dequeued {
		s.items[n] = nil
		n++
	}
	s.items = s.items[n:]
}

// skipExpired drops items at the head whose deadline has passed; they stay in the
// heap for Expire, which tells the requests' owners.
func (s *classState) skipExpired(now time.Time) {
	for len(s.items) > 0 {
		it := s.items[0]
		if !it.dequeued && (it.Deadline.IsZero() || now.Before(it.Deadline)) {
			return
		}
		s.items[0] = nil
		s.items = s.items[1:]
	}
}

func before(a, b *Item) bool {
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.seq < b.seq
}

type expiryHeap []*Item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(*Item)) }
func (h *expiryHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
