package gwcontrol

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// Guards against replacing a voter by one that has not caught up yet, against a replaced
// instance that remains a voter, so that the next failure costs the quorum, and against a step
// that no quorum of voters that answer and have caught up would carry.
func TestVoterPlan(t *testing.T) {
	const commit = 1000
	const lag = gwquorum.DefaultMaxPromoteLag
	peer := func(id string, active bool, match uint64) gwquorum.PeerStatus {
		return gwquorum.PeerStatus{Instance: id, Active: active, Match: match}
	}
	// up and down are voters that have caught up, of which down does not answer.
	up := func(id string) gwquorum.PeerStatus { return peer(id, true, commit) }
	down := func(id string) gwquorum.PeerStatus { return peer(id, false, commit) }
	learner := func(p gwquorum.PeerStatus) gwquorum.PeerStatus {
		p.Learner = true
		return p
	}
	add := func(id string) gwquorum.Change { return gwquorum.Change{Kind: gwquorum.AddLearner, Instance: id} }
	promote := func(id string) gwquorum.Change { return gwquorum.Change{Kind: gwquorum.Promote, Instance: id} }
	remove := func(id string) gwquorum.Change { return gwquorum.Change{Kind: gwquorum.Remove, Instance: id} }
	none := gwquorum.Change{}
	tests := []struct {
		name   string
		peers  []gwquorum.PeerStatus // a leads
		wanted []string              // "x=" for an instance whose identity is not known
		listed bool
		want   gwquorum.Change
		reason string
	}{
		{"nothing to do", []gwquorum.PeerStatus{up("b"), up("c")}, []string{"a", "b", "c"}, false, none, ""},
		{"an absent voter stays until it can be replaced", []gwquorum.PeerStatus{up("b"), down("c")}, []string{"a", "b"}, false, none, "no instance can replace [c]"},
		{"a voter that answers is not absent", []gwquorum.PeerStatus{up("b"), up("c")}, []string{"a", "b"}, false, none, ""},
		{"a new instance becomes a learner", []gwquorum.PeerStatus{up("b"), down("c")}, []string{"a", "b", "d"}, false, add("d"), ""},
		{"an instance without an identity is not added", []gwquorum.PeerStatus{up("b"), down("c")}, []string{"a", "b", "d="}, false, none, "no instance can replace [c]"},
		{"a learner that is behind waits", []gwquorum.PeerStatus{up("b"), down("c"), learner(peer("d", true, commit-lag-1))}, []string{"a", "b", "d"}, false, none, "learner d has entry 935 of 1000, answers: true"},
		{"an unreachable learner waits", []gwquorum.PeerStatus{up("b"), down("c"), learner(down("d"))}, []string{"a", "b", "d"}, false, none, "learner d has entry 1000 of 1000, answers: false"},
		{"a learner that lacks a few entries has caught up", []gwquorum.PeerStatus{up("b"), down("c"), learner(peer("d", true, commit-lag))}, []string{"a", "b", "d"}, false, promote("d"), ""},
		{"the replacement of an absent voter is promoted first", []gwquorum.PeerStatus{up("b"), down("c"), learner(up("d"))}, []string{"a", "b", "d"}, false, promote("d"), ""},
		{"of two learners the one that is ahead", []gwquorum.PeerStatus{up("b"), down("c"), learner(peer("d", true, commit-1)), learner(up("e"))}, []string{"a", "b", "d", "e"}, false, promote("e"), ""},
		{"then the absent voter is removed", []gwquorum.PeerStatus{up("b"), down("c"), up("d")}, []string{"a", "b", "d"}, false, remove("c"), ""},
		{"a voter that is behind does not count for a quorum", []gwquorum.PeerStatus{peer("b", true, 9), down("c"), learner(up("d"))}, []string{"a", "b", "d"}, false, none, "2 of the voters [a b c d] would answer and have caught up, the quorum is 3"},
		{"if the absent voter returns, the one that is behind goes", []gwquorum.PeerStatus{up("b"), peer("c", true, commit-5), up("d")}, []string{"a", "b", "c", "d"}, false, remove("c"), ""},
		{"of two absent voters the one that does not answer", []gwquorum.PeerStatus{up("b"), up("c"), down("d"), up("e"), up("f")}, []string{"a", "b", "e", "f"}, false, remove("d"), ""},
		{"an additional learner stays one", []gwquorum.PeerStatus{up("b"), up("c"), learner(up("d"))}, []string{"a", "b", "c", "d"}, false, none, ""},
		{"two additional learners vote", []gwquorum.PeerStatus{up("b"), up("c"), learner(up("d")), learner(up("e"))}, []string{"a", "b", "c", "d", "e"}, false, promote("d"), ""},
		{"a voter that lost its disk returns under a new identity", []gwquorum.PeerStatus{up("b"), up("c")}, []string{"a", "b", "c=c#1"}, false, gwquorum.Change{Kind: gwquorum.AddLearner, Instance: "c#1", Rank: new(uint64)}, ""},
		{"which is promoted first", []gwquorum.PeerStatus{up("b"), down("c"), learner(up("c#1"))}, []string{"a", "b", "c=c#1"}, false, promote("c#1"), ""},
		{"then the old identity is removed", []gwquorum.PeerStatus{up("b"), down("c"), up("c#1")}, []string{"a", "b", "c=c#1"}, false, remove("c"), ""},
		{"also if the instance does not answer now", []gwquorum.PeerStatus{up("b"), down("c"), up("c#1")}, []string{"a", "b", "c="}, false, remove("c"), ""},
		{"the old identity of a listed voter, too", []gwquorum.PeerStatus{up("b"), down("c"), up("c#1")}, []string{"a", "b", "c=c#1"}, true, remove("c"), ""},
		{"a learner whose instance has another identity is removed", []gwquorum.PeerStatus{up("b"), up("c"), learner(up("d")), learner(up("d#1"))}, []string{"a", "b", "c", "d=d#1"}, false, remove("d"), ""},
		{"a learner that answers is kept though its instance is not known yet", []gwquorum.PeerStatus{up("b"), up("c"), learner(up("d"))}, []string{"a"}, false, none, ""},
		{"a learner that is gone is removed", []gwquorum.PeerStatus{up("b"), up("c"), learner(down("d"))}, []string{"a", "b", "c"}, false, remove("d"), ""},
		{"a listed voter is promoted before another goes", []gwquorum.PeerStatus{up("b"), up("c"), learner(up("d"))}, []string{"a", "b", "d"}, true, promote("d"), ""},
		{"an additional listed voter is promoted", []gwquorum.PeerStatus{up("b"), up("c"), learner(up("d"))}, []string{"a", "b", "c", "d"}, true, promote("d"), ""},
		{"an unlisted voter is removed", []gwquorum.PeerStatus{up("b"), up("c"), up("d")}, []string{"a", "b", "d"}, true, remove("c"), ""},
		{"an unlisted voter stays until the listed ones are known", []gwquorum.PeerStatus{up("b"), up("c")}, []string{"a", "b", "d="}, true, none, "no instance can replace [c]"},
		{"an unlisted leader goes last", []gwquorum.PeerStatus{up("b"), down("c"), up("d")}, []string{"b", "d"}, true, remove("c"), ""},
	}
	for _, tt := range tests {
		st := gwquorum.Status{ID: "a", Commit: commit, Last: commit, Voters: []string{"a"}, Peers: tt.peers}
		for _, p := range tt.peers {
			if p.Learner {
				st.Learners = append(st.Learners, p.Instance)
				continue
			}
			st.Voters = append(st.Voters, p.Instance)
		}
		identities, dataCentres := make(map[string]string), make(map[string]string)
		for _, id := range slices.Concat(st.Voters, st.Learners) {
			dataCentres[voterName(id)] = voterName(id)
		}
		for _, w := range tt.wanted {
			name, id, given := strings.Cut(w, "=")
			if !given {
				id = name
			}
			identities[name] = currentIdentity(name, id, st)
		}
		got, reason := newVoterPlan(st, voterView{identities: identities, listed: tt.listed, dataCentres: dataCentres, lastSeen: longAgo, now: time.Unix(1000, 0)}).next()
		assert.Equal(t, tt.want, got, tt.name)
		assert.Equal(t, tt.reason, reason, tt.name)
	}
}

