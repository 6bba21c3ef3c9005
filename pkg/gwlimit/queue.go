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
	// QueueFull means that the class has reached its limit of waiting requests.
	QueueFull Kind = iota + 1
	// Expired means that the request got no slot in time to meet its deadline.
	Expired
	// Closed means that the queue admits no new requests.
	Closed
	// Overloaded means that the expected wait exceeds the longest one that the request
	// accepts, or leaves too little time to finish before its deadline.
	Overloaded
)

// String returns the kind as a value of a metric's label.
func (k Kind) String() string {
	switch k {
	case QueueFull:
		return "queueFull"
	case Expired:
		return "expired"
	case Overloaded:
		return "overloaded"
	default:
		return "closed"
	}
}

// Error is the error type of this package.
type Error struct {
	Op    string
	Kind  Kind
	Class string
}

// Error returns the operation, the class and the kind as text.
func (e *Error) Error() string {
	switch e.Kind {
	case QueueFull:
		return fmt.Sprintf("%s: queue of class %q is full", e.Op, e.Class)
	case Overloaded:
		return fmt.Sprintf("%s: expected wait for a slot is too long for class %q", e.Op, e.Class)
	case Expired:
		return fmt.Sprintf("%s: no slot in time for the deadline of a request of class %q", e.Op, e.Class)
	default:
		return fmt.Sprintf("%s: queue is closed to new requests", e.Op)
	}
}

// Class holds the weight and the limits of one class. Queue bounds its waiting requests
// and Concurrency its running ones; 0 means no bound.
type Class struct {
	Name        string
	Weight      int
	Queue       int
	Concurrency int
}

// Item is a request that waits for a slot.
type Item struct {
	Class string
	// Customer is the customer with whose requests of the class it takes turns.
	Customer string
	Deadline time.Time
	// MaxWait is the longest expected wait that the request accepts; 0 for any.
	MaxWait time.Duration
	// Key is the same for all tries of an operation; 0 if it is not known. Different
	// operations may share a key.
	Key uint64
	// Cost is the expected slot time relative to other requests; 0 counts as 1.
	Cost float64
	// Ref is a value of the queue's user; the queue does not read it.
	Ref any
	// Refused is the kind of the refusal of a request that Expire has returned: Expired, or
	// Overloaded if there is time left in which another server may serve it.
	Refused Kind

	virtualStart float64
	// startBy is the latest start at which the request is expected to meet its deadline.
	startBy  time.Time
	seq      uint64
	dequeued bool
	state    *classState
	customer *customerState
	// startedAt is when the request got its slot, and held that it was kept by hold.
	startedAt time.Time
	held      bool
	// aimEnd is when the latency aim of the operation ends, as far as known.
	aimEnd time.Time
}

// classState is a class with its waiting requests and its virtual finish time.
type classState struct {
	Class
	waiting, running int
	virtualFinish    float64
	items            []*Item
	// meanService is the moving average of the slot time of its requests.
	meanService time.Duration
	// loadedSince is since when the expected wait has exceeded half of the longest one that
	// requests accept, zero if it does not.
	loadedSince time.Time
	// slotTime is the slot time of its started requests, in seconds per second.
	slotTime rate
	// arrivals is the rate of new operations that got no slot at once.
	arrivals rate
	// customers take turns within the class.
	customers customers
	speedState
}

// FairQueue shares a number of slots between classes by start-time fair queueing: the
// request with the lowest virtual start time gets the next free slot.
type FairQueue struct {
	slots       int
	running     int
	waiting     int
	virtualTime float64
	seq         uint64
	closed      bool
	classes     map[string]*classState
	expiry      expiryHeap
	refusals    refusals
	// customerWeights are the weights of customers, see SetCustomers.
	customerWeights map[string]int
	// meanService is the moving average of the slot time over all classes.
	meanService time.Duration
	// active are the running requests, and seenAt is the latest time that was passed in.
	active []*Item
	seenAt time.Time
}

// serviceTimeWeight is the weight of the newest time in the exponential moving averages,
// which about the last ten requests determine.
const serviceTimeWeight = 0.1

// RecordServiceTime records for how long a request of a class occupied its slot.
func (q *FairQueue) RecordServiceTime(class string, d time.Duration) {
	s := q.class(class)
	if s.meanService == 0 {
		s.meanService = d
	}
	s.meanService += time.Duration(s.serviceWeight(d) * float64(d-s.meanService))
	s.recordUsual(q.seenAt)
	if q.meanService == 0 {
		q.meanService = d
	}
	q.meanService += time.Duration(s.serviceWeight(d) * float64(d-q.meanService))
}

