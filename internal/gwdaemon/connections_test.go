package gwdaemon

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwtelemetry"
)

// Guards against a metric for each of any number of customers, and against connections that are
// missing in the sum.
func TestConnectionMetricsAreBounded(t *testing.T) {
	byCustomer := map[string]int{"large": 9}
	for i := range 500 {
		byCustomer[fmt.Sprintf("c%d", i)] = 1
	}
	m := NewTelemetry()
	m.Collect(func() []gwtelemetry.Sample {
		return connectionSamples([]gwowner.ServerConnections{{
			Server: "i-1", Group: "g", ByCustomer: byCustomer,
			Stats: gwbackend.Stats{Idle: 500, InUse: 9, Dials: 700, ClosedForOther: 3, Accepted: 600},
		}})
	})
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	text := w.Body.String()
	for _, line := range []string{
		`gentianward_connections{server="i-1",group="g",state="idle"} 500`,
		`gentianward_connection_dials_total{server="i-1",group="g"} 700`,
		`gentianward_connections_closed_for_other_total{server="i-1",group="g"} 3`,
		`gentianward_customer_connections{customer="large"} 9`,
		`gentianward_customer_connections{customer="other"} 401`,
	} {
		assert.Contains(t, text, line+"\n")
	}
	assert.Equal(t, maxCustomerSeries+1, strings.Count(text, "gentianward_customer_connections{"))
}
