package gwquorum_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// link is one direction of a connection between two members. Messages arrive in order.
type link struct {
	delay          time.Duration
	bytesPerSecond int
	maxBytes       int // larger messages are lost; 0 means none
	cut            bool
	loseSnapshots  bool
	freeAt         time.Time // when the last message leaves the sender
}

// healthyLink returns a link between regions: 30 ms, 30 Mbit/s.
func healthyLink() *link { return &link{delay: 30 * time.Millisecond, bytesPerSecond: 30 << 17} }

// loses reports whether a message of the given size is lost.
func (l *link) loses(m gwquorum.Message, size int) bool {
	return l.cut || l.maxBytes > 0 && size > l.maxBytes || l.loseSnapshots && m.Kind == gwquorum.MessageSnapshot
}

// messageSize returns the approximate size of m in bytes.
func messageSize(m gwquorum.Message) int {
	size := 60
	for _, e := range m.Entries {
		size += 30 + len(e.Data)
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}

// timedMember is a member whose disk takes time, during which it does nothing else.
type timedMember struct {
	id       string
	node     *gwquorum.Node
	hard     gwquorum.HardState
	snap     gwquorum.Snapshot
	entries  []gwquorum.Entry
	sync     time.Duration
	inbox    []gwquorum.Message
	saving   *gwquorum.Ready // whose save ends at busyUntil
	busy     time.Time
	nextTick time.Time
}

// arrival is a message that arrives at the time due.
type arrival struct {
	due time.Time
	msg gwquorum.Message
}

// timedCluster runs members on links and disks that take time. It is used to check when a
// group commits, not only that it does.
type timedCluster struct {
	rand      *rand.Rand
	now       time.Time
	ids       []string
	members   map[string]*timedMember
	links     map[[2]string]*link // by sender and receiver
	arrivals  []arrival
	committed map[uint64]gwquorum.Entry
	commits   int // entries with data that were committed
	err       error
}

func newTimedCluster(seed uint64, ids ...string) *timedCluster {
	c := &timedCluster{
		rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), ids: ids,
		members: map[string]*timedMember{}, links: map[[2]string]*link{}, committed: map[uint64]gwquorum.Entry{},
	}
	for _, id := range ids {
		c.members[id] = &timedMember{id: id, sync: 5 * time.Millisecond, snap: gwquorum.Snapshot{Members: gwquorum.Members{Voters: ids}}}
		c.restart(id)
		for _, to := range ids {
			c.links[[2]string{id, to}] = healthyLink()
		}
	}
	return c
}

// restart starts a member from what it has saved.
func (c *timedCluster) restart(id string) {
	m := c.members[id]
	cfg := gwquorum.Config{ID: id, Rand: rand.NewPCG(c.rand.Uint64(), 2)}
	node, err := gwquorum.NewNode(cfg, m.hard, m.snap, m.entries)
	if err != nil {
		c.err = err
		return
	}
	m.node, m.inbox, m.saving, m.busy = node, nil, nil, c.now
	m.nextTick = c.now.Add(time.Duration(c.rand.IntN(20)) * time.Millisecond)
}

// resolution is the step by which the time advances.
const resolution = 5 * time.Millisecond

// run advances the time by d. every is called after each step, if it is given.
func (c *timedCluster) run(d time.Duration, every func()) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(resolution)
		for len(c.arrivals) > 0 && !c.arrivals[0].due.After(c.now) {
			msg := c.arrivals[0].msg
			c.arrivals = c.arrivals[1:]
			c.members[msg.To].inbox = append(c.members[msg.To].inbox, msg)
		}
		for _, id := range c.ids {
			c.work(c.members[id])
		}
		if every != nil {
			every()
		}
	}
}