// idleUse is the share of the slots below which a class without waiting requests does not
// count as one that shares them.
const idleUse = 0.01

// defaultServiceTime is the assumed slot time until the first request has ended, as after
// a restart, when many callers reconnect at once. It is about the time of a statement at
// the users' databases.
const defaultServiceTime = 10 * time.Millisecond

// ServiceTime returns the average slot time of requests of all classes.
func (q *FairQueue) ServiceTime() time.Duration {
	if q.meanService == 0 {
		return defaultServiceTime
	}
	return q.meanService
}

// expectedService returns the expected slot time of a request of a class.
func (q *FairQueue) expectedService(s *classState) time.Duration {
	if s.meanService > 0 {
		return s.meanService
	}
	return q.ServiceTime()
}

// ExpectedWait estimates how long a new request of a class waits for a slot. It is 0 if a
// slot is free and no request waits. Otherwise it is the remaining time of the running
// requests plus the time to serve the waiting requests of its class with the slots that the
// class gets: its share by weight or, if that is more, what the other classes leave.
func (q *FairQueue) ExpectedWait(class string, now time.Time) time.Duration {
	if q.running < q.slots && q.waiting == 0 {
		return 0
	}
	own := q.class(class)
	return q.waitBehind(own, own.ahead(), now)
}

// waitBehind estimates how long a request of a class waits with the given number of requests of its
// class ahead of it.
func (q *FairQueue) waitBehind(own *classState, ahead int, now time.Time) time.Duration {
	slots := float64(max(1, q.slots))
	weights, others := 0, 0.0
	for _, s := range q.classes {
		if s == own {
			weights += s.Weight
			continue
		}
		used := s.slotTime.perSecond(now) / slots
		if s.waiting > 0 || used > idleUse {
			weights += s.Weight
			others += used
		}
	}
	share := max(float64(own.Weight)/float64(weights), 1-others)
	// Running requests are half done on average.
	running := float64(min(q.running, q.slots)) * float64(q.ServiceTime()) / 2
	waiting := float64(ahead) * float64(q.expectedService(own)) / share
	return time.Duration((running + waiting) / slots)
}

// NewFairQueue returns a queue for a server with the given number of slots.
func NewFairQueue(slots int) *FairQueue {
	return &FairQueue{slots: slots, classes: make(map[string]*classState), refusals: refusals{byKey: make(map[uint64]refusal)}}
}

// SetSlots changes the number of slots; running requests are not interrupted.
func (q *FairQueue) SetSlots(n int) { q.slots = n }

// SetClass adds a class or replaces its limits; a weight below 1 counts as 1.
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

// Close makes Push and TryStart reject new requests; waiting ones are still served.
func (q *FairQueue) Close() { q.closed = true }

// Len returns the numbers of waiting and of running requests.
func (q *FairQueue) Len() (waiting, running int) { return q.waiting, q.running }

// class returns the state of a class and adds it with weight 1 if it is new.
func (q *FairQueue) class(name string) *classState {
	s, ok := q.classes[name]
	if !ok {
		s = &classState{Class: Class{Name: name, Weight: 1}}
		q.classes[name] = s
	}
	return s
}

// TryStart gives a free slot to the request at once, with the effect of Push and Pop, and
// reports whether it did. It does so only if no request waits, so that none is overtaken.
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
	*q.loadedSince(it, s) = time.Time{}
	it.dequeued = true
	q.start(it, s, now)
	return true
}

// schedule sets the virtual start time of a request and the virtual finish time of its
// class.
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
	q.joinCustomer(it, s)
}

// Push adds a request to the queue. It returns an *Error if the queue is closed, the
// deadline has passed, the queue of the class is full, or the expected wait is too long.
// The last check matters under overload: at 1.5 times the capacity, a queue that only
// drops expired requests mostly serves requests whose callers have given up.
func (q *FairQueue) Push(it *Item, now time.Time) error {
	const op = "admit request"
	s := q.class(it.Class)
	if q.closed {
		return &Error{Op: op, Kind: Closed, Class: it.Class}
	}
	if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
		return &Error{Op: op, Kind: Expired, Class: it.Class}
	}
	if s.Queue > 0 && s.waiting >= s.Queue {
		q.refusals.add(it.Key, now)
		return &Error{Op: op, Kind: QueueFull, Class: it.Class}
	}
	wait := q.waitInClass(it, s, q.ExpectedWait(it.Class, now), now)
	if !q.acceptsWait(it, wait, now) || !it.Deadline.IsZero() && now.Add(wait+q.expectedService(s)).After(it.Deadline) {
		if q.hold(it, now) {
			return nil
		}
		q.refusals.add(it.Key, now)
		return &Error{Op: op, Kind: Overloaded, Class: it.Class}
	}
	q.setAimEnd(it, s, now)
	q.refusals.forget(it.Key)
	q.schedule(it, s)
	s.insert(it)
	s.waiting++
	it.customer.waiting++
	q.waiting++
	if !it.Deadline.IsZero() {
		it.startBy = it.Deadline.Add(-q.expectedService(s))
		heap.Push(&q.expiry, it)
	}
	return nil
}

