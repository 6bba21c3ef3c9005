package gwquorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/pkg/gwquorum"
)

const tick = 25 * time.Millisecond

// member is one node with its disk. The node is nil while the member is down.
type member struct {
	id      string
	fs      *gwstore.MemoryFS
	log     *gwstore.Log
	node    *gwquorum.Node
	state   *gwstate.State
	applied uint64
}

// delayedMessage is a message that arrives at the time due.
type delayedMessage struct {
	due time.Time
	msg gwquorum.Message
}

// cluster runs nodes on a simulated network and checks the guarantees of the package
// after each step.
type cluster struct {
	rand              *rand.Rand
	now               time.Time
	ids               []string
	members           map[string]*member
	network           []gwquorum.Message
	interval          time.Duration // between ticks
	delay             time.Duration // one-way
	delayed           []delayedMessage
	isolated          map[string]bool // members without a network connection
	paused            map[string]bool // members whose process is paused
	stepBeforeAdvance bool            // deliver some messages between a node's Ready and Advance
	leaders           map[uint64]string
	committed         map[uint64]gwquorum.Entry
	lastCommitted     uint64            // greatest committed index
	reads             map[uint64]uint64 // read ID to the committed index at the time of the request
	answered          map[uint64]gwquorum.ReadState
	nextRead          uint64
	defaultLimits     bool  // use the limits of Config's defaults
	err               error // first violation of a guarantee
}

func newCluster(seed uint64, first []string, later ...string) *cluster {
	c := &cluster{
		rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), interval: tick,
		members: map[string]*member{}, isolated: map[string]bool{}, paused: map[string]bool{}, leaders: map[uint64]string{},
		committed: map[uint64]gwquorum.Entry{}, reads: map[uint64]uint64{}, answered: map[uint64]gwquorum.ReadState{},
	}
	for _, id := range slices.Concat(first, later) {
		c.ids = append(c.ids, id)
		m := &member{id: id, fs: gwstore.NewMemoryFS()}
		c.members[id] = m
		if slices.Contains(first, id) {
			c.bootstrap(m, first)
		}
		c.start(id)
	}
	return c
}

func (c *cluster) fail(format string, args ...any) {
	if c.err == nil {
		c.err = errors.Newf(format, args...)
	}
}

func (c *cluster) bootstrap(m *member, voters []string) {
	c.bootstrapFrom(m, gwquorum.HardState{}, gwquorum.Snapshot{Members: gwquorum.Members{Voters: voters}})
}

func (c *cluster) bootstrapFrom(m *member, hs gwquorum.HardState, snap gwquorum.Snapshot) {
	log, err := gwstore.Open(m.fs, m.id)
	if err != nil {
		c.fail("bootstrap: %v", err)
		return
	}
	defer log.Close()
	if err := log.Save(hs, nil, &snap); err != nil {
		c.fail("bootstrap: %v", err)
	}
}

// start opens a member's log and starts its node.
func (c *cluster) start(id string) {
	m := c.members[id]
	if m.node != nil {
		return
	}
	log, err := gwstore.Open(m.fs, id)
	if err != nil {
		c.fail("%s: open: %v", id, err)
		return
	}
	hs, snap, entries, err := log.Load()
	if err != nil {
		c.fail("%s: load: %v", id, err)
		return
	}
	cfg := gwquorum.Config{ID: id, Rand: rand.NewPCG(c.rand.Uint64(), 2)}
	if !c.defaultLimits {
		// Few entries suffice to reach these limits.
		cfg.KeepEntries, cfg.MaxPromoteLag, cfg.MaxBatchBytes, cfg.KeepBytes, cfg.MinSnapshotBytes = 4, 4, 256, 1024, 512
	}
	node, err := gwquorum.NewNode(cfg, hs, snap, entries)
	if err != nil {
		c.fail("%s: new node: %v", id, err)
		return
	}
	m.log, m.node = log, node
	c.restore(m, snap)
	node.Tick(c.now)
}

// crash stops a member and loses its unsynced data: all of it, or a random part if torn.
func (c *cluster) crash(id string, torn bool) {
	m := c.members[id]
	if m.node == nil {
		return
	}
	m.node = nil
	m.fs.SetFault(nil)
	if torn {
		m.fs.Crash(c.rand)
	} else {
		m.fs.Crash(nil)
	}
}

