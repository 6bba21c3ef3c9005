package gwmember

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// countWithStatus returns how many other running members have an instance with a status.
func (w *network) countWithStatus(instance string, want Status) int {
	n := 0
	for _, nd := range w.nodes {
		if nd.up && nd.self.Instance != instance && nd.State(instance) == want {
			n++
		}
	}
	return n
}

// countChanges returns a counter of reported changes to a status.
func (w *network) countChanges(status Status) *int {
	n := new(int)
	w.onAction = func(_ *node, a Action) {
		if c, ok := a.(MemberChanged); ok && c.Status == status {
			*n++
		}
	}
	return n
}

// Guards against members that do not find each other through seeds, also when pages of the
// table are lost.
func TestJoin(t *testing.T) {
	tests := []struct {
		loss  float64
		limit time.Duration
	}{{0, 10 * time.Second}, {0.2, time.Minute}}
	for _, tt := range tests {
		w := newNetwork(1, 150, 3)
		w.loss = tt.loss
		for _, nd := range w.nodes {
			w.start(nd)
			w.run(20 * time.Millisecond)
		}
		missing := 1
		for end := w.now.Add(tt.limit); missing > 0 && w.now.Before(end); {
			w.run(time.Second)
			missing = 0
			for _, nd := range w.nodes {
				missing += 150 - len(nd.Live())
			}
		}
		assert.Zero(t, missing, "rows missing after %v at loss %v", tt.limit, tt.loss)
	}
}

// Guards against decisions that depend on the iteration order of a map, which would make
// other tests flaky.
func TestRunsAreRepeatable(t *testing.T) {
	run := func() (messages, bytes int) {
		w := newNetwork(10, 40, 3)
		w.loss = 0.2
		for _, nd := range w.nodes {
			w.start(nd)
			w.run(20 * time.Millisecond)
		}
		w.nodes[9].up = false
		w.run(15 * time.Second)
		for _, nd := range w.nodes {
			messages, bytes = messages+nd.messages, bytes+nd.bytes
		}
		return messages, bytes
	}
	messages, bytes := run()
	for range 2 {
		m, b := run()
		assert.Equal(t, messages, m)
		assert.Equal(t, bytes, b)
	}
}

// Guards against a crash that some members detect late and against a restarted member that
// others keep as dead.
func TestCrashAndRestart(t *testing.T) {
	w := newNetwork(2, 60, 1)
	w.startAll()
	w.run(2 * time.Second)
	victim := w.nodes[7]
	victim.up = false
	w.run(2 * time.Second)
	assert.Equal(t, 59, w.countWithStatus(victim.self.Instance, StatusDead))

	w.start(victim) // with its old incarnation
	w.run(3 * time.Second)
	assert.Equal(t, 59, w.countWithStatus(victim.self.Instance, StatusAlive))
	assert.Equal(t, victim.self.Incarnation+1, victim.Self().Incarnation)
}

// Guards against a failure that is not detected because watchers fail together with the
// members that they watch.
func TestRackFails(t *testing.T) {
	w := newNetwork(3, 60, 1)
	w.startAll()
	w.run(2 * time.Second)
	ring := w.nodes[0].table.ring("dc-00")
	for _, e := range ring[10:25] {
		w.byAddr[e.Address].up = false
	}
	w.run(20 * time.Second)
	for _, e := range ring[10:25] {
		assert.Equal(t, 45, w.countWithStatus(e.Instance, StatusDead), e.Instance)
	}
}

// Guards against accepting wrong claims about this instance and against increasing the
// incarnation without need.
func TestClaimsAboutSelf(t *testing.T) {
	tests := []struct {
		name   string
		status Status
		from   []string
		change int64 // of the claimed incarnation relative to the current one
		want   uint64
	}{
		{"dead", StatusDead, []string{"b"}, 0, 11},
		{"left in an earlier run", StatusLeft, []string{"b"}, 5, 16},
		{"alive in an earlier run", StatusAlive, []string{"b"}, 3, 14},
		{"dead before the restart", StatusDead, []string{"b"}, -1, 10},
		{"suspected by one", StatusSuspect, []string{"b", "b"}, 0, 10},
		{"suspected by two", StatusSuspect, []string{"b", "c"}, 0, 11},
	}
	now := time.Unix(1, 0)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			self := Member{Instance: "a", DataCentre: "x", Address: "1", Incarnation: 10}
			m := New(Config{Self: self})
			claim := Update{Member: self.WithIncarnation(uint64(10 + tt.change)), Status: tt.status}
			for _, from := range tt.from {
				m.Receive(from, Message{Kind: KindGossip, Updates: []Update{claim}}, now)
			}
			assert.Equal(t, tt.want, m.Self().Incarnation)
			assert.Equal(t, StatusAlive, m.State("a"))
		})
	}
}

