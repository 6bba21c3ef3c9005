package gwcontrol

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// loseDisk destroys an instance and its disk. An empty successor starts at another address, or
// at the same one, after the time d. The loss counts unless the instance has another successor.
func (m *votersModel) loseDisk(x *modelInstance, d time.Duration, sameName bool) {
	voter := false
	if l := m.leader(); l != nil {
		voter = slices.Contains(l.status().Voters, x.id)
	}
	m.remove(x)
	name := x.name
	// An instance at a new address is the successor of another, never one that has a successor.
	sameName = sameName || !x.freeAt.IsZero()
	if !sameName {
		name = fmt.Sprintf("n%d", m.started+1)
	}
	s := m.create(name, x.dataCentre)
	s.startAt, s.outSince, s.freeAt, s.added = m.now.Add(d), m.now, x.freeAt, x.added
	if sameName {
		s.upSince, s.outSince = x.upSince, x.outSince
	}
	if m.hasSuccessor(x) {
		m.log("disk of the predecessor %s lost, %s starts in %s", x.id, s.id, d)
		return
	}
	m.lose(s.startAt)
	if voter {
		m.changing[s.name] = modelChange{at: s.startAt}
	}
	m.log("disk of %s lost, %s starts in %s", x.id, s.id, d)
}

// startSuccessor starts a successor beside an instance that still runs.
func (m *votersModel) startSuccessor(x *modelInstance) {
	s := m.create(fmt.Sprintf("n%d", m.started+1), x.dataCentre)
	s.startAt, s.added, x.freeAt = m.now, x.added, m.now.Add(changeLimit)
	m.lose(m.now)
	m.changing[s.name] = modelChange{at: m.now, predecessor: x.name}
	m.log("%s starts as the successor of %s", s.id, x.id)
}

// hasSuccessor reports whether an instance has a successor that has had changeLimit to replace it.
func (m *votersModel) hasSuccessor(x *modelInstance) bool {
	return !x.freeAt.IsZero() && !m.now.Before(x.freeAt)
}

// end ends an instance for good. After SIGTERM the others know of it at once.
func (m *votersModel) end(x *modelInstance) {
	m.log("%s ends", x.id)
	if m.IntN(2) == 0 {
		m.remove(x)
		return
	}
	x.node, x.saving, x.ended = nil, nil, true
}

// disturbSuccession starts a successor beside its predecessor, ends a predecessor or lets it lose
// its disk, adds an instance to each data centre, or removes an added one.
func (m *votersModel) disturbSuccession() {
	for _, name := range m.names {
		if x := m.instances[name]; x.ended && m.now.Sub(x.outSince) > 2*deathAfter {
			m.remove(x)
		}
	}
	x := m.instances[m.names[m.IntN(len(m.names))]]
	switch may := m.mayLose(); {
	case x.ended:
	case m.hasSuccessor(x) && m.IntN(4) == 0:
		m.loseDisk(x, m.between(200*time.Millisecond, 6*time.Second), true)
	case !x.freeAt.IsZero():
		m.end(x)
	case may > 0 && x.added && m.IntN(2) == 0:
		m.lose(m.now).freeAt = m.now.Add(leaveLimit)
		m.end(x)
	case may > 0 && len(m.instances) < 2*m.initial && !x.firstUp.IsZero():
		m.startSuccessor(x)
	}
}

// add adds one instance to each data centre.
func (m *votersModel) add() {
	for i := range m.initial {
		s := m.create(fmt.Sprintf("n%d", m.started+1), string(rune('a'+i)))
		s.startAt, s.added = m.now.Add(m.between(0, 300*time.Millisecond)), true
	}
	m.log("an instance is added to each data centre")
}

// observeChanges records how long a successor took to vote, in a group without the lost voter or
// the predecessor and with an odd number of voters.
func (m *votersModel) observeChanges() {
	l := m.leader()
	if l == nil || len(m.changing) == 0 {
		return
	}
	st := l.status()
	if st.Commit < l.pending || len(st.Outgoing) > 0 || len(st.Voters)%2 == 0 || slices.ContainsFunc(st.Voters, func(id string) bool { return !m.exists(id) }) {
		return
	}
	for name, c := range m.changing {
		if m.now.Before(c.at) || slices.ContainsFunc(st.Voters, func(id string) bool { return voterName(id) == c.predecessor }) {
			continue
		}
		delete(m.changing, name)
		m.took = append(m.took, m.now.Sub(c.at))
		m.log("the voters are %v, %s after the start of %s", st.Voters, m.now.Sub(c.at), name)
	}
}

