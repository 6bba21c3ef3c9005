package gwroute

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/pkg/gwlimit"
	"gentianward.example/gentianward/pkg/gwspeed"
)

// Parameters of the replays of uneven load: a group of three servers in three data centres, each with
// four entry instances.
const (
	unevenSlots     = 5
	unevenService   = 24 * time.Millisecond
	unevenAim       = 1500 * time.Millisecond
	unevenDeadline  = 2 * time.Second
	unevenDuration  = 40 * time.Second
	unevenEntries   = 12
	unevenCapacity  = 3 * float64(unevenSlots) / 0.024
	unevenNear      = 500 * time.Microsecond // one way
	unevenFar       = 1400 * time.Microsecond
	unevenWriteTime = 8 * time.Millisecond
)

// unevenPolicy is how entry instances place reads.
type unevenPolicy int

const (
	leastWait    unevenPolicy = iota // Choose, with reported speeds, and as many slots as serve most
	withoutSpeed                     // Choose as before: no speeds, all slots
	fixedWeights                     // at random, by the number of slots
	twoRandom                        // the cheaper of two at random, without speeds
	oraclePolicy                     // knows the work at each server, its speed, and all slots
)

// unevenGroup is a load on a group and the state of its servers.
type unevenGroup struct {
	name string
	// reads and writes are rates per second.
	reads, writes float64
	// nearest is the share of the reads that arrive in the data centre of the last server, 0 for a
	// third.
	nearest float64
	// slowBy is the factor on the service times of a server at a time since the start; nil for 1.
	slowBy func(server int, at time.Duration) float64
	// crowding is the factor on the service times of a server with a number of statements running;
	// nil for 1.
	crowding func(server, running int) float64
	// better bounds the mean time, as a multiple of that without speeds; 0 for 1.05. Without them, a
	// server that was slow is not tried again, which is shorter while others have free slots.
	better float64
}

// unevenServer is a server with its owner.
type unevenServer struct {
	queue     *gwlimit.FairQueue
	estimator *gwspeed.Estimator
	running   int
	// work is the sum of the service times of what waits and runs, for the oracle.
	work time.Duration
	// servedAt holds the ends of reads.
	servedAt []time.Duration
}

// unevenRun is the state of a replay.
type unevenRun struct {
	unevenGroup
	policy  unevenPolicy
	rng     *rand.Rand
	service *rand.Rand // of service times
	steps   steps
	servers [3]*unevenServer
	known   [unevenEntries][3]Server
	all     int
	inAim   int
	took    []time.Duration
	// speeds counts the reports of servers that are not at their usual speed.
	speeds int
}

// unevenRequest is a request at a server.
type unevenRequest struct {
	entry, server int
	first         time.Time
	excluded      map[string]bool
	write         bool
	item          *gwlimit.Item
	took          time.Duration
}

func (g unevenGroup) run(policy unevenPolicy, seed uint64) *unevenRun {
	r := &unevenRun{unevenGroup: g, policy: policy, rng: rand.New(rand.NewPCG(seed, 8)), service: rand.New(rand.NewPCG(seed, 9))}
	for i := range r.servers {
		r.servers[i] = &unevenServer{queue: gwlimit.NewFairQueue(unevenSlots), estimator: gwspeed.NewEstimator(unevenSlots)}
	}
	for e := range r.known {
		for i := range r.known[e] {
			r.known[e][i] = Server{Name: string(rune('a' + i)), Primary: i == 0, Distance: SameRegion, LagKnown: true, ServiceTime: unevenService}
			if e%3 == i {
				r.known[e][i].Distance = SameDataCentre
			}
		}
	}
	r.arrive(g.reads, false)
	r.arrive(g.writes, true)
	for len(r.steps) > 0 {
		s := heap.Pop(&r.steps).(step)
		s.do(s.at)
	}
	return r
}

func (r *unevenRun) at(at time.Time, do func(time.Time)) { heap.Push(&r.steps, step{at, do}) }

