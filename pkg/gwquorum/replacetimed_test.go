package gwquorum_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// newTimedReplacement returns a group with a leader, the voter to be replaced by learner d, and
// the other voter.
func newTimedReplacement(t *testing.T, seed uint64) (c *timedCluster, leader *timedMember, replaced, other string) {
	c = newTimedClusterOf(seed, gwquorum.Members{Voters: threeVoters, Learners: []string{successor}})
	c.run(3*time.Second, c.client())
	leader = c.leader()
	require.NotNil(t, leader)
	for _, id := range threeVoters {
		switch {
		case id == leader.id:
		case replaced == "":
			replaced = id
		default:
			other = id
		}
	}
	return c, leader, replaced, other
}

func (c *timedCluster) replace(leader *timedMember, replaced string) error {
	return leader.node.ProposeChange(gwquorum.Change{Kind: gwquorum.Replace, Instance: successor, Replaced: replaced})
}

// Guards against a replacement that is begun although no quorum of the voters before it saves
// entries: the leader and the successor are one of those after it.
func TestReplaceNeedsOldQuorumWithDisks(t *testing.T) {
	for seed := range uint64(5) {
		c, l, replaced, other := newTimedReplacement(t, seed)
		l.sync = 100 * time.Millisecond // the leader waits longer for progress
		c.run(time.Second, c.client())
		c.members[other].sync = time.Hour
		for _, link := range c.linksOf(replaced) {
			link.cut = true
		}
		c.run(gwquorum.DefaultStallTimeout+200*time.Millisecond, c.client())
		require.Equal(t, gwquorum.Leader, l.node.Status().Role, "seed %d", seed)
		assert.Equal(t, gwquorum.KindNoQuorum, gwquorum.KindOf(c.replace(l, replaced)), "seed %d", seed)
		require.NoError(t, c.err, "seed %d", seed)
	}
}

// Guards against a replacement that stops a group in which quorums of the voters before and after
// it are connected, or that such a group does not end: over the faults of
// TestConnectedMajorityCommits right after the proposal.
func TestConnectedQuorumsFinishReplace(t *testing.T) {
	var slowest time.Duration
	replacements := 0
	for seed := range uint64(60) {
		c, l, replaced, other := newTimedReplacement(t, seed)
		require.NoError(t, c.replace(l, replaced), "seed %d", seed)
		c.disturb()
		connected := []string{l.id, other}
		if seed%2 == 0 {
			connected = c.heal()
		} else {
			c.healAmong(connected)
		}
		gap := c.longestGap(3 * commitTarget)
		assert.LessOrEqual(t, gap, commitTarget, "seed %d, connected %v", seed, connected)
		slowest = max(slowest, gap)
		leader := c.leader()
		require.NotNil(t, leader)
		st := leader.node.Status()
		assert.Empty(t, st.Outgoing, "seed %d", seed)
		if slices.Contains(st.Voters, successor) {
			replacements++
		}
		require.NoError(t, c.err, "seed %d", seed)
	}
	t.Logf("longest time without a commit: %v; replaced with %d of 60 seeds", slowest, replacements)
	assert.Greater(t, replacements, 30)
}