// longAgo gives up every instance that is not live.
func longAgo(string) time.Time { return time.Time{} }

// memberStatus holds the members of a log under changes that take effect at once. The data centre
// of an instance is the first letter of its name.
type memberStatus struct{ gwquorum.Status }

func (s *memberStatus) apply(c gwquorum.Change) {
	drop := func(ids []string, drop string) []string {
		return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == drop })
	}
	s.Voters, s.Learners = drop(s.Voters, c.Instance), drop(s.Learners, c.Instance)
	i := slices.IndexFunc(s.Peers, func(p gwquorum.PeerStatus) bool { return p.Instance == c.Instance })
	switch c.Kind {
	case gwquorum.AddLearner:
		s.Learners = append(s.Learners, c.Instance)
		s.Peers = append(s.Peers, gwquorum.PeerStatus{Instance: c.Instance, Learner: true, Active: true, Match: s.Commit})
		if c.Rank == nil {
			s.Last++
			c.Rank = &s.Last
		}
		s.setRank(c.Instance, *c.Rank)
	case gwquorum.Promote:
		s.Voters = append(s.Voters, c.Instance)
		s.Peers[i].Learner = false
	case gwquorum.Replace:
		s.Voters, s.Learners = append(drop(s.Voters, c.Replaced), c.Instance), append(s.Learners, c.Replaced)
		s.Peers[i].Learner = false
		s.Peers[slices.IndexFunc(s.Peers, func(p gwquorum.PeerStatus) bool { return p.Instance == c.Replaced })].Learner = true
	case gwquorum.Remove:
		s.Peers = slices.Delete(s.Peers, i, i+1)
		s.setRank(c.Instance, s.Ranks[c.Instance])
		if c.Heir != "" {
			s.setRank(c.Heir, min(s.Ranks[c.Heir], s.Ranks[c.Instance]))
		}
	}
}

