package gwtelemetry

import (
	"sync"
	"time"
)

// Bounds of the customers that have series of their own. The requests of the others are summed
// under the customer "other".
const (
	maxLargestCustomers = 64
	maxRefusedCustomers = 64
	// largestShare is the share of the requests of one interval with which a customer gets
	// series of its own: at most 100 customers have it at once.
	largestShare     = 0.01
	largestInterval  = 10 * time.Second
	minLargestCounts = 100 // requests in the interval, below which shares mean little
	maxTallies       = 4096
)

// servedResult is the result of a request of a customer that was answered.
const servedResult = "served"

// Customers counts the requests of customers by their results. A customer that has got series of
// its own keeps them, so that no counter goes back; its earlier requests stay under "other".
type Customers struct {
	metrics *Metrics
	now     func() time.Time

	mu sync.Mutex
	// own holds the customers with series of their own; refused of them were added for a refusal.
	own     map[string]map[string]interface{ Inc() }
	refused int
	// tally counts the requests of the other customers in the current interval, total all requests.
	tally     map[string]int
	total     int
	startedAt time.Time
}

// NewCustomers returns a Customers that adds its counters to m.
func NewCustomers(m *Metrics, now func() time.Time) *Customers {
	return &Customers{metrics: m, now: now, own: make(map[string]map[string]interface{ Inc() }), tally: make(map[string]int), startedAt: now()}
}

// Served counts a request that was answered.
func (c *Customers) Served(customer string) { c.count(customer, servedResult, false) }

// NotServed counts a request that was not answered, with the reason, one of few constants.
func (c *Customers) NotServed(customer, reason string) { c.count(customer, reason, true) }

func (c *Customers) count(customer, result string, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if _, ok := c.own[customer]; !ok && !c.promote(customer, refused) {
		customer = otherLabel
	}
	series := c.own[customer]
	if series == nil {
		series = make(map[string]interface{ Inc() })
		c.own[customer] = series
	}
	counter := series[result]
	if counter == nil {
		counter = c.metrics.Counter("gentianward_customer_requests_total", Label{Name: "customer", Value: customer}, Label{Name: "result", Value: result})
		series[result] = counter
	}
	counter.Inc()
	c.endInterval()
}

// promote gives a customer series of its own if it was refused, or if it has a large share of the
// requests of the interval, and reports whether it did.
func (c *Customers) promote(customer string, refused bool) bool {
	if len(c.tally) < maxTallies || c.tally[customer] > 0 {
		c.tally[customer]++
	}
	large := c.total >= minLargestCounts && float64(c.tally[customer]) >= largestShare*float64(c.total)
	largest := len(c.own) - c.refused
	switch {
	case customer == otherLabel:
		return false
	case large && largest < maxLargestCustomers:
	case refused && c.refused < maxRefusedCustomers:
		c.refused++
	default:
		return false
	}
	c.own[customer] = make(map[string]interface{ Inc() })
	delete(c.tally, customer)
	return true
}

func (c *Customers) endInterval() {
	if now := c.now(); now.Sub(c.startedAt) >= largestInterval {
		clear(c.tally)
		c.total, c.startedAt = 0, now
	}
}