// work does what the driver of a member does when its disk is idle.
func (c *timedCluster) work(m *timedMember) {
	if c.now.Before(m.busy) {
		return
	}
	if m.saving != nil {
		rd := *m.saving
		m.saving = nil
		m.save(rd)
		c.finish(m, rd)
	} else {
		for _, msg := range m.inbox {
			m.node.Step(msg, c.now)
		}
		m.inbox = nil
		if !c.now.Before(m.nextTick) {
			m.nextTick = c.now.Add(20 * time.Millisecond)
			m.node.Tick(c.now)
		}
	}
	for rd := m.node.Ready(); !rd.Empty(); rd = m.node.Ready() {
		if rd.MustSave() {
			m.saving, m.busy = &rd, c.now.Add(m.sync)
			return
		}
		c.finish(m, rd)
	}
	if f := m.node.Status().Fault; f != nil {
		c.err = f
	}
}

// save keeps what rd asks to save.
func (m *timedMember) save(rd gwquorum.Ready) {
	m.hard = rd.HardState
	if s := rd.Snapshot; s != nil {
		m.snap = *s
		m.entries = slices.DeleteFunc(m.entries, func(e gwquorum.Entry) bool { return e.Index <= s.Index || rd.Restore })
	}
	if len(rd.Entries) > 0 {
		first := rd.Entries[0].Index
		m.entries = slices.DeleteFunc(m.entries, func(e gwquorum.Entry) bool { return e.Index >= first })
		m.entries = append(m.entries, rd.Entries...)
	}
}

// finish sends the messages of rd and records what was committed.
func (c *timedCluster) finish(m *timedMember, rd gwquorum.Ready) {
	for _, msg := range rd.Messages {
		c.send(msg)
	}
	for _, e := range rd.Committed {
		was, ok := c.committed[e.Index]
		switch {
		case ok && was.Term != e.Term:
			c.err = errors.Newf("%s applies entry %d of term %d, but the committed entry has term %d", m.id, e.Index, e.Term, was.Term)
		case !ok && e.Kind == gwquorum.EntryData:
			c.commits++
		}
		c.committed[e.Index] = e
	}
	m.node.Advance(rd)
}

