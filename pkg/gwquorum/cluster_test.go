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

// member is one node with its disk. The node is nil while it is down.
type member struct {
	id      string
	fs      *gwstore.MemoryFS
	log     *gwstore.Log
	node    *gwquorum.Node
	state   *gwstate.State
	applied uint64
}

// packet is a message that arrives at due.
type packet struct {
	due time.Time
	msg gwquorum.Message
}

// cluster drives nodes over a simulated network and checks the guarantees of
// the package after each step.
type cluster struct {
	rand       *rand.Rand
	now        time.Time
	ids        []string
	members    map[string]*member
	network    []gwquorum.Message
	interval   time.Duration // between ticks
	delay      time.Duration // one-way
	delayed    []packet
	cut        map[string]bool // isolated members
	frozen     map[string]bool // members whose process is paused
	interrupts bool            // messages arrive between a node's Ready and Advance
	leaders    map[uint64]string
	committed  map[uint64]gwquorum.Entry
	last       uint64            // greatest committed index
	reads      map[uint64]uint64 // read id to the committed index when it was asked
	answered   map[uint64]gwquorum.ReadState
	nextRead   uint64
	production bool  // default limits
	err        error // first broken guarantee
}

func newCluster(seed uint64, first []string, later ...string) *cluster {
	c := &cluster{
		rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), interval: tick,
		members: map[string]*member{}, cut: map[string]bool{}, frozen: map[string]bool{}, leaders: map[uint64]string{},
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
	log, err := gwstore.Open(m.fs, m.id)
	if err != nil {
		c.fail("bootstrap: %v", err)
		return
	}
	defer log.Close()
	snap := &gwquorum.Snapshot{Members: gwquorum.Members{Voters: voters}}
	if err := log.Save(gwquorum.HardState{}, nil, snap); err != nil {
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
	if !c.production {
		cfg.KeepEntries, cfg.MaxPromoteLag, cfg.MaxBatchBytes = 4, 4, 256 // so that few entries reach the limits
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

// crash stops a member and loses its unsynced data, or a random part of it.
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

// work does what the node's Ready asks for until nothing is left.
func (c *cluster) work(id string) {
	m := c.members[id]
	for m.node != nil {
		rd := m.node.Ready()
		if rd.Empty() {
			c.check(m)
			return
		}
		if rd.MustSave() {
			if err := m.log.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
				c.crash(id, true)
				return
			}
		}
		for _, msg := range rd.Messages {
			c.delayed = append(c.delayed, packet{due: c.now.Add(c.delay), msg: msg})
		}
		c.arrive()
		c.interrupt(m)
		if rd.Restore {
			c.restore(m, *rd.Snapshot)
		}
		for _, e := range rd.Committed {
			c.apply(m, e)
		}
		for _, r := range rd.Reads {
			c.answer(m, r)
		}
		m.node.Advance(rd)
	}
}

// arrive moves the messages that are due to the network.
func (c *cluster) arrive() {
	for len(c.delayed) > 0 && !c.delayed[0].due.After(c.now) {
		c.network = append(c.network, c.delayed[0].msg)
		c.delayed = c.delayed[1:]
	}
}

// interrupt sometimes delivers a message to m between its Ready and Advance.
func (c *cluster) interrupt(m *member) {
	if !c.interrupts || c.rand.IntN(2) == 0 {
		return
	}
	i := slices.IndexFunc(c.network, func(msg gwquorum.Message) bool { return msg.To == m.id })
	if i < 0 || c.cut[m.id] || c.cut[c.network[i].From] {
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
		c.fail("%s applies entry %d after %d", m.id, e.Index, m.applied)
	}
	m.applied = e.Index
	if e.Kind == gwquorum.EntryData {
		if r, bad := m.state.Apply(e.Index, e.Data, c.now).(gwstate.Unreadable); bad {
			c.fail("%s: entry %d: %v", m.id, e.Index, r.Err)
		}
	}
	if was, ok := c.committed[e.Index]; ok && (was.Term != e.Term || string(was.Data) != string(e.Data)) {
		c.fail("%s applies entry %d of term %d, committed was one of term %d", m.id, e.Index, e.Term, was.Term)
	}
	c.committed[e.Index] = e
	c.last = max(c.last, e.Index)
}

func (c *cluster) answer(m *member, r gwquorum.ReadState) {
	if _, ok := c.answered[r.ID]; ok {
		c.fail("%s answers read %d again", m.id, r.ID)
	}
	c.answered[r.ID] = r
	if asked := c.reads[r.ID]; !r.Failed && r.Index < asked {
		c.fail("%s answers read %d with index %d, committed was %d", m.id, r.ID, r.Index, asked)
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
		c.fail("%s and %s lead term %d", was, m.id, s.Term)
	}
	if c.leaders[s.Term] == "" {
		c.leaders[s.Term] = m.id
		_, _ = c.read(m.id) // before the leader may know all that was committed
	}
}

func (c *cluster) step(msg gwquorum.Message) {
	m := c.members[msg.To]
	if m == nil || m.node == nil || c.cut[msg.To] || c.cut[msg.From] || c.frozen[msg.To] {
		return
	}
	m.node.Step(msg, c.now)
	c.work(msg.To)
}

func (c *cluster) tick() {
	c.now = c.now.Add(c.interval)
	c.arrive()
	for _, id := range c.ids {
		if m := c.members[id]; m.node != nil && !c.frozen[id] {
			m.node.Tick(c.now)
			c.work(id)
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

// run lets d pass with a reliable network.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.deliver()
		c.tick()
	}
	c.deliver()
}

// leader returns the ready leader of the greatest term, or nil.
func (c *cluster) leader() *member {
	var best *member
	var term uint64
	for _, id := range c.ids {
		m := c.members[id]
		if m.node == nil || c.frozen[id] {
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
	c.work(id)
	return err
}

// command returns a command that makes a group known and takes its lease.
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

// read asks for a read index and remembers what was committed.
func (c *cluster) read(id string) (uint64, error) {
	m := c.members[id]
	if m.node == nil {
		return 0, errors.New("down")
	}
	c.nextRead++
	c.reads[c.nextRead] = c.last
	read := c.nextRead
	err := m.node.ReadIndex(read)
	c.work(id)
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
		c.work(id)
	}
}

func (c *cluster) change(kind gwquorum.ChangeKind, id string) error {
	l := c.leader()
	if l == nil {
		return errors.New("no leader")
	}
	err := l.node.ProposeChange(gwquorum.Change{Kind: kind, Instance: id})
	c.work(l.id)
	return err
}
