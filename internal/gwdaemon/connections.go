package gwdaemon

import (
	"cmp"
	"maps"
	"slices"

	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwtelemetry"
)

const (
	// maxCustomerSeries bounds the customers with a series of their own: those with the most
	// connections. The others are counted together.
	maxCustomerSeries = 100
	otherCustomers    = "other"
)

// connectionSamples returns the metrics of the connections to the owned servers.
func connectionSamples(servers []gwowner.ServerConnections) []gwtelemetry.Sample {
	var out []gwtelemetry.Sample
	customers := make(map[string]int)
	for _, s := range servers {
		server := []gwtelemetry.Label{{Name: "server", Value: s.Server}, {Name: "group", Value: s.Group}}
		add := func(name string, value float64, counter bool, labels ...gwtelemetry.Label) {
			out = append(out, gwtelemetry.Sample{Name: name, Value: value, Counter: counter, Labels: append(server[:2:2], labels...)})
		}
		for _, state := range []struct {
			name  string
			value int
		}{{"idle", s.Stats.Idle}, {"inUse", s.Stats.InUse}, {"opening", s.Stats.Dialing}, {"closing", s.Stats.Closing}} {
			add("gentianward_connections", float64(state.value), false, gwtelemetry.Label{Name: "state", Value: state.name})
		}
		add("gentianward_connection_limit", float64(s.Stats.Accepted), false)
		add("gentianward_connection_waits", float64(s.Stats.Waiting+s.Stats.Awaiting), false)
		add("gentianward_connection_dials_total", float64(s.Stats.Dials), true)
		add("gentianward_connection_dial_errors_total", float64(s.Stats.DialErrors), true)
		add("gentianward_connections_closed_for_other_total", float64(s.Stats.ClosedForOther), true)
		for name, n := range s.ByCustomer {
			customers[name] += n
		}
	}
	return append(out, customerSamples(customers)...)
}

func customerSamples(customers map[string]int) []gwtelemetry.Sample {
	names := slices.SortedFunc(maps.Keys(customers), func(a, b string) int {
		return cmp.Or(cmp.Compare(customers[b], customers[a]), cmp.Compare(a, b))
	})
	var out []gwtelemetry.Sample
	add := func(name string, n int) {
		out = append(out, gwtelemetry.Sample{
			Name: "gentianward_customer_connections", Value: float64(n), Labels: []gwtelemetry.Label{{Name: "customer", Value: name}},
		})
	}
	rest := 0
	for i, name := range names {
		if i < maxCustomerSeries {
			add(name, customers[name])
		} else {
			rest += customers[name]
		}
	}
	if rest > 0 {
		add(otherCustomers, rest)
	}
	return out
}

// exposeConnections adds the metrics of the connections to the owned servers.
func (i *Instance) exposeConnections() {
	if i.Telemetry != nil && i.owner != nil {
		i.Telemetry.Collect(func() []gwtelemetry.Sample { return connectionSamples(i.owner.Connections()) })
	}
}
