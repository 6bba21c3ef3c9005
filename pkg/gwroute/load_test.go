package gwroute

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// laggingGroup simulates the reads and writes of a group with one primary and two lagging
// replicas. Each server has two slots and one queue.
type laggingGroup struct {
	lag time.Duration
	// reads and writes are rates per second.
	reads, writes float64
}

const (
	groupServiceTime = 10 * time.Millisecond
	groupAim         = time.Second
	groupDuration    = 20 * time.Second
	groupStaleness   = 1500 * time.Millisecond
)

// slots are the times at which the two slots of a server become free.
type slots [2]time.Time

// serve returns the time at which a request that arrives at now has been served.
func (s *slots) serve(now time.Time) time.Time {
	i := 0
	if s[1].Before(s[0]) {
		i = 1
	}
	if s[i].Before(now) {
		s[i] = now
	}
	s[i] = s[i].Add(groupServiceTime)
	return s[i]
}

// load returns the number of waiting and running requests per slot.
func (s *slots) load(now time.Time) float64 {
	var sum time.Duration
	for _, free := range s {
		sum += max(0, free.Sub(now))
	}
	return float64(sum) / float64(groupServiceTime) / 2
}

// run returns the shares of reads and of writes that are served within groupAim.
func (g laggingGroup) run(seed uint64) (reads, writes float64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	var busy [3]slots // the first is the primary's
	var withinAim, all [2]float64
	for now := testNow; now.Before(testNow.Add(groupDuration)); {
		now = now.Add(time.Duration(rng.ExpFloat64() / (g.reads + g.writes) * float64(time.Second)))
		if rng.Float64()*(g.reads+g.writes) < g.writes {
			all[1]++
			if busy[0].serve(now).Sub(now) <= groupAim {
				withinAim[1]++
			}
			continue
		}
		servers := make([]Server, len(busy))
		for i := range busy {
			servers[i] = Server{Name: string(rune('a' + i)), Distance: SameRegion, Primary: i == 0, ReportedAt: now, Load: busy[i].load(now), ServiceTime: groupServiceTime}
			if i > 0 {
				servers[i].Lag, servers[i].LagKnown = g.lag, true
			}
		}
		all[0]++
		need := Need{Staleness: groupStaleness, WaitBudget: groupAim * 3 / 5}
		c, ok := Choose(need, servers, now, rng).(Serve)
		if !ok {
			continue
		}
		start := now.Add(c.Server.ExpectedWait(need, now))
		if busy[c.Server.Name[0]-'a'].serve(start).Sub(now) <= groupAim {
			withinAim[0]++
		}
	}
	return withinAim[0] / all[0], withinAim[1] / all[1]
}

// Guards against reads that fill the primary's queue while lagging replicas are idle: when
// all reads went to the primary, at 1.5 times its capacity, reads and writes took longer
// than their latency aim.
func TestChooseWithLaggingReplicas(t *testing.T) {
	for _, tt := range []struct {
		name string
		laggingGroup
		reads, writes float64 // least shares within the aim
	}{
		{"replicas that catch up within the wait budget", laggingGroup{lag: 2 * time.Second, reads: 220, writes: 80}, 0.97, 0.97},
		{"replicas that lag and are fresh enough", laggingGroup{lag: time.Second, reads: 400, writes: 80}, 0.99, 0.99},
	} {
		for seed := range uint64(5) {
			reads, writes := tt.run(seed)
			assert.GreaterOrEqual(t, reads, tt.reads, "%s, reads, seed %d", tt.name, seed)
			assert.GreaterOrEqual(t, writes, tt.writes, "%s, writes, seed %d", tt.name, seed)
		}
	}
}
