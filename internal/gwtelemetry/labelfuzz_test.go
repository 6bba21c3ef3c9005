package gwtelemetry

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzLabels looks for a name from a configuration that ends the process when a metric gets it as a
// label, or that adds lines to a scrape.
func FuzzLabels(f *testing.F) {
	for _, s := range []string{"core", "", "a\"b", "\\", "a\\\"", "\r\n# TYPE x", "{a=\"b\"}", "a,b=c", "\x00\xff", "é\u2028", strings.Repeat("é", 100), strings.Repeat("\\", 128)} {
		f.Add(s, s)
		f.Add("core", s)
	}
	f.Fuzz(func(t *testing.T, class, group string) {
		m, plain := New(), New()
		for _, o := range []struct {
			m            *Metrics
			class, group string
		}{{m, class, group}, {plain, "a", "b"}} {
			s := o.m.Series(o.class, o.group)
			s.Latency(time.Second)
			s.Read(true)
			s.Outcome(Done)
			o.m.FailoverGap(o.group, time.Second)
			o.m.Counter("c_total", Label{"v", o.class}, Label{"w", o.group}).Inc()
			o.m.Histogram("h_seconds", Label{"v", o.group}).Update(1)
			o.m.Gauge("g", func() float64 { return 1 }, Label{"v", o.group})
		}
		text := func(m *Metrics) string {
			var b strings.Builder
			m.set.WritePrometheus(&b)
			return b.String()
		}
		require.Equal(t, strings.Count(text(plain), "\n"), strings.Count(text(m), "\n"))
	})
}