// Pop gives a slot to the next request and returns it. It returns nil if no slot is free
// or no waiting request may run. The caller must call Done when the request has ended.
func (q *FairQueue) Pop(now time.Time) *Item {
	if q.running >= q.slots {
		return nil
	}
	q.seenAt = now
	var best *Item
	for _, s := range q.classes {
		it := q.head(s, now)
		if it == nil || (s.Concurrency > 0 && s.running >= s.Concurrency) {
			continue
		}
		if best == nil || before(it, best) {
			best = it
		}
	}
	if best == nil {
		return nil
	}
	if best.held {
		q.schedule(best, best.state)
	} else {
		best.state.customerTurn(now)
		best = best.state.items[0]
	}
	q.dequeue(best)
	best.state.trim()
	q.start(best, best.state, now)
	return best
}

// start counts a request as running.
func (q *FairQueue) start(it *Item, s *classState, now time.Time) {
	s.running++
	q.running++
	q.virtualTime = max(q.virtualTime, it.virtualStart)
	s.slotTime.add(q.expectedService(s).Seconds(), now)
	q.startCustomer(it, s, now)
	q.began(it, now)
}

// Done frees the slot of a request that Pop returned or TryStart started.
func (q *FairQueue) Done(it *Item) {
	it.state.running--
	q.running--
	q.ended(it)
}

// Remove removes a waiting request from the queue, as when its caller has disconnected.
// It reports whether the request was still waiting.
func (q *FairQueue) Remove(it *Item) bool {
	if it.state == nil || it.dequeued {
		return false
	}
	q.dequeue(it)
	return true
}

// Expire removes and returns the requests that can no longer meet their deadline.
//
// Load pattern: a server becomes slower than the waits were estimated with. Requests that
// start just before their deadline use up slots for answers that nobody waits for.
func (q *FairQueue) Expire(now time.Time) []*Item {
	var out []*Item
	for len(q.expiry) > 0 && (q.expiry[0].dequeued || !now.Before(q.expiry[0].startBy)) {
		it, _ := heap.Pop(&q.expiry).(*Item)
		if it.dequeued {
			continue
		}
		q.dequeue(it)
		it.Refused = Expired
		if it.held {
			it.Refused = Overloaded
		}
		q.refusals.add(it.Key, now)
		out = append(out, it)
	}
	return append(out, q.shed(now)...)
}

// NextExpiry returns the earliest time at which Expire returns a request.
func (q *FairQueue) NextExpiry() (time.Time, bool) {
	for len(q.expiry) > 0 && q.expiry[0].dequeued {
		heap.Pop(&q.expiry)
	}
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].startBy, true
}

// dequeue marks a request as no longer waiting; trim drops it from the list of its class.
func (q *FairQueue) dequeue(it *Item) {
	it.dequeued = true
	it.state.waiting--
	it.customer.waiting--
	q.waiting--
	if it.held {
		it.state.heldWaiting--
	}
}

// trim drops requests at the head that were started, removed or expired.
func (s *classState) trim() {
	n := 0
	for n < len(s.items) && s.items[n].dequeued {
		s.items[n] = nil
		n++
	}
	s.items = s.items[n:]
}

// skipExpired drops requests at the head that can no longer meet their deadline. They stay in the
// expiry heap, so that Expire returns them.
func (q *FairQueue) skipExpired(s *classState, now time.Time) {
	for len(s.items) > 0 {
		it := s.items[0]
		if !it.dequeued && (it.Deadline.IsZero() || now.Before(q.latestStart(it, now))) {
			return
		}
		s.items[0] = nil
		s.items = s.items[1:]
	}
}

// before orders requests by virtual start time, then by order of arrival.
func before(a, b *Item) bool {
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.seq < b.seq
}

// expiryHeap orders waiting requests by the latest useful start.
type expiryHeap []*Item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].startBy.Before(h[j].startBy) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(*Item)) }
func (h *expiryHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
