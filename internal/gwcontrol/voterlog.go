package gwcontrol

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// Bounds of a voter's log lines. A voter without a quorum changes its role several times a
// second for as long as that lasts.
const (
	voterLinesPerSecond = 2
	voterLineBurst      = 20
	// uncommittedLogAge is the age of a leader's oldest uncommitted entry at which it is
	// logged first; an entry takes some 100 ms between regions.
	uncommittedLogAge = time.Second
	// slowSave is the duration from which a save, or a pause of a voter's loop, is logged. It
	// is a third of an election timeout.
	slowSave = gwquorum.DefaultElectionTimeout / 3
	// leaderlessLogAge is how long a member hears from no leader when it is logged first. An
	// election ends within it.
	leaderlessLogAge = 2 * time.Second
)

// voterLog logs the changes of a voter, and of a leader the entries that stay uncommitted.
// It is owned by the goroutine of Run.
type voterLog struct {
	log     *slog.Logger
	limiter *rate.Limiter
	skipped int // changes that were not logged since the last line
	last    gwquorum.Status
	// proposed holds the uncommitted entries of a leader, oldest first.
	proposed []proposedEntries
	nextAge  time.Duration // age at which uncommitted entries are logged next
	// heardAt is when a leader was last heard from, or the process started, and nextLeaderless
	// the age of that at which it is logged next.
	heardAt        time.Time
	nextLeaderless time.Duration
	catchUp        catchUpLog
}

// proposedEntries are the entries up to index that were appended at the time at.
type proposedEntries struct {
	index uint64
	at    time.Time
}

func newVoterLog(log *slog.Logger) *voterLog {
	return &voterLog{
		log: log, limiter: rate.NewLimiter(voterLinesPerSecond, voterLineBurst),
		nextAge: uncommittedLogAge, nextLeaderless: leaderlessLogAge,
	}
}

// started logs the state that a voter continues from.
func (v *voterLog) started(st gwquorum.Status, now time.Time) {
	v.last, v.heardAt = st, now
	v.catchUp.started(st, now)
	v.state("voter started", st, now)
}

// stopped logs the state that a voter ends with.
func (v *voterLog) stopped(st gwquorum.Status, now time.Time) {
	v.proposed, v.nextAge = nil, uncommittedLogAge
	v.state("voter stopped", st, now)
}

func (v *voterLog) state(msg string, st gwquorum.Status, now time.Time) {
	v.line(now, msg, "role", st.Role.String(), "term", st.Term, "vote", st.Vote, "leader", st.Leader, "last", st.Last,
		"lastTerm", st.LastTerm, "commit", st.Commit, "snapshot", st.Snapshot, "voters", st.Voters, "learners", st.Learners)
}

// saved logs a save that took long, and stoodStill a pause of the voter's loop that no save
// explains.
func (v *voterLog) saved(took time.Duration, now time.Time) {
	v.slow("save of a voter took long", took, now)
}

func (v *voterLog) stoodStill(took time.Duration, now time.Time) {
	v.slow("voter stood still", took, now)
}

func (v *voterLog) slow(msg string, took time.Duration, now time.Time) {
	if took >= slowSave {
		v.line(now, msg, "took", took.Round(time.Millisecond).String(), "role", v.last.Role.String(), "term", v.last.Term)
	}
}

// line writes a line, or counts it if the voter has written too many.
func (v *voterLog) line(now time.Time, msg string, args ...any) {
	if !v.limiter.AllowN(now, 1) {
		v.skipped++
		return
	}
	if v.skipped > 0 {
		args = append(args, "skipped", v.skipped)
		v.skipped = 0
	}
	v.log.Info(msg, args...)
}

// observe logs what has changed since the last call. It returns the age of a leader's oldest
// uncommitted entry, 0 if there is none. dropped returns the number of messages to a peer
// that were dropped.
func (v *voterLog) observe(st gwquorum.Status, now time.Time, dropped func(peer string) uint64) time.Duration {
	was := v.last
	v.last = st
	if st.Role != was.Role || st.Term != was.Term || st.Leader != was.Leader ||
		!slices.Equal(st.Voters, was.Voters) || !slices.Equal(st.Learners, was.Learners) {
		v.line(now, "voter changed", "role", st.Role.String(), "term", st.Term, "leader", st.Leader, "last", st.Last,
			"commit", st.Commit, "was", was.Role.String(), "voters", st.Voters, "learners", st.Learners)
	}
	age := v.uncommittedAge(st, now)
	v.logUncommitted(st, now, age, dropped)
	v.logLeaderless(st, now)
	v.catchUp.observe(v, st, now, dropped)
	return age
}

// logLeaderless logs that a member hears from no leader, each time the age of that has doubled,
// and the end of it. A member that has no log yet is not counted.
func (v *voterLog) logLeaderless(st gwquorum.Status, now time.Time) {
	if st.Role == gwquorum.Leader || len(st.Voters) == 0 {
		v.heardAt = now
	} else if st.LeaderHeardAt.After(v.heardAt) {
		v.heardAt = st.LeaderHeardAt
	}
	age := now.Sub(v.heardAt)
	switch {
	case age >= v.nextLeaderless:
		v.nextLeaderless = 2 * age.Truncate(leaderlessLogAge)
		v.log.Warn("no leader is heard from", "age", age.Round(time.Millisecond).String(), "role", roleName(st), "term", st.Term,
			"named", st.Leader, "voters", st.Voters, "learners", st.Learners)
	case v.nextLeaderless > leaderlessLogAge && age < leaderlessLogAge:
		v.nextLeaderless = leaderlessLogAge
		v.log.Info("a leader is heard from again", "role", roleName(st), "term", st.Term, "leader", st.Leader)
	}
}

