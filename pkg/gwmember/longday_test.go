package gwmember

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// replace makes a member leave and another one start in its place, under a new name.
func (w *network) replace(nd *node, run int) *node {
	w.execute(nd, nd.Leave(w.now))
	w.run(time.Second)
	nd.up = false
	next := &node{self: nd.self.WithIncarnation(uint64(w.now.UnixMilli()))}
	next.self.Instance, next.self.Address = fmt.Sprintf("run-%04d", run), fmt.Sprintf("10.9.%d.%d:7432", run>>8, run&255)
	w.nodes = append(w.nodes, next)
	w.byAddr[next.self.Address] = next
	w.start(next)
	return next
}

// Guards against rows of members that have left which live on in the tables because those that
// join later count the time until a row is removed from the moment at which they heard of it, so
// that a table, what one that joins is sent and the comparisons of tables grow with the number of
// members that there ever were.
func TestTombstonesAreNotRenewedByJoins(t *testing.T) {
	const (
		members  = 12
		lifetime = 20 * time.Second
		between  = 5 * time.Second
	)
	tests := []struct {
		name         string
		replacements int
	}{
		{"a short day", 20},
		{"a long day", 120},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newNetwork(7, members, 1)
			w.config = func(c *Config) { c.TombstoneLifetime = lifetime }
			w.startAll()
			w.run(time.Second)
			for run := range tt.replacements {
				w.replace(w.nodes[2+run], run) // the oldest but for the two seeds
				w.run(between - time.Second)
			}
			// Those that left within twice the lifetime, with one more for the interval of the sweeps.
			limit := members + int(2*lifetime/between) + 1
			for _, nd := range w.nodes {
				if nd.up && len(nd.table.rows) > limit {
					t.Errorf("%s has %d rows for %d members, the limit is %d", nd.self.Instance, len(nd.table.rows), members, limit)
				}
			}
		})
	}
}

// Guards against seeds of earlier settings that pile up: an instance that has not joined tries all
// of them before it comes back to those that exist, so that the time to join, and the work for each
// attempt of one that has, grow with how often the seeds were exchanged.
func TestExchangedSeedsDoNotPileUp(t *testing.T) {
	for _, exchanges := range []int{2, 300} {
		m := New(Config{Self: Member{Instance: "a", DataCentre: "d", Address: "10.0.0.1:1"}, Seeds: []string{"10.0.0.9:1"}, Rand: rand.New(rand.NewPCG(1, 1))})
		seeds := make([]string, 3)
		for run := range exchanges {
			for i := range seeds {
				seeds[i] = fmt.Sprintf("10.1.%d.%d:1", run, i)
			}
			m.AddSeeds(seeds)
		}
		now := time.Unix(1000, 0)
		asked := make(map[string]int)
		for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(DefaultTick) {
			for _, a := range m.Tick(now) {
				if s, ok := a.(SendMessage); ok {
					asked[s.To]++
				}
			}
		}
		for _, s := range seeds {
			if asked[s] < 4 {
				t.Errorf("after %d exchanges, seed %s was tried %d times in 20 s, want at least 4", exchanges, s, asked[s])
			}
		}
		if n := len(m.Tried()); n > 3+maxFormerPeers {
			t.Errorf("after %d exchanges, %d addresses are tried, want at most %d", exchanges, n, 3+maxFormerPeers)
		}
	}
}
