package gwcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// Guards against first instances that are taken for successors. The settings of a first start name
// three instances, so that the leader adds the others after the start; of two of one age in each
// data centre one is then no voter, and the loss of two disks leaves one voter of three.
func TestFirstInstancesAreNoSuccessors(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name        string
		dataCentres string // of the instances beside the three voters of the start
	}{
		{"five instances in three data centres", "ab"},
		{"six instances in three data centres", "abc"},
	}
	for _, tt := range tests {
		for seed := range uint64(3) {
			m := newVotersModel(seed, 3, len(tt.dataCentres))
			m.tolerance = 2
			for i, dc := range tt.dataCentres {
				m.instances[string(rune('d'+i))].dataCentre = string(dc)
			}
			m.run(20 * time.Second)
			l := m.leader()
			require.NotNil(t, l, tt.name)
			voters := l.status().Voters
			assert.Len(t, voters, 5, "%s, seed %d: %q", tt.name, seed, m.trace)
			for _, id := range voters[:2] {
				m.loseDisk(m.instances[voterName(id)], time.Second, true)
			}
			assert.NoError(t, m.requireCommit(6*time.Second), "%s, seed %d: voters were %v: %q", tt.name, seed, voters, m.trace)
		}
	}
}

// Guards against a predecessor that has the rank of its successor. It was cut off until it was
// given up and removed, its successor took its rank, and it kept it too. When another instance
// then loses its disk, the predecessor takes that seat and keeps it, so that its end beside the
// loss of one disk leaves one voter of three.
func TestPredecessorReturnsAfterItWasGivenUp(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		m := newVotersModel(seed, 3, 0)
		m.run(3 * time.Second)
		predecessor := m.instances["b"]
		m.startSuccessor(predecessor)
		m.run(2 * changeLimit)
		predecessor.cut = m.now.Add(absenceLimit + 5*time.Second)
		m.run(absenceLimit + 5*time.Second + 2*changeLimit)
		m.loseDisk(m.instances["c"], time.Second, true)
		m.run(time.Second + 3*changeLimit)
		require.Equal(t, m.tolerance, m.mayLose())
		l := m.leader()
		require.NotNil(t, l)
		voters := l.status().Voters
		assert.NotContains(t, voters, predecessor.id, "seed %d: it may end at any moment: %q", seed, m.trace)
		m.end(predecessor)
		m.loseDisk(m.instances["a"], time.Second, true)
		assert.NoError(t, m.requireCommit(6*time.Second), "seed %d: voters were %v: %q", seed, voters, m.trace)
	}
}

// Guards against an added instance that took the seat of an older one and holds it after it has
// ended for good. The soak (redundancy.remove) lets another disk be lost catchUpLimit after that;
// here the others also have deathAfter to notice.
func TestAddedInstanceEnds(t *testing.T) {
	for seed := range uint64(3) {
		m := newVotersModel(seed, 3, 0)
		m.run(3 * time.Second)
		added := m.create("n4", "b")
		added.startAt, added.added = m.now, true
		m.run(2 * changeLimit)
		m.end(added)
		m.run(deathAfter + changeLimit)
		l := m.leader()
		require.NotNil(t, l)
		voters := l.status().Voters
		assert.NotContains(t, voters, added.id, "seed %d: %q", seed, m.trace)
		m.loseDisk(m.instances["a"], time.Second, true)
		assert.NoError(t, m.requireCommit(6*time.Second), "seed %d: voters were %v: %q", seed, voters, m.trace)
	}
}

// Guards against seniority in the order in which the leader gets to know the instances. A successor
// that is cut off from its start on is itself succeeded before the leader knows it. It must not be
// taken for the younger one when it comes into reach, as it may end at any moment.
func TestSuccessorsRankInTheOrderOfTheirStarts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		m := newVotersModel(seed, 3, 0)
		m.run(3 * time.Second)
		m.startSuccessor(m.instances["b"])
		first := m.instances["n4"]
		first.cut = m.now.Add(changeLimit + 2*time.Second)
		m.run(changeLimit + time.Second)
		m.startSuccessor(first)
		second := m.instances["n5"]
		m.run(4 * changeLimit)
		l := m.leader()
		require.NotNil(t, l)
		voters := l.status().Voters
		assert.Contains(t, voters, second.id, "seed %d: %q", seed, m.trace)
		m.end(first)
		m.loseDisk(m.instances["a"], time.Second, true)
		assert.NoError(t, m.requireCommit(6*time.Second), "seed %d: voters were %v: %q", seed, voters, m.trace)
	}
}

// Guards against a voter that the list of the manifest names no more and that stays a member for as
// long as it runs, since Replace makes it a learner instead of removing it.
func TestUnlistedVoterIsRemoved(t *testing.T) {
	st, view := seatStatus([]seatMember{{id: "a"}, {id: "b"}, {id: "d", rank: 50}, {id: "c", learner: true}})
	view.listed = true
	delete(view.identities, "c")
	change, reason := newVoterPlan(st, view).next()
	assert.Equal(t, gwquorum.Change{Kind: gwquorum.Remove, Instance: "c"}, change, reason)
}

// Guards against a successor that makes three voters of five, where two disks may be lost: of five
// instances in three data centres, one of the data centres with two gets a successor. No voters hold
// in all situations, as nobody knows which of the two is replaced, but with three voters two disks
// are too many even if all others run; with five, that holds.
func TestSuccessorBesideTwoKeepsFiveVoters(t *testing.T) {
	live := []string{"a", "a2", "b", "b2", "c"}
	st := &memberStatus{gwquorum.Status{ID: "c", Commit: 10, Last: 10}}
	for _, id := range live {
		st.Voters = append(st.Voters, id)
		st.Peers = append(st.Peers, gwquorum.PeerStatus{Instance: id, Match: 10})
	}
	st.settle(t, live...)
	require.Len(t, st.Voters, 5)
	st.settle(t, append(live, "ax")...)
	assert.Len(t, st.Voters, 5, "%v", st.Voters)
	assert.Contains(t, st.Voters, "ax")
}
