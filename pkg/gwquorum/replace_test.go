package gwquorum_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// replacement is a group of three voters and a learner that has caught up, before a change that
// turns the learner into a voter in place of one of them.
type replacement struct {
	*cluster
	leader, replaced, other string // the first voters
}

const successor = "d"

func newReplacement(t *testing.T, seed uint64) replacement {
	c := newElectedCluster(t, seed, threeVoters, successor)
	require.NoError(t, c.change(gwquorum.AddLearner, successor))
	c.run(500 * time.Millisecond)
	others := slices.DeleteFunc(c.followers(), func(id string) bool { return id == successor })
	return replacement{cluster: c, leader: c.leader().id, replaced: others[0], other: others[1]}
}

// proposeIt proposes the replacement and an entry after it.
func (r replacement) proposeIt(t *testing.T) {
	change := gwquorum.Change{Kind: gwquorum.Replace, Instance: successor, Replaced: r.replaced}
	require.NoError(t, r.members[r.leader].node.ProposeChange(change))
	r.processReady(r.leader)
	require.NoError(t, r.propose(r.leader))
}

// deliverAmong delivers the messages among the given members, in order, and drops the others.
func (r replacement) deliverAmong(ids ...string) {
	for len(r.network) > 0 {
		msg := r.network[0]
		r.network = r.network[1:]
		if slices.Contains(ids, msg.From) && slices.Contains(ids, msg.To) {
			r.step(msg)
		}
	}
}

func (r replacement) crashAll(ids ...string) {
	for _, id := range ids {
		r.crash(id, false)
	}
}

// requireReplaced requires a leader that commits, and the end of the replacement.
func (r replacement) requireReplaced(t *testing.T, msg string) {
	l := r.cluster.leader()
	require.NotNil(t, l, msg)
	last := r.lastCommitted
	require.NoError(t, r.propose(l.id), msg)
	r.run(200 * time.Millisecond)
	require.Greater(t, r.lastCommitted, last, msg)
	st := l.node.Status()
	require.ElementsMatch(t, []string{r.leader, r.other, successor}, st.Voters, msg)
	require.Equal(t, []string{r.replaced}, st.Learners, msg)
	require.Empty(t, st.Outgoing, msg)
	require.NotEqual(t, r.replaced, l.id, msg)
	require.NoError(t, r.err, msg)
}

// Guards against a replacement that needs more members than a quorum of the voters before and
// one of those after it (issue 36: between promotion and removal, three of four were needed).
func TestReplaceNeedsQuorumsOnly(t *testing.T) {
	for _, tt := range []struct {
		name                        string
		replacedGone, successorGone bool
		paused                      bool // instead of gone, for the successor
	}{
		{name: "all answer"},
		{name: "replaced voter is gone", replacedGone: true},
		{name: "replaced voter is gone, successor ends", replacedGone: true, successorGone: true},
		{name: "replaced voter is gone, successor is paused", replacedGone: true, successorGone: true, paused: true},
		{name: "replaced voter answers, successor ends", successorGone: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newReplacement(t, 31)
			if tt.replacedGone {
				r.crash(r.replaced, false)
				r.run(time.Second)
				require.Equal(t, r.leader, r.cluster.leader().id)
			}
			r.proposeIt(t)
			switch {
			case tt.paused:
				r.paused[successor] = true
			case tt.successorGone:
				r.crash(successor, false)
			}
			term := r.cluster.leader().node.Status().Term
			r.deliver() // no time passes
			r.requireReplaced(t, tt.name)
			r.run(3 * time.Second)
			assert.Equal(t, term, r.cluster.leader().node.Status().Term, "the leader must keep its quorum")
		})
	}
}

