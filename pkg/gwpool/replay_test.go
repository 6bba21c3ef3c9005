package gwpool

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"time"

	"gentianward.example/gentianward/pkg/gwlimit"
)

// Figures of the simulated server and its callers.
const (
	testSlots    = 5
	testLimit    = 73 // of 74 connections, one is for control statements
	testDial     = 12 * time.Millisecond
	testClose    = time.Millisecond
	testDeadline = time.Second
	testService  = 24 * time.Millisecond // on average
	testThink    = 60 * time.Millisecond // between the statements of a transaction
	// testCapacity is the number of statements per second that the slots serve.
	testCapacity = testSlots / 0.024
	unlimited    = 1 << 20
)

var testNow = time.Unix(1_800_000_000, 0)

// request is one operation: a statement, or a transaction of several.
type request struct {
	user       string
	at         time.Time
	services   []time.Duration // of its statements
	think      time.Duration   // between them
	statement  int
	item       *gwlimit.Item
	waiter     *Waiter
	gated      bool
	done, held bool
	end        time.Time
}

// replay simulates a server with its owner: requests take a slot of the owner, then a
// connection. Statements and dials occupy the slots of the server.
type replay struct {
	limit     int // of the pool
	serverMax func(at time.Duration) int
	dial      time.Duration
	dialFirst bool // a request waits for its connection before it takes a slot
	pool      *Pool
	queue     *gwlimit.FairQueue
	steps     steps
	busy      int // slots of the server in use
	jobs      []job
	open      int // connections at the server
	gate      []*request
	wakeAt    time.Time
	dials     []time.Time
	refused   int
	maxOpen   int
	needs     []needEvent
}

// needEvent is the begin or the end of a use of a connection.
type needEvent struct {
	at    time.Time
	user  string
	level int // reached by a begin; 0 for an end
}

type job struct {
	takes time.Duration
	then  func(now time.Time)
}

type step struct {
	at time.Time
	n  int
	do func(now time.Time)
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].n < s[j].n
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	old := *s
	v := old[len(old)-1]
	*s = old[:len(old)-1]
	return v
}

var stepNumber int

func (r *replay) at(at time.Time, do func(time.Time)) {
	stepNumber++
	heap.Push(&r.steps, step{at, stepNumber, do})
}

// newReplay returns a replay with the usual limit and dial time.
func newReplay() *replay { return &replay{limit: testLimit, dial: testDial} }

// newOracle returns a replay in which connections are free and unlimited.
func newOracle() *replay { return &replay{limit: unlimited} }

// run replays the requests, which it changes.
func (r *replay) run(requests []*request) *replay {
	r.pool, r.queue = New(r.limit, 0), gwlimit.NewFairQueue(testSlots)
	for _, q := range requests {
		r.at(q.at, func(now time.Time) { r.arrive(q, now) })
	}
	for len(r.steps) > 0 {
		s := heap.Pop(&r.steps).(step)
		s.do(s.at)
		r.decide(s.at)
	}
	return r
}

func (r *replay) arrive(q *request, now time.Time) {
	if r.dialFirst {
		r.connect(q, now)
		return
	}
	if !r.pool.Available(q.user, now) {
		q.gated = true
		r.gate = append(r.gate, q)
		return
	}
	r.enqueue(q, now)
}

func (r *replay) enqueue(q *request, now time.Time) {
	q.item = &gwlimit.Item{Class: "c", Customer: q.user, Deadline: q.at.Add(testDeadline), MaxWait: testDeadline / 2, Ref: q}
	if r.queue.Push(q.item, now) != nil {
		r.release(q)
	}
}

// release gives back the connection that a request may hold.
func (r *replay) release(q *request) {
	if q.held {
		q.held = false
		r.pool.Released(q.user)
	}
}

// connect takes or waits for a connection.
func (r *replay) connect(q *request, now time.Time) {
	if r.pool.Take(q.user, now) {
		r.connected(q, now)
		return
	}
	q.waiter = r.pool.Wait(q.user, now, q)
	r.at(q.at.Add(testDeadline), func(now time.Time) { r.withdraw(q) })
}

func (r *replay) withdraw(q *request) {
	if r.pool.Withdraw(q.waiter) && !r.dialFirst {
		r.queue.Done(q.item)
	}
}

func (r *replay) connected(q *request, now time.Time) {
	q.held = true
	r.needs = append(r.needs, needEvent{now, q.user, r.pool.users[q.user].inUse})
	if r.dialFirst {
		r.enqueue(q, now)
		return
	}
	r.execute(q, now)
}

// execute runs the next statement; the first one holds a slot of the owner.
func (r *replay) execute(q *request, now time.Time) {
	service := q.services[q.statement]
	r.work(job{service, func(now time.Time) {
		if q.statement == 0 {
			r.queue.Done(q.item)
			r.queue.RecordServiceTime("c", service)
		}
		q.statement++
		if q.statement < len(q.services) {
			r.at(now.Add(q.think), func(now time.Time) { r.execute(q, now) })
			return
		}
		q.done, q.end = true, now
		r.needs = append(r.needs, needEvent{now, q.user, 0})
		r.release(q)
	}}, now)
}

// work runs a job in a slot of the server.
func (r *replay) work(j job, now time.Time) {
	if r.busy == testSlots {
		r.jobs = append(r.jobs, j)
		return
	}
	r.busy++
	r.at(now.Add(j.takes), func(now time.Time) {
		r.busy--
		j.then(now)
		if len(r.jobs) > 0 && r.busy < testSlots {
			next := r.jobs[0]
			r.jobs = r.jobs[1:]
			r.work(next, now)
		}
	})
}