// Guards against a planned stop that others take for a failure or learn of late.
func TestLeave(t *testing.T) {
	w := newNetwork(4, 40, 4)
	w.startAll()
	deaths := w.countChanges(StatusDead)
	w.run(2 * time.Second)
	leaver := w.nodes[9]
	w.execute(leaver, leaver.Leave(w.now))
	w.run(300 * time.Millisecond)
	leaver.up = false
	w.run(1700 * time.Millisecond)
	assert.Equal(t, 39, w.countWithStatus(leaver.self.Instance, StatusLeft))
	w.run(5 * time.Second)
	assert.Zero(t, *deaths)
}

// Guards against declaring the members of an unreachable data centre dead, and against
// missing changes or transferring the whole table when the partition heals.
func TestDataCentreCut(t *testing.T) {
	w := newNetwork(5, 120, 4)
	w.startAll()
	w.run(3 * time.Second)
	far := func() (sum int) {
		for _, nd := range w.nodes {
			sum, nd.remoteBytes = sum+nd.remoteBytes, 0
		}
		return sum
	}
	far()
	w.run(5 * time.Second)
	calm := far()
	deaths := w.countChanges(StatusDead)
	w.cut = func(a, b Member) bool { return (a.DataCentre == "dc-03") != (b.DataCentre == "dc-03") }
	w.run(10 * time.Second)
	for _, nd := range w.nodes {
		for _, dc := range []string{"dc-00", "dc-01", "dc-02", "dc-03"} {
			apart := nd.self.DataCentre != dc && (nd.self.DataCentre == "dc-03" || dc == "dc-03")
			assert.Equal(t, !apart, nd.Reachable(dc), "%s to %s", nd.self.DataCentre, dc)
		}
		assert.Equal(t, 120, len(nd.Live()))
	}
	assert.Zero(t, *deaths)

	crashed := w.nodes[63]
	require.Equal(t, "dc-03", crashed.self.DataCentre)
	crashed.up = false
	w.run(5 * time.Second)
	assert.Equal(t, 29, w.countWithStatus(crashed.self.Instance, StatusDead))
	far()
	w.cut = nil
	w.run(5 * time.Second)
	assert.Equal(t, 119, w.countWithStatus(crashed.self.Instance, StatusDead))
	for _, nd := range w.nodes {
		assert.True(t, !nd.up || nd.Reachable("dc-03") && nd.Reachable("dc-00"))
	}
	// Less than sending the table of 120 rows, about 14 kB, to both relays of dc-03.
	assert.Less(t, far()-calm, 28_000)
}

// Guards against two halves of a partitioned data centre that do not merge again.
func TestPartitionWithinDataCentreHeals(t *testing.T) {
	w := newNetwork(6, 20, 1)
	w.startAll()
	w.run(time.Second)
	w.cut = func(a, b Member) bool { return a.Address[len(a.Address)-6]%2 != b.Address[len(b.Address)-6]%2 }
	w.run(20 * time.Second)
	assert.Equal(t, 10, len(w.nodes[0].Live()))
	w.cut = nil
	w.run(10 * time.Second)
	for _, nd := range w.nodes {
		assert.Equal(t, 20, len(nd.Live()))
	}
}

// Guards against death declarations that are caused by packet loss alone.
func TestPacketLossCausesNoDeaths(t *testing.T) {
	w := newNetwork(7, 30, 1)
	w.loss = 0.2
	w.startAll()
	deaths := w.countChanges(StatusDead)
	w.run(time.Minute)
	assert.Zero(t, *deaths)
}