func (s *memberStatus) setRank(id string, rank uint64) {
	if s.Ranks == nil {
		s.Ranks = make(map[string]uint64)
	}
	s.Ranks[id] = rank
}

// lead makes another member the leader.
func (s *memberStatus) lead(id string) {
	i := slices.IndexFunc(s.Peers, func(p gwquorum.PeerStatus) bool { return p.Instance == id })
	s.ID, s.Peers[i] = id, gwquorum.PeerStatus{Instance: s.ID, Active: true, Match: s.Commit}
}

// settle makes the planned changes until there are none, and returns their number. Only the
// instances of the given identities are live, and the others have been away for long.
func (s *memberStatus) settle(t *testing.T, ids ...string) int {
	view := voterView{identities: make(map[string]string), dataCentres: make(map[string]string), lastSeen: longAgo, now: time.Unix(1000, 0), replaces: true}
	for _, id := range slices.Concat(ids, s.Voters, s.Learners) {
		view.dataCentres[voterName(id)] = id[:1]
	}
	for _, id := range ids {
		view.identities[voterName(id)] = id
	}
	for i := range s.Peers {
		s.Peers[i].Active = slices.Contains(ids, s.Peers[i].Instance)
	}
	for changes := range 20 {
		plan := newVoterPlan(s.Status, view)
		change, _ := plan.next()
		switch {
		case change == (gwquorum.Change{}):
			return changes
		case leaves(change, s.ID):
			s.lead(plan.nextLeader(nil, time.Time{}))
		default:
			s.apply(change)
		}
	}
	require.Fail(t, "the voters do not converge", "voters %v, learners %v, ranks %v", s.Voters, s.Learners, s.Ranks)
	return 0
}

