package gwquorum_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

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

// timedMember is a member whose disk takes time.
type timedMember struct {
	id      string
	node    *gwquorum.Node
	hard    gwquorum.HardState
	snap    gwquorum.Snapshot
	entries []gwquorum.Entry
	sync    time.Duration
	// snapshotSyncs is how many syncs the save of a snapshot takes; 0 means 1.
	snapshotSyncs int
	stopped       time.Time              // until when the process is stopped
	calls         []func(*gwquorum.Node) // what waits while the member is busy
	saving        *gwquorum.Ready        // whose save ends at busyUntil
	busy          time.Time
	nextTick      time.Time
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
	// stateBytes is the size of the snapshots that leaders make for members that are behind.
	stateBytes int
	onSend     func(m gwquorum.Message) // called with each message, unless it is nil
	err        error
}

func newTimedCluster(seed uint64, voters ...string) *timedCluster {
	return newTimedClusterOf(seed, gwquorum.Members{Voters: voters})
}

func newTimedClusterOf(seed uint64, members gwquorum.Members) *timedCluster {
	ids := members.All()
	c := &timedCluster{
		rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), ids: ids,
		members: map[string]*timedMember{}, links: map[[2]string]*link{}, committed: map[uint64]gwquorum.Entry{},
	}
	for _, id := range ids {
		c.members[id] = &timedMember{id: id, sync: 5 * time.Millisecond, snap: gwquorum.Snapshot{Members: members}}
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
	cfg := gwquorum.Config{ID: id, Rand: rand.NewPCG(c.rand.Uint64(), 2), SaveTime: m.sync}
	node, err := gwquorum.NewNode(cfg, m.hard, m.snap, m.entries)
	if err != nil {
		c.err = err
		return
	}
	m.node, m.calls, m.saving, m.busy = node, nil, nil, c.now
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
			m := c.members[msg.To]
			m.calls = append(m.calls, func(n *gwquorum.Node) { n.Step(msg, c.now) })
		}
		for _, id := range c.ids {
			c.work(c.members[id])
		}
		if every != nil {
			every()
		}
	}
}

// work does what the driver of a member does.
func (c *timedCluster) work(m *timedMember) {
	if c.now.Before(m.stopped) {
		return
	}
	if m.saving != nil && !c.now.Before(m.busy) {
		rd := *m.saving
		m.saving = nil
		m.save(rd)
		c.finish(m, rd)
		c.processReady(m)
	}
	for _, call := range m.calls {
		call(m.node)
	}
	m.calls = nil
	if !c.now.Before(m.nextTick) {
		m.nextTick = c.now.Add(20 * time.Millisecond)
		m.node.Tick(c.now)
	}
	c.processReady(m)
}

// processReady does the work that the node's Ready returns until there is none left, or all
// that is left waits for the disk.
func (c *timedCluster) processReady(m *timedMember) {
	ready := m.node.Ready
	if m.saving != nil {
		ready = m.node.ReadyDuringSave
	}
	for rd := ready(); !rd.Empty() || m.node.SnapshotWanted(); rd = ready() {
		if rd.Empty() {
			m.node.ProvideSnapshot(make([]byte, c.stateBytes))
			continue
		}
		if rd.MustSave() {
			c.sendAll(rd.EarlyMessages())
			m.saving, m.busy = &rd, c.now.Add(m.saveTime(rd))
			ready = m.node.ReadyDuringSave
			continue
		}
		c.finish(m, rd)
	}
	if f := m.node.Status().Fault; f != nil {
		c.err = f
	}
}

// saveTime returns how long the save of rd takes.
func (m *timedMember) saveTime(rd gwquorum.Ready) time.Duration {
	if rd.Snapshot != nil {
		return m.sync * time.Duration(max(1, m.snapshotSyncs))
	}
	return m.sync
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
	c.sendAll(rd.LateMessages())
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

func (c *timedCluster) sendAll(messages []gwquorum.Message) {
	for _, msg := range messages {
		c.send(msg)
	}
}

func (c *timedCluster) send(msg gwquorum.Message) {
	if c.onSend != nil {
		c.onSend(msg)
	}
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
		m := c.members[id]
		m.calls = append(m.calls, func(n *gwquorum.Node) {
			if n.Status().LeaderReady {
				_, _, _ = n.Propose(make([]byte, size))
			}
		})
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
	c.healAmong(majority)
	return majority
}

// healAmong makes the links and disks of some members healthy; the other links stay, or become,
// harmed.
func (c *timedCluster) healAmong(connected []string) {
	for _, from := range c.ids {
		for _, to := range c.ids {
			l := c.links[[2]string{from, to}]
			*l = *healthyLink()
			if !slices.Contains(connected, from) || !slices.Contains(connected, to) {
				c.harm(l)
			}
		}
	}
	for _, id := range connected {
		c.members[id].sync = time.Duration(1+c.rand.IntN(30)) * time.Millisecond
	}
}
