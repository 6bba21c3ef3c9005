package gwtelemetry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Sample is one value at the time of a scrape.
type Sample struct {
	Name    string
	Value   float64
	Counter bool // the value only rises; otherwise it is a gauge
	Labels  []Label
}

// Collect adds a function that returns samples at each scrape, for series that come and go, such as
// those of the servers that an instance owns. The function bounds their number.
func (m *Metrics) Collect(f func() []Sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.collect = append(m.collect, f)
}

// writeCollected writes the samples of all functions.
func (m *Metrics) writeCollected(w io.Writer) {
	m.mu.RLock()
	collect := m.collect
	m.mu.RUnlock()
	for _, f := range collect {
		for _, s := range f() {
			if s.Counter {
				metrics.WriteCounterFloat64(w, metricName(s.Name, s.Labels...), s.Value)
			} else {
				metrics.WriteGaugeFloat64(w, metricName(s.Name, s.Labels...), s.Value)
			}
		}
	}
}
