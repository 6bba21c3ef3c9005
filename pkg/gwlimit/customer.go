package gwlimit

import (
	"math"
	"time"
)

// maxCustomers bounds the customers of a class whose use is remembered. One that waits for
// nothing is dropped when it no longer has used more than the others.
const maxCustomers = 1024

// customerState is a customer's use of a class. Customers share the turns of their class by
// start-time fair queueing. Unlike those of a class, a customer's turns are counted when they
// begin, so that requests that expire or are withdrawn cost it nothing.
type customerState struct {
	weight  float64
	waiting int
	// virtualStart is that of its next request. An idle customer's is raised to the virtual
	// time of the class, so that it gets no credit for the time.
	virtualStart float64
	// slotTime is the slot time of its started requests, in seconds per second.
	slotTime rate
	// loadedSince has the meaning of that of a class.
	loadedSince time.Time
}

// customers are the customers of one class.
type customers struct {
	byName      map[string]*customerState
	virtualTime float64
}

// SetCustomers sets the weights of customers in the classes; others have weight 1.
func (q *FairQueue) SetCustomers(weights map[string]int) {
	q.customerWeights = weights
	for _, s := range q.classes {
		for name, c := range s.customers.byName {
			c.weight = q.customerWeight(name)
		}
	}
}

func (q *FairQueue) customerWeight(name string) float64 {
	return float64(max(1, q.customerWeights[name]))
}

// customer returns the state of a customer and adds it if it is new.
func (q *FairQueue) customer(s *classState, name string) *customerState {
	cs := &s.customers
	if c := cs.byName[name]; c != nil {
		return c
	}
	if cs.byName == nil {
		cs.byName = make(map[string]*customerState)
	}
	if len(cs.byName) >= maxCustomers {
		for n, c := range cs.byName {
			if c.waiting == 0 && c.virtualStart <= cs.virtualTime {
				delete(cs.byName, n)
			}
		}
	}
	c := &customerState{weight: q.customerWeight(name), virtualStart: cs.virtualTime}
	cs.byName[name] = c
	return c
}

// joinCustomer makes a request that is being scheduled one of its customer.
func (q *FairQueue) joinCustomer(it *Item, s *classState) {
	it.customer = q.customer(s, it.Customer)
	if it.customer.waiting == 0 {
		it.customer.virtualStart = max(it.customer.virtualStart, s.customers.virtualTime)
	}
}

// startCustomer counts the turn of a request.
func (q *FairQueue) startCustomer(it *Item, s *classState, now time.Time) {
	c := it.customer
	s.customers.virtualTime = max(s.customers.virtualTime, c.virtualStart)
	c.virtualStart += 1 / c.weight
	c.slotTime.add(q.expectedService(s).Seconds(), now)
}

// customerTurn moves the request of the customer whose turn it is to the head of its class. The
// virtual start times keep their order, so that the turns of the classes do not change.
func (s *classState) customerTurn(now time.Time) {
	if len(s.customers.byName) < 2 {
		return
	}
	best := 0
	for i, it := range s.items {
		if !it.dequeued && (it.Deadline.IsZero() || now.Before(it.startBy)) && it.customer.virtualStart < s.items[best].customer.virtualStart {
			best = i
		}
	}
	it := s.items[best]
	for i := best; i > 0; i-- {
		s.items[i] = s.items[i-1]
		s.items[i].virtualStart, it.virtualStart = it.virtualStart, s.items[i].virtualStart
	}
	s.items[0] = it
}

// waitInClass returns the expected wait of a new request, where without customers it is wait and
// a request of the class is started every turn on average. Before it are started those of its
// customer, and of the others as many as they have turns until then. A customer with many
// requests waits for its own, which get its share of the class by weight or, if that is more,
// what the other customers leave.
func (q *FairQueue) waitInClass(it *Item, s *classState, wait time.Duration, now time.Time) time.Duration {
	cs := &s.customers
	if s.waiting == 0 || len(cs.byName) == 0 || len(cs.byName) == 1 && cs.byName[it.Customer] != nil {
		return wait
	}
	// The first turn comes when a running request ends.
	running := time.Duration(float64(min(q.running, q.slots)) * float64(q.ServiceTime()) / 2 / float64(max(1, q.slots)))
	turn := (wait - running) / time.Duration(s.waiting)
	own := q.customer(s, it.Customer)
	start := own.virtualStart
	if own.waiting == 0 {
		start = max(start, cs.virtualTime)
	}
	start += float64(own.waiting) / own.weight
	before, weights, used := own.waiting, own.weight, 0.0
	for _, c := range cs.byName {
		if c == own {
			continue
		}
		if c.waiting > 0 && c.virtualStart <= start {
			before += min(c.waiting, int(math.Floor((start-c.virtualStart)*c.weight))+1)
		}
		u := c.slotTime.perSecond(now)
		if c.waiting > 0 || u > idleUse*float64(max(1, q.slots)) {
			weights += c.weight
			used += u
		}
	}
	// Turns per second of the class times the slot time of each.
	capacity := q.expectedService(s).Seconds() / max(turn.Seconds(), 1e-6)
	share := max(own.weight/weights, 1-used/capacity)
	return running + max(time.Duration(before)*turn, time.Duration(float64(own.waiting)/share)*turn)
}

// loadedSince returns since when the expected wait has been long for requests such as it.
func (q *FairQueue) loadedSince(it *Item, s *classState) *time.Time {
	if it.Customer == "" {
		return &s.loadedSince
	}
	return &q.customer(s, it.Customer).loadedSince
}