func (r *unevenRun) arrive(rate float64, write bool) {
	if rate == 0 {
		return
	}
	for at := time.Duration(0); at < unevenDuration; r.all++ {
		at += time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
		entry := r.rng.IntN(unevenEntries)
		if r.nearest > 0 {
			if entry = 3 * (entry / 3); r.rng.Float64() < r.nearest {
				entry += 2
			} else {
				entry += r.rng.IntN(2)
			}
		}
		q := &unevenRequest{entry: entry, first: testNow.Add(at), write: write, excluded: map[string]bool{}}
		r.at(q.first, func(now time.Time) { r.place(q, now) })
	}
}

// place sends a request to a server, unless all have refused it.
func (r *unevenRun) place(q *unevenRequest, now time.Time) {
	i := 0
	if !q.write {
		var ok bool
		if i, ok = r.choose(q, now); !ok {
			return
		}
	}
	q.server = i
	r.known[q.entry][i].Pending += 1.0 / unevenSlots
	r.at(now.Add(r.way(q)), func(now time.Time) { r.push(q, now) })
}

func (r *unevenRun) way(q *unevenRequest) time.Duration {
	if q.entry%3 == q.server {
		return unevenNear
	}
	return unevenFar
}

func (r *unevenRun) choose(q *unevenRequest, now time.Time) (int, bool) {
	if r.policy == oraclePolicy {
		return r.chooseBest(q, now)
	}
	candidates := slices.Clone(r.known[q.entry][:])
	left := slices.DeleteFunc(candidates, func(s Server) bool { return q.excluded[s.Name] })
	if len(left) == 0 {
		return 0, false
	}
	switch r.policy {
	case fixedWeights:
		return int(left[r.rng.IntN(len(left))].Name[0] - 'a'), true
	case twoRandom:
		r.rng.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
		left = left[:min(2, len(left))]
	}
	c, ok := Choose(Need{Staleness: unevenAim, WaitBudget: unevenAim * 3 / 5}, left, now, r.rng).(Serve)
	if !ok {
		return 0, false
	}
	return int(c.Server.Name[0] - 'a'), true
}

// chooseBest returns the server at which a read ends first.
func (r *unevenRun) chooseBest(q *unevenRequest, now time.Time) (int, bool) {
	best, lowest := -1, time.Duration(0)
	for i, s := range r.servers {
		if q.excluded[string(rune('a'+i))] {
			continue
		}
		factor := r.factor(i, now)
		t := time.Duration(factor * (float64(s.work)/unevenSlots + float64(unevenService)))
		if q.entry%3 != i {
			t += 2 * unevenFar
		}
		if best < 0 || t < lowest {
			best, lowest = i, t
		}
	}
	return best, best >= 0
}

func (r *unevenRun) factor(server int, now time.Time) float64 {
	f := 1.0
	if r.slowBy != nil {
		f *= r.slowBy(server, now.Sub(testNow))
	}
	if r.crowding != nil {
		f *= r.crowding(server, r.servers[server].running)
	}
	return f
}

func (r *unevenRun) push(q *unevenRequest, now time.Time) {
	s := r.servers[q.server]
	q.took = time.Duration((0.5 + r.service.Float64()) * float64(unevenService))
	class := "read"
	if q.write {
		class, q.took = "write", q.took*unevenWriteTime/unevenService
	}
	q.item = &gwlimit.Item{Class: class, Deadline: q.first.Add(unevenDeadline), MaxWait: gwlimit.QueueWait(unevenAim), Ref: q}
	if s.queue.Push(q.item, now) != nil {
		r.refused(q, now)
		return
	}
	s.work += q.took
	r.dispatch(q.server, now)
}

// refused reports a refusal to the entry instance, which tries another server.
func (r *unevenRun) refused(q *unevenRequest, now time.Time) {
	r.at(now.Add(r.way(q)), func(now time.Time) {
		r.report(q, now)
		q.excluded[string(rune('a'+q.server))] = true
		if !q.write {
			r.place(q, now)
		}
	})
}