func (c *timedCluster) send(msg gwquorum.Message) {
	l, size := c.links[[2]string{msg.From, msg.To}], messageSize(msg)
	if l.freeAt.Before(c.now) {
		l.freeAt = c.now
	}
	if l.loses(msg, size) {
		return
	}
	l.freeAt = l.freeAt.Add(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
	a := arrival{due: l.freeAt.Add(l.delay), msg: msg}
	i, _ := slices.BinarySearchFunc(c.arrivals, a, func(x, y arrival) int { return cmp.Or(x.due.Compare(y.due), -1) })
	c.arrivals = slices.Insert(c.arrivals, i, a)
}

// propose proposes an entry at each member that leads, as clients that ask every member do.
func (c *timedCluster) propose(size int) {
	for _, id := range c.ids {
		if n := c.members[id].node; n.Status().LeaderReady {
			_, _, _ = n.Propose(make([]byte, size))
		}
	}
}

// leader returns the leader of the greatest term, or nil.
func (c *timedCluster) leader() *timedMember {
	var best *timedMember
	for _, id := range c.ids {
		m := c.members[id]
		if st := m.node.Status(); st.Role == gwquorum.Leader && (best == nil || st.Term > best.node.Status().Term) {
			best = m
		}
	}
	return best
}

// harm gives a link a fault, or none.
func (c *timedCluster) harm(l *link) {
	switch c.rand.IntN(7) {
	case 0:
		l.cut = true
	case 1:
		l.maxBytes = 200 + c.rand.IntN(2000) // heartbeats pass, entries do not
	case 2:
		l.loseSnapshots = true
	case 3:
		l.delay = time.Duration(50+c.rand.IntN(400)) * time.Millisecond
	case 4:
		l.bytesPerSecond = 20 << 10
	}
}

// disturb harms random links and disks, restarts members, transfers the leadership and
// compacts logs for 10 s.
func (c *timedCluster) disturb() {
	for range 5 {
		for _, l := range c.sortedLinks() {
			*l = *healthyLink()
			if c.rand.IntN(3) == 0 {
				c.harm(l)
			}
		}
		for _, id := range c.ids {
			m := c.members[id]
			m.sync = time.Duration(1+c.rand.IntN(10)) * time.Millisecond
			if c.rand.IntN(4) == 0 {
				m.sync = time.Duration(50+c.rand.IntN(700)) * time.Millisecond
			}
			if c.rand.IntN(6) == 0 {
				c.restart(id)
			}
		}
		for range 4 {
			c.act()
			c.run(500*time.Millisecond, c.client())
		}
	}
}

// act transfers the leadership or compacts the log of a member.
func (c *timedCluster) act() {
	l := c.leader()
	if l == nil {
		return
	}
	switch c.rand.IntN(3) {
	case 0:
		_ = l.node.TransferLeadership(c.ids[c.rand.IntN(len(c.ids))])
	case 1:
		if l.saving == nil {
			_ = l.node.Compact(l.node.Status().Applied, make([]byte, c.rand.IntN(400<<10)))
		}
	}
}

// client returns a function that proposes an entry every 100 ms.
func (c *timedCluster) client() func() {
	next := c.now
	return func() {
		if c.now.Before(next) {
			return
		}
		next = c.now.Add(100 * time.Millisecond)
		c.propose(1 + c.rand.IntN(100)*c.rand.IntN(2000))
	}
}

func (c *timedCluster) sortedLinks() []*link {
	var out []*link
	for _, from := range c.ids {
		for _, to := range c.ids {
			out = append(out, c.links[[2]string{from, to}])
		}
	}
	return out
}

// heal makes the links and disks of a random majority healthy; the other links stay, or
// become, harmed.
func (c *timedCluster) heal() []string {
	ids := slices.Clone(c.ids)
	c.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	majority := ids[:len(ids)/2+1]
	for _, from := range c.ids {
		for _, to := range c.ids {
			l := c.links[[2]string{from, to}]
			*l = *healthyLink()
			if !slices.Contains(majority, from) || !slices.Contains(majority, to) {
				c.harm(l)
			}
		}
	}
	for _, id := range majority {
		c.members[id].sync = time.Duration(1+c.rand.IntN(30)) * time.Millisecond
	}
	return majority
}

// commitTarget is the time within which a connected majority whose links deliver commits a
// proposal, whatever the links to the other members lose. It covers a leader outside of the
// majority that is found to commit nothing, which gives way, and the election after it.
const commitTarget = 5 * time.Second

// longestGap returns the longest time without a commit in the next d, in which a client
// proposes entries.
func (c *timedCluster) longestGap(d time.Duration) time.Duration {
	var longest time.Duration
	last, commits, client := c.now, c.commits, c.client()
	c.run(d, func() {
		client()
		longest = max(longest, c.now.Sub(last))
		if c.commits > commits {
			last, commits = c.now, c.commits
		}
	})
	return longest
}

// Guards against a group that commits nothing although a majority is connected: over random
// one-way cuts, lost snapshots and entries, slow links and disks, restarts and transfers of
// the leadership.
func TestConnectedMajorityCommits(t *testing.T) {
	for _, ids := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		t.Run(fmt.Sprint(len(ids), " voters"), func(t *testing.T) {
			t.Parallel()
			var slowest time.Duration
			for seed := range uint64(60) {
				c := newTimedCluster(seed, ids...)
				c.run(time.Second, nil)
				c.disturb()
				majority := c.heal()
				gap := c.longestGap(3 * commitTarget)
				assert.LessOrEqual(t, gap, commitTarget, "seed %d, majority %v", seed, majority)
				slowest = max(slowest, gap)
				require.NoError(t, c.err, "seed %d", seed)
			}
			t.Logf("longest time without a commit: %v", slowest)
		})
	}
}

