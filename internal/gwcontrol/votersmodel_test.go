package gwcontrol

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// Timing of the model of a group of control instances.
const (
	votersModelStep = 5 * time.Millisecond
	// deathAfter is how long an instance is out of reach until the members take it for dead, and
	// joinAfter how long a started one, or its view of the others, takes to be known.
	deathAfter = 2 * time.Second
	joinAfter  = 500 * time.Millisecond
	// changeLimit is how long after the start of a successor another disk is not lost. An
	// instance out of reach and electionTime after it are a disturbance; what exceeds
	// disturbanceLimit of it, one pause of 2 s and an election, does not count.
	changeLimit      = 4 * time.Second
	electionTime     = time.Second
	disturbanceLimit = 2*time.Second + electionTime
	// identitySyncs is the number of syncs that a process does until it tells its identity.
	identitySyncs = 4
	// leaveLimit is how long an added instance that leaves without a successor counts as lost.
	leaveLimit = changeLimit
)

// votersModel is a group of control instances with disks that take time and are lost, under the
// plans of their leaders.
type votersModel struct {
	*rand.Rand
	now       time.Time
	names     []string
	instances map[string]*modelInstance
	arrivals  []modelArrival
	committed map[uint64]gwquorum.Entry
	commits   int // entries with data
	// lastCommitted is the committed entry with the greatest index.
	lastCommitted gwquorum.Entry
	initial       int // instances of the first start, one per data centre
	started       int
	sync          time.Duration // of the disks, up to twice that
	writes        time.Duration // between two entries
	transfer      modelTransfer
	links         map[string]*modelLink
	nextWrite     time.Time
	err           error
	// replaces means that the instances know gwquorum.Replace.
	replaces bool
	// losses holds the disks that count as lost, of which there are at most tolerance. An instance
	// was last out of reach at lastOut. changing holds the successors whose predecessors vote yet.
	losses    []*modelLoss
	tolerance int
	lastOut   time.Time
	changing  map[string]modelChange
	// took holds the times from the start of a successor to the end of the change.
	took []time.Duration
	// losses of disks are counted at intervals from nextCount on, unless count is nil.
	count     *lossCount
	nextCount time.Time
	// interval is the time between two plans of a leader.
	interval time.Duration
	trace    []string
}

// modelInstance is an instance with one disk.
type modelInstance struct {
	name, id   string
	dataCentre string
	// freeAt is when the loss of an instance with a successor has no more to be made up for;
	// zero without a successor. added means that it is an additional one, and ended that its
	// process does not start again.
	freeAt       time.Time
	added, ended bool
	node         *gwquorum.Node // nil while the process does not run
	hard         gwquorum.HardState
	snap         gwquorum.Snapshot
	entries      []gwquorum.Entry

	queue    []gwquorum.Message
	saving   *gwquorum.Ready
	busy     time.Time
	nextTick time.Time
	worked   time.Time

	startAt        time.Time // of a process that does not run
	upSince        time.Time
	firstUp        time.Time // of the first start
	outSince       time.Time // since when it cannot be reached, zero if it can
	paused, cut    time.Time // until when
	pending        uint64    // index of the change that the leader waits for
	pendingTerm    uint64
	nextPlan       time.Time
	reason         string
	identityChosen time.Time
	presence       *presence
	identities     *voterAnswers
	handOvers      leadershipMoves
	nextPresence   time.Time
	known          *gwquorum.Status // nil after a change
}

// status returns the status of the node.
func (x *modelInstance) status() gwquorum.Status {
	if x.known == nil {
		st := x.node.Status()
		x.known = &st
	}
	return *x.known
}

// modelLoss is a disk that counts as lost until freeAt, changeLimit after the start of its
// successor or later by what exceeds disturbanceLimit of the time that instances were out of reach.
type modelLoss struct {
	startAt, freeAt time.Time
	disturbed       time.Duration
}

// modelChange is the start of a successor; predecessor is an instance that still ran then, or "".
type modelChange struct {
	at          time.Time
	predecessor string
}

type modelArrival struct {
	due time.Time
	msg gwquorum.Message
}

func newVotersModel(seed uint64, voters, spares int) *votersModel {
	m := &votersModel{
		Rand: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1000, 0), instances: make(map[string]*modelInstance),
		committed: make(map[uint64]gwquorum.Entry), changing: make(map[string]modelChange), tolerance: 1, replaces: true, sync: 5 * time.Millisecond, interval: consensusTick, writes: 20 * time.Millisecond,
		transfer: shortTransfer, links: make(map[string]*modelLink),
	}
	var ids []string
	m.initial = voters + spares
	for i := range m.initial {
		name := string(rune('a' + i))
		x := m.create(name, name)
		x.id = x.name
		if i < voters {
			ids = append(ids, x.id)
		}
	}
	for _, id := range ids {
		m.instances[id].snap.Members.Voters = ids
	}
	for _, x := range m.instances {
		x.startAt = m.now
	}
	return m
}