func (r *unevenRun) dispatch(server int, now time.Time) {
	s := r.servers[server]
	for _, it := range s.queue.Expire(now) {
		q := it.Ref.(*unevenRequest)
		s.work -= q.took
		r.refused(q, now)
	}
	for it := s.queue.Pop(now); it != nil; it = s.queue.Pop(now) {
		q := it.Ref.(*unevenRequest)
		s.running++
		took := time.Duration(float64(q.took) * r.factor(server, now))
		timed := s.estimator.Begin(it.Class, now)
		r.at(now.Add(took), func(now time.Time) {
			s.running--
			s.work -= q.took
			if !q.write {
				s.servedAt = append(s.servedAt, now.Sub(testNow))
			}
			waiting, _ := s.queue.Len()
			s.estimator.End(timed, true, waiting, now)
			if r.policy == leastWait {
				s.queue.SetSlots(s.estimator.Concurrency())
			}
			s.queue.RecordServiceTime(it.Class, took)
			s.queue.Done(it)
			r.dispatch(server, now)
			r.at(now.Add(r.way(q)), func(now time.Time) { r.end(q, now) })
		})
	}
}

func (r *unevenRun) end(q *unevenRequest, now time.Time) {
	r.report(q, now)
	took := now.Sub(q.first)
	r.took = append(r.took, took)
	if took <= unevenAim {
		r.inAim++
	}
}

// report updates what the entry instance knows about the server of an attempt that has ended.
func (r *unevenRun) report(q *unevenRequest, now time.Time) {
	s, k := r.servers[q.server], &r.known[q.entry][q.server]
	k.Pending = max(0, k.Pending-1.0/unevenSlots)
	waiting, running := s.queue.Len()
	k.ReportedAt, k.Load, k.ServiceTime = now, float64(waiting+running)/unevenSlots, s.queue.ServiceTime()
	k.Speed = Speed{Retest: time.Hour} // a server that was slow is not tried again
	if r.policy != leastWait {
		return
	}
	k.Speed = Speed{Retest: RetestAfter(unevenEntries)}
	e := s.estimator.Estimate(now)
	if e.Service > 0 {
		k.ServiceTime = min(k.ServiceTime, e.Service)
	}
	if e.State == gwspeed.Slow || e.State == gwspeed.Failing || e.Concurrency < unevenSlots {
		r.speeds++
		k.Speed = Speed{Factor: e.Factor, SlotShare: float64(e.Concurrency) / unevenSlots, Errors: e.Errors, Confidence: e.Confidence, Age: e.Age, Retest: RetestAfter(unevenEntries)}
	}
}

// share returns the share of the requests that end within the aim.
func (r *unevenRun) share() float64 { return float64(r.inAim) / float64(r.all) }

// mean returns the mean time of a request.
func (r *unevenRun) mean() time.Duration {
	var sum time.Duration
	for _, t := range r.took {
		sum += t
	}
	return sum / time.Duration(max(1, len(r.took)))
}

func slowServer(server int, factor float64, from, until time.Duration) func(int, time.Duration) float64 {
	return func(i int, at time.Duration) float64 {
		if i == server && at >= from && at < until {
			return factor
		}
		return 1
	}
}

