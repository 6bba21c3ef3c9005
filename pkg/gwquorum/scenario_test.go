package gwquorum_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/pkg/gwquorum"
)

var threeVoters = []string{"a", "b", "c"}

// Guards against a group that cannot elect a leader, replicate or survive restarts.
func TestElectReplicateRestart(t *testing.T) {
	c := newCluster(1, threeVoters)
	c.run(time.Second)
	require.NotNil(t, c.leader())
	for range 20 {
		require.NoError(t, c.propose(c.leader().id))
	}
	c.run(100 * time.Millisecond)
	assert.GreaterOrEqual(t, c.lastCommitted, uint64(21))
	for _, id := range threeVoters {
		assert.Equal(t, c.lastCommitted, c.members[id].applied)
		c.crash(id, false)
	}
	for _, id := range threeVoters {
		c.start(id)
	}
	last := c.lastCommitted
	c.run(2 * time.Second)
	require.NotNil(t, c.leader())
	for _, id := range threeVoters {
		assert.Greater(t, c.members[id].applied, last)
	}
	require.NoError(t, c.err)
}

// newElectedCluster returns a cluster with a leader and some committed entries.
func newElectedCluster(t *testing.T, seed uint64, first []string, later ...string) *cluster {
	c := newCluster(seed, first, later...)
	c.run(time.Second)
	require.NotNil(t, c.leader())
	for range 10 {
		require.NoError(t, c.propose(c.leader().id))
	}
	c.run(200 * time.Millisecond)
	return c
}

