package gwlease

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// BenchmarkPlacement measures the index of 3,000 instances, the owners of all 9,900
// servers, and the owners of the servers of one data centre.
func BenchmarkPlacement(b *testing.B) {
	live := deployment(3000)
	type server struct{ name, dc, region string }
	servers := make([]server, 9900)
	for i := range servers {
		dc := i / 3 % 12
		servers[i] = server{fmt.Sprintf("server-%04d", i), fmt.Sprintf("dc-%02d", dc), fmt.Sprintf("region-%d", dc/4)}
	}
	p := NewPlacement(live)
	b.Run("index", func(b *testing.B) {
		for b.Loop() {
			p = NewPlacement(live)
		}
	})
	b.Run("all", func(b *testing.B) {
		var owned map[string]int
		for b.Loop() {
			owned = make(map[string]int, len(live))
			for _, s := range servers {
				owner, _ := p.Owner(s.name, s.dc, s.region)
				owned[owner]++
			}
		}
		most := 0
		for _, n := range owned {
			most = max(most, n)
		}
		b.ReportMetric(float64(most), "most_servers")
		b.ReportMetric(float64(len(servers))/float64(len(live)), "mean_servers")
	})
	b.Run("dataCentre", func(b *testing.B) {
		for b.Loop() {
			for _, s := range servers {
				if s.dc == "dc-03" {
					p.Owner(s.name, s.dc, s.region)
				}
			}
		}
	})
}

// BenchmarkRenewal measures one renewal by number of groups: the sizes of its messages and
// the time of holder and granter together, including CBOR.
func BenchmarkRenewal(b *testing.B) {
	for _, groups := range []int{1, 3, 4, 10} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			now := time.Unix(1, 0)
			h, g := NewHolder("instance-0042.rennes-a", uint64(now.UnixMilli()), Config{}), NewGranter(Config{})
			for i := range groups {
				h.Want(fmt.Sprintf("database-%04d", i), 70_000)
			}
			var request, answer []byte
			for b.Loop() {
				now = now.Add(time.Second)
				req, _ := h.Request(now)
				request, _ = cbor.Marshal(req)
				var got Request
				require.NoError(b, cbor.Unmarshal(request, &got))
				answer, _ = cbor.Marshal(g.Grant(got, now))
				var a Answer
				require.NoError(b, cbor.Unmarshal(answer, &a))
				h.Answer(a, now)
			}
			b.ReportMetric(float64(len(request)), "request_bytes")
			b.ReportMetric(float64(len(answer)), "answer_bytes")
		})
	}
}

// BenchmarkGranter measures a table of 3,300 leases of 2,000 holders, as 2,000 of 3,000
// instances hold a lease: the encoded size of the table, the time to find expired leases,
// and the granter's part of one renewal, including CBOR.
func BenchmarkGranter(b *testing.B) {
	const leases, holders = 3300, 2000
	now := time.Unix(1, 0)
	g := NewGranter(Config{})
	all := make([]*Holder, holders)
	for i := range leases {
		if i < holders {
			all[i] = NewHolder(fmt.Sprintf("instance-%04d.rennes-a", i), uint64(now.UnixMilli()), Config{})
		}
		all[i%holders].Want(fmt.Sprintf("database-%04d", i), 70_000)
	}
	requests := make([][]byte, holders)
	size := 0
	for i, h := range all {
		req, _ := h.Request(now)
		g.Grant(req, now)
		requests[i], _ = cbor.Marshal(req)
		size += len(requests[i])
	}
	table, err := cbor.Marshal(g.Table(now))
	require.NoError(b, err)
	b.Run("expired", func(b *testing.B) {
		for b.Loop() {
			g.Expired(now)
		}
		b.ReportMetric(float64(len(table)), "table_bytes")
	})
	b.Run("renewal", func(b *testing.B) {
		i := 0
		for b.Loop() {
			i++
			var req Request
			require.NoError(b, cbor.Unmarshal(requests[i%holders], &req))
			_, _ = cbor.Marshal(g.Grant(req, now))
		}
		b.ReportMetric(float64(size)/holders, "request_bytes")
	})
}