// Guards against a replacement in which the loss of a member at any point stops the group
// although quorums of both memberships are left, or loses committed entries.
func TestLossDuringReplace(t *testing.T) {
	const points = 40
	for _, tt := range []struct {
		name   string
		losses func(r replacement) []string
	}{
		{"leader", func(r replacement) []string { return []string{r.leader} }},
		{"other voter", func(r replacement) []string { return []string{r.other} }},
		{"successor", func(r replacement) []string { return []string{successor} }},
		{"successor and replaced voter", func(r replacement) []string { return []string{successor, r.replaced} }},
		{"replaced voter", func(r replacement) []string { return []string{r.replaced} }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			undone := 0
			for point := range 2 * points {
				at := fmt.Sprint("point ", point)
				r := newReplacement(t, 32)
				r.proposeIt(t)
				r.deliverSome(point / 2)
				r.crashAll(tt.losses(r)...)
				if point%2 == 1 {
					r.network = nil
				}
				r.run(3 * time.Second)
				l := r.cluster.leader()
				require.NotNil(t, l, at)
				last := r.lastCommitted
				require.NoError(t, r.propose(l.id), at)
				r.run(200 * time.Millisecond)
				require.Greater(t, r.lastCommitted, last, at)
				for _, id := range r.ids {
					r.start(id)
				}
				r.run(3 * time.Second)
				if st := r.cluster.leader().node.Status(); slices.Contains(st.Voters, r.replaced) {
					undone++
					require.ElementsMatch(t, threeVoters, st.Voters, at)
					require.Empty(t, st.Outgoing, at)
					require.NoError(t, r.err, at)
					continue
				}
				r.requireReplaced(t, at)
			}
			t.Logf("undone at %d of %d points", undone, 2*points)
			assert.Less(t, undone, points/4)
		})
	}
}

func (c *cluster) deliverSome(messages int) {
	for range messages {
		if len(c.network) > 0 {
			msg := c.network[0]
			c.network = c.network[1:]
			c.step(msg)
		}
	}
}

// Guards against a group that does not continue a replacement from its saved state, with and
// without a snapshot, and with the replaced voter gone for good.
func TestRestartDuringReplace(t *testing.T) {
	const points = 40
	joint := 0
	for point := range points {
		for _, compact := range []bool{false, true} {
			for _, gone := range []bool{false, true} {
				at := fmt.Sprintf("point %d, compact %v, gone %v", point, compact, gone)
				r := newReplacement(t, 33)
				r.proposeIt(t)
				r.deliverSome(point)
				for _, id := range r.ids {
					if compact {
						r.compact(id)
					}
					if len(r.members[id].node.Status().Outgoing) > 0 {
						joint++
					}
				}
				r.crashAll(r.ids...)
				r.network = nil
				for _, id := range r.ids {
					if !gone || id != r.replaced {
						r.start(id)
					}
				}
				r.run(3 * time.Second)
				l := r.cluster.leader()
				require.NotNil(t, l, at)
				if slices.Contains(l.node.Status().Voters, r.replaced) {
					require.Less(t, point, points/4, at)
					require.Empty(t, l.node.Status().Outgoing, at)
					require.NoError(t, r.err, at)
					continue
				}
				r.requireReplaced(t, at)
			}
		}
	}
	assert.Positive(t, joint, "no member restarts during the replacement")
}

// Guards against a replacement that nobody ends because all members have it from a snapshot.
func TestReplaceFromSnapshot(t *testing.T) {
	members := gwquorum.Members{Voters: []string{"a", "b", "d"}, Learners: []string{"c"}, Outgoing: threeVoters}
	for _, gone := range []string{"", "a", "b", "c", "d"} {
		c := newCluster(34, nil, "a", "b", "c", "d")
		for _, id := range c.ids {
			c.crash(id, false)
			c.bootstrapFrom(c.members[id], gwquorum.HardState{Term: 3, Commit: 7}, gwquorum.Snapshot{Index: 7, Term: 3, Members: members})
			if id != gone {
				c.start(id)
			}
		}
		c.run(3 * time.Second)
		r := replacement{cluster: c, leader: "a", replaced: "c", other: "b"}
		r.requireReplaced(t, "gone: "+gone)
	}
}

// Guards against a group without a leader when the replaced voter is the only one that can be
// elected, and against one that it goes on leading.
func TestReplacedVoterIsElected(t *testing.T) {
	r := newReplacement(t, 35)
	r.proposeIt(t)
	r.deliverAmong(r.leader, r.replaced)
	r.crash(r.leader, false)
	r.run(3 * time.Second)
	assert.Contains(t, slices.Collect(maps.Values(r.leaders)), r.replaced, "the replaced voter was not elected")
	r.requireReplaced(t, "leader is gone")
}