// roleName returns the role of a member; one without a vote is a learner or no member.
func roleName(st gwquorum.Status) string {
	switch {
	case slices.Contains(st.Voters, st.ID):
		return st.Role.String()
	case slices.Contains(st.Learners, st.ID):
		return "learner"
	default:
		return "noMember"
	}
}

// uncommittedAge records the entries that were appended, and returns the age of the oldest
// uncommitted one.
func (v *voterLog) uncommittedAge(st gwquorum.Status, now time.Time) time.Duration {
	if st.Role != gwquorum.Leader {
		v.proposed = nil
		return 0
	}
	for len(v.proposed) > 0 && v.proposed[0].index <= st.Commit {
		v.proposed = v.proposed[1:]
	}
	if st.Last > st.Commit && (len(v.proposed) == 0 || v.proposed[len(v.proposed)-1].index < st.Last) {
		v.proposed = append(v.proposed, proposedEntries{index: st.Last, at: now})
	}
	if len(v.proposed) == 0 {
		return 0
	}
	return now.Sub(v.proposed[0].at)
}

// logUncommitted logs entries that stay uncommitted, each time their age has doubled, and
// the end of that.
func (v *voterLog) logUncommitted(st gwquorum.Status, now time.Time, age time.Duration, dropped func(peer string) uint64) {
	switch {
	case age >= v.nextAge:
		v.nextAge = 2 * age.Truncate(uncommittedLogAge)
		v.log.Warn("entries of the replicated log are not committed", "age", age.String(), "term", st.Term, "last", st.Last,
			"commit", st.Commit, "peers", peerViews(st, now, dropped))
	case v.nextAge == uncommittedLogAge || age >= uncommittedLogAge:
	case st.Role != gwquorum.Leader:
		v.nextAge = uncommittedLogAge
		v.log.Info("entries of the replicated log are left to another leader", "term", st.Term, "last", st.Last, "commit", st.Commit)
	default:
		v.nextAge = uncommittedLogAge
		v.log.Info("entries of the replicated log are committed again", "term", st.Term, "last", st.Last, "commit", st.Commit)
	}
}

// peerView is the leader's view of another member in a log line.
type peerView struct {
	Peer    string `json:"peer"`
	State   string `json:"state"`
	Match   uint64 `json:"match"`
	Next    uint64 `json:"next"`
	Active  bool   `json:"active"`
	Reply   int64  `json:"lastReply"` // milliseconds since the last reply
	Dropped uint64 `json:"dropped"`
}

func peerViews(st gwquorum.Status, now time.Time, dropped func(peer string) uint64) []peerView {
	out := make([]peerView, 0, len(st.Peers))
	for _, p := range st.Peers {
		out = append(out, newPeerView(p, now, dropped))
	}
	return out
}

func newPeerView(p gwquorum.PeerStatus, now time.Time, dropped func(peer string) uint64) peerView {
	return peerView{
		Peer: p.Instance, State: p.State, Match: p.Match, Next: p.Next, Active: p.Active,
		Reply: now.Sub(p.LastReplyAt).Milliseconds(), Dropped: dropped(p.Instance),
	}
}

// VoterSummary describes the voter in a few words for the line of a request that failed; "" if
// the instance has no voter. "217/220" is the commit index and the last entry, "learner 57" how far
// a leader's learner has synced.
func (c *Consensus) VoterSummary() string {
	if c == nil {
		return ""
	}
	st := c.Status()
	if st.ID == "" {
		return "not started"
	}
	leader := "no leader"
	switch {
	case st.Role == gwquorum.Leader:
		leader = "leads"
	case !st.LeaderHeardAt.IsZero():
		leader = "heard " + c.Clock.Since(st.LeaderHeardAt).Round(time.Millisecond).String()
	}
	out := fmt.Sprintf("%s t%d %d/%d, %s, %d+%d members", roleName(st), st.Term, st.Commit, st.Last, leader, len(st.Voters), len(st.Learners))
	for _, p := range st.Peers {
		if p.Learner {
			out += fmt.Sprintf(", learner %d", p.Match)
		}
	}
	return out
}

// VoterMetrics is what the metrics address tells of a voter.
type VoterMetrics struct {
	Role           gwquorum.Role
	Term, Commit   uint64
	UncommittedAge time.Duration // age of a leader's oldest uncommitted entry, 0 if there is none
	// SlowestSave is the longest save since the start of the process.
	SlowestSave time.Duration
	// Dropped counts the messages to other voters for which the queue was full, and Reopened
	// the streams to them that failed.
	Dropped, Reopened uint64
}

// Metrics returns the state of the voter after the last pass of Run's loop.
func (c *Consensus) Metrics() VoterMetrics {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return VoterMetrics{
		Role: c.status.Role, Term: c.status.Term, Commit: c.status.Commit, UncommittedAge: c.uncommittedAge, SlowestSave: c.slowestSave,
		Dropped: c.traffic.dropped.Load(), Reopened: c.traffic.reopened.Load(),
	}
}
