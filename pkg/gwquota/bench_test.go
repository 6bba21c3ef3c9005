package gwquota

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkReports replays 60 s of 78 customers with 18 agents, three in each of 6 data centres, and
// counts the messages and encoded bytes of an agent, and the shares that change.
func BenchmarkReports(b *testing.B) {
	const perDataCentre, duration = 3, time.Minute
	for _, hot := range []bool{false, true} {
		name := "calm"
		if hot {
			name = "hot"
		}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				reports, bytes, changes := 0, 0, 0
				for part := range perDataCentre {
					w := newWorld(uint64(part), replayCustomers, replaySites, replayLoad)
					var own []*worldCustomer
					for i, c := range w.customers {
						if i%perDataCentre == part {
							own = append(own, c)
						} else {
							delete(w.limits, c.name)
						}
					}
					w.customers = own
					for i := range w.sites {
						w.restart(i)
					}
					w.ledger = w.newLedger(Earlier{None: true})
					if hot && part == 0 {
						own[0].load *= hotFactor
					}
					w.run(10 * time.Second)
					w.reports, w.bytes, w.changes = 0, 0, 0
					w.run(duration)
					reports, bytes, changes = reports+w.reports, bytes+w.bytes, changes+w.changes
				}
				agentSeconds := duration.Seconds() * perDataCentre * replaySites
				b.ReportMetric(float64(reports)/agentSeconds, "reports/s")
				b.ReportMetric(float64(bytes)/agentSeconds, "bytes/s")
				b.ReportMetric(float64(changes)/agentSeconds, "changes/s")
			}
		})
	}
}

func encodedSize(v any) int {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}
