package gwroute

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/pkg/gwoutcome"
)

// faultyGroup simulates reads of one entry instance at a primary and two replicas, of which
// the first one is near and faulty. A failed read goes elsewhere while the budget allows it.
type faultyGroup struct {
	name string
	// reads is the rate per second. Each server can serve 200.
	reads float64
	// fails is the share of statements that fail at the faulty server at a time since the
	// start.
	fails func(at time.Duration) float64
	// slowBy is the factor on the service times of the faulty server.
	slowBy int
	// lies means that the faulty server reports no load and the usual service time.
	lies bool
}

// Parameters of the entry instance, as in package gwfilter.
const (
	faultyRetryRatio = 0.2
	faultyRetryBurst = 100
)

// faultyServer is a server as it is and as the entry instance knows it.
type faultyServer struct {
	slots
	Server
	health  gwoutcome.Health
	pending int
	slowBy  int
}

// faultyRun is the state of a replay.
type faultyRun struct {
	faultyGroup
	rng     *rand.Rand
	budget  *gwoutcome.Budget
	servers [3]faultyServer // the first is the faulty one, the last the primary
	steps   steps
	inAim   int
	all     int
}

// step is something that happens at a time.
type step struct {
	at time.Time
	do func(now time.Time)
}

type steps []step

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)        { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	old := *s
	v := old[len(old)-1]
	*s = old[:len(old)-1]
	return v
}

// run returns the share of the reads that are served within groupAim. An oracle serves all of
// them at the other two servers.
func (g faultyGroup) run(seed uint64) float64 {
	r := &faultyRun{faultyGroup: g, rng: rand.New(rand.NewPCG(seed, 6)), budget: gwoutcome.NewBudget(faultyRetryRatio, faultyRetryBurst)}
	for i := range r.servers {
		r.servers[i] = faultyServer{slowBy: 1, Server: Server{
			Name: string(rune('a' + i)), Distance: SameRegion, Primary: i == 2, ServiceTime: groupServiceTime, LagKnown: true,
		}}
	}
	r.servers[0].Distance, r.servers[0].slowBy = SameDataCentre, g.slowBy
	for now := testNow; now.Before(testNow.Add(groupDuration)); r.all++ {
		now = now.Add(time.Duration(r.rng.ExpFloat64() / g.reads * float64(time.Second)))
		first := now
		heap.Push(&r.steps, step{now, func(now time.Time) {
			r.budget.RecordRequest()
			r.attempt(first, map[string]bool{}, now)
		}})
	}
	for len(r.steps) > 0 {
		s := heap.Pop(&r.steps).(step)
		s.do(s.at)
	}
	return float64(r.inAim) / float64(r.all)
}

// attempt sends a read that arrived at first to a server.
func (r *faultyRun) attempt(first time.Time, excluded map[string]bool, now time.Time) {
	known := make([]Server, 0, len(r.servers))
	for _, s := range r.servers {
		s.Unusable = s.health.Ejected(now)
		s.Pending = float64(s.pending) / float64(len(s.slots))
		known = append(known, s.Server)
	}
	c, ok := Choose(Need{Staleness: groupStaleness, WaitBudget: groupAim * 3 / 5, Excluded: excluded}, known, now, r.rng).(Serve)
	if !ok {
		return
	}
	s := &r.servers[c.Server.Name[0]-'a']
	s.pending++
	var end time.Time
	for range s.slowBy {
		end = s.serve(now)
	}
	event := gwoutcome.Answered
	if s == &r.servers[0] && r.rng.Float64() < r.fails(now.Sub(testNow)) {
		event = gwoutcome.BrokenAfterSend
	}
	heap.Push(&r.steps, step{end, func(now time.Time) {
		s.pending--
		s.health.Observe(event, now)
		s.report(now, r.lies && s == &r.servers[0])
		switch {
		case event == gwoutcome.Answered && now.Sub(first) <= groupAim:
			r.inAim++
		case event != gwoutcome.Answered && r.budget.Take():
			excluded[s.Name] = true
			r.attempt(first, excluded, now)
		}
	}})
}

// report updates what the entry instance knows after an answer.
func (s *faultyServer) report(now time.Time, lies bool) {
	s.ReportedAt = now
	if !lies {
		s.Load, s.ServiceTime = s.load(now), groupServiceTime*time.Duration(s.slowBy)
	}
}

// Guards against reads that are lost, or late, at a near server that looks healthy.
func TestReadsAvoidFaultyServer(t *testing.T) {
	never := func(time.Duration) float64 { return 0 }
	grey := func(time.Duration) float64 { return 0.3 }
	flapping := func(at time.Duration) float64 {
		if at%(2*time.Second) < 500*time.Millisecond {
			return 1
		}
		return 0
	}
	groups := []faultyGroup{
		{name: "no fault", reads: 320, fails: never, slowBy: 1},
		{name: "fails 30%", reads: 100, fails: grey, slowBy: 1},
		{name: "fails 30% near the capacity of the others", reads: 320, fails: grey, slowBy: 1},
		{name: "slow by 10, reports no load", reads: 320, fails: never, slowBy: 10, lies: true},
		{name: "fails 30%, slow by 10, reports no load", reads: 320, fails: grey, slowBy: 10, lies: true},
		{name: "flapping", reads: 320, fails: flapping, slowBy: 1},
	}
	for _, g := range groups {
		t.Run(g.name, func(t *testing.T) {
			for seed := range uint64(5) {
				assert.GreaterOrEqual(t, g.run(seed), 0.93, "seed %d", seed)
			}
		})
	}
}
