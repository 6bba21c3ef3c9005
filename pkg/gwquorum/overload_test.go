package gwquorum_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// publisher proposes an entry again and again until one is committed in time, as a caller of
// the leader does.
type publisher struct {
	size     int
	index    uint64 // of the open proposal, 0 if there is none
	proposed time.Time
	inTime   int // proposals that were committed within callTimeout
}

// callTimeout is the time that a caller gives the leader for an answer.
const callTimeout = 700 * time.Millisecond

// step gives up a proposal after callTimeout, records a committed one and makes the next.
func (p *publisher) step(c *timedCluster, n *gwquorum.Node) {
	switch {
	case p.index > 0 && n.Status().Commit >= p.index:
		p.inTime++
	case p.index > 0 && c.now.Sub(p.proposed) < callTimeout:
		return
	}
	p.index, p.proposed = 0, c.now
	if index, _, err := n.Propose(make([]byte, p.size)); err == nil {
		p.index = index
	}
}

// Guards against a leader that accepts more than its links carry, so that every configuration
// and every lease is committed only after its caller has given up and proposed it again.
func TestOverloadIsRefused(t *testing.T) {
	c := newTimedCluster(6, "a", "b", "c")
	c.run(2*time.Second, nil)
	l := c.leader()
	require.NotNil(t, l)
	publishers := make([]publisher, 40)
	for i := range publishers {
		publishers[i].size = 256 << 10
		if i >= 20 {
			publishers[i].size = 200
		}
	}
	term := l.node.Status().Term
	c.run(20*time.Second, func() {
		l.calls = append(l.calls, func(n *gwquorum.Node) {
			for i := range publishers {
				publishers[i].step(c, n)
			}
		})
	})
	large, small := 0, 0
	for i, p := range publishers {
		if i < 20 {
			large += p.inTime
		} else {
			small += p.inTime
		}
	}
	assert.Greater(t, large, 200, "configurations committed in time, of 15 a second that the links carry")
	assert.Greater(t, small, 500, "small entries committed in time")
	assert.Equal(t, term, l.node.Status().Term, "no change of leader")
	require.NoError(t, c.err)
}
