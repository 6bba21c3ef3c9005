package gwlimit

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fairShares returns what each of the rates gets of a capacity of 1 if none gets less than
// another one that asks for more.
func fairShares(rates []float64) []float64 {
	shares := make([]float64, len(rates))
	left, order := 1.0, make([]int, len(rates))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if rates[a] < rates[b] {
			return -1
		}
		return 1
	})
	for n, i := range order {
		shares[i] = min(rates[i], left/float64(len(order)-n))
		left -= shares[i]
	}
	return shares
}

// Guards against a customer with many requests that delays the others of its class: without
// turns, those lose as large a part of their requests as it does.
func TestCustomersUnderLoad(t *testing.T) {
	sevenfold := []float64{0.5 * 0.28 * 7}
	for _, r := range []float64{0.2, 0.1, 0.08, 0.06, 0.05, 0.05, 0.04, 0.04, 0.03, 0.03, 0.02, 0.02} {
		sevenfold = append(sevenfold, 0.7*r)
	}
	patterns := []struct {
		name  string
		rates []float64
	}{
		{name: "one customer at 7 times its usual load", rates: sevenfold},
		{name: "two that flood", rates: []float64{2, 1, 0.2, 0.1, 0.05, 0.05, 0.02}},
		{name: "every customer beyond its share", rates: []float64{0.6, 0.5, 0.4, 0.3}},
		{name: "one alone beyond the capacity", rates: []float64{1.5}},
	}
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			for seed := range uint64(5) {
				r := callers{rates: p.rates, customers: true, counted: always}.run(seed)
				served, total := make([]float64, len(p.rates)), 0.0
				for _, op := range r.ops {
					if op.inAim {
						served[op.class]++
						total++
					}
				}
				possible := capacity * loadDuration.Seconds()
				for c, share := range fairShares(p.rates) {
					// A small customer sends so few requests that their number varies.
					offered := float64(countOps(r.ops, c))
					assert.GreaterOrEqual(t, served[c], 0.9*min(share*possible, offered), "seed %d, customer %d", seed, c)
				}
				assert.GreaterOrEqual(t, total, callersShare*min(possible, float64(len(r.ops))), "seed %d", seed)
			}
		})
	}
}

func countOps(ops []*operation, class int) int {
	n := 0
	for _, op := range ops {
		if op.class == class {
			n++
		}
	}
	return n
}

// Guards against a customer's priority without effect, and against one that lets others starve.
func TestCustomerPriority(t *testing.T) {
	q := NewFairQueue(1)
	q.SetCustomers(map[string]int{"urgent": PriorityWeight(0), "other": PriorityWeight(1)})
	for range 300 {
		require.NoError(t, q.Push(&Item{Class: "c", Customer: "other"}, testNow))
	}
	for range 300 {
		require.NoError(t, q.Push(&Item{Class: "c", Customer: "urgent"}, testNow))
	}
	served := serveCustomers(q, 300)
	assert.InDelta(t, 200, served["urgent"], 2)
	assert.InDelta(t, 100, served["other"], 2)
}

func serveCustomers(q *FairQueue, n int) map[string]int {
	served := map[string]int{}
	for range n {
		it := q.Pop(testNow)
		served[it.Customer]++
		q.Done(it)
	}
	return served
}

// Guards against an idle customer that accumulates credit and then delays the others.
func TestCustomerGetsNoCreditForIdleTime(t *testing.T) {
	q := NewFairQueue(1)
	for range 100 {
		require.NoError(t, q.Push(&Item{Class: "c", Customer: "busy"}, testNow))
		q.Done(q.Pop(testNow))
	}
	for range 10 {
		require.NoError(t, q.Push(&Item{Class: "c", Customer: "busy"}, testNow))
		require.NoError(t, q.Push(&Item{Class: "c", Customer: "idle"}, testNow))
	}
	assert.InDelta(t, 5, serveCustomers(q, 10)["idle"], 1)
}

// Guards against a customer that loses its turns to requests that were withdrawn or expired.
func TestWithdrawnRequestsCostNoTurn(t *testing.T) {
	q := NewFairQueue(1)
	for range 50 {
		it := &Item{Class: "c", Customer: "withdraws"}
		require.NoError(t, q.Push(it, testNow))
		q.Remove(it)
	}
	for range 10 {
		require.NoError(t, q.Push(&Item{Class: "c", Customer: "other"}, testNow))
		require.NoError(t, q.Push(&Item{Class: "c", Customer: "withdraws"}, testNow))
	}
	assert.InDelta(t, 5, serveCustomers(q, 10)["withdraws"], 1)
}

// Guards against customers' turns that change those of the classes.
func TestCustomersKeepSharesOfClasses(t *testing.T) {
	q := NewFairQueue(1)
	q.SetClass(Class{Name: "a", Weight: 3})
	for i := range 400 {
		require.NoError(t, q.Push(&Item{Class: "a", Customer: string(rune('p' + i%3))}, testNow))
		require.NoError(t, q.Push(&Item{Class: "b", Customer: string(rune('p' + i/200))}, testNow))
	}
	served := map[string]int{}
	for range 400 {
		it := q.Pop(testNow)
		served[it.Class]++
		q.Done(it)
	}
	assert.InDelta(t, 300, served["a"], 2)
}

// Guards against an expired request of the customer whose turn it is that keeps its turn.
func TestCustomerTurnSkipsExpired(t *testing.T) {
	q := NewFairQueue(1)
	q.RecordServiceTime("c", 10*time.Microsecond)
	for range 3 {
		require.NoError(t, q.Push(&Item{Class: "c", Customer: "x"}, testNow))
		q.Done(q.Pop(testNow))
	}
	waits := &Item{Class: "c", Customer: "x"}
	expired := &Item{Class: "c", Customer: "y", Deadline: testNow.Add(time.Millisecond)}
	require.NoError(t, q.Push(waits, testNow))
	require.NoError(t, q.Push(expired, testNow))
	assert.Same(t, waits, q.Pop(testNow.Add(time.Second)))
}
