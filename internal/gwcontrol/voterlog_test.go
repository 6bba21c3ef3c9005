package gwcontrol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// recordedLines are the log lines that a test has caused.
type recordedLines struct{ bytes.Buffer }

// take returns the lines since the last call.
func (r *recordedLines) take(t *testing.T) []map[string]any {
	var out []map[string]any
	for d := json.NewDecoder(bytes.NewReader(r.Bytes())); d.More(); {
		line := make(map[string]any)
		require.NoError(t, d.Decode(&line))
		out = append(out, line)
	}
	r.Reset()
	return out
}

// Guards against logs from which no leader, changing leaders and a leader whose appends do not
// arrive cannot be told apart, and against lines for a voter in which nothing changes.
func TestVoterLog(t *testing.T) {
	var lines recordedLines
	v := newVoterLog(slog.New(slog.NewJSONHandler(&lines, nil)))
	now := time.Unix(1000, 0)
	dropped := func(string) uint64 { return 7 }
	v.started(gwquorum.Status{ID: "a", Term: 3, Vote: "b", Last: 9, LastTerm: 2, Commit: 8, Snapshot: 5}, now)
	got := lines.take(t)
	require.Len(t, got, 1)
	assert.Equal(t, "voter started", got[0]["msg"])
	assert.InDelta(t, 9, got[0]["last"], 0)

	leader := gwquorum.Status{ID: "a", Role: gwquorum.Leader, Term: 4, Leader: "a", Last: 10, Commit: 8, Peers: []gwquorum.PeerStatus{
		{Instance: "b", State: "restoring", Match: 0, Next: 1, Active: true, LastReplyAt: now},
	}}
	steps := []struct {
		name  string
		after time.Duration
		st    gwquorum.Status
		want  []string
	}{
		{"the voter leads", 0, leader, []string{"voter changed"}},
		{"nothing changes", 900 * time.Millisecond, leader, nil},
		{"no entry is committed", 200 * time.Millisecond, leader, []string{"entries of the replicated log are not committed"}},
		{"nothing changes", 500 * time.Millisecond, leader, nil},
		{"no entry is committed", 500 * time.Millisecond, leader, []string{"entries of the replicated log are not committed"}},
		{"the entries are committed", 0, withCommit(leader, 10), []string{"entries of the replicated log are committed again"}},
		{"nothing changes", 10 * time.Second, withCommit(leader, 10), nil},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		v.observe(s.st, now, dropped)
		var msgs []string
		for _, line := range lines.take(t) {
			msgs = append(msgs, line["msg"].(string))
			if peers, ok := line["peers"].([]any); ok {
				peer := peers[0].(map[string]any)
				assert.Equal(t, "restoring", peer["state"])
				assert.InDelta(t, 7, peer["dropped"], 0)
			}
		}
		assert.Equal(t, s.want, msgs, s.name)
	}
}

// Guards against logs from which a member that hears from no leader cannot be told from one that
// does, and a learner from a voter.
func TestVoterLogTellsWhoHearsNoLeader(t *testing.T) {
	var lines recordedLines
	v := newVoterLog(slog.New(slog.NewJSONHandler(&lines, nil)))
	now := time.Unix(1000, 0)
	st := gwquorum.Status{ID: "d", Term: 3, Leader: "a", Voters: []string{"a", "b", "c"}, Learners: []string{"d"}, LeaderHeardAt: now}
	v.started(st, now)
	lines.take(t)
	steps := []struct {
		name  string
		after time.Duration
		heard bool
		role  string
		want  string
	}{
		{"the leader is silent for a short time", 1900 * time.Millisecond, false, "", ""},
		{"and longer", 200 * time.Millisecond, false, "learner", "no leader is heard from"},
		{"no line before the age has doubled", 1800 * time.Millisecond, false, "", ""},
		{"twice as long", 200 * time.Millisecond, false, "learner", "no leader is heard from"},
		{"the leader is back", 50 * time.Millisecond, true, "learner", "a leader is heard from again"},
		{"nothing changes", time.Second, true, "", ""},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		if s.heard {
			st.LeaderHeardAt = now
		}
		v.observe(st, now, func(string) uint64 { return 0 })
		got := lines.take(t)
		if s.want == "" {
			assert.Empty(t, got, s.name)
			continue
		}
		require.Len(t, got, 1, s.name)
		assert.Equal(t, s.want, got[0]["msg"], s.name)
		assert.Equal(t, s.role, got[0]["role"], s.name)
	}
}