// Guards against a group without a leader after a replaced voter has ended its replacement as
// the leader, and restarts before anyone else knows: the only other one with a vote in both
// memberships that is left lacks its last entry.
func TestReplacedVoterIsElectedAgain(t *testing.T) {
	r := newReplacement(t, 36)
	r.proposeIt(t)
	r.deliverAmong(r.leader, r.replaced)
	r.crash(r.leader, false)
	replaced := r.members[r.replaced]
	for i := 0; len(replaced.node.Status().Outgoing) > 0; i++ {
		require.Less(t, i, 10_000, "the replaced voter did not end the replacement")
		if len(r.network) == 0 {
			r.tick()
			continue
		}
		r.deliverSome(1)
	}
	require.Equal(t, gwquorum.Leader, replaced.node.Status().Role)
	r.crash(r.replaced, false)
	r.network = nil
	r.start(r.replaced)
	require.Empty(t, replaced.node.Status().Outgoing)
	r.run(3 * time.Second)
	r.requireReplaced(t, "first leader is gone")
}

// Guards against a replaced voter without a connection that deposes a working leader when it
// returns.
func TestReplacedVoterDoesNotDisturb(t *testing.T) {
	r := newReplacement(t, 37)
	r.isolated[r.replaced] = true
	r.proposeIt(t)
	r.run(5 * time.Second)
	before := r.cluster.leader().node.Status()
	require.True(t, slices.Contains(r.members[r.replaced].node.Status().Voters, r.replaced), "it must not know of its replacement")
	clear(r.isolated)
	r.run(2 * time.Second)
	after := r.cluster.leader().node.Status()
	assert.Equal(t, []any{before.Term, before.ID}, []any{after.Term, after.ID})
	assert.Equal(t, r.lastCommitted, r.members[r.replaced].applied, "a replaced voter still gets the log")
	r.requireReplaced(t, "replaced voter returns")
}

// Guards against replacements that would leave the leader without a vote, that need members
// which have not caught up or do not answer, and against other changes at the same time.
func TestReplaceRefusals(t *testing.T) {
	r := newReplacement(t, 38)
	l := r.members[r.leader].node
	change := func(replaced, instance string) gwquorum.ErrorKind {
		return gwquorum.KindOf(l.ProposeChange(gwquorum.Change{Kind: gwquorum.Replace, Instance: instance, Replaced: replaced}))
	}
	assert.Equal(t, gwquorum.KindInvalid, change(r.leader, successor), "the leader")
	assert.Equal(t, gwquorum.KindInvalid, change(successor, successor), "a learner cannot be replaced")
	assert.Equal(t, gwquorum.KindInvalid, change("", successor), "nobody to replace")
	assert.Equal(t, gwquorum.KindInvalid, change(r.replaced, r.other), "the successor is a voter")
	assert.Equal(t, gwquorum.KindInvalid, change(r.replaced, "e"), "the successor is no member")

	r.crash(successor, false)
	r.run(time.Second)
	assert.Equal(t, gwquorum.KindNotCaughtUp, change(r.replaced, successor))
	r.start(successor)
	r.run(time.Second)

	r.proposeIt(t)
	assert.Equal(t, threeVoters, l.Status().Outgoing)
	assert.Equal(t, gwquorum.KindPending, change(r.other, r.replaced))
	assert.Equal(t, gwquorum.KindPending, gwquorum.KindOf(r.change(gwquorum.AddLearner, "e")))
	assert.Equal(t, gwquorum.KindInvalid, gwquorum.KindOf(l.TransferLeadership(r.replaced)), "it is about to lose its vote")
	r.run(time.Second)
	assert.Equal(t, gwquorum.KindInvalid, gwquorum.KindOf(l.TransferLeadership(r.replaced)), "it has lost its vote")
	r.requireReplaced(t, "after refusals")
}
