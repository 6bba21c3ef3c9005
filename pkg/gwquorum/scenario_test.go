package gwquorum_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var three = []string{"a", "b", "c"}

// Guards against a group that does not elect, replicate or survive restarts.
func TestElectReplicateRestart(t *testing.T) {
	c := newCluster(1, three)
	c.run(time.Second)
	require.NotNil(t, c.leader())
	for range 20 {
		require.NoError(t, c.propose(c.leader().id))
	}
	c.run(100 * time.Millisecond)
	assert.GreaterOrEqual(t, c.last, uint64(21))
	for _, id := range three {
		assert.Equal(t, c.last, c.members[id].applied)
		c.crash(id, false)
	}
	for _, id := range three {
		c.start(id)
	}
	last := c.last
	c.run(2 * time.Second)
	require.NotNil(t, c.leader())
	for _, id := range three {
		assert.Greater(t, c.members[id].applied, last)
	}
	require.NoError(t, c.err)
}
