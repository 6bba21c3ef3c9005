package gwquota

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against shares that exceed the whole, that leave much of it to nobody, or with which no
// agent can admit a single operation.
func TestAllocate(t *testing.T) {
	demands := [][]float64{{0}, {0, 0, 0}, {0, 0, 0, 0, 0, 0}, {5, 0, 0, 0, 0, 0}, {9, 9, 9, 9, 9, 9}, {200, 1, 0, 1, 0, 30}, {1e6, 1e6}}
	for _, capacity := range []float64{1, 2, 3, 5, 5.99, 6, 7, 22, 279} {
		for _, rate := range []float64{0.01, 1.6, 236} {
			for _, demand := range demands {
				var claims []claim
				for i, d := range demand {
					claims = append(claims, claim{wanted: true, demand: d, name: fmt.Sprint(i)})
				}
				sum, able := Parts(0), 0
				for _, a := range allocate(Limit{Rate: rate, Capacity: capacity}, claims) {
					sum += a.target
					assert.LessOrEqual(t, a.enough, a.target)
					if a.target.of(capacity) >= 1 {
						able++
					}
				}
				what := fmt.Sprintf("capacity %v, rate %v, demand %v", capacity, rate, demand)
				assert.LessOrEqual(t, sum, Whole, what)
				assert.GreaterOrEqual(t, sum, Whole-Parts(len(claims)), what)
				assert.GreaterOrEqual(t, able, min(len(claims), max(1, int(math.Ceil(capacity))-1)), what)
			}
		}
	}
	assert.Equal(t, []allotment{{}, {}}, allocate(Limit{Rate: 1, Capacity: 1}, make([]claim, 2)), "nobody asks")
	few := allocate(Limit{Rate: 1, Capacity: 1}, []claim{{demand: 1, name: "a"}, {demand: 0.9, name: "b", holds: true}})
	assert.Equal(t, []Parts{0, Whole}, []Parts{few[0].target, few[1].target}, "similar demands move nothing")
}

// Guards against a capacity above what the rules allow, and one that is too small for a customer
// without a burst.
func TestNewLimit(t *testing.T) {
	for _, rate := range []float64{0.1, 1.6, 20, 236, 5000} {
		for _, burst := range []float64{0, rate, 10 * rate} {
			for _, r := range []Rules{{}, testRules, {Window: testRules.Window, Slack: 20}, {Window: testRules.Window, Overage: 0.1}} {
				l := NewLimit(rate, burst, r)
				assert.GreaterOrEqual(t, l.Capacity, max(burst, 1))
				assert.GreaterOrEqual(t, l.Rate, rate)
				assert.LessOrEqual(t, l.Capacity+l.Rate*r.Window.Seconds(), max(r.Bound(rate, burst), rate*r.Window.Seconds()+1)*1.0001)
			}
		}
	}
	assert.InDelta(t, 253.6, NewLimit(236, 236, testRules).Capacity, 0.1)
	assert.InDelta(t, 259.6, NewLimit(236, 236, testRules).Rate, 0.1)
	assert.InDelta(t, leastCapacity, NewLimit(236, 0, testRules).Capacity, 0.1, "one for each agent at least")
}
