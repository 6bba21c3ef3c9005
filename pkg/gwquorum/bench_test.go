package gwquorum_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// benchmarkPropose commits lease grants on three nodes with MemoryFS and the state
// machine. The leader proposes batch of them before messages are delivered; snapshots
// are taken every 4,096 entries.
func benchmarkPropose(b *testing.B, batch int) {
	c := newCluster(1, []string{"a", "b", "c"})
	c.defaultLimits = true
	for _, id := range c.ids {
		c.crash(id, false)
		c.start(id)
	}
	c.run(time.Second)
	l := c.leader()
	require.NotNil(b, l)
	data := c.command("instance")
	proposed, compacted := 0, uint64(0)
	for b.Loop() {
		_, _, err := l.node.Propose(data)
		require.NoError(b, err)
		if proposed++; proposed%batch != 0 {
			continue
		}
		c.processReady(l.id)
		c.deliver()
		if l.applied >= compacted+4096 {
			for _, id := range c.ids {
				c.compact(id)
			}
			clear(c.committed)
			compacted = l.applied
		}
	}
	b.ReportMetric(float64(len(data)), "B/proposal")
	b.ReportMetric(float64(proposed)/b.Elapsed().Seconds(), "proposals/s")
	require.NoError(b, c.err)
}

func BenchmarkPropose1(b *testing.B)  { benchmarkPropose(b, 1) }
func BenchmarkPropose64(b *testing.B) { benchmarkPropose(b, 64) }

// BenchmarkReadIndex64 confirms reads by a quorum, 64 per confirmation round.
func BenchmarkReadIndex64(b *testing.B) {
	c := newCluster(1, []string{"a", "b", "c"})
	c.run(time.Second)
	l := c.leader()
	asked := 0
	for b.Loop() {
		asked++
		require.NoError(b, l.node.ReadIndex(uint64(asked)+1_000_000))
		if asked%64 == 0 {
			c.processReady(l.id)
			c.deliver()
			clear(c.answered)
		}
	}
	require.NoError(b, c.err)
}