// Guards against reads that wait at a slow, crowded or full server while others are idle.
func TestPlacementUnderUnevenLoad(t *testing.T) {
	crowded := func(server, running int) float64 {
		if server != 2 {
			return 1
		}
		return 1 + max(0, float64(running-2))
	}
	for _, g := range []unevenGroup{
		{name: "even, half used", reads: 0.5 * unevenCapacity},
		{name: "even, nine tenths", reads: 0.9 * unevenCapacity},
		{name: "near server slow by 8", reads: 0.55 * unevenCapacity, slowBy: slowServer(2, 8, 10*time.Second, 25*time.Second), better: 0.95},
		{name: "two of three slow by 4", reads: 0.4 * unevenCapacity, slowBy: func(i int, at time.Duration) float64 {
			return slowServer(1, 4, 10*time.Second, 25*time.Second)(i, at) * slowServer(2, 4, 10*time.Second, 25*time.Second)(i, at)
		}},
		{name: "one server slow by 3 always", reads: 0.7 * unevenCapacity, slowBy: slowServer(2, 3, 0, time.Hour), better: 1.1},
		{name: "one server crowded beyond 2", reads: 0.75 * unevenCapacity, crowding: crowded, better: 0.8},
		{name: "four fifths in one data centre", reads: 0.85 * unevenCapacity, nearest: 0.8},
		{name: "hot group with writes", reads: 0.8 * unevenCapacity, writes: 60},
		{name: "all servers slow by 2", reads: 0.6 * unevenCapacity, slowBy: func(int, time.Duration) float64 { return 2 }},
	} {
		t.Run(g.name, func(t *testing.T) {
			for seed := range uint64(3) {
				best, got, before := g.run(oraclePolicy, seed), g.run(leastWait, seed), g.run(withoutSpeed, seed)
				assert.GreaterOrEqual(t, got.share()/best.share(), 0.93, "seed %d", seed)
				assert.GreaterOrEqual(t, got.share()/before.share(), 0.985, "seed %d, of the share without speeds", seed)
				assert.LessOrEqual(t, float64(got.mean())/float64(before.mean()), g.slower(), "seed %d, mean time of that without speeds", seed)
				if !testing.Verbose() {
					continue
				}
				fixed, two := g.run(fixedWeights, seed), g.run(twoRandom, seed)
				t.Logf("seed %d, within the aim and mean: oracle %.3f %s, least wait %.3f %s, without speeds %.3f %s, fixed weights %.3f %s, two random %.3f %s", seed,
					best.share(), best.mean().Round(time.Millisecond), got.share(), got.mean().Round(time.Millisecond), before.share(), before.mean().Round(time.Millisecond),
					fixed.share(), fixed.mean().Round(time.Millisecond), two.share(), two.mean().Round(time.Millisecond))
			}
		})
	}
}

// slower returns the highest accepted mean time of the mean without speeds.
func (g unevenGroup) slower() float64 {
	if g.better > 0 {
		return g.better
	}
	return 1.05 // the difference between two runs with other random numbers
}

// Guards against speeds that change the placement in an even group: no server is found slow, and the
// decisions are the same.
func TestEvenPlacementIsUnchanged(t *testing.T) {
	for _, used := range []float64{0.3, 0.5, 0.7, 0.9} {
		for seed := range uint64(3) {
			g := unevenGroup{reads: used * unevenCapacity, writes: 20}
			got, before := g.run(leastWait, seed), g.run(withoutSpeed, seed)
			assert.Zero(t, got.speeds, "%g of the capacity, seed %d: reports of slow servers", used, seed)
			for i := range got.servers {
				assert.InEpsilon(t, len(before.servers[i].servedAt), len(got.servers[i].servedAt), 0.02, "%g of the capacity, seed %d, server %d", used, seed, i)
			}
		}
	}
}

// Guards against a recovered server that nobody uses, as nobody asks it, and against a slow one that
// gets more than it serves. Without a time after which a report counts less, it got 0 to 2 reads in the
// five seconds from 3 s after its recovery, of more than 300.
func TestRecoveredServerIsUsed(t *testing.T) {
	const from, until = 10 * time.Second, 25 * time.Second
	served := func(r *unevenRun, from, until time.Duration) float64 {
		n := 0.0
		for _, at := range r.servers[2].servedAt {
			if at >= from && at < until {
				n++
			}
		}
		return n
	}
	for seed := range uint64(5) {
		g := unevenGroup{reads: 150, slowBy: slowServer(2, 8, from, until)}
		slow, even := g.run(leastWait, seed), unevenGroup{reads: 150}.run(leastWait, seed)
		for s := from; s < until; s += 3 * time.Second {
			assert.GreaterOrEqual(t, served(slow, s, s+3*time.Second), 6.0, "seed %d, %s: served while slow", seed, s)
		}
		assert.GreaterOrEqual(t, served(slow, until+3*time.Second, until+8*time.Second), 0.8*served(even, until+3*time.Second, until+8*time.Second), "seed %d: served 3 s after the recovery", seed)
	}
}