// decide carries out what the pool and the queue decide.
func (r *replay) decide(now time.Time) {
	gated := r.gate
	r.gate = nil
	for _, q := range gated {
		switch {
		case now.Sub(q.at) > testDeadline/2:
		case r.pool.Available(q.user, now):
			r.enqueue(q, now)
		default:
			r.gate = append(r.gate, q)
		}
	}
	r.queue.Expire(now)
	for it := r.queue.Pop(now); it != nil; it = r.queue.Pop(now) {
		if q := it.Ref.(*request); r.dialFirst {
			r.execute(q, now)
		} else {
			r.connect(q, now)
		}
	}
	for a, ok := r.pool.Next(now); ok; a, ok = r.pool.Next(now) {
		r.act(a, now)
	}
	if at, ok := r.pool.Wake(); ok && !at.Equal(r.wakeAt) {
		r.wakeAt = at
		r.at(at, func(time.Time) { r.wakeAt = time.Time{} })
	}
}

func (r *replay) act(a Action, now time.Time) {
	switch a.Kind {
	case Grant:
		r.connected(a.Waiter.Ref.(*request), now)
	case Close:
		r.at(now.Add(testClose), func(time.Time) {
			r.open--
			r.pool.Closed()
		})
	case Dial:
		r.dials = append(r.dials, now)
		if r.serverMax != nil && r.open >= r.serverMax(now.Sub(testNow)) {
			r.refused++
			r.at(now.Add(testClose), func(now time.Time) {
				for _, w := range r.pool.DialFailed(a.User, true, now) {
					r.queue.Done(w.Ref.(*request).item)
				}
			})
			return
		}
		r.open++
		r.maxOpen = max(r.maxOpen, r.open)
		r.work(job{r.dial, func(time.Time) { r.pool.Dialed(a.User, r.dial) }}, now)
	}
}

// dialsAfter returns the number of dials after the given time.
func (r *replay) dialsAfter(warm time.Duration) int {
	n := 0
	for _, at := range r.dials {
		if at.Sub(testNow) >= warm {
			n++
		}
	}
	return n
}

// inTime returns the number of requests of each user that were answered before the deadline, of
// those that arrived after the given time.
func inTime(requests []*request, warm time.Duration) map[string]int {
	served := map[string]int{}
	for _, q := range requests {
		if q.done && q.end.Sub(q.at) <= testDeadline+time.Duration(len(q.services)-1)*q.think && q.at.Sub(testNow) >= warm {
			served[q.user]++
		}
	}
	return served
}

func total(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// fewestDials returns the number of dials after the given time of a pool with the given limit
// that knows the future: it closes the connection that is needed last (Belady). needs are those
// of a run with unlimited connections.
func fewestDials(needs []needEvent, limit int, warm time.Duration) int {
	return offlineDials(needs, limit, warm, func(reached []time.Time, now time.Time) float64 {
		i := sort.Search(len(reached), func(i int) bool { return reached[i].After(now) })
		if i == len(reached) {
			return math.Inf(1)
		}
		return reached[i].Sub(now).Seconds()
	})
}

// offlineDials simulates a pool that closes the connection with the greatest rank, which is
// computed from the times at which its level is reached.
func offlineDials(needs []needEvent, limit int, warm time.Duration, rank func(reached []time.Time, now time.Time) float64) int {
	type key struct {
		user  string
		level int
	}
	reached := map[key][]time.Time{}
	for _, n := range needs {
		if n.level > 0 {
			reached[key{n.user, n.level}] = append(reached[key{n.user, n.level}], n.at)
		}
	}
	open, inUse := map[string]int{}, map[string]int{}
	count, dials := 0, 0
	for _, n := range needs {
		if n.level == 0 {
			inUse[n.user]--
			continue
		}
		inUse[n.user]++
		if inUse[n.user] <= open[n.user] {
			continue
		}
		if count == limit {
			victim, best := "", -1.0
			for user, o := range open {
				if o <= inUse[user] {
					continue
				}
				if v := rank(reached[key{user, o}], n.at); v > best || v == best && user < victim {
					victim, best = user, v
				}
			}
			open[victim]--
			count--
		}
		open[n.user]++
		count++
		if n.at.Sub(testNow) >= warm {
			dials++
		}
	}
	return dials
}

// zipf returns the shares of n users by Zipf's law with the exponent 1.2.
func zipf(n int) []float64 {
	shares, sum := make([]float64, n), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -1.2)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

func userName(i int) string { return "u" + strconv.Itoa(100+i) }

// poisson returns the requests of users with the given rates per second, of which a part are
// transactions of three statements.
func poisson(rng *rand.Rand, rates []float64, from, until time.Duration, transactions float64) []*request {
	var out []*request
	for i, rate := range rates {
		for at := from.Seconds(); ; {
			at += rng.ExpFloat64() / rate
			if at >= until.Seconds() {
				break
			}
			out = append(out, newRequest(rng, i, at, rng.Float64() < transactions))
		}
	}
	return sorted(out)
}

func newRequest(rng *rand.Rand, user int, at float64, transaction bool) *request {
	q := &request{user: userName(user), at: testNow.Add(time.Duration(at * float64(time.Second))), think: testThink}
	n := 1
	if transaction {
		n = 3
	}
	for range n {
		q.services = append(q.services, time.Duration((0.5+rng.Float64())*float64(testService)))
	}
	return q
}

func sorted(requests []*request) []*request {
	slices.SortFunc(requests, func(a, b *request) int { return a.at.Compare(b.at) })
	return requests
}

func scaled(shares []float64, factor float64) []float64 {
	out := make([]float64, len(shares))
	for i, s := range shares {
		out[i] = s * factor
	}
	return out
}
