package gwquorum_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwquorum"
)

func (c *cluster) mustChange(t *testing.T, change gwquorum.Change) {
	l := c.leader()
	require.NoError(t, l.node.ProposeChange(change))
	c.processReady(l.id)
	c.run(200 * time.Millisecond)
	require.NoError(t, c.err)
}

func (c *cluster) ranks() map[string]uint64 { return c.leader().node.Status().Ranks }

// Guards against a member that is taken for a new one: it lost its disk and returns under
// another identity, it was removed and returns, or it takes over from an older one.
func TestRanksOfMembers(t *testing.T) {
	c := newElectedCluster(t, 41, threeVoters, "d", "e")
	first := c.followers()[0]
	assert.Empty(t, c.ranks())
	at := c.lastCommitted + 1
	c.mustChange(t, gwquorum.Change{Kind: gwquorum.AddLearner, Instance: "d"})
	assert.Equal(t, map[string]uint64{"d": at}, c.ranks())

	// The first one gets another identity, and the earlier one is removed.
	zero := uint64(0)
	c.mustChange(t, gwquorum.Change{Kind: gwquorum.AddLearner, Instance: "e", Rank: &zero})
	c.mustChange(t, gwquorum.Change{Kind: gwquorum.Remove, Instance: first})
	assert.Equal(t, map[string]uint64{"d": at, "e": 0, first: 0}, c.ranks())
	c.mustChange(t, gwquorum.Change{Kind: gwquorum.AddLearner, Instance: first})
	assert.Equal(t, map[string]uint64{"d": at, "e": 0, first: 0}, c.ranks(), "the kept rank counts")

	c.mustChange(t, gwquorum.Change{Kind: gwquorum.Remove, Instance: "e", Heir: "d"})
	assert.Equal(t, map[string]uint64{"d": 0, "e": gwquorum.RankSucceeded, first: 0}, c.ranks())
	c.mustChange(t, gwquorum.Change{Kind: gwquorum.AddLearner, Instance: "e"})
	assert.Equal(t, uint64(gwquorum.RankSucceeded), c.ranks()["e"], "one that returns is not as old as its heir")
	c.mustChange(t, gwquorum.Change{Kind: gwquorum.Remove, Instance: "e"})
	later := uint64(500)
	c.mustChange(t, gwquorum.Change{Kind: gwquorum.AddLearner, Instance: "e", Rank: &later})
	c.mustChange(t, gwquorum.Change{Kind: gwquorum.Remove, Instance: "e", Heir: "d"})
	assert.Equal(t, map[string]uint64{"d": 0, "e": gwquorum.RankSucceeded, first: 0}, c.ranks(), "an heir keeps a smaller rank")
	for _, heir := range []string{first, "x"} {
		err := c.leader().node.ProposeChange(gwquorum.Change{Kind: gwquorum.Remove, Instance: first, Heir: heir})
		assert.Equal(t, gwquorum.KindInvalid, gwquorum.KindOf(err), heir)
	}

	// Ranks survive a restart of all members from snapshots, and a replacement.
	want := c.ranks()
	for _, id := range threeVoters {
		c.compact(id)
		c.crash(id, false)
		c.start(id)
	}
	c.run(2 * time.Second)
	assert.Equal(t, want, c.ranks())
	c.ranks()["d"] = 7
	assert.Equal(t, want, c.ranks(), "a status must not share the ranks")
	assert.Equal(t, want, c.members["d"].node.Status().Ranks)
}

// Guards against ranks of former members that grow without bound: every instance that loses its
// disk leaves an identity.
func TestFewFormerRanksAreKept(t *testing.T) {
	c := newElectedCluster(t, 42, threeVoters, "d")
	c.mustChange(t, gwquorum.Change{Kind: gwquorum.AddLearner, Instance: "d"})
	member := c.ranks()["d"]
	for i := range 40 {
		rank := uint64(1000 + i)
		id := fmt.Sprint("x", i)
		c.mustChange(t, gwquorum.Change{Kind: gwquorum.AddLearner, Instance: id, Rank: &rank})
		c.mustChange(t, gwquorum.Change{Kind: gwquorum.Remove, Instance: id})
	}
	want := map[string]uint64{"d": member}
	for i := 8; i < 40; i++ {
		want[fmt.Sprint("x", i)] = uint64(1000 + i)
	}
	assert.Equal(t, want, c.ranks())
}

// Guards against the loss of the rank of an old member: one that is removed after many others, and
// returns, would be the youngest of all and be taken for the successor of its own successor.
func TestRankOfAnOldMemberIsKept(t *testing.T) {
	c := newElectedCluster(t, 43, threeVoters, "d")
	first := c.followers()[0]
	c.mustChange(t, gwquorum.Change{Kind: gwquorum.AddLearner, Instance: "d"})
	c.mustChange(t, gwquorum.Change{Kind: gwquorum.Replace, Instance: "d", Replaced: first})
	for i := range 40 {
		id := fmt.Sprint("x", i)
		c.mustChange(t, gwquorum.Change{Kind: gwquorum.AddLearner, Instance: id})
		c.mustChange(t, gwquorum.Change{Kind: gwquorum.Remove, Instance: id})
	}
	c.mustChange(t, gwquorum.Change{Kind: gwquorum.Remove, Instance: first})
	c.mustChange(t, gwquorum.Change{Kind: gwquorum.AddLearner, Instance: first})
	assert.Less(t, c.ranks()[first], c.ranks()["d"], "%s is older than d", first)
}