// Guards against an instance that suspects all others after its own process was stalled.
func TestStallCausesNoSuspicions(t *testing.T) {
	w := newNetwork(8, 10, 2)
	w.startAll()
	w.run(2 * time.Second)
	stalled := w.nodes[slices.IndexFunc(w.nodes, func(nd *node) bool { return nd.IsRelay() })]
	stalled.up = false
	w.run(6 * time.Second) // longer than DefaultDataCentreTimeout
	stalled.up = true
	w.run(DefaultTick) // the answers to its pings arrive after this
	assert.Empty(t, stalled.table.rows[stalled.self.Instance].unreachable)
	for _, e := range stalled.watched {
		assert.Equal(t, StatusAlive, e.status)
	}
	w.run(10 * time.Second)
	assert.Equal(t, 9, w.countWithStatus(stalled.self.Instance, StatusAlive))
}

// Guards against taking a broken path between two members for a failure of one of them.
func TestIndirectProbes(t *testing.T) {
	w := newNetwork(13, 20, 1)
	w.startAll()
	suspects := w.countChanges(StatusSuspect)
	watcher := w.nodes[4]
	w.run(time.Second)
	watched := watcher.watched[0].Instance
	w.cut = func(a, b Member) bool {
		return a.Instance == watcher.self.Instance && b.Instance == watched ||
			b.Instance == watcher.self.Instance && a.Instance == watched
	}
	w.run(20 * time.Second)
	assert.Zero(t, *suspects)
}

// Guards against an isolated member that declares others dead before other watchers had
// time to share its suspicions.
func TestUnconfirmedSuspicionWaits(t *testing.T) {
	w := newNetwork(14, 20, 1)
	w.startAll()
	w.run(time.Second)
	lone := w.nodes[4]
	deaths := 0
	w.onAction = func(nd *node, a Action) {
		if c, ok := a.(MemberChanged); ok && c.Status == StatusDead && nd == lone {
			deaths++
		}
	}
	w.cut = func(a, b Member) bool { return a.Instance == lone.self.Instance || b.Instance == lone.self.Instance }
	w.run(2 * time.Second)
	assert.Zero(t, deaths)
}

// Guards against a running member that others consider dead without notifying it.
func TestDeadSenderIsNotified(t *testing.T) {
	now := time.Unix(1, 0)
	dead := Update{Member: Member{Instance: "b", DataCentre: "x", Address: "2"}, Status: StatusDead}
	m := New(Config{Self: Member{Instance: "a", DataCentre: "x", Address: "1"}})
	m.Receive("c", Message{Kind: KindGossip, Updates: []Update{dead}}, now)
	m.local = queue{} // the death is no longer piggybacked
	actions := m.Receive("b", Message{Kind: KindPing, Sequence: 7}, now)
	require.Len(t, actions, 1)
	ack := actions[0].(SendMessage).Message
	assert.Equal(t, KindAck, ack.Kind)
	assert.Contains(t, ack.Updates, dead)
}

// Guards against a new version that some members do not notice and against too many reports
// about it.
func TestPeerAhead(t *testing.T) {
	w := newNetwork(9, 60, 4)
	reports := make(map[*node]int)
	w.onAction = func(nd *node, a Action) {
		if ahead, ok := a.(PeerAhead); ok {
			reports[nd]++
			if reports[nd] == 2 { // as if the first attempt to fetch the version failed
				nd.SetVersion(ahead.Version)
			}
		}
	}
	w.startAll()
	w.nodes[11].SetVersion(Version{ManifestNumber: 1})
	w.run(10 * time.Second)
	for _, nd := range w.nodes {
		assert.Equal(t, Version{ManifestNumber: 1}, nd.version)
		assert.LessOrEqual(t, reports[nd], 20)
	}
}

// Guards against an instance that tries only old seeds that no longer exist, although its
// settings were changed to others.
func TestAddSeeds(t *testing.T) {
	m := New(Config{Self: Member{Instance: "a", DataCentre: "d", Address: "1"}, Seeds: []string{"old"}, Rand: rand.New(rand.NewPCG(1, 1))})
	now := time.Unix(1000, 0)
	asked := func() map[string]bool {
		out := map[string]bool{}
		for range 40 {
			now = now.Add(DefaultTick)
			for _, a := range m.Tick(now) {
				if s, ok := a.(SendMessage); ok {
					out[s.To] = true
				}
			}
		}
		return out
	}
	if got := asked(); !got["old"] || got["new"] {
		t.Errorf("got %v, want the old seed only", got)
	}
	m.AddSeeds([]string{"new", "old"})
	if got := asked(); !got["new"] || !got["old"] {
		t.Errorf("got %v, want both seeds", got)
	}
}