// Guards against a leader that keeps its followers by heartbeats while its entries are lost,
// and against one that leads again before another voter had the chance.
func TestLeaderThatCommitsNothingGivesWay(t *testing.T) {
	c := newTimedCluster(1, "a", "b", "c")
	c.run(2*time.Second, c.client())
	old := c.leader()
	require.NotNil(t, old)
	require.Positive(t, c.commits)
	for _, id := range c.ids {
		c.links[[2]string{old.id, id}].maxBytes = 80
	}
	assert.LessOrEqual(t, c.longestGap(10*time.Second), 3*time.Second)
	require.NotNil(t, c.leader())
	assert.NotEqual(t, old.id, c.leader().id)
	require.NoError(t, c.err)
}

// Guards against a group that has no leader for most of the time while no voter can commit,
// and against one that does not commit soon after the entries arrive again: the third voter is
// down, so that the others are needed and only the old leader can be elected.
func TestGivingWayBacksOff(t *testing.T) {
	c := newTimedCluster(2, "a", "b", "c")
	c.run(2*time.Second, c.client())
	l := c.leader()
	require.NotNil(t, l)
	down := c.ids[slices.IndexFunc(c.ids, func(id string) bool { return id != l.id })]
	for _, id := range c.ids {
		c.links[[2]string{id, down}].cut, c.links[[2]string{down, id}].cut = true, true
		c.links[[2]string{l.id, id}].maxBytes = 80
	}
	var led time.Duration
	term, client := l.node.Status().Term, c.client()
	c.run(40*time.Second, func() {
		client()
		if l.node.Status().Role == gwquorum.Leader {
			led += resolution
		}
	})
	assert.Greater(t, led, 25*time.Second)
	assert.LessOrEqual(t, l.node.Status().Term, term+6)
	for _, id := range c.ids {
		c.links[[2]string{l.id, id}].maxBytes = 0
	}
	assert.LessOrEqual(t, c.longestGap(10*time.Second), 3*time.Second)
	require.NoError(t, c.err)
}

// Guards against a leader that gives way while a large configuration is on a slow link.
func TestLargeEntryOnSlowLink(t *testing.T) {
	c := newTimedCluster(3, "a", "b", "c")
	c.run(2*time.Second, nil)
	l := c.leader()
	require.NotNil(t, l)
	for _, id := range c.ids {
		c.links[[2]string{l.id, id}].bytesPerSecond = 10 << 17
	}
	term := l.node.Status().Term
	const entries = 30
	for range entries {
		_, _, err := l.node.Propose(make([]byte, 256<<10))
		require.NoError(t, err)
	}
	c.run(10*time.Second, nil)
	assert.Equal(t, entries, c.commits)
	assert.Equal(t, term, l.node.Status().Term)
	require.NoError(t, c.err)
}

// Guards against a lost snapshot that is sent again only after SnapshotTimeout: all voters have
// restarted, one is down, and the only other one needs the snapshot.
func TestLostSnapshotIsSentAgain(t *testing.T) {
	c := newTimedCluster(4, "a", "b", "c")
	c.run(2*time.Second, c.client())
	l := c.leader()
	require.NotNil(t, l)
	others := slices.DeleteFunc(slices.Clone(c.ids), func(id string) bool { return id == l.id })
	behind, down := others[0], others[1]
	to, from := c.links[[2]string{l.id, behind}], c.links[[2]string{behind, l.id}]
	to.cut, from.cut = true, true
	c.run(2*time.Second, c.client())
	require.NoError(t, l.node.Compact(l.node.Status().Applied, make([]byte, 100<<10)))
	c.run(time.Second, nil)
	for _, id := range c.ids {
		c.restart(id)
		c.links[[2]string{id, down}].cut, c.links[[2]string{down, id}].cut = true, true
	}
	to.cut, from.cut, to.loseSnapshots = false, false, true
	c.run(time.Second, nil)
	require.Equal(t, l.id, c.leader().id, "only this voter has all entries")
	to.loseSnapshots = false
	assert.LessOrEqual(t, c.longestGap(8*time.Second), time.Second)
	require.NoError(t, c.err)
}