// Guards against logs from which a slow disk, a process that stands still and changes of the
// voters cannot be told from other reasons of a voter that commits nothing.
func TestVoterLogTellsWhyNothingIsCommitted(t *testing.T) {
	var lines recordedLines
	log := slog.New(slog.NewJSONHandler(&lines, nil))
	v := newVoterLog(log)
	now := time.Unix(1000, 0)
	take := func() (msgs []string) {
		for _, line := range lines.take(t) {
			msgs = append(msgs, line["msg"].(string))
		}
		return msgs
	}
	v.saved(slowSave-1, now)
	v.stoodStill(slowSave-1, now)
	assert.Empty(t, take())
	v.saved(slowSave, now)
	v.stoodStill(slowSave, now)
	assert.Equal(t, []string{"save of a voter took long", "voter stood still"}, take())

	v.observe(gwquorum.Status{ID: "a", Voters: []string{"a", "b"}, Learners: []string{"c"}}, now, nil)
	line := lines.take(t)[0]
	assert.Equal(t, []any{"c"}, line["learners"])
	assert.Equal(t, []any{"a", "b"}, line["voters"])

	var u undoneChange
	st := gwquorum.Status{Voters: []string{"a", "b"}}
	for _, step := range []struct {
		after  time.Duration
		reason string
		lines  int
	}{
		{0, "behind", 0},
		{undoneLogAge, "behind", 1},
		{undoneLogAge / 2, "behind", 0},
		{undoneLogAge / 2, "behind", 1},
		{undoneLogAge, "", 0},
		{time.Hour, "behind", 0},
	} {
		now = now.Add(step.after)
		u.observe(log, now, step.reason, st)
		assert.Len(t, take(), step.lines)
	}
}

func withCommit(st gwquorum.Status, commit uint64) gwquorum.Status {
	st.Commit = commit
	return st
}

// Guards against a voter without a quorum that fills the log with its changes of role.
func TestVoterLogIsBounded(t *testing.T) {
	var lines recordedLines
	v := newVoterLog(slog.New(slog.NewJSONHandler(&lines, nil)))
	now := time.Unix(1000, 0)
	const span = 60 * time.Second
	for passed := time.Duration(0); passed < span; passed += consensusTick {
		now = now.Add(consensusTick)
		role := gwquorum.Follower
		if passed%(2*consensusTick) == 0 {
			role = gwquorum.PreCandidate
		}
		v.observe(gwquorum.Status{ID: "a", Role: role, Term: 1}, now, nil)
	}
	got := lines.take(t)
	assert.LessOrEqual(t, len(got), voterLineBurst+int(span.Seconds())*voterLinesPerSecond+1)
	assert.Contains(t, got[len(got)-1], "skipped")
}

// Guards against an age of the oldest uncommitted entry that restarts with each new entry, or
// that counts entries which are committed.
func TestUncommittedAge(t *testing.T) {
	v := newVoterLog(slog.New(slog.DiscardHandler))
	now := time.Unix(1000, 0)
	steps := []struct {
		last, commit uint64
		want         time.Duration
	}{{5, 5, 0}, {6, 5, 0}, {7, 5, time.Second}, {8, 6, time.Second}, {8, 7, time.Second}, {8, 8, 0}, {9, 8, 0}}
	for i, s := range steps {
		st := gwquorum.Status{Role: gwquorum.Leader, Last: s.last, Commit: s.commit}
		assert.Equal(t, s.want, v.uncommittedAge(st, now), "step %d", i)
		now = now.Add(time.Second)
	}
}

