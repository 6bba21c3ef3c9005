package gwtelemetry

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func scrape(m *Metrics) string {
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

// Guards against metrics that are not served, and against metrics of two instances in
// one process that mix.
func TestScrape(t *testing.T) {
	m, second := New(), New()
	s := m.Series("planners", "foyers-1")
	s.Latency(30 * time.Millisecond)
	s.QueueWait(time.Millisecond)
	s.Staleness(time.Second)
	s.RegionBytes(4096)
	s.Outcome(NotRun)
	s.Read(true)
	s.Read(true)
	s.Read(false)
	m.FailoverGap("foyers-1", 900*time.Millisecond)
	m.Gauge("gentianward_members", func() float64 { return 7 }, Label{"state", "alive"})
	text := scrape(m)
	for _, want := range []string{
		`gentianward_latency_seconds_sum{class="planners",group="foyers-1"} 0.03`,
		`gentianward_staleness_seconds_count{class="planners",group="foyers-1"} 1`,
		`gentianward_region_bytes_sum{class="planners",group="foyers-1"} 4096`,
		`gentianward_requests_total{class="planners",group="foyers-1",outcome="notRun"} 1`,
		`gentianward_reads_total{class="planners",group="foyers-1",server="replica"} 2`,
		`gentianward_failover_gap_seconds_count{group="foyers-1"} 1`,
		`gentianward_members{state="alive"} 7`,
		`process_`,
	} {
		assert.Contains(t, text, want)
	}
	replica, primary := m.Reads()
	assert.Equal(t, uint64(2), replica)
	assert.Equal(t, uint64(1), primary)
	assert.NotContains(t, scrape(second), "foyers-1")
}

// Guards against label values from callers that break the format of a scrape or make the
// number of series grow without bound.
func TestLabels(t *testing.T) {
	m := New()
	m.Counter("c_total", Label{"v", "a\"b\\c\nd\xff" + strings.Repeat("x", 500)}).Inc()
	text := scrape(m)
	assert.Contains(t, text, `c_total{v="a\"b\\c\nd`)
	for i := range maxLabelValues + 10 {
		m.Counter("d_total", Label{"v", strconv.Itoa(i)}).Inc()
		m.Series("class", "group-"+strconv.Itoa(i)).Read(true)
		m.FailoverGap("group-"+strconv.Itoa(i), time.Second)
	}
	text = scrape(m)
	assert.Contains(t, text, `d_total{v="other"} 10`)
	assert.Equal(t, maxLabelValues+1, strings.Count(text, "\nd_total{"))
	assert.Equal(t, maxSeries+1, strings.Count(text, `server="replica"`))
	assert.Contains(t, text, `gentianward_failover_gap_seconds_count{group="other"} 10`)
	replica, _ := m.Reads()
	assert.Equal(t, uint64(maxLabelValues+10), replica)
}

// Guards against log lines that are not JSON or lack the instance.
func TestLogger(t *testing.T) {
	var b bytes.Buffer
	log := NewLogger(&b, slog.LevelInfo, "rennes-a-1")
	log.Debug("hidden")
	log.Info("lease granted", Group("foyers-1"), Class("planners"), Term(4))
	var line map[string]any
	require.NoError(t, json.Unmarshal(b.Bytes(), &line))
	assert.Equal(t, "rennes-a-1", line["instance"])
	assert.Equal(t, "foyers-1", line["group"])
	assert.Equal(t, "planners", line["class"])
	assert.InDelta(t, 4, line["term"], 0)
}
