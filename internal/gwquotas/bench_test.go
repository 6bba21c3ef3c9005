package gwquotas

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwcontrol"
)

// BenchmarkAdmit measures one operation, at the agent itself and from another instance of its data
// centre, with the bytes of the question and the answer.
func BenchmarkAdmit(b *testing.B) {
	for _, remote := range []bool{false, true} {
		name := "own"
		if remote {
			name = "remote"
		}
		b.Run(name, func(b *testing.B) {
			s := newSite(b, "a", "a")
			s.publish(999)
			s.run(3 * time.Second)
			agent := s.agent("a")
			asking := agent
			if remote {
				asking = 1 - agent
			}
			bytes := func() uint64 {
				return s.services[0].Node.Traffic(gwcontrol.KindQuotaAdmit.ID).Bytes + s.services[1].Node.Traffic(gwcontrol.KindQuotaAdmit.ID).Bytes
			}
			before := bytes()
			for n := 0; b.Loop(); n++ {
				if n%500 == 0 {
					s.run(time.Second)
				}
				require.NoError(b, s.services[asking].Admit(b.Context(), testCustomer))
			}
			b.ReportMetric(float64(bytes()-before)/float64(b.N), "bytes/op")
		})
	}
}
