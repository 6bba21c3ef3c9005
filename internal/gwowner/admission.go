package gwowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/pkg/gwlimit"
)

// admission assigns the slots of one server to requests, queueing those that must wait.
type admission struct {
	clock clockwork.Clock

	mu    sync.Mutex
	queue *gwlimit.FairQueue
	// slots is the number of slots of the server, and concurrency how many of them are used, 0 for
	// all.
	slots, concurrency int
	timer              clockwork.Timer
	// requests counts the requests that wait or run, including the statements of
	// open transactions, which run without a slot.
	requests atomic.Int64
}

func newAdmission(clock clockwork.Clock, slots int) *admission {
	return &admission{clock: clock, slots: slots, queue: gwlimit.NewFairQueue(slots)}
}

// setLimits sets the number of slots, the limits of the given classes and the weights of
// customers.
func (a *admission) setLimits(slots int, classes []gwlimit.Class, customers map[string]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = slots
	a.queue.SetSlots(a.usedSlots())
	a.queue.SetCustomers(customers)
	for _, c := range classes {
		a.queue.SetClass(c)
	}
	a.dispatch()
}

// setConcurrency sets how many of the slots are used.
func (a *admission) setConcurrency(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n == a.concurrency {
		return
	}
	a.concurrency = n
	a.queue.SetSlots(a.usedSlots())
	a.dispatch()
}

// usedSlots returns the number of slots that are used; a.mu must be held.
func (a *admission) usedSlots() int {
	if a.concurrency == 0 {
		return a.slots
	}
	return min(a.slots, a.concurrency)
}

// waiting returns the number of requests that wait for a slot.
func (a *admission) waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, _ := a.queue.Len()
	return n
}

func (a *admission) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Close()
}

// serviceTime returns the average time for which requests hold a slot.
func (a *admission) serviceTime() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.ServiceTime()
}

// load returns the number of requests that wait or run.
func (a *admission) load() int { return int(a.requests.Load()) }

// slotWaiter is the Ref of a queued item. Its channel is closed when the item gets a
// slot or is refused; in the latter case err is set before.
type slotWaiter struct {
	done chan struct{}
	err  error
}

// acquire waits until the item has a slot and returns the function that releases it.
func (a *admission) acquire(ctx context.Context, it *gwlimit.Item) (func(), error) {
	a.requests.Add(1)
	if err := a.admit(ctx, it); err != nil {
		a.requests.Add(-1)
		return nil, err
	}
	started := a.clock.Now()
	return func() { a.release(it, a.clock.Since(started)) }, nil
}

// operationKey returns a key of a request that is the same when its caller tries again: the
// class and customer with the request key or, without one, the statement, whose id changes.
func operationKey(req *Request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(req.Class + "\x00") // never fails
	if req.Customer != "" {
		_, _ = d.WriteString(req.Customer + "\x00")
	}
	switch {
	case req.Key != "":
		_, _ = d.WriteString(req.Key)
	case req.Statement != nil:
		_, _ = d.WriteString(req.Statement.Text)
	default:
		_, _ = d.Write(req.Messages)
	}
	return d.Sum64()
}

// admit returns nil once the item has a slot.
func (a *admission) admit(ctx context.Context, it *gwlimit.Item) error {
	w, err := a.push(it)
	if w == nil || err != nil {
		return err
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		if a.remove(it) {
			return ctx.Err()
		}
		<-w.done
	}
	return w.err
}

// acquireWithoutSlot admits a statement of an open transaction at once and returns
// the function that ends it.
//
// The transaction may hold locks that the statements in the slots wait for. If its
// next statement had to wait for a slot, all of them would block until their
// deadlines. The number of such statements is bounded by that of the connections.
func (a *admission) acquireWithoutSlot() func() {
	a.requests.Add(1)
	return func() { a.requests.Add(-1) }
}

// awaitConnection waits, for at most the request's wait for a slot, until its customer can expect
// a connection without waiting for a transaction to end. A request that waited for that in a
// slot would keep others from running that have a connection. A connection that only has to be
// opened is waited for in the slot: the server needs one for that, too.
func (s *server) awaitConnection(ctx context.Context, req *Request) error {
	defer s.admission.acquireWithoutSlot()()
	return s.backend.Pool().AwaitAvailable(ctx, req.Customer, req.QueueWait)
}

// remainingWait returns what is left of the longest wait; 0 stands for any wait.
func remainingWait(wait, waited time.Duration) time.Duration {
	if wait <= 0 {
		return wait
	}
	return max(wait-waited, time.Nanosecond)
}

// push queues the item and returns its waiter, or nil if the item got a slot at once.
func (a *admission) push(it *gwlimit.Item) (*slotWaiter, error) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.TryStart(it, now) {
		return nil, nil
	}
	w := &slotWaiter{done: make(chan struct{})}
	it.Ref = w
	if err := a.queue.Push(it, now); err != nil {
		return nil, err
	}
	a.dispatch()
	return w, nil
}

func (a *admission) remove(it *gwlimit.Item) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Remove(it)
}

func (a *admission) release(it *gwlimit.Item, took time.Duration) {
	a.requests.Add(-1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.RecordServiceTime(it.Class, took)
	a.queue.Done(it)
	if waiting, _ := a.queue.Len(); waiting > 0 {
		a.dispatch()
	}
}

// dispatch refuses expired requests and assigns the free slots; a.mu must be held.
func (a *admission) dispatch() {
	now := a.clock.Now()
	for _, it := range a.queue.Expire(now) {
		w := it.Ref.(*slotWaiter)
		w.err = &gwlimit.Error{Op: "admit request", Kind: it.Refused, Class: it.Class}
		close(w.done)
	}
	for it := a.queue.Pop(now); it != nil; it = a.queue.Pop(now) {
		close(it.Ref.(*slotWaiter).done)
	}
	a.schedule(now)
}

// schedule sets the timer to the next deadline of a waiting request, if there is one.
func (a *admission) schedule(now time.Time) {
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
	if waiting, _ := a.queue.Len(); waiting == 0 {
		return
	}
	if at, ok := a.queue.NextExpiry(); ok {
		a.timer = a.clock.AfterFunc(at.Sub(now), a.expire)
	}
}

func (a *admission) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatch()
}