// create adds an instance with an empty disk, which is not started.
func (m *votersModel) create(name, dataCentre string) *modelInstance {
	m.started++
	x := &modelInstance{name: name, dataCentre: dataCentre, id: fmt.Sprintf("%s%s%d", name, identitySeparator, m.started)}
	m.instances[name] = x
	m.names = slices.Sorted(maps.Keys(m.instances))
	return x
}

// remove removes an instance and its disk.
func (m *votersModel) remove(x *modelInstance) {
	delete(m.instances, x.name)
	delete(m.changing, x.name)
	m.names = slices.Sorted(maps.Keys(m.instances))
}

func (m *votersModel) log(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%.3f ", m.now.Sub(time.Unix(1000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

// between returns a random duration.
func (m *votersModel) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.Int64N(int64(high-low)))
}

func (m *votersModel) start(x *modelInstance) {
	cfg := gwquorum.Config{ID: x.id, Rand: rand.NewPCG(m.Uint64(), 2), KeepEntries: m.transfer.keepEntries}
	node, err := gwquorum.NewNode(cfg, x.hard, x.snap, x.entries)
	if err != nil {
		m.err = err
		return
	}
	x.node, x.queue, x.saving, x.busy, x.pending, x.known = node, nil, nil, m.now, 0, nil
	x.upSince, x.startAt, x.worked, x.nextTick = m.now, time.Time{}, m.now, m.now
	x.presence, x.nextPresence, x.handOvers = &presence{}, m.now, make(leadershipMoves)
	x.identities = &voterAnswers{}
	x.identityChosen = m.now.Add(m.between(0, 300*time.Millisecond) + identitySyncs*m.sync)
	if x.firstUp.IsZero() {
		x.firstUp = m.now
	}
	m.log("%s starts as %s", x.name, x.id)
}

// stop ends the process of an instance until the time d has passed.
func (m *votersModel) stop(x *modelInstance, d time.Duration) {
	x.node, x.saving, x.startAt = nil, nil, m.now.Add(d)
}

// reachable reports whether an instance runs and is not cut off.
func (m *votersModel) reachable(x *modelInstance) bool {
	return x.node != nil && !m.now.Before(x.paused) && !m.now.Before(x.cut)
}

// run advances the time.
func (m *votersModel) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end) && m.err == nil; {
		m.now = m.now.Add(votersModelStep)
		m.deliver()
		for _, name := range m.names {
			x := m.instances[name]
			if x.node == nil && !x.startAt.IsZero() && !m.now.Before(x.startAt) {
				m.start(x)
			}
			switch {
			case m.reachable(x):
				x.outSince = time.Time{}
			case x.outSince.IsZero():
				x.outSince = m.now
			}
			m.work(x)
		}
		m.countDisturbance()
		m.observeChanges()
		if m.count != nil && !m.now.Before(m.nextCount) {
			m.nextCount = m.now.Add(cmp.Or(m.count.interval, lossCountInterval))
			m.countLosses(m.count)
		}
	}
}

// countDisturbance delays the next loss of a disk by what exceeds disturbanceLimit.
func (m *votersModel) countDisturbance() {
	if slices.ContainsFunc(m.names, func(name string) bool { return !m.reachable(m.instances[name]) && !m.instances[name].ended }) {
		m.lastOut = m.now
	}
	if m.now.Sub(m.lastOut) >= electionTime {
		return
	}
	for _, l := range m.losses {
		if m.now.Before(l.startAt) || !m.now.Before(l.freeAt) {
			continue
		}
		if l.disturbed += votersModelStep; l.disturbed > disturbanceLimit {
			l.freeAt = l.freeAt.Add(votersModelStep)
		}
	}
}

// lose records a loss whose successor starts at a time.
func (m *votersModel) lose(successor time.Time) *modelLoss {
	l := &modelLoss{startAt: successor, freeAt: successor.Add(changeLimit)}
	m.losses = append(m.losses, l)
	return l
}

// mayLose returns how many more disks may be lost now.
func (m *votersModel) mayLose() int {
	m.losses = slices.DeleteFunc(m.losses, func(l *modelLoss) bool { return !m.now.Before(l.freeAt) })
	return m.tolerance - len(m.losses)
}

func (m *votersModel) deliver() {
	for len(m.arrivals) > 0 && !m.arrivals[0].due.After(m.now) {
		msg := m.arrivals[0].msg
		m.arrivals = m.arrivals[1:]
		x, ok := m.instances[voterName(msg.To)]
		from, known := m.instances[voterName(msg.From)]
		if ok && known && x.node != nil && !m.now.Before(x.cut) && !m.now.Before(from.cut) {
			x.queue = append(x.queue, msg)
		}
	}
}