// Guards against logs from which a learner that gets entries slowly, one that is sent nothing and
// one whose replies do not arrive cannot be told apart.
func TestVoterLogTellsHowFarLearnersAre(t *testing.T) {
	var lines recordedLines
	v := newVoterLog(slog.New(slog.NewJSONHandler(&lines, nil)))
	now := time.Unix(1000, 0)
	leader := func(match uint64) gwquorum.Status {
		return gwquorum.Status{ID: "a", Role: gwquorum.Leader, Term: 1, Leader: "a", Last: 285, Commit: 285, Snapshot: 284, Voters: []string{"a", "b"}, Learners: []string{"c"}, Peers: []gwquorum.PeerStatus{
			{Instance: "b", State: "replicating", Match: 285, Next: 286, Active: true, LastReplyAt: now},
			{Instance: "c", Learner: true, State: "replicating", Match: match, Next: match + 9, Active: true, LastReplyAt: now},
		}}
	}
	v.started(leader(0), now)
	v.observe(leader(0), now, func(string) uint64 { return 7 })
	lines.take(t)
	for _, s := range []struct {
		name  string
		after time.Duration
		match uint64
		want  any
	}{
		{"it has just been added", 900 * time.Millisecond, 30, nil},
		{"it is behind for 1 s", 200 * time.Millisecond, 57, 57.0},
		{"the age has not doubled", 500 * time.Millisecond, 70, nil},
		{"the age has doubled", time.Second, 99, 99.0},
		{"it has caught up", 10 * time.Second, 284, nil},
	} {
		now = now.Add(s.after)
		v.observe(leader(s.match), now, func(string) uint64 { return 7 })
		var got any
		for _, line := range lines.take(t) {
			if line["msg"] == "learner is behind" {
				learner := line["learner"].(map[string]any)
				assert.Equal(t, []any{"c", "replicating", 7.0}, []any{learner["peer"], learner["state"], learner["dropped"]}, s.name)
				got = learner["match"]
			}
		}
		assert.Equal(t, s.want, got, s.name)
	}
}

// Guards against logs from which it cannot be told how long a new member has been without a vote,
// and how much of the log it had.
func TestVoterLogTellsWhenMemberHasItsVote(t *testing.T) {
	var lines recordedLines
	v := newVoterLog(slog.New(slog.NewJSONHandler(&lines, nil)))
	now := time.Unix(1000, 0)
	member := func(last uint64, voters ...string) gwquorum.Status {
		return gwquorum.Status{ID: "c", Term: 1, Leader: "a", LeaderHeardAt: now, Last: last, Commit: last, Voters: voters}
	}
	dropped := func(string) uint64 { return 0 }
	v.started(member(0), now)
	lines.take(t)
	for _, s := range []struct {
		name  string
		after time.Duration
		st    gwquorum.Status
		want  []string
	}{
		{"it has just started", 500 * time.Millisecond, member(0), []string{}},
		{"it has part of the log", time.Second, member(57), []string{"member has no vote yet 57"}},
		{"it is a voter", 300 * time.Millisecond, member(285, "a", "b", "c"), []string{"member has its vote 285"}},
		{"it loses the vote later", 10 * time.Second, member(290, "a", "b"), []string{}},
	} {
		now = now.Add(s.after)
		v.observe(s.st, now, dropped)
		got := []string{}
		for _, line := range lines.take(t) {
			if msg := line["msg"].(string); strings.HasPrefix(msg, "member has") {
				got = append(got, fmt.Sprint(msg, " ", line["last"]))
			}
		}
		assert.Equal(t, s.want, got, s.name)
	}
}