// exists reports whether the disk of an identity still exists.
func (m *votersModel) exists(id string) bool {
	x, ok := m.instances[voterName(id)]
	return ok && x.id == id
}

// disturb makes one random fault of those that are allowed together.
func (m *votersModel) disturb() {
	x := m.instances[m.names[m.IntN(len(m.names))]]
	if m.mayLose() > 0 && m.IntN(2) == 0 {
		m.loseDisks()
		return
	}
	switch m.IntN(10) {
	case 0, 1, 2:
		if x.node != nil {
			m.log("%s stops", x.id)
			m.stop(x, m.between(200*time.Millisecond, 3*time.Second))
		}
	case 3:
		x.paused = m.now.Add(m.between(100*time.Millisecond, 2500*time.Millisecond))
		m.log("%s pauses for %s", x.id, x.paused.Sub(m.now))
	case 4:
		x.cut = m.now.Add(m.between(100*time.Millisecond, 4*time.Second))
		m.log("%s is cut off for %s", x.id, x.cut.Sub(m.now))
	case 5:
		if m.IntN(3) == 0 {
			m.log("power lost everywhere")
			for _, name := range m.names {
				if y := m.instances[name]; y.node != nil {
					m.stop(y, m.between(500*time.Millisecond, 2*time.Second))
				}
			}
		}
	case 6:
		m.sync = []time.Duration{5, 5, 30, 60, 100}[m.IntN(5)] * time.Millisecond
		m.log("syncs take %s and more", m.sync)
	case 7:
		if l := m.leader(); l != nil && l.saving == nil {
			m.log("%s gives the leadership away", l.id)
			_ = l.node.TransferLeadership("")
			l.known = nil
		}
	case 8, 9:
		m.disturbSuccession()
	}
}

// loseDisks loses one disk, or as many as may be lost at the same time. At the same moment all
// predecessors that have a successor may end.
func (m *votersModel) loseDisks() {
	if m.IntN(2) == 0 {
		for _, name := range m.names {
			if x := m.instances[name]; m.hasSuccessor(x) && !x.ended {
				m.end(x)
			}
		}
	}
	for m.mayLose() > 0 {
		x := m.instances[m.names[m.IntN(len(m.names))]]
		if !x.ended {
			m.loseDisk(x, m.between(200*time.Millisecond, 6*time.Second), m.IntN(2) == 0)
		}
		if m.IntN(2) == 0 {
			return
		}
	}
}

// calm ends all faults and waits until all processes run.
func (m *votersModel) calm() {
	m.sync = 5 * time.Millisecond
	for _, name := range m.names {
		x := m.instances[name]
		x.paused, x.cut = m.now, m.now
		if x.node == nil {
			m.run(max(0, x.startAt.Sub(m.now)) + votersModelStep)
		}
	}
	m.log("calm")
}

// requireCommit requires that an entry is committed within the given time.
func (m *votersModel) requireCommit(within time.Duration) error {
	was := m.commits
	for end := m.now.Add(within); m.now.Before(end) && m.err == nil; {
		if m.commits > was+5 {
			return nil
		}
		m.run(50 * time.Millisecond)
	}
	if m.err != nil {
		return m.err
	}
	var states []string
	for _, name := range m.names {
		if x := m.instances[name]; x.node != nil {
			st := x.status()
			states = append(states, fmt.Sprintf("%s: %s of term %d, last %d, commit %d, voters %v | %v, %s", st.ID, st.Role, st.Term, st.Last, st.Commit, st.Voters, st.Learners, x.reason))
		}
	}
	return fmt.Errorf("nothing committed for %s: %q", within, states)
}

// play runs rounds of faults and calm. After the calm, the loss of one more disk must leave a
// group that commits.
func (m *votersModel) play(rounds int) error {
	m.run(2 * time.Second)
	for range rounds {
		for range 4 + m.IntN(10) {
			m.disturb()
			m.run(m.between(50*time.Millisecond, 1500*time.Millisecond))
		}
		m.calm()
		if err := m.requireCommit(6 * time.Second); err != nil {
			return err
		}
		for m.mayLose() < m.tolerance {
			m.run(max(votersModelStep, m.losses[0].freeAt.Sub(m.now)))
		}
		if m.IntN(2) == 0 {
			m.run(m.between(0, 4*time.Second))
		}
	}
	return m.err
}