// followers returns the running members except the leader, in order.
func (c *cluster) followers() []string {
	var ids []string
	for _, id := range c.ids {
		if l := c.leader(); id != l.id && c.members[id].node != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// Guards against a stale leader, paused or isolated for a long time, that answers reads or
// commits entries when it returns.
func TestReturnedLeaderCannotAnswer(t *testing.T) {
	for _, paused := range []bool{true, false} {
		c := newElectedCluster(t, 2, threeVoters)
		old := c.leader()
		c.isolated[old.id], c.paused[old.id] = true, paused
		c.run(2 * time.Second)
		if !paused {
			assert.NotEqual(t, gwquorum.Leader, old.node.Status().Role, "a leader without a quorum must step down")
		}
		require.NotEqual(t, old.id, c.leader().id)
		require.NoError(t, c.propose(c.leader().id))
		c.run(200 * time.Millisecond)
		last := c.lastCommitted

		clear(c.paused)
		clear(c.isolated)
		if paused {
			require.Equal(t, gwquorum.Leader, old.node.Status().Role)
		}
		read, readErr := c.read(old.id)
		proposeErr := c.propose(old.id)
		assert.Equal(t, last, c.lastCommitted, "nothing may commit before replies arrive")
		c.run(time.Second)
		if readErr == nil {
			r := c.answered[read]
			assert.True(t, r.Failed || r.Index >= last, "read %v", r)
		}
		if !paused {
			require.Error(t, proposeErr)
		}
		assert.Equal(t, gwquorum.Follower, old.node.Status().Role)
		require.NoError(t, c.err)
	}
}

// Guards against an answer to a read that a follower forwards to a stale leader: both were
// isolated from the other voters, which meanwhile elected a new leader.
func TestReturnedFollowerCannotAnswer(t *testing.T) {
	c := newElectedCluster(t, 3, []string{"a", "b", "c", "d", "e"})
	old := c.leader()
	follower := c.followers()[0]
	c.isolated[old.id], c.paused[old.id] = true, true
	c.isolated[follower], c.paused[follower] = true, true
	c.run(2 * time.Second)
	require.NoError(t, c.propose(c.leader().id))
	c.run(200 * time.Millisecond)

	// Both resume and can reach only each other.
	clear(c.paused)
	clear(c.isolated)
	for _, id := range c.ids {
		c.isolated[id] = id != old.id && id != follower
	}
	read, err := c.read(follower)
	require.NoError(t, err)
	c.run(time.Second)
	assert.True(t, c.answered[read].Failed, "the read must fail without a quorum")
	clear(c.isolated)
	c.run(time.Second)
	read, err = c.read(follower)
	require.NoError(t, err)
	c.run(time.Second)
	assert.False(t, c.answered[read].Failed)
	require.NoError(t, c.err)
}

// Guards against an isolated follower that increments its term and deposes a working
// leader when it returns.
func TestReturnedFollowerDoesNotDisturb(t *testing.T) {
	c := newElectedCluster(t, 4, threeVoters)
	before := c.leader().node.Status()
	away := c.followers()[0]
	c.isolated[away] = true
	c.run(10 * time.Second)
	assert.Equal(t, before.Term, c.members[away].node.Status().Term)
	// The follower returns just when it requests pre-votes.
	asks := func(m gwquorum.Message) bool { return m.From == away && m.Kind == gwquorum.MessagePreVote }
	for !slices.ContainsFunc(c.network, asks) {
		c.deliver()
		c.tick()
	}
	c.network = slices.DeleteFunc(c.network, func(m gwquorum.Message) bool { return !asks(m) })
	clear(c.isolated)
	c.run(time.Second)
	after := c.leader().node.Status()
	assert.Equal(t, []any{before.Term, before.ID}, []any{after.Term, after.ID})
	assert.Equal(t, c.lastCommitted, c.members[away].applied)
	require.NoError(t, c.err)
}

// Guards against losing committed entries or the quorum when a lost voter is replaced and
// a second of the original voters is lost at any point of the replacement.
func TestSecondLossRightAfterRepair(t *testing.T) {
	for point := range 40 {
		for _, loseLeader := range []bool{true, false} {
			c := newElectedCluster(t, 5, threeVoters, "d")
			lost := c.followers()[0]
			c.crash(lost, false)
			c.run(500 * time.Millisecond)
			require.NoError(t, c.change(gwquorum.Remove, lost))
			c.run(200 * time.Millisecond)
			require.NoError(t, c.change(gwquorum.AddLearner, "d"))
			c.run(200 * time.Millisecond)
			require.NoError(t, c.change(gwquorum.Promote, "d"))
			require.NoError(t, c.propose(c.leader().id))
			for range point {
				if len(c.network) > 0 {
					c.step(c.network[0])
					c.network = c.network[1:]
				}
			}
			second := c.leader().id
			if !loseLeader {
				second = c.followers()[0]
			}
			if second == "d" {
				second = c.followers()[1]
			}
			c.crash(second, false)
			last := c.lastCommitted
			c.run(3 * time.Second)
			if point == 39 { // the replacement is complete
				require.NotNil(t, c.leader(), "the group must survive a second loss")
				require.NoError(t, c.propose(c.leader().id))
				c.run(200 * time.Millisecond)
				assert.Greater(t, c.lastCommitted, last, "the group must survive a second loss")
			}
			c.start(second)
			c.run(3 * time.Second)
			require.NoError(t, c.err, "point %d", point)
			require.Equal(t, c.lastCommitted, c.members["d"].applied)
		}
	}
}

// Guards against promoting a learner that has not synced the log and against counting a
// learner for a quorum.
func TestLearnerPromotion(t *testing.T) {
	c := newElectedCluster(t, 6, threeVoters, "d")
	c.crash("d", false)
	require.NoError(t, c.change(gwquorum.AddLearner, "d"))
	c.run(200 * time.Millisecond)
	assert.Equal(t, gwquorum.KindNotCaughtUp, gwquorum.KindOf(c.change(gwquorum.Promote, "d")))

	c.start("d")
	c.members["d"].fs.SetFault(func(op gwstore.Op, _ string) error {
		if op == gwstore.OpSync {
			return gwstore.ErrFull
		}
		return nil
	})
	c.run(200 * time.Millisecond)
	assert.Nil(t, c.members["d"].node, "a node whose sync failed is discarded")
	assert.Equal(t, gwquorum.KindNotCaughtUp, gwquorum.KindOf(c.change(gwquorum.Promote, "d")), "unsynced entries do not count")

	c.start("d")
	c.run(500 * time.Millisecond)
	l := c.leader()
	for _, id := range c.followers() {
		c.isolated[id] = id != "d"
	}
	last := c.lastCommitted
	require.NoError(t, c.propose(l.id))
	c.deliver()
	assert.Equal(t, last, c.lastCommitted, "the leader and a learner are not a quorum")
	clear(c.isolated)
	c.run(time.Second)
	require.NoError(t, c.change(gwquorum.Promote, "d"))
	c.run(200 * time.Millisecond)
	assert.Equal(t, []string{"a", "b", "c", "d"}, c.leader().node.Status().Voters)
	require.NoError(t, c.err)
}

// Guards against a removal that leaves a group without a quorum and against two
// concurrent membership changes.
func TestChangeRefusals(t *testing.T) {
	c := newElectedCluster(t, 7, threeVoters, "d")
	c.crash(c.followers()[0], false)
	c.run(400 * time.Millisecond)
	alive := c.followers()[0]
	assert.Equal(t, gwquorum.KindNoQuorum, gwquorum.KindOf(c.change(gwquorum.Remove, alive)))
	require.NoError(t, c.change(gwquorum.AddLearner, "d"))
	assert.Equal(t, gwquorum.KindPending, gwquorum.KindOf(c.change(gwquorum.AddLearner, "e")))
	assert.Equal(t, gwquorum.KindNotLeader, gwquorum.KindOf(c.propose(alive)))
	require.NoError(t, c.err)
}

// Guards against a leadership transfer that takes an election timeout, which would delay
// a planned stop.
func TestTransferLeadership(t *testing.T) {
	c := newElectedCluster(t, 8, threeVoters)
	old := c.leader()
	require.NoError(t, c.propose(old.id))
	require.NoError(t, old.node.TransferLeadership(""))
	c.processReady(old.id)
	assert.Equal(t, gwquorum.KindPending, gwquorum.KindOf(c.propose(old.id)))
	c.deliver() // no time passes
	require.NotEqual(t, old.id, c.leader().id)
	require.NoError(t, c.propose(c.leader().id))
	c.deliver()
	assert.Equal(t, c.lastCommitted, c.leader().applied)
	require.NoError(t, c.err)
}

// Guards against a leadership transfer to a voter that lacks entries and therefore loses
// the election.
func TestTransferWaitsForLog(t *testing.T) {
	c := newElectedCluster(t, 11, threeVoters)
	target := c.followers()[0]
	require.NoError(t, c.propose(c.leader().id))
	c.network = slices.DeleteFunc(c.network, func(m gwquorum.Message) bool { return m.To == target })
	require.NoError(t, c.leader().node.TransferLeadership(target))
	c.processReady(c.leader().id)
	c.run(200 * time.Millisecond)
	require.NotNil(t, c.leader())
	assert.Equal(t, target, c.leader().id)
	require.NoError(t, c.err)
}

// Guards against sending several snapshots to a returning member: one that missed hundreds
// of entries gets one snapshot and the entries after it.
func TestSnapshotCatchesUp(t *testing.T) {
	c := newElectedCluster(t, 9, threeVoters)
	away := c.followers()[0]
	c.crash(away, false)
	for range 500 {
		require.NoError(t, c.propose(c.leader().id))
		c.deliver()
	}
	c.compact(c.leader().id)
	c.start(away)
	snapshots := 0
	for range 40 {
		for _, m := range c.network {
			if m.Kind == gwquorum.MessageSnapshot {
				snapshots++
			}
		}
		c.deliver()
		c.tick()
	}
	assert.Equal(t, 1, snapshots)
	assert.Equal(t, c.lastCommitted, c.members[away].applied)
	require.NoError(t, c.err)
}

// Guards against losing a vote or an entry in a crash between two disk operations: in each
// run, the disk of a member fails from a later operation on.
func TestCrashAtEachDiskOperation(t *testing.T) {
	for _, torn := range []bool{false, true} {
		for _, id := range threeVoters {
			operations := 0
			for stop := 0; stop <= operations; stop++ {
				c := newCluster(10, threeVoters)
				m, count := c.members[id], 0
				m.fs.SetFault(func(gwstore.Op, string) error {
					if count++; count > stop && stop > 0 {
						return gwstore.ErrFull
					}
					return nil
				})
				for i := range 12 {
					c.run(100 * time.Millisecond)
					if l := c.leader(); l != nil {
						_ = c.propose(l.id)
					}
					if i%4 == 3 {
						c.compact(id)
					}
				}
				if stop == 0 {
					operations = count
					require.Greater(t, operations, 20)
				}
				c.crash(id, torn)
				c.start(id)
				c.recover(t)
			}
		}
	}
}

// Guards against elections that exceed the target of 1 s after the leader is lost, with a
// one-way message delay of 30 ms.
func TestElectionWithinTarget(t *testing.T) {
	const target = time.Second
	for _, voters := range [][]string{threeVoters, {"a", "b", "c", "d", "e"}} {
		var slowest time.Duration
		for seed := range uint64(150) {
			c := newCluster(seed, voters)
			c.interval, c.delay = 5*time.Millisecond, 30*time.Millisecond
			c.run(2*time.Second + time.Duration(seed)*3*time.Millisecond)
			old := c.leader()
			require.NotNil(t, old)
			c.crash(old.id, false)
			lost := c.now
			for c.leader() == nil && c.now.Sub(lost) < 10*target {
				c.run(c.interval)
			}
			slowest = max(slowest, c.now.Sub(lost))
		}
		t.Logf("slowest election of %d voters: %v", len(voters), slowest)
		assert.LessOrEqual(t, slowest, target)
	}
}