// Guards against an even number of voters, which has no quorum once a partition splits
// it into halves, and against a spare learner that does not replace a lost voter.
func TestVotersOfSixInstances(t *testing.T) {
	st := &memberStatus{gwquorum.Status{ID: "a", Commit: 10, Last: 10, Voters: []string{"a", "b", "c"}, Peers: []gwquorum.PeerStatus{
		{Instance: "b", Match: 10}, {Instance: "c", Match: 10},
	}}}
	st.settle(t, "a", "b", "c", "d", "e", "f")
	assert.Len(t, st.Voters, 5)
	assert.Len(t, st.Learners, 1)
	spare := st.Learners[0]

	lost := "b"
	st.settle(t, slices.DeleteFunc([]string{"a", "b", "c", "d", "e", "f"}, func(id string) bool { return id == lost })...)
	assert.Len(t, st.Voters, 5)
	assert.Contains(t, st.Voters, spare, "the spare learner has replaced the lost voter")
	assert.NotContains(t, st.Voters, lost)

	st.settle(t, "a", "b#1", "c", "d", "e", "f")
	assert.Len(t, st.Voters, 5, "the instance that returned without its data is a spare learner")
	assert.Equal(t, []string{"b#1"}, st.Learners)
}

// Guards against ending the lease of a process that may still be running.
func TestIsLaterRun(t *testing.T) {
	held := gwstate.Lease{Group: "g", Holder: "10.0.0.1", Incarnation: 5}
	tests := []struct {
		name      string
		exclusive bool
		holder    string
		epoch     uint64
		want      bool
	}{
		{"a later run of the holder", true, "10.0.0.1", 6, true},
		{"the same run", true, "10.0.0.1", 5, false},
		{"a request of an earlier run that was delayed", true, "10.0.0.1", 4, false},
		{"another instance", true, "10.0.0.2", 6, false},
		{"names may be shared for a while", false, "10.0.0.1", 6, false},
	}
	for _, tt := range tests {
		l := &Leader{exclusiveNames: tt.exclusive}
		assert.Equal(t, tt.want, l.isLaterRun(held, tt.holder, tt.epoch), tt.name)
	}
}

// Guards against an error that tells only of the last voter that was asked, and with which time
// that had already run out.
func TestFailedAttempts(t *testing.T) {
	notLeader := func(hint string) error { return &Error{Op: "x", Kind: NotLeader, Detail: hint} }
	var a attempts
	assert.Empty(t, a.String())
	for _, step := range []struct {
		voter string
		err   error
	}{
		{"b", notLeader("c")},
		{"c", notLeader("")},
		{"b", context.DeadlineExceeded},
		{"d", &gwpeer.Error{Op: "call", Kind: gwpeer.KindNotSent, Err: context.Canceled}},
		{"e", &gwpeer.Error{Op: "call", Kind: gwpeer.KindRemote, Code: codeNotLeader, Err: errors.New("b")}},
	} {
		a = a.add(step.voter, step.err)
	}
	assert.Equal(t, " [c knows no leader (1), b no answer (2), d not reached (1), e names b (1)]", a.String())
	assert.True(t, a.uncertain(), "the second attempt at b may have taken effect")
	assert.False(t, attempts{}.add("c", notLeader("b")).uncertain())
}

// Guards against a call to an empty address when another voter names a leader that is not
// known here, as the error of that call hid the cause, and against a search for the
// leader that ends because of it.
func TestAddressOf(t *testing.T) {
	voters := map[string]string{"control-1": "10.0.0.1:7680"}
	got, err := addressOf(voters, "control-1")
	require.NoError(t, err)
	assert.Equal(t, "10.0.0.1:7680", got)

	_, err = addressOf(voters, "control-2")
	assert.EqualError(t, err, `find voter: unavailable: "control-2" is neither in the manifest nor a live member`)
	assert.False(t, isFinal(err), "another voter may answer")
}