// work does what the loop of a voter does.
func (m *votersModel) work(x *modelInstance) {
	if x.node == nil || m.now.Before(x.paused) {
		return
	}
	if m.now.Sub(x.worked) >= maxPause {
		x.node.Tick(m.now)
		x.known = nil
	}
	x.worked = m.now
	saved, ticks := x.saving != nil && !m.now.Before(x.busy), !m.now.Before(x.nextTick)
	if !saved && !ticks && len(x.queue) == 0 && x.known != nil {
		return // nothing has happened
	}
	if saved {
		rd := *x.saving
		x.saving = nil
		x.save(rd)
		m.finish(x, rd)
		m.processReady(x)
	}
	for _, msg := range x.queue {
		x.node.Step(msg, m.now)
		x.known = nil
	}
	x.queue = nil
	if ticks {
		x.nextTick = m.now.Add(consensusTick)
		x.node.Tick(m.now)
		x.known = nil
		m.observe(x)
		m.lead(x)
	}
	m.processReady(x)
}

// processReady does the work that the node returns until all that is left waits for the disk.
func (m *votersModel) processReady(x *modelInstance) {
	ready := x.node.Ready
	if x.saving != nil {
		ready = x.node.ReadyDuringSave
	}
	for rd := ready(); !rd.Empty() || x.node.SnapshotWanted(); rd = ready() {
		x.known = nil
		if rd.Empty() {
			x.node.ProvideSnapshot(modelData[:m.transfer.snapshotBytes])
			continue
		}
		if rd.MustSave() {
			m.send(rd.EarlyMessages())
			x.saving, x.busy = &rd, m.now.Add(m.sync+time.Duration(m.Int64N(int64(m.sync)))+m.transfer.saveTime(rd))
			ready = x.node.ReadyDuringSave
			continue
		}
		m.finish(x, rd)
	}
	if f := x.status().Fault; f != nil {
		m.err = f
	}
}

func (x *modelInstance) save(rd gwquorum.Ready) {
	x.hard = rd.HardState
	if s := rd.Snapshot; s != nil {
		x.snap = *s
		x.entries = slices.DeleteFunc(x.entries, func(e gwquorum.Entry) bool { return e.Index <= s.Index || rd.Restore })
	}
	if len(rd.Entries) > 0 {
		first := rd.Entries[0].Index
		x.entries = slices.DeleteFunc(x.entries, func(e gwquorum.Entry) bool { return e.Index >= first })
		x.entries = append(x.entries, rd.Entries...)
	}
}

// finish sends the messages of rd and records what was committed. Every committed entry counts
// as acknowledged.
func (m *votersModel) finish(x *modelInstance, rd gwquorum.Ready) {
	m.send(rd.LateMessages())
	for _, e := range rd.Committed {
		was, ok := m.committed[e.Index]
		switch {
		case ok && was.Term != e.Term:
			m.err = fmt.Errorf("%s applies entry %d of term %d, but the committed entry has term %d", x.id, e.Index, e.Term, was.Term)
		case !ok && e.Kind == gwquorum.EntryData:
			m.commits++
		}
		m.committed[e.Index] = e
		if e.Index > m.lastCommitted.Index {
			m.lastCommitted = e
		}
	}
	x.node.Advance(rd)
	x.known = nil
	m.compact(x)
}

func (m *votersModel) send(messages []gwquorum.Message) {
	for _, msg := range messages {
		from, to := m.instances[voterName(msg.From)], m.instances[voterName(msg.To)]
		if from == nil || to == nil || m.now.Before(from.cut) || m.now.Before(to.cut) {
			continue
		}
		due, sent := m.transmit(msg)
		if !sent {
			continue
		}
		a := modelArrival{due: due, msg: msg}
		i, _ := slices.BinarySearchFunc(m.arrivals, a, func(x, y modelArrival) int { return cmp.Or(x.due.Compare(y.due), -1) })
		m.arrivals = slices.Insert(m.arrivals, i, a)
	}
}

// lead does what the leader does: it proposes entries and makes the planned changes, each as
// soon as the one before is committed and the identities are known.
func (m *votersModel) lead(x *modelInstance) {
	st := x.status()
	if !st.LeaderReady {
		x.pending = 0
		return
	}
	if !m.now.Before(m.nextWrite) {
		m.nextWrite = m.now.Add(m.writes)
		_, _, _ = x.node.Propose(m.transfer.entry())
		x.known = nil
	}
	if x.pending > 0 && (st.Commit < x.pending && st.Term == x.pendingTerm) {
		x.nextPlan = m.now.Add(60 * time.Millisecond)
		return
	}
	x.pending = 0
	if m.now.Before(x.nextPlan) {
		return
	}
	x.nextPlan = m.now.Add(m.interval)
	plan := m.plan(x, st)
	change, reason := plan.next()
	x.reason = reason
	if change == (gwquorum.Change{}) {
		return
	}
	if leaves(change, st.ID) {
		if to := plan.nextLeader(x.handOvers, m.now); to != "" {
			x.handOvers.record(to, m.now)
			_ = x.node.TransferLeadership(to)
			x.known = nil
		}
		return
	}
	x.known = nil
	if err := x.node.ProposeChange(change); err != nil {
		x.reason = err.Error()
		return
	}
	m.log("%s of term %d: change %d of %s%s, was %v | %v", x.id, st.Term, change.Kind, change.Instance, change.Replaced, st.Voters, st.Learners)
	x.pending, x.pendingTerm = x.status().Last, st.Term
}
