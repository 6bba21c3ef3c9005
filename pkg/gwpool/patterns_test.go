package gwpool

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// goodputShare is the least share of the goodput of an oracle whose connections are free
	// and unlimited.
	goodputShare = 0.9
	// steadyDials is the greatest number of dials at steady load, relative to those of a pool
	// that closes the connection which is needed last and never waits for one in use.
	steadyDials = 1.1
	// randomDials is the same where all that could be known is how often each connection is
	// needed, and rankedDials relative to a pool that knows that.
	randomDials = 1.5
	rankedDials = 0.9
	// fairShare is the least part of a customer's fair share of the slots.
	fairShare = 0.9
	customers = 78
)

// pattern is a load on one server.
type pattern struct {
	name     string
	warm     time.Duration // what happens before does not count
	requests func(rng *rand.Rand) []*request
	// rates are those of the customers, in parts of the capacity, if their shares are compared.
	rates []float64
}

func uniform() []float64 {
	shares := make([]float64, customers)
	for i := range shares {
		shares[i] = 1.0 / customers
	}
	return shares
}

func steady(shares []float64, load, transactions float64, until time.Duration) func(*rand.Rand) []*request {
	return func(rng *rand.Rand) []*request {
		return poisson(rng, scaled(shares, load*testCapacity), 0, until, transactions)
	}
}

// inTurn returns requests of all customers in turn, 100 a second.
func inTurn(jitter float64) func(*rand.Rand) []*request {
	return func(rng *rand.Rand) []*request {
		var out []*request
		for i := range 12000 {
			out = append(out, newRequest(rng, i%customers, (float64(i)+jitter*rng.Float64())/100, false))
		}
		return sorted(out)
	}
}

// allAtOnce returns n requests of each customer within 100 ms, and the usual load.
func allAtOnce(n int, load float64) func(*rand.Rand) []*request {
	return func(rng *rand.Rand) []*request {
		out := poisson(rng, scaled(zipf(customers), load*testCapacity), 0, 10*time.Second, 0)
		for i := range customers {
			for range n {
				out = append(out, newRequest(rng, i, 0.1*rng.Float64(), false))
			}
		}
		return sorted(out)
	}
}

// sevenfold is the usual load of half of the capacity, and from the 60th second on that of the
// largest customer is 7 times as much.
func sevenfold() (rates []float64, requests func(*rand.Rand) []*request) {
	usual := scaled(zipf(customers), 0.5)
	rates = slices.Clone(usual)
	rates[0] *= 7
	return rates, func(rng *rand.Rand) []*request {
		out := poisson(rng, scaled(usual, testCapacity), 0, 160*time.Second, 0)
		more := poisson(rng, []float64{6 * usual[0] * testCapacity}, 60*time.Second, 160*time.Second, 0)
		return sorted(append(out, more...))
	}
}

// outcome compares a replay with the oracles.
type outcome struct {
	replay                              *replay
	goodput, dialsOfBest, dialsOfRanked float64
	requests                            []*request
}

func (p pattern) run(seed uint64, change func(r *replay)) outcome {
	generate := func() []*request { return p.requests(rand.New(rand.NewPCG(seed, 1))) }
	mine, ideal := generate(), generate()
	r := newReplay()
	if change != nil {
		change(r)
	}
	r.run(mine)
	oracle := newOracle().run(ideal)
	dials := float64(r.dialsAfter(p.warm))
	ranked := offlineDials(oracle.needs, r.limit, p.warm, func(reached []time.Time, _ time.Time) float64 {
		return 1 / float64(len(reached)+1)
	})
	return outcome{
		replay: r, requests: mine,
		goodput:       float64(total(inTime(mine, p.warm))) / float64(total(inTime(ideal, p.warm))),
		dialsOfBest:   dials / float64(max(1, fewestDials(oracle.needs, r.limit, p.warm))),
		dialsOfRanked: dials / float64(max(1, ranked)),
	}
}

// check checks what holds for every replay.
func (o outcome) check(t *testing.T, seed uint64) {
	t.Helper()
	assert.LessOrEqual(t, o.replay.maxOpen, o.replay.limit, "seed %d: connections at the server", seed)
	assert.GreaterOrEqual(t, o.goodput, goodputShare, "seed %d", seed)
	s := o.replay.pool.Stats()
	assert.Zero(t, s.InUse+s.Dialing+s.Closing+s.Waiting, "seed %d: at the end", seed)
	assert.Empty(t, o.replay.gate, "seed %d: requests that wait for ever", seed)
}

// Guards against a pool that closes connections which are needed soon: closing the least recently
// used one costs 2.7 times the fewest dials with 78 uneven customers, and one for each request if
// they come in turn.
func TestSteadyLoad(t *testing.T) {
	patterns := []pattern{
		{name: "78 uneven customers", warm: 100 * time.Second, requests: steady(zipf(customers), 0.7, 0, 300*time.Second)},
		{name: "all in turn", warm: 30 * time.Second, requests: inTurn(0)},
		{name: "all in turn, not exactly", warm: 30 * time.Second, requests: inTurn(3)},
	}
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			for seed := range uint64(3) {
				o := p.run(seed, nil)
				o.check(t, seed)
				assert.LessOrEqual(t, o.dialsOfBest, steadyDials, "seed %d", seed)
				t.Logf("goodput %.3f, dials %.3f of the fewest, %.3f of known rates", o.goodput, o.dialsOfBest, o.dialsOfRanked)
			}
		})
	}
}

