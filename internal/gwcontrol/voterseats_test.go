package gwcontrol

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/pkg/gwmember"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// seatMember is a member of a log in which a leads. Its data centre is the first letter of its
// name, unless it is placeless.
type seatMember struct {
	id            string
	rank          uint64
	learner       bool
	away, forLong bool // it does not answer and is not live, for absenceLimit or longer
	vacant        bool // it is not live for a short time, and has not answered for seatLimit
	unasked       bool // it is not live for absenceLimit, and the leader has just been elected
	behind        bool
	placeless     bool
}

func seatStatus(members []seatMember) (gwquorum.Status, voterView) {
	st := gwquorum.Status{ID: "a", Commit: 1000, Last: 1000, Ranks: make(map[string]uint64)}
	v := voterView{identities: make(map[string]string), dataCentres: make(map[string]string), replaces: true}
	v.now = time.Unix(1000, 0)
	v.lastSeen = func(name string) time.Time {
		if slices.ContainsFunc(members, func(m seatMember) bool { return voterName(m.id) == name && m.forLong }) {
			return v.now.Add(-absenceLimit)
		}
		return v.now.Add(1 - seatLimit)
	}
	for _, m := range members {
		st.Ranks[m.id] = m.rank
		if m.learner {
			st.Learners = append(st.Learners, m.id)
		} else {
			st.Voters = append(st.Voters, m.id)
		}
		away := m.away || m.forLong || m.vacant
		if m.id != st.ID {
			match := st.Commit
			if m.behind {
				match = 1
			}
			st.Peers = append(st.Peers, gwquorum.PeerStatus{Instance: m.id, Learner: m.learner, Active: !away, Match: match, LastReplyAt: v.now.Add(1 - seatLimit)})
			if m.unasked {
				st.Peers[len(st.Peers)-1].LastReplyAt = v.now.Add(1 - replyLimit)
			}
			if m.vacant {
				st.Peers[len(st.Peers)-1].LastReplyAt = v.now.Add(-seatLimit)
			}
		}
		if !away {
			v.identities[voterName(m.id)] = m.id
		}
		if !m.placeless {
			v.dataCentres[voterName(m.id)] = m.id[:1]
		}
	}
	return st, v
}

