package gwtelemetry

import (
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Outcome is how a request ended.
type Outcome uint8

// Outcomes of requests.
const (
	Done    Outcome = iota // the complete response was forwarded to the caller
	NotRun                 // the request certainly did not run
	Unknown                // the request may have run
	outcomes
)

// String returns the label value of the outcome.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "notRun"
	default:
		return "unknown"
	}
}

// maxSeries bounds the pairs of class and group that have metrics of their own.
// Each pair adds about 100 lines to a scrape.
const maxSeries = 512

// otherLabel is the label value that stands for all values beyond a bound.
const otherLabel = "other"

// Upper bounds of histogram buckets.
var (
	secondBuckets      = metrics.ExponentialBuckets(0.0001, 2, 20) // 100 µs to 52 s
	failoverGapBuckets = metrics.ExponentialBuckets(0.05, 1.5, 16) // 50 ms to 22 s; a change of primary may take 12 s
	byteBuckets        = metrics.ExponentialBuckets(64, 4, 10)     // 64 B to 16 MiB
)

// Metrics holds the metrics of one instance.
type Metrics struct {
	set *metrics.Set

	mu           sync.RWMutex
	series       map[seriesKey]*Series
	failoverGaps map[string]*metrics.PrometheusHistogram
	labelValues  map[string]map[string]struct{} // label values by metric and label
	collect      []func() []Sample
}

type seriesKey struct{ class, group string }

// New returns an empty Metrics.
func New() *Metrics {
	return &Metrics{
		set:          metrics.NewSet(),
		series:       map[seriesKey]*Series{},
		failoverGaps: map[string]*metrics.PrometheusHistogram{},
		labelValues:  map[string]map[string]struct{}{},
	}
}

// Series holds the metrics of one class and group. Its users should keep it, as
// Metrics.Series takes a lock.
type Series struct {
	latency     *metrics.PrometheusHistogram
	queueWait   *metrics.PrometheusHistogram
	staleness   *metrics.PrometheusHistogram
	regionBytes *metrics.PrometheusHistogram
	replica     *metrics.Counter
	primary     *metrics.Counter
	outcome     [outcomes]*metrics.Counter
}

// Series returns the metrics of a class and group; beyond the bound it returns
// those of class and group "other".
func (m *Metrics) Series(class, group string) *Series {
	key := seriesKey{class: class, group: group}
	m.mu.RLock()
	s := m.series[key]
	m.mu.RUnlock()
	if s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.series[key]; s != nil {
		return s
	}
	if len(m.series) >= maxSeries {
		key = seriesKey{class: otherLabel, group: otherLabel}
	}
	s = m.series[key]
	if s == nil {
		s = m.newSeries(key)
		m.series[key] = s
	}
	return s
}

func (m *Metrics) newSeries(key seriesKey) *Series {
	labels := []Label{{"class", key.class}, {"group", key.group}}
	hist := func(name string, buckets []float64) *metrics.PrometheusHistogram {
		return m.set.GetOrCreatePrometheusHistogramExt(metricName(name, labels...), buckets)
	}
	count := func(name, label, value string) *metrics.Counter {
		return m.set.GetOrCreateCounter(metricName(name, append(labels[:2:2], Label{label, value})...))
	}
	s := &Series{
		latency:     hist("gentianward_latency_seconds", secondBuckets),
		queueWait:   hist("gentianward_queue_wait_seconds", secondBuckets),
		staleness:   hist("gentianward_staleness_seconds", secondBuckets),
		regionBytes: hist("gentianward_region_bytes", byteBuckets),
		replica:     count("gentianward_reads_total", "server", "replica"),
		primary:     count("gentianward_reads_total", "server", "primary"),
	}
	for o := range outcomes {
		s.outcome[o] = count("gentianward_requests_total", "outcome", o.String())
	}
	return s
}

// Latency records the time from a request to its complete response.
func (s *Series) Latency(d time.Duration) { s.latency.Update(d.Seconds()) }

// QueueWait records how long a request waited for a slot.
func (s *Series) QueueWait(d time.Duration) { s.queueWait.Update(d.Seconds()) }

// Staleness records the age of the data that a read saw.
func (s *Series) Staleness(d time.Duration) { s.staleness.Update(d.Seconds()) }

// RegionBytes records the bytes that a request sent and received between
// regions.
func (s *Series) RegionBytes(n int) { s.regionBytes.Update(float64(n)) }

// Outcome counts a request by how it ended.
func (s *Series) Outcome(o Outcome) { s.outcome[min(o, Unknown)].Inc() }

// Read counts a read by the kind of server that answered it.
func (s *Series) Read(replica bool) {
	if replica {
		s.replica.Inc()
		return
	}
	s.primary.Inc()
}

// Reads returns how many reads replicas and primaries have answered.
func (m *Metrics) Reads() (replica, primary uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, s := range m.series {
		replica += s.replica.Get()
		primary += s.primary.Get()
	}
	return replica, primary
}

// PlatformCall counts a call to the platform by its outcome.
func (m *Metrics) PlatformCall(outcome string) {
	m.Counter("gentianward_platform_calls_total", Label{Name: "outcome", Value: outcome}).Inc()
}

// FailoverGap records the duration of a group's change of primary as the leader of the
// replicated log saw it: from the report of the failure to the new primary.
func (m *Metrics) FailoverGap(group string, d time.Duration) {
	m.mu.Lock()
	h := m.failoverGaps[group]
	if h == nil {
		group = m.boundLabel("gentianward_failover_gap_seconds", "group", group)
		h = m.set.GetOrCreatePrometheusHistogramExt(metricName("gentianward_failover_gap_seconds", Label{"group", group}), failoverGapBuckets)
		m.failoverGaps[group] = h
	}
	m.mu.Unlock()
	h.Update(d.Seconds())
}

// Counter returns a counter. Code that uses it often should keep it.
func (m *Metrics) Counter(name string, labels ...Label) *metrics.Counter {
	return m.set.GetOrCreateCounter(m.name(name, labels))
}

// Histogram returns a histogram of seconds.
func (m *Metrics) Histogram(name string, labels ...Label) *metrics.PrometheusHistogram {
	return m.set.GetOrCreatePrometheusHistogramExt(m.name(name, labels), secondBuckets)
}

// Gauge registers a gauge whose value is read from f at each scrape.
func (m *Metrics) Gauge(name string, f func() float64, labels ...Label) {
	m.set.GetOrCreateGauge(m.name(name, labels), f)
}

func (m *Metrics) name(name string, labels []Label) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	bounded := make([]Label, len(labels))
	for i, l := range labels {
		bounded[i] = Label{l.Name, m.boundLabel(name, l.Name, l.Value)}
	}
	return metricName(name, bounded...)
}

// ServeHTTP serves the metrics of the instance and of the process.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	m.set.WritePrometheus(w)
	m.writeCollected(w)
	metrics.WriteProcessMetrics(w)
}