// Guards against more dials than the randomness of the load requires. Which of equally large
// customers comes next cannot be known: a pool that knows the rates and closes the connection
// with the lowest one needs twice the dials of one that knows the future.
func TestRandomLoad(t *testing.T) {
	patterns := []pattern{
		{name: "sessions of one read each", warm: 100 * time.Second, requests: steady(uniform(), 0.7, 0, 200*time.Second)},
		{name: "a part are transactions", warm: 100 * time.Second, requests: steady(zipf(customers), 0.5, 0.15, 300*time.Second)},
	}
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			for seed := range uint64(3) {
				o := p.run(seed, nil)
				o.check(t, seed)
				assert.LessOrEqual(t, o.dialsOfBest, randomDials, "seed %d", seed)
				assert.LessOrEqual(t, o.dialsOfRanked, rankedDials, "seed %d", seed)
				t.Logf("goodput %.3f, dials %.3f of the fewest, %.3f of known rates", o.goodput, o.dialsOfBest, o.dialsOfRanked)
			}
		})
	}
}

// Guards against a customer that takes the connections or the slots of the others.
func TestOneCustomerSevenfold(t *testing.T) {
	rates, requests := sevenfold()
	p := pattern{warm: 62 * time.Second, requests: requests, rates: rates}
	for seed := range uint64(3) {
		o := p.run(seed, nil)
		o.check(t, seed)
		worst := 1.0
		served, offered := inTime(o.requests, p.warm), map[string]int{}
		for _, q := range o.requests {
			if q.at.Sub(testNow) >= p.warm {
				offered[q.user]++
			}
		}
		possible := testCapacity * (160 - 62)
		for i, share := range fairShares(rates) {
			user := userName(i)
			worst = min(worst, float64(served[user])/min(share*possible, float64(offered[user])))
		}
		assert.GreaterOrEqual(t, worst, fairShare, "seed %d", seed)
		t.Logf("goodput %.3f, least part of a fair share %.3f", o.goodput, worst)
	}
}

// fairShares returns what each of the rates gets of a capacity of 1 if none gets less than
// another one that asks for more. The rates are in falling order.
func fairShares(rates []float64) []float64 {
	shares, left := make([]float64, len(rates)), 1.0
	for i, rate := range slices.Backward(rates) {
		shares[i] = min(rate, left/float64(i+1))
		left -= shares[i]
	}
	return shares
}

// Guards against an outage that lasts longer than its cause: after a loss of power every customer
// comes back at once, and the server counts connections of the time before for 3 s.
func TestAllAtOnce(t *testing.T) {
	deadConnections := func(r *replay) {
		r.serverMax = func(at time.Duration) int {
			if at < 3*time.Second {
				return 40
			}
			return testLimit
		}
	}
	patterns := []struct {
		name   string
		load   func(*rand.Rand) []*request
		change func(r *replay)
	}{
		{name: "two requests of each", load: allAtOnce(2, 0.7)},
		{name: "five requests of each", load: allAtOnce(5, 0.7)},
		{name: "half of the connections refused", load: allAtOnce(2, 0.5), change: deadConnections},
	}
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			for seed := range uint64(3) {
				o := pattern{requests: p.load}.run(seed, p.change)
				o.check(t, seed)
				t.Logf("goodput %.3f, dials %d, refused %d", o.goodput, len(o.replay.dials), o.replay.refused)
				assert.Less(t, o.replay.refused, 20, "seed %d: dials to a server that refuses more connections", seed)
			}
		})
	}
}

// Guards against requests that wait for connections of idle transactions until their deadline
// while others could run, and against a deadlock of transactions that need a slot.
func TestTransactionsHoldConnections(t *testing.T) {
	for seed := range uint64(3) {
		p := pattern{requests: func(rng *rand.Rand) []*request {
			out := poisson(rng, scaled(zipf(customers), 0.3*testCapacity), 0, 30*time.Second, 0)
			// From second 10 on, the largest customer opens 100 transactions that last 5 s.
			for range 100 {
				q := newRequest(rng, 0, 10+rng.Float64(), false)
				q.think = 5 * time.Second
				q.services = append(q.services, testService)
				out = append(out, q)
			}
			return sorted(out)
		}}
		o := p.run(seed, nil)
		assert.LessOrEqual(t, o.replay.maxOpen, testLimit, "seed %d", seed)
		s := o.replay.pool.Stats()
		assert.Zero(t, s.InUse+s.Dialing+s.Closing+s.Waiting, "seed %d: at the end", seed)
		others := func(requests []*request) (served, all int) {
			for _, q := range requests {
				if q.user != userName(0) {
					all++
					if q.done && q.end.Sub(q.at) <= testDeadline {
						served++
					}
				}
			}
			return served, all
		}
		served, all := others(o.requests)
		t.Logf("%d of %d requests of the others", served, all)
		assert.GreaterOrEqual(t, float64(served), 0.97*float64(all), "seed %d: requests of the others", seed)
	}
}

// Guards against connections that are opened before a slot is taken. Under an overload they
// occupy slots for requests that are then refused.
func TestDialInSlotServesMore(t *testing.T) {
	_, requests := sevenfold()
	for seed := range uint64(2) {
		p := pattern{warm: 62 * time.Second, requests: requests}
		first := p.run(seed, func(r *replay) { r.dialFirst = true })
		slot := p.run(seed, nil)
		t.Logf("goodput %.3f with the slot first, %.3f with the connection first", slot.goodput, first.goodput)
		assert.Greater(t, slot.goodput, first.goodput, "seed %d", seed)
	}
}