// votersSchedules returns the first seed and the number of schedules, unless the environment names
// others.
func votersSchedules(first, count int) (int, int) {
	if s, err := strconv.Atoi(os.Getenv("GENTIANWARD_VOTERS_SEED")); err == nil {
		first = s
	}
	if n, err := strconv.Atoi(os.Getenv("GENTIANWARD_VOTERS_SCHEDULES")); err == nil {
		count = n
	}
	return first, count
}

// Guards against a change of the voters that stays undone or stops halfway, so that the next
// loss of a disk stops the group for good, also with a predecessor that still runs, and against
// lost entries, over random schedules of replaced and lost disks, successors beside their
// predecessors, added instances, crashes, pauses, cuts, slow disks and losses of power everywhere.
// GENTIANWARD_VOTERS_SEED and GENTIANWARD_VOTERS_SCHEDULES choose others.
func TestVotersChangeUnderFaults(t *testing.T) {
	t.Parallel()
	first, count := votersSchedules(1000, 40)
	changes := 0
	losses := lossCount{interval: 200 * time.Millisecond}
	for seed := first; seed < first+count; seed++ {
		m := newVotersModel(uint64(seed), 3, seed%3/2)
		switch seed % 8 {
		case 3:
			m.add()
		case 5:
			m = newVotersModel(uint64(seed), 6, 0)
			m.tolerance = 2
		case 7:
			m = newVotersModel(uint64(seed), 5, 0)
		}
		m.replaces, m.count = seed%4 > 0, &losses
		err := m.play(4)
		assert.NoError(t, err, "seed %d: %q", seed, m.trace)
		changes += len(m.took)
	}
	t.Logf("seeds %d to %d: %d replaced voters; of %d losses of disks and power, no quorum after %d", first, first+count-1, changes, losses.all, losses.noQuorum)
	assert.Zero(t, losses.incomplete, "losses after which something committed is missing: %s", losses.first)
	assert.Greater(t, changes, count, "replaced voters")
}

// Guards against a change of the voters that takes longer than a disk is safe from loss after the
// start of a successor, with steady writes, slow disks, a change of the leader, or a voter that is
// cut off or paused, in its middle.
func TestVotersChangeInTime(t *testing.T) {
	t.Parallel()
	const outage = 2 * time.Second
	tests := []struct {
		name  string
		sync  time.Duration // of the disks, up to twice that
		limit time.Duration
		fault func(m *votersModel, leader, other *modelInstance)
	}{
		{"steady writes", 5 * time.Millisecond, changeLimit, nil},
		{"slow disks", 100 * time.Millisecond, changeLimit, nil},
		{"the leadership moves", 5 * time.Millisecond, changeLimit, func(_ *votersModel, l, _ *modelInstance) { _, l.known = l.node.TransferLeadership(""), nil }},
		{"the leadership moves on slow disks", 100 * time.Millisecond, changeLimit, func(_ *votersModel, l, _ *modelInstance) { _, l.known = l.node.TransferLeadership(""), nil }},
		{"the leader stops", 5 * time.Millisecond, changeLimit, func(m *votersModel, l, _ *modelInstance) { m.stop(l, time.Second) }},
		{"a voter is cut off", 5 * time.Millisecond, changeLimit, func(m *votersModel, _, o *modelInstance) { o.cut = m.now.Add(outage) }},
		{"a voter pauses", 5 * time.Millisecond, changeLimit, func(m *votersModel, _, o *modelInstance) { o.paused = m.now.Add(outage) }},
		{"the leader pauses", 5 * time.Millisecond, changeLimit, func(m *votersModel, l, _ *modelInstance) { l.paused = m.now.Add(outage) }},
		// An election on slow disks, and three changes of up to 1 s each, leave no room for a pause.
		{"a voter pauses on slow disks", 100 * time.Millisecond, changeLimit + outage, func(m *votersModel, _, o *modelInstance) { o.paused = m.now.Add(outage) }},
	}
	for _, tt := range tests {
		var slowest time.Duration
		for seed := range uint64(10) {
			m := newVotersModel(seed, 3, 0)
			m.sync = tt.sync
			m.run(3 * time.Second)
			lost := m.instances[m.names[seed%3]]
			m.loseDisk(lost, 3*time.Second, seed%2 == 0)
			m.run(3*time.Second + m.between(0, 1500*time.Millisecond))
			l := m.leader()
			if tt.fault != nil && l != nil {
				tt.fault(m, l, m.instances[m.otherVoter(l)])
			}
			for waited := time.Duration(0); waited < 8*time.Second && len(m.took) == 0; waited += 100 * time.Millisecond {
				m.run(100 * time.Millisecond)
			}
			if assert.NoError(t, m.err) && assert.Len(t, m.took, 1, "%s, seed %d: the voters have not changed: %q", tt.name, seed, m.trace) {
				slowest = max(slowest, m.took[0])
				assert.LessOrEqual(t, m.took[0], tt.limit, "%s, seed %d: %q", tt.name, seed, m.trace)
			}
		}
		t.Logf("%s: at most %s", tt.name, slowest)
	}
}