// processReady does the work that the node's Ready returns until there is none left.
func (c *cluster) processReady(id string) {
	m := c.members[id]
	for m.node != nil {
		rd := m.node.Ready()
		if rd.Empty() && m.node.SnapshotWanted() {
			c.provideSnapshot(m)
			continue
		}
		if rd.Empty() {
			c.check(m)
			return
		}
		c.send(rd.EarlyMessages())
		if rd.MustSave() {
			c.workDuringSave(m)
			if err := m.log.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
				c.crash(id, true)
				return
			}
		}
		c.send(rd.LateMessages())
		c.maybeStepBeforeAdvance(m)
		if rd.Restore {
			c.restore(m, *rd.Snapshot)
		}
		c.finish(m, rd)
	}
}

func (c *cluster) provideSnapshot(m *member) {
	data, err := m.state.Snapshot()
	if err != nil {
		c.fail("%s: snapshot: %v", m.id, err)
	}
	m.node.ProvideSnapshot(data)
}

func (c *cluster) finish(m *member, rd gwquorum.Ready) {
	for _, e := range rd.Committed {
		c.apply(m, e)
	}
	for _, r := range rd.Reads {
		c.answer(m, r)
	}
	m.node.Advance(rd)
}

// workDuringSave sometimes lets m work on messages while its disk is busy; the save
// may fail after that.
func (c *cluster) workDuringSave(m *member) {
	for c.stepBeforeAdvance && c.rand.IntN(3) > 0 {
		c.maybeStepBeforeAdvance(m)
		for rd := m.node.ReadyDuringSave(); !rd.Empty(); rd = m.node.ReadyDuringSave() {
			c.send(rd.LateMessages())
			c.finish(m, rd)
		}
	}
}

func (c *cluster) send(messages []gwquorum.Message) {
	for _, msg := range messages {
		c.delayed = append(c.delayed, delayedMessage{due: c.now.Add(c.delay), msg: msg})
	}
	c.releaseDelayed()
}

// releaseDelayed moves the delayed messages that are due to the network.
func (c *cluster) releaseDelayed() {
	for len(c.delayed) > 0 && !c.delayed[0].due.After(c.now) {
		c.network = append(c.network, c.delayed[0].msg)
		c.delayed = c.delayed[1:]
	}
}

// maybeStepBeforeAdvance sometimes delivers a message to m between its Ready and Advance.
func (c *cluster) maybeStepBeforeAdvance(m *member) {
	if !c.stepBeforeAdvance || c.rand.IntN(2) == 0 {
		return
	}
	i := slices.IndexFunc(c.network, func(msg gwquorum.Message) bool { return msg.To == m.id })
	if i < 0 || c.isolated[m.id] || c.isolated[c.network[i].From] {
		return
	}
	m.node.Step(c.network[i], c.now)
	c.network = slices.Delete(c.network, i, i+1)
}

func (c *cluster) restore(m *member, s gwquorum.Snapshot) {
	m.state, m.applied = gwstate.New(0), s.Index
	if err := m.state.Restore(s.Data, c.now); err != nil {
		c.fail("%s: restore: %v", m.id, err)
	}
}

func (c *cluster) apply(m *member, e gwquorum.Entry) {
	if e.Index != m.applied+1 {
		c.fail("%s applies entry %d after entry %d", m.id, e.Index, m.applied)
	}
	m.applied = e.Index
	if e.Kind == gwquorum.EntryData {
		if r, bad := m.state.Apply(e.Index, e.Data, c.now).(gwstate.Unreadable); bad {
			c.fail("%s: entry %d: %v", m.id, e.Index, r.Err)
		}
	}
	if was, ok := c.committed[e.Index]; ok && (was.Term != e.Term || string(was.Data) != string(e.Data)) {
		c.fail("%s applies entry %d of term %d, but the committed entry has term %d", m.id, e.Index, e.Term, was.Term)
	}
	c.committed[e.Index] = e
	c.lastCommitted = max(c.lastCommitted, e.Index)
}

