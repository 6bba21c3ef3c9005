package gwtelemetry

import (
	"fmt"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// customerSeries returns the counters of customers in a scrape.
func customerSeries(m *Metrics) string {
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	return strings.Join(regexp.MustCompile(`(?m)^gentianward_customer_requests_total.*$`).FindAllString(w.Body.String(), -1), "\n")
}

// Guards against a scrape that grows with the number of customers, and against a large or refused
// customer that operators do not see.
func TestCustomersAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	m := New()
	c := NewCustomers(m, func() time.Time { return now })
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		c.Served("large")
		c.Served(fmt.Sprint("small", i))
		c.NotServed(fmt.Sprint("refused", i%1000), "queueFull")
	}
	got := customerSeries(m)
	assert.LessOrEqual(t, strings.Count(got, "\n"), maxLargestCustomers+2*maxRefusedCustomers+2)
	assert.Contains(t, got, `{customer="large",result="served"} 19`)
	assert.Contains(t, got, `{customer="refused1",result="queueFull"} 20`)
	assert.Contains(t, got, `{customer="other",result="served"}`)
	assert.NotContains(t, got, `"small1"`)
	assert.LessOrEqual(t, len(c.tally), maxTallies)
	sum := 0
	for _, n := range regexp.MustCompile(` (\d+)(\n|$)`).FindAllStringSubmatch(got, -1) {
		var v int
		_, _ = fmt.Sscan(n[1], &v)
		sum += v
	}
	assert.Equal(t, 60_000, sum, "each request is counted once")
}

// Guards against a customer whose name is that of the sum.
func TestCustomerNamedOther(t *testing.T) {
	m := New()
	c := NewCustomers(m, time.Now)
	c.NotServed(otherLabel, "queueFull")
	c.Served("a")
	assert.Equal(t, `gentianward_customer_requests_total{customer="other",result="queueFull"} 1
gentianward_customer_requests_total{customer="other",result="served"} 1`, customerSeries(m))
}