// Guards against a successor that stays a learner as long as its predecessor runs: the loss of
// another disk when the predecessor ends left one of three voters.
func TestSuccessorBesideItsPredecessor(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name             string
		instances, disks int
		stays            time.Duration // of the predecessor, after the start of the successor
		fault            func(m *votersModel, predecessor *modelInstance)
	}{
		{"the predecessor ends with the other disk", 3, 1, changeLimit, nil},
		{"it stays for long", 3, 1, 20 * time.Second, nil},
		{"it restarts before it ends", 3, 1, changeLimit, func(m *votersModel, x *modelInstance) { m.stop(x, time.Second) }},
		{"it pauses before it ends", 3, 1, changeLimit, func(m *votersModel, x *modelInstance) { x.paused = m.now.Add(2 * time.Second) }},
		{"it is cut off before it ends", 3, 1, changeLimit, func(m *votersModel, x *modelInstance) { x.cut = m.now.Add(2 * time.Second) }},
		{"it loses its disk before it ends", 3, 1, 2 * changeLimit, func(m *votersModel, x *modelInstance) {
			m.run(changeLimit)
			m.loseDisk(x, time.Second, true)
		}},
		{"four instances", 4, 1, changeLimit, nil},
		{"five instances", 5, 1, changeLimit, nil},
		{"six instances, two other disks", 6, 2, changeLimit, nil},
	}
	for _, tt := range tests {
		for seed := range uint64(6) {
			m := newVotersModel(seed, tt.instances, 0)
			m.tolerance = tt.disks
			m.run(3 * time.Second)
			x := m.instances[m.names[int(seed)%tt.instances]]
			m.startSuccessor(x)
			at := m.now
			m.run(m.between(0, time.Second))
			if tt.fault != nil {
				tt.fault(m, x)
			}
			m.run(max(0, at.Add(tt.stays).Sub(m.now)) + m.between(0, time.Second))
			if x = m.instances[x.name]; seed%2 == 0 {
				m.end(x)
			}
			for range tt.disks {
				i := slices.IndexFunc(m.names, func(name string) bool { return name != x.name && m.instances[name].node != nil })
				m.loseDisk(m.instances[m.names[i]], time.Second, false)
			}
			if seed%2 > 0 {
				m.end(x)
			}
			assert.NoError(t, m.requireCommit(6*time.Second), "%s, seed %d: %q", tt.name, seed, m.trace)
		}
	}
}

// Guards against an added instance that has taken a seat, leaves without a successor and keeps it:
// the loss of another disk 4 s later left one of three voters.
func TestAddedInstanceLeavesItsSeat(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		m := newVotersModel(seed, 3, 0)
		m.run(3 * time.Second)
		m.add()
		m.run(changeLimit)
		var added, others []*modelInstance
		for _, name := range m.names {
			if x := m.instances[name]; x.added {
				added = append(added, x)
			}
		}
		leaves := added[int(seed)%len(added)]
		m.end(leaves)
		m.run(leaveLimit + m.between(0, 500*time.Millisecond))
		for _, name := range m.names {
			if x := m.instances[name]; x != leaves && x.node != nil && x.dataCentre != leaves.dataCentre {
				others = append(others, x)
			}
		}
		m.loseDisk(others[int(seed)%len(others)], time.Second, seed%2 == 0)
		assert.NoError(t, m.requireCommit(6*time.Second), "seed %d: %q", seed, m.trace)
	}
}

// otherVoter returns the name of a voter that does not lead and still has its disk.
func (m *votersModel) otherVoter(l *modelInstance) string {
	i := slices.IndexFunc(l.status().Voters, func(id string) bool { return id != l.id && m.exists(id) })
	return voterName(l.status().Voters[i])
}
