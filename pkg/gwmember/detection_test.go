package gwmember

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkDetection measures the time from a crash to the first and the last
// death declaration, and false suspicions and deaths under packet loss.
func BenchmarkDetection(b *testing.B) {
	for _, loss := range []float64{0, 0.05, 0.2} {
		for _, n := range []int{3, 10, 250} {
			b.Run(benchmarkName(loss, n), func(b *testing.B) { benchmarkDetection(b, loss, n) })
		}
	}
}

func benchmarkName(loss float64, n int) string {
	return fmt.Sprintf("loss=%g/members=%d", loss, n)
}

func benchmarkDetection(b *testing.B, loss float64, n int) {
	first := hdrhistogram.New(1, 60_000, 3)
	all := hdrhistogram.New(1, 60_000, 3)
	crashes := 40
	if os.Getenv("GW_LONG") != "" {
		crashes = 400
	}
	var suspects, falseDeaths, minutes float64
	for b.Loop() {
		w := newNetwork(3, n, 1)
		w.loss = loss
		down := ""
		var crashed time.Time
		heard := 0
		var last time.Time
		w.onAction = func(nd *node, a Action) {
			c, ok := a.(MemberChanged)
			if !ok {
				return
			}
			if c.Member.Instance == down {
				if c.Status == StatusDead {
					if heard == 0 {
						_ = first.RecordValue(w.now.Sub(crashed).Milliseconds())
					}
					heard++
					last = w.now
				}
				return
			}
			if c.Status == StatusSuspect {
				suspects++
			}
			if c.Status == StatusDead && nd.up {
				// Count each declaration once, at the watcher that makes it.
				if e := nd.table.rows[c.Member.Instance]; e.since.Equal(w.now) && e.watch != nil {
					falseDeaths++
				}
			}
		}
		w.startAll()
		w.run(5 * time.Second)
		for i := range crashes {
			victim := w.nodes[i*7%n]
			down, crashed, heard = victim.self.Instance, w.now, 0
			victim.up = false
			w.run(8 * time.Second)
			if heard == n-1 {
				_ = all.RecordValue(last.Sub(crashed).Milliseconds())
			} else {
				b.Logf("crash %d: %d of %d heard", i, heard, n-1)
			}
			down = ""
			w.restart(victim)
			w.run(4 * time.Second)
			minutes += 12.0 / 60 * float64(n)
		}
	}
	b.ReportMetric(float64(first.ValueAtQuantile(50)), "first_p50_ms")
	b.ReportMetric(float64(first.Max()), "first_max_ms")
	b.ReportMetric(float64(all.ValueAtQuantile(50)), "all_p50_ms")
	b.ReportMetric(float64(all.ValueAtQuantile(99)), "all_p99_ms")
	b.ReportMetric(float64(all.Max()), "all_max_ms")
	b.ReportMetric(suspects/minutes, "suspicions/member-min")
	b.ReportMetric(falseDeaths/minutes*1000, "false_deaths/1000member-min")
}
