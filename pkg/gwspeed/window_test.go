package gwspeed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// served returns the statements answered with the limits of the estimator and the highest number
// with a fixed limit, which an oracle knows.
func served(b backend, seed uint64) (learned, best int) {
	_, learned = b.run(seed)
	for limit := 1; limit <= b.slots; limit++ {
		fixed := b
		fixed.limit = func(*Estimator) int { return limit }
		_, n := fixed.run(seed)
		best = max(best, n)
	}
	return learned, best
}

// gradientLimit returns a limit that follows the gradient of the service times, for comparison: it
// shrinks in the ratio of the usual to the recent time, half of a slowdown being allowed, and grows
// by one.
func gradientLimit(slots int) func(*Estimator) int {
	limit := float64(slots)
	return func(e *Estimator) int {
		gradient := max(0.5, min(1, 1.5/e.factor))
		limit += 0.1 * (limit*gradient + 0.5 - limit)
		limit = max(1, min(float64(slots), limit))
		return int(limit)
	}
}

// Guards against a server that gets more statements at once than it handles well, and against
// limits that cost work at a server that is slow for each statement alike.
func TestConcurrencyServesMost(t *testing.T) {
	crowdedFrom := func(n int, each float64) func(int) float64 {
		return func(running int) float64 { return 1 + each*float64(max(0, running-n)) }
	}
	for _, tt := range []struct {
		name    string
		backend backend
		bound   float64
	}{
		{"even, half used", backend{slots: 5, loads: []load{{class: "a", rate: 100, service: 24 * time.Millisecond}}}, 0.98},
		{"even, one and a half times the capacity", backend{slots: 5, loads: []load{{class: "a", rate: 310, service: 24 * time.Millisecond}}}, 0.98},
		{"slow by 5 for each statement", backend{slots: 5, loads: []load{{class: "a", rate: 165, service: 24 * time.Millisecond}}, slowBy: during(5, 20*time.Second, 40*time.Second)}, 0.96},
		{"two slots, slow by 5", backend{slots: 2, loads: []load{{class: "a", rate: 160, service: 10 * time.Millisecond}}, slowBy: during(5, 20*time.Second, 40*time.Second)}, 0.95},
		{"crowded beyond 2, from the start", backend{slots: 5, loads: []load{{class: "a", rate: 150, service: 24 * time.Millisecond}}, crowding: crowdedFrom(2, 1)}, 0.9},
		{"crowded beyond 3, burst", backend{slots: 6, loads: []load{
			{class: "a", rate: 60, service: 24 * time.Millisecond},
			{class: "b", rate: 100, service: 24 * time.Millisecond, slowBy: nil},
		}, crowding: crowdedFrom(3, 1)}, 0.9},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(5) {
				b := tt.backend
				b.duration = time.Minute
				learned, best := served(b, seed)
				assert.GreaterOrEqual(t, float64(learned)/float64(best), tt.bound, "seed %d: %d of %d", seed, learned, best)
				all, gradient := b, b
				all.limit = func(*Estimator) int { return b.slots }
				gradient.limit = gradientLimit(b.slots)
				_, n := all.run(seed)
				_, g := gradient.run(seed)
				share := func(n int) float64 { return float64(n) / float64(best) }
				t.Logf("seed %d, of the best: %.3f, all slots %.3f, gradient %.3f", seed, share(learned), share(n), share(g))
			}
		})
	}
}