func (c *cluster) answer(m *member, r gwquorum.ReadState) {
	if _, ok := c.answered[r.ID]; ok {
		c.fail("%s answers read %d twice", m.id, r.ID)
	}
	c.answered[r.ID] = r
	if asked := c.reads[r.ID]; !r.Failed && r.Index < asked {
		c.fail("%s answers read %d with index %d, but the commit index was %d", m.id, r.ID, r.Index, asked)
	}
}

func (c *cluster) check(m *member) {
	s := m.node.Status()
	if s.Fault != nil {
		c.fail("%s: %v", m.id, s.Fault)
	}
	if s.Role != gwquorum.Leader {
		return
	}
	if was, ok := c.leaders[s.Term]; ok && was != m.id {
		c.fail("%s and %s both lead term %d", was, m.id, s.Term)
	}
	if c.leaders[s.Term] == "" {
		c.leaders[s.Term] = m.id
		_, _ = c.read(m.id) // at a time when the leader may not know the latest commit index
	}
}

func (c *cluster) step(msg gwquorum.Message) {
	m := c.members[msg.To]
	if m == nil || m.node == nil || c.isolated[msg.To] || c.isolated[msg.From] || c.paused[msg.To] {
		return
	}
	m.node.Step(msg, c.now)
	c.processReady(msg.To)
}

func (c *cluster) tick() {
	c.now = c.now.Add(c.interval)
	c.releaseDelayed()
	for _, id := range c.ids {
		if m := c.members[id]; m.node != nil && !c.paused[id] {
			m.node.Tick(c.now)
			c.processReady(id)
		}
	}
}

// deliver delivers all messages in order until the network is empty.
func (c *cluster) deliver() {
	for i := 0; len(c.network) > 0 && i < 10_000; i++ {
		msg := c.network[0]
		c.network = c.network[1:]
		c.step(msg)
	}
}

// run advances time by d with a reliable network.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.deliver()
		c.tick()
	}
	c.deliver()
}

// leader returns the running leader of the greatest term, or nil.
func (c *cluster) leader() *member {
	var best *member
	var term uint64
	for _, id := range c.ids {
		m := c.members[id]
		if m.node == nil || c.paused[id] {
			continue
		}
		if s := m.node.Status(); s.Role == gwquorum.Leader && s.Term > term {
			best, term = m, s.Term
		}
	}
	return best
}

func (c *cluster) propose(id string) error {
	m := c.members[id]
	if m.node == nil {
		return errors.New("down")
	}
	_, _, err := m.node.Propose(c.command(id))
	c.processReady(id)
	return err
}

// command returns a command that adds a group and acquires its lease.
func (c *cluster) command(holder string) []byte {
	group := fmt.Sprint("g", c.rand.IntN(20))
	data, err := gwstate.Encode(gwstate.Batch{Commands: []gwstate.Command{
		gwstate.StartGroup{Group: group, Primary: holder, Term: 1},
		gwstate.GrantLeases{
			Holder: holder, Incarnation: c.rand.Uint64(),
			Leases: []gwstate.LeaseRequest{{Group: group, Term: 1, Duration: time.Second}},
		},
	}}, c.now)
	if err != nil {
		c.fail("encode: %v", err)
	}
	return data
}

// read requests a read index and records the committed index.
func (c *cluster) read(id string) (uint64, error) {
	m := c.members[id]
	if m.node == nil {
		return 0, errors.New("down")
	}
	c.nextRead++
	c.reads[c.nextRead] = c.lastCommitted
	read := c.nextRead
	err := m.node.ReadIndex(read)
	c.processReady(id)
	return read, err
}

func (c *cluster) compact(id string) {
	m := c.members[id]
	if m.node == nil {
		return
	}
	data, err := m.state.Snapshot()
	if err != nil {
		c.fail("%s: snapshot: %v", id, err)
	}
	if m.node.Compact(m.applied, data) == nil {
		c.processReady(id)
	}
}

func (c *cluster) change(kind gwquorum.ChangeKind, id string) error {
	l := c.leader()
	if l == nil {
		return errors.New("no leader")
	}
	err := l.node.ProposeChange(gwquorum.Change{Kind: kind, Instance: id})
	c.processReady(l.id)
	return err
}
