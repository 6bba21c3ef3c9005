package gwowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/pkg/gwlimit"
)

// admission gives the slots of one server to waiting requests.
type admission struct {
	clock clockwork.Clock

	mu    sync.Mutex
	queue *gwlimit.FairQueue
	timer clockwork.Timer
	// demand counts the requests waiting and running, with the statements of
	// open transactions, which run without a slot.
	demand atomic.Int64
}

func newAdmission(clock clockwork.Clock, slots int) *admission {
	return &admission{clock: clock, queue: gwlimit.NewFairQueue(slots)}
}

// setLimits replaces the number of slots and the limits of the classes.
func (a *admission) setLimits(slots int, classes []gwlimit.Class) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetSlots(slots)
	for _, c := range classes {
		a.queue.SetClass(c)
	}
	a.dispatch()
}

func (a *admission) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Close()
}

// service returns the average time for which requests hold a slot.
func (a *admission) service() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.ServiceTime()
}

// load returns the number of requests waiting and running.
func (a *admission) load() int { return int(a.demand.Load()) }

// grant is the reference of a queued item: its channel is closed when the item
// gets a slot, after err has been set when it is refused instead.
type grant struct {
	done chan struct{}
	err  error
}

// acquire waits for a slot and returns the function that gives it back.
func (a *admission) acquire(ctx context.Context, class string, deadline time.Time, maxWait time.Duration) (func(), error) {
	it := &gwlimit.Item{Class: class, Deadline: deadline, MaxWait: maxWait}
	a.demand.Add(1)
	if err := a.admit(ctx, it); err != nil {
		a.demand.Add(-1)
		return nil, err
	}
	started := a.clock.Now()
	return func() { a.release(it, a.clock.Since(started)) }, nil
}

// admit waits until the item has a slot.
func (a *admission) admit(ctx context.Context, it *gwlimit.Item) error {
	g, err := a.push(it)
	if g == nil || err != nil {
		return err
	}
	select {
	case <-g.done:
	case <-ctx.Done():
		if a.withdraw(it) {
			return ctx.Err()
		}
		<-g.done
	}
	return g.err
}

// acquireUrgent admits a statement of an open transaction at once.
//
// Such a statement may hold locks that the statements in the slots wait for, so
// that waiting for a slot itself would block all of them until their deadlines.
// The number of connections bounds these statements.
func (a *admission) acquireUrgent() func() {
	a.demand.Add(1)
	return func() { a.demand.Add(-1) }
}

// push queues the item and returns its grant, nil when the item has a slot
// already.
func (a *admission) push(it *gwlimit.Item) (*grant, error) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.TryStart(it, now) {
		return nil, nil
	}
	g := &grant{done: make(chan struct{})}
	it.Ref = g
	if err := a.queue.Push(it, now); err != nil {
		return nil, err
	}
	a.dispatch()
	return g, nil
}

func (a *admission) withdraw(it *gwlimit.Item) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Remove(it)
}

func (a *admission) release(it *gwlimit.Item, took time.Duration) {
	a.demand.Add(-1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.RecordServiceTime(it.Class, took)
	a.queue.Done(it)
	if waiting, _ := a.queue.Len(); waiting > 0 {
		a.dispatch()
	}
}

// dispatch refuses expired requests and gives free slots away.
func (a *admission) dispatch() {
	now := a.clock.Now()
	for _, it := range a.queue.Expire(now) {
		g := it.Ref.(*grant)
		g.err = &gwlimit.Error{Op: "admit", Kind: gwlimit.Expired, Class: it.Class}
		close(g.done)
	}
	for it := a.queue.Pop(now); it != nil; it = a.queue.Pop(now) {
		close(it.Ref.(*grant).done)
	}
	a.schedule(now)
}

// schedule arranges for the next deadline while requests wait.
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