// Guards against a successor that waits for the end of its predecessor, against a plain restart
// that costs a voter its seat, and against a seat that an older instance takes from a newer one.
func TestVoterSeats(t *testing.T) {
	replace := func(learner, voter string) gwquorum.Change {
		return gwquorum.Change{Kind: gwquorum.Replace, Instance: learner, Replaced: voter}
	}
	change := func(kind gwquorum.ChangeKind, id, heir string) gwquorum.Change {
		return gwquorum.Change{Kind: kind, Instance: id, Heir: heir}
	}
	none := gwquorum.Change{}
	a, b, c := seatMember{id: "a"}, seatMember{id: "b"}, seatMember{id: "c"}
	bx := seatMember{id: "bx", rank: 50}
	learner := func(m seatMember) seatMember { m.learner = true; return m }
	away := func(m seatMember) seatMember { m.away = true; return m }
	unasked := func(m seatMember) seatMember { m.forLong, m.unasked = true, true; return m }
	vacant := func(m seatMember) seatMember { m.vacant = true; return m }
	forLong := func(m seatMember) seatMember { m.forLong = true; return m }
	behind := func(m seatMember) seatMember { m.behind = true; return m }
	placeless := func(m seatMember) seatMember { m.placeless = true; return m }
	tests := []struct {
		name    string
		members []seatMember
		want    gwquorum.Change
		reason  string
	}{
		{"a successor takes the seat of its running predecessor", []seatMember{a, b, c, learner(bx)}, replace("bx", "b"), ""},
		{"then nothing is to be done", []seatMember{a, learner(b), c, bx}, none, ""},
		{"a successor that is behind waits", []seatMember{a, b, c, learner(behind(bx))}, none, "learner bx has entry 1 of 1000, answers: true"},
		{"a successor that is away does not count", []seatMember{a, b, c, learner(away(bx))}, none, ""},
		{"the leader is replaced by its successor", []seatMember{a, b, c, learner(seatMember{id: "ax", rank: 50})}, replace("ax", "a"), ""},
		{"a second successor takes the seat of the first", []seatMember{a, learner(b), c, bx, learner(seatMember{id: "bxx", rank: 90})}, replace("bxx", "bx"), ""},
		{"a fourth data centre does not take a seat", []seatMember{a, b, c, learner(seatMember{id: "d", rank: 50})}, none, ""},
		{"nor while a voter restarts, though it is older", []seatMember{a, b, away(c), learner(seatMember{id: "d", rank: 50})}, none, ""},
		{"it does once that is given up", []seatMember{a, b, forLong(c), learner(seatMember{id: "d", rank: 50})}, replace("d", "c"), ""},
		{"or has not answered for longer than a restart takes", []seatMember{a, b, vacant(c), learner(seatMember{id: "d", rank: 50})}, replace("d", "c"), ""},
		{"a predecessor takes the seat of a successor that has not answered for that time", []seatMember{a, learner(b), c, vacant(bx)}, replace("b", "bx"), ""},
		{"a voter has some time to answer a new leader", []seatMember{a, b, unasked(c), learner(seatMember{id: "d", rank: 50})}, none, ""},
		{"a learner that has not answered for that time is kept", []seatMember{a, learner(vacant(b)), c, bx}, none, ""},
		{"a successor takes the seat of a predecessor that is away at once", []seatMember{a, away(b), c, learner(bx)}, replace("bx", "b"), ""},
		{"so does the new identity of an instance", []seatMember{a, {id: "b", away: true}, c, learner(seatMember{id: "b#1"})}, replace("b#1", "b"), ""},
		{"a predecessor does not take the seat of its successor that restarts", []seatMember{a, learner(b), c, away(bx)}, none, ""},
		{"it does once that is given up, too", []seatMember{a, learner(b), c, forLong(bx)}, replace("b", "bx"), ""},
		{"a voter that the leader has never seen is replaced by a younger one", []seatMember{a, b, placeless(away(c)), learner(seatMember{id: "n", rank: 50})}, replace("n", "c"), ""},
		{"not by one of its age", []seatMember{a, b, placeless(away(c)), learner(seatMember{id: "n"})}, none, ""},
		{"the group does not grow before the places of all voters are known", []seatMember{a, b, placeless(c), learner(seatMember{id: "d"}), learner(seatMember{id: "e"})}, none, ""},
		{"it grows then", []seatMember{a, b, c, learner(seatMember{id: "d"}), learner(seatMember{id: "e"})}, change(gwquorum.Promote, "d", ""), ""},
		{"a learner that is away is kept", []seatMember{a, learner(away(b)), c, bx}, none, ""},
		{"one that is given up is removed, and its successor takes its rank", []seatMember{a, learner(forLong(b)), c, bx}, change(gwquorum.Remove, "b", "bx"), ""},
		{"a lost voter is kept if nobody can replace it", []seatMember{a, b, forLong(c)}, none, "no instance can replace [c]"},
		{"a replacement that no quorum of the voters after it carries is not made", []seatMember{a, b, away(c), learner(bx), away(seatMember{id: "d"}), {id: "e", behind: true}}, none, "2 of the voters [a c d e bx] would answer and have caught up, the quorum is 3"},
		{"a replacement that no quorum of the voters before it carries is not made", []seatMember{a, b, behind(c), learner(seatMember{id: "cx", rank: 50, behind: true}), learner(bx), away(seatMember{id: "d"}), away(seatMember{id: "e"})}, none, "2 of the voters [a b c d e] would answer and have caught up, the quorum is 3"},
	}
	for _, tt := range tests {
		got, reason := newVoterPlan(seatStatus(tt.members)).next()
		assert.Equal(t, tt.want, got, tt.name)
		assert.Equal(t, tt.reason, reason, tt.name)
	}
}

// Guards against a member of an earlier release that takes the voters during a replacement for
// those after it, and against the order of the two changes that replace a voter then.
func TestVoterSeatsWithoutReplace(t *testing.T) {
	members := []seatMember{{id: "a"}, {id: "b"}, {id: "c"}, {id: "bx", rank: 50, learner: true}}
	next := func() gwquorum.Change {
		st, view := seatStatus(members)
		view.replaces = false
		change, _ := newVoterPlan(st, view).next()
		return change
	}
	assert.Equal(t, gwquorum.Change{Kind: gwquorum.Promote, Instance: "bx"}, next())
	members[3].learner = false
	assert.Equal(t, gwquorum.Change{Kind: gwquorum.Remove, Instance: "b"}, next(), "the predecessor runs, so nobody takes its rank")
	members = slices.Delete(members, 1, 2)
	assert.Equal(t, gwquorum.Change{}, next())

	st, view := seatStatus(members)
	st.Ranks["b"] = 7
	view.identities["b"] = "b"
	change, _ := newVoterPlan(st, view).next()
	rank := uint64(7)
	assert.Equal(t, gwquorum.Change{Kind: gwquorum.AddLearner, Instance: "b", Rank: &rank}, change, "it keeps its rank")
}

