package gwcontrol

import (
	"slices"
	"time"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// catchUpLogAge is how long a member is behind when it is logged first. A new member has its vote
// within 1 s unless the deployment is disturbed.
const catchUpLogAge = time.Second

// lastingState says when a state that lasts is logged: first at a given age, then each time
// the age has doubled.
type lastingState struct {
	since, nextLine time.Time
}

// due returns the age of the state at now, and whether it is to be logged.
func (s *lastingState) due(now time.Time, first time.Duration) (age time.Duration, due bool) {
	if s.since.IsZero() {
		*s = lastingState{since: now, nextLine: now.Add(first)}
	}
	age = now.Sub(s.since)
	if now.Before(s.nextLine) {
		return age, false
	}
	s.nextLine = now.Add(max(age, first))
	return age, true
}

// catchUpLog logs which members are behind: a leader each of its learners, and a new member
// itself until it has its vote.
type catchUpLog struct {
	// learners holds, on a leader, the learners that have not caught up.
	learners map[string]*lastingState
	// own is the time of a member without a vote; it begins with the process.
	own   lastingState
	empty bool // the process began without a log and has not had a vote
}

// started notes the state that a process begins with.
func (c *catchUpLog) started(st gwquorum.Status, now time.Time) {
	if st.Last == 0 && len(st.Voters) == 0 {
		c.empty, c.own = true, lastingState{since: now, nextLine: now.Add(catchUpLogAge)}
	}
}

// observe logs the members that are behind, each time the age of that has doubled.
func (c *catchUpLog) observe(v *voterLog, st gwquorum.Status, now time.Time, dropped func(peer string) uint64) {
	c.observeOwn(v, st, now)
	if st.Role != gwquorum.Leader {
		c.learners = nil
		return
	}
	behind := make(map[string]*lastingState)
	for _, p := range st.Peers {
		if !p.Learner || hasAlmostAll(st, p) && p.Match > 0 {
			continue
		}
		s := c.learners[p.Instance]
		if s == nil {
			s = &lastingState{}
		}
		behind[p.Instance] = s
		if age, due := s.due(now, catchUpLogAge); due {
			v.line(now, "learner is behind", "age", age.Round(time.Millisecond).String(), "commit", st.Commit, "snapshot", st.Snapshot,
				"learner", newPeerView(p, now, dropped))
		}
	}
	c.learners = behind
}

// observeOwn logs that a new member has no vote yet, and that it has got it.
func (c *catchUpLog) observeOwn(v *voterLog, st gwquorum.Status, now time.Time) {
	if !c.empty {
		return
	}
	age, due := c.own.due(now, catchUpLogAge)
	took := age.Round(time.Millisecond).String()
	switch {
	case slices.Contains(st.Voters, st.ID) && len(st.Outgoing) == 0:
		c.empty = false
		v.log.Info("member has its vote", "took", took, "term", st.Term, "last", st.Last, "commit", st.Commit, "snapshot", st.Snapshot)
	case due:
		v.line(now, "member has no vote yet", "age", took, "role", roleName(st), "term", st.Term, "leader", st.Leader,
			"last", st.Last, "commit", st.Commit, "snapshot", st.Snapshot)
	}
}
