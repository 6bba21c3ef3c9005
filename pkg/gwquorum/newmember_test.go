package gwquorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// catchUp is the shortest time after which users let the next disk be lost.
const catchUp = 4 * time.Second

// add starts an empty member.
func (c *timedCluster) add(id string) {
	for _, other := range append(c.ids, id) {
		c.links[[2]string{id, other}], c.links[[2]string{other, id}] = healthyLink(), healthyLink()
	}
	c.ids = append(c.ids, id)
	c.members[id] = &timedMember{id: id, sync: 5 * time.Millisecond}
	c.restart(id)
}

// write proposes n entries of a size, one each interval, and compacts logs as the driver does.
func (c *timedCluster) write(n, size int, interval time.Duration) {
	for range n {
		c.propose(size)
		c.run(interval, func() { c.compact(size) })
	}
}

// compactBytes is the size of the log at which the driver takes a snapshot.
const compactBytes = 512 << 10

func (c *timedCluster) compact(size int) {
	for _, id := range c.ids {
		m := c.members[id]
		if st := m.node.Status(); m.saving == nil && int(st.Applied-st.Snapshot)*size >= compactBytes && st.Applied <= st.Synced {
			_ = m.node.Compact(st.Applied, make([]byte, c.stateBytes))
			c.processReady(m)
		}
	}
}

// replaceByNew adds a member and makes it a voter in place of another one. It returns how long that took.
func (c *timedCluster) replaceByNew(id, replaced string, limit time.Duration, during func()) (time.Duration, bool) {
	began := c.now
	c.add(id)
	for c.now.Sub(began) < limit {
		c.members[c.leader().id].calls = append(c.members[c.leader().id].calls, func(n *gwquorum.Node) {
			if slices.Contains(n.Status().Learners, id) {
				_ = n.ProposeChange(gwquorum.Change{Kind: gwquorum.Replace, Instance: id, Replaced: replaced})
			} else {
				_ = n.ProposeChange(gwquorum.Change{Kind: gwquorum.AddLearner, Instance: id})
			}
		})
		c.run(20*time.Millisecond, during)
		if st := c.members[id].node.Status(); slices.Contains(st.Voters, id) && len(st.Outgoing) == 0 {
			return c.now.Sub(began), true
		}
	}
	return limit, false
}

// Guards against a new member that is sent the history of the log instead of the state, and has no
// vote when the next disk may be lost.
func TestNewMemberVotesWhateverTheHistory(t *testing.T) {
	const entry = 60 << 10
	for _, tt := range []struct {
		name     string
		history  int // entries before the member starts
		state    int // bytes of a snapshot
		interval time.Duration
		sync     time.Duration
		steady   bool // entries are written while the member catches up
	}{
		{"no history", 0, 100 << 10, 0, 5 * time.Millisecond, false},
		{"a short one", 8, 100 << 10, 100 * time.Millisecond, 5 * time.Millisecond, false},
		{"a long one", 300, 100 << 10, 100 * time.Millisecond, 5 * time.Millisecond, false},
		{"a longer one than is kept in memory", 1100, 100 << 10, 50 * time.Millisecond, 5 * time.Millisecond, false},
		{"a long one beside writes", 300, 100 << 10, 100 * time.Millisecond, 5 * time.Millisecond, true},
		{"a long one with a large state", 300, 2 << 20, 100 * time.Millisecond, 5 * time.Millisecond, true},
		{"a long one with slow disks", 300, 500 << 10, 200 * time.Millisecond, 150 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newTimedCluster(11, "a", "b", "c")
			c.stateBytes = tt.state
			for _, m := range c.members {
				m.sync = tt.sync
			}
			c.run(3*time.Second, nil)
			require.NotNil(t, c.leader())
			c.write(tt.history, entry, tt.interval)
			replaced := c.ids[slices.IndexFunc(c.ids, func(id string) bool { return id != c.leader().id })]
			next := c.now
			took, ok := c.replaceByNew("d", replaced, 3*catchUp, func() {
				if d := c.members["d"]; d != nil {
					d.sync = tt.sync
				}
				if tt.steady && !c.now.Before(next) {
					next = c.now.Add(150 * time.Millisecond)
					c.propose(entry)
				}
				c.compact(entry)
			})
			t.Logf("the new member votes after %s", took)
			require.NoError(t, c.err)
			assert.True(t, ok)
			assert.Less(t, took, catchUp)
		})
	}
}

// Guards against a member that starts empty, loses power in the middle and then does not know the
// members of its log.
func TestNewMemberKnowsTheMembersWithItsFirstEntry(t *testing.T) {
	c := newTimedCluster(3, "a", "b", "c")
	c.stateBytes = 10 << 10
	c.run(2*time.Second, nil)
	c.write(20, 60<<10, 100*time.Millisecond)
	_, _ = c.replaceByNew("d", "b", 2*time.Second, func() {
		if st := c.members["d"].node.Status(); st.Last > 0 {
			assert.NotEmpty(t, st.Voters, "the log has entry %d", st.Last)
		}
	})
	require.NoError(t, c.err)
	assert.NotZero(t, c.members["d"].node.Status().Last)
}

