package gwquorum_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// Guards against a learner that names a lost leader until the next one is elected, and
// forwards reads to it (issue 39).
func TestLearnerForgetsLostLeader(t *testing.T) {
	c := newElectedCluster(t, 21, threeVoters, "d")
	require.NoError(t, c.change(gwquorum.AddLearner, "d"))
	c.run(200 * time.Millisecond)
	lost := c.leader().id
	require.Equal(t, lost, c.members["d"].node.Status().Leader)

	others := c.followers()
	for _, id := range threeVoters {
		c.crash(id, false)
	}
	c.run(2 * gwquorum.DefaultElectionTimeout)
	status := c.members["d"].node.Status()
	assert.Equal(t, []any{"", gwquorum.Follower}, []any{status.Leader, status.Role})
	_, err := c.read("d")
	assert.Equal(t, gwquorum.KindNotLeader, gwquorum.KindOf(err))

	for _, id := range others {
		c.start(id)
	}
	c.run(2 * time.Second)
	require.NotNil(t, c.leader())
	assert.Equal(t, c.leader().id, c.members["d"].node.Status().Leader)
	assert.Equal(t, status.Term, c.leader().node.Status().Term-1, "the learner must not have started elections")
	read, err := c.read("d")
	require.NoError(t, err)
	c.run(time.Second)
	assert.False(t, c.answered[read].Failed)
	assert.Equal(t, c.lastCommitted, c.members["d"].applied)
	require.NoError(t, c.err)
}