// Guards against a leader that is replaced and leaves the leadership to a voter that is not wanted,
// or stops all commits by one attempt after the other at a voter that cannot take over.
func TestLeaderIsReplaced(t *testing.T) {
	st, view := seatStatus([]seatMember{
		{id: "a"},
		{id: "b"},
		{id: "c", behind: true},
		{id: "d", away: true},
		{id: "e"},
		{id: "ax", rank: 50, learner: true},
		{id: "bx", rank: 60, learner: true},
	})
	plan := newVoterPlan(st, view)
	change, _ := plan.next()
	assert.Equal(t, "b", change.Replaced, "another voter first")
	assert.False(t, leaves(change, "a"))
	moves, now := make(leadershipMoves), time.Unix(1000, 0)
	assert.Equal(t, "e", plan.nextLeader(moves, now))
	moves.record("e", now)
	assert.Empty(t, plan.nextLeader(moves, now.Add(time.Second)))
	assert.Equal(t, "e", plan.nextLeader(moves, now.Add(2*leaderPlacementInterval)))
	assert.True(t, leaves(gwquorum.Change{Kind: gwquorum.Replace, Instance: "ax", Replaced: "a"}, "a"))
	assert.True(t, leaves(gwquorum.Change{Kind: gwquorum.Remove, Instance: "a"}, "a"))
	assert.False(t, leaves(gwquorum.Change{Kind: gwquorum.Promote, Instance: "a"}, "a"))
}

// Guards against an instance of the first start that is taken for the successor of another one of
// its data centre, as it was not one of the first voters: six instances in three data centres would
// have three voters in place of five.
func TestInstancesOfFirstStart(t *testing.T) {
	st, view := seatStatus([]seatMember{{id: "a"}, {id: "b"}, {id: "c"}})
	view.firstStart = func(name string) bool { return name != "bx" }
	s := &memberStatus{st}
	for _, id := range []string{"a2#1", "b2#1", "c2#1"} {
		view.identities[voterName(id)] = id
		view.dataCentres[voterName(id)] = id[:1]
	}
	grow := func() {
		for {
			change, _ := newVoterPlan(s.Status, view).next()
			if change == (gwquorum.Change{}) {
				return
			}
			s.apply(change)
		}
	}
	grow()
	assert.Len(t, s.Voters, 5)
	view.identities["bx"], view.dataCentres["bx"] = "bx", "b"
	grow()
	assert.Contains(t, s.Voters, "bx", "the successor of b or b2")
	assert.NotContains(t, s.Voters, "b")
	assert.NotContains(t, s.Voters, "b2#1")
	assert.Len(t, s.Voters, 5)
}

// Guards against a second change beside a replacement whose voters before still count.
func TestNoChangeDuringReplacement(t *testing.T) {
	st, view := seatStatus([]seatMember{{id: "a"}, {id: "bx", rank: 50}, {id: "c"}, {id: "b", learner: true, forLong: true}})
	st.Outgoing = []string{"a", "b", "c"}
	change, reason := newVoterPlan(st, view).next()
	assert.Equal(t, gwquorum.Change{}, change)
	assert.Equal(t, "a replacement of one of the voters [a b c] is not committed", reason)
}

// Guards against a voter that is given up before it was away for long, and against a memory that
// grows with every instance that was ever seen.
func TestPresence(t *testing.T) {
	var p presence
	now := time.Unix(1000, 0)
	p.observe(nil, now)
	givenUp := func(name string, at time.Time) bool { return voterView{now: at, lastSeen: p.lastSeen}.givenUp(name) }
	assert.False(t, givenUp("never seen", now.Add(absenceLimit-1)))
	assert.True(t, givenUp("never seen", now.Add(absenceLimit)))
	p.observe(nil, now.Add(time.Second))
	assert.True(t, givenUp("never seen", now.Add(absenceLimit)), "counted from the first observation")

	p.observe([]gwmember.Member{{Instance: "a", DataCentre: "brest", ControlOnly: true}, {Instance: "x", DataCentre: "brest"}}, now)
	assert.Equal(t, map[string]string{"a": "brest"}, p.dataCentres())
	assert.False(t, givenUp("a", now.Add(absenceLimit-1)), "counted from when it was seen")
	assert.True(t, givenUp("a", now.Add(absenceLimit)), "counted from when it was seen")
	for i := range 2 * maxPresences {
		now = now.Add(time.Millisecond)
		p.observe([]gwmember.Member{{Instance: fmt.Sprint(i), ControlOnly: true}}, now)
	}
	assert.Len(t, p.dataCentres(), maxPresences)
	assert.Contains(t, p.dataCentres(), fmt.Sprint(2*maxPresences-1))
}