// Guards against a voter that was away for seconds and is sent every entry that it has missed,
// and against a leader whose memory grows with the size of the entries that it keeps.
func TestReturningVoterIsSentTheState(t *testing.T) {
	const entry = 60 << 10
	for _, away := range []time.Duration{500 * time.Millisecond, 5 * time.Second, 30 * time.Second} {
		t.Run(fmt.Sprint(away), func(t *testing.T) {
			c := newTimedCluster(5, "a", "b", "c")
			c.stateBytes = 200 << 10
			c.run(2*time.Second, nil)
			l := c.leader().id
			gone := c.ids[slices.IndexFunc(c.ids, func(id string) bool { return id != l })]
			c.members[gone].stopped = c.now.Add(away)
			c.write(int(away/(50*time.Millisecond)), entry, 50*time.Millisecond)
			sent := 0
			c.onSend = func(m gwquorum.Message) {
				if m.To == gone {
					sent += messageSize(m)
				}
			}
			began := c.now
			for c.members[gone].node.Status().Commit < c.members[l].node.Status().Commit && c.now.Sub(began) < 3*catchUp {
				c.run(20*time.Millisecond, nil)
			}
			require.NoError(t, c.err)
			took := c.now.Sub(began)
			t.Logf("caught up after %s and %d bytes", took, sent)
			assert.Less(t, took, catchUp/2)
			// What was on its way when it stopped, the state, and the entries since.
			assert.Less(t, sent, 4*gwquorum.DefaultKeepBytes)
		})
	}
}

// Guards against a learner that gets a vote while it lacks so much of the log that it cannot be
// part of a quorum for seconds.
func TestLearnerThatLacksLargeEntriesIsNotPromoted(t *testing.T) {
	for _, tt := range []struct {
		name string
		size int
		want bool
	}{
		{"small entries", 1000, true},
		{"large entries", 60 << 10, false},
	} {
		c := newTimedClusterOf(7, gwquorum.Members{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}})
		c.run(2*time.Second, nil)
		l := c.leader()
		for range 40 { // fewer than are allowed by their number
			c.propose(tt.size)
			c.run(50*time.Millisecond, nil)
			c.members["d"].sync = 10 * time.Second // it answers and saves nothing
		}
		c.run(300*time.Millisecond, nil)
		st := l.node.Status()
		require.Equal(t, st.Last, st.Commit, tt.name)
		p := st.Peers[slices.IndexFunc(st.Peers, func(p gwquorum.PeerStatus) bool { return p.Instance == "d" })]
		require.True(t, p.Active, tt.name)
		require.NotZero(t, p.LagBytes, tt.name)
		err := l.node.ProposeChange(gwquorum.Change{Kind: gwquorum.Promote, Instance: "d"})
		if tt.want {
			assert.NoError(t, err, tt.name)
		} else {
			assert.Equal(t, gwquorum.KindNotCaughtUp, gwquorum.KindOf(err), "%s: lacks %d bytes", tt.name, p.LagBytes)
		}
	}
}

// Guards against a leader that keeps entries before its snapshot whatever their size.
func TestKeptEntriesAreBoundedByBytes(t *testing.T) {
	for _, tt := range []struct {
		name          string
		size, entries int
		state         int
		least, most   int // entries before the snapshot
	}{
		{"small entries", 100, 3000, 10 << 10, 1000, 1024},
		{"large entries", 60 << 10, 300, 10 << 10, 10, 17},
		{"large entries and a larger state", 60 << 10, 300, 3 << 20, 45, 52},
	} {
		t.Run(tt.name, func(t *testing.T) {
			node, err := gwquorum.NewNode(gwquorum.Config{ID: "a", Rand: rand.NewPCG(1, 1)}, gwquorum.HardState{}, gwquorum.Snapshot{Members: gwquorum.Members{Voters: []string{"a"}}}, nil)
			require.NoError(t, err)
			now := time.Unix(1000, 0)
			work := func() {
				for rd := node.Ready(); !rd.Empty(); rd = node.Ready() {
					node.Advance(rd)
				}
			}
			for range 100 {
				now = now.Add(20 * time.Millisecond)
				node.Tick(now)
				work()
			}
			require.Equal(t, gwquorum.Leader, node.Status().Role)
			for range tt.entries {
				_, _, err := node.Propose(make([]byte, tt.size))
				require.NoError(t, err)
				work()
			}
			require.NoError(t, node.Compact(node.Status().Applied, make([]byte, tt.state)))
			kept := int(node.Status().Snapshot - node.Status().First + 1)
			assert.GreaterOrEqual(t, kept, tt.least)
			assert.LessOrEqual(t, kept, tt.most)
		})
	}
}

// Guards against a learner that gets a vote, or a voter that is handed the leadership, while it
// lacks large entries that the leader has dropped from its memory, whose size does not count.
func TestMemberThatNeedsASnapshotHasNotCaughtUp(t *testing.T) {
	const entry = 256 << 10
	for _, learner := range []bool{true, false} {
		c := newTimedClusterOf(7, gwquorum.Members{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}})
		c.run(2*time.Second, nil)
		l := c.leader()
		behind := "d"
		if !learner {
			behind = c.ids[slices.IndexFunc(c.ids, func(id string) bool { return id != l.id })]
		}
		for range 40 {
			c.propose(entry)
			c.run(150*time.Millisecond, nil)
			c.members[behind].sync = 10 * time.Second // it answers and saves nothing
		}
		c.run(300*time.Millisecond, nil)
		require.NoError(t, l.node.Compact(l.node.Status().Applied, make([]byte, 300<<10)))
		st := l.node.Status()
		require.Equal(t, st.Last, st.Commit)
		p := st.Peers[slices.IndexFunc(st.Peers, func(p gwquorum.PeerStatus) bool { return p.Instance == behind })]
		require.True(t, p.Active)
		require.Less(t, p.Match, st.Commit-10)
		require.Less(t, p.LagBytes, gwquorum.DefaultMaxPromoteLagBytes)
		err := l.node.TransferLeadership(behind)
		if learner {
			err = l.node.ProposeChange(gwquorum.Change{Kind: gwquorum.Promote, Instance: behind})
		}
		assert.Equal(t, gwquorum.KindNotCaughtUp, gwquorum.KindOf(err), "learner: %t", learner)
	}
}
