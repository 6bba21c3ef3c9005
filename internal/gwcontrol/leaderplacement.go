package gwcontrol

import (
	"context"
	"slices"
	"time"

	"gentianward.example/gentianward/internal/gwstate"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// leaderPlacementInterval is the minimum time between two checks of the leader's
// region, and from the start of a leader's term to its first check.
const leaderPlacementInterval = 2 * time.Second

// maxLeadershipMoveWait bounds the wait before the leadership is transferred again to a voter
// that did not keep it.
const maxLeadershipMoveWait = 2 * time.Minute

// leadershipMove records the transfers of the leadership to one voter.
type leadershipMove struct {
	last time.Time
	wait time.Duration // from last to the next transfer
}

// leadershipMoves holds the transfers of this voter by target. A target that cannot take over,
// or loses the leadership again, would otherwise be given it every leaderPlacementInterval, and
// each time the log stands still for an election or more. It is owned by the goroutine of Run.
type leadershipMoves map[string]leadershipMove

// allowed reports whether the leadership may be transferred to a voter now.
func (m leadershipMoves) allowed(id string, now time.Time) bool {
	return now.Sub(m[id].last) >= m[id].wait
}

// record records a transfer. The wait doubles with each one that follows soon after the last.
func (m leadershipMoves) record(id string, now time.Time) {
	wait := 2 * leaderPlacementInterval
	if was, ok := m[id]; ok && now.Sub(was.last) < 2*was.wait {
		wait = min(2*was.wait, maxLeadershipMoveWait)
	}
	m[id] = leadershipMove{last: now, wait: wait}
}

// moveLeadership transfers the leadership to a voter in a region that has more
// voters than the leader's own. A leader in a region with fewer voters needs a
// round trip between regions for each entry and each confirmation of its
// leadership: planned changes of primary took 560 to 640 ms under such a leader,
// against 60 to 290 ms. With a call to the platform under way, the next leader would have to
// wait, see earlierCallLimit.
func (l *Leader) moveLeadership(ctx context.Context, members *Topology) {
	st, now := l.consensus.Status(), l.clock.Now()
	st.Peers = slices.DeleteFunc(slices.Clone(st.Peers), func(p gwquorum.PeerStatus) bool { return !l.moves.allowed(p.Instance, now) })
	better := preferredLeader(st, func(id string) (string, bool) {
		m, ok := members.Member(voterName(id))
		return m.Region, ok
	})
	if better == "" || l.anyChangeRunning() || l.calls.any() || !l.leasesHeld() {
		return
	}
	l.moves.record(better, now)
	l.log.Info("transferring the leadership of the replicated log to a region with more voters", "to", better)
	_ = l.consensus.do(ctx, func() { _ = l.consensus.node.TransferLeadership(better) })
}

// leasesHeld reports whether the lease of every group in force is held. A new leader waits
// until every lease that it has not seen renewed has expired. A group that is already
// waiting for a new lease would therefore wait a second time.
func (l *Leader) leasesHeld() bool {
	now := l.clock.Now()
	return !slices.ContainsFunc(l.state.Groups(), func(g gwstate.Group) bool {
		_, expired := l.state.Clock().Expired(g.Name, now)
		return expired && l.inForce(g.Name)
	})
}

// preferredLeader returns a reachable voter in a region with more voters than the
// leader's own, or "" if there is none. region returns the region of a voter.
func preferredLeader(st gwquorum.Status, region func(id string) (string, bool)) string {
	counts := make(map[string]int)
	for _, id := range st.Voters {
		if r, ok := region(id); ok {
			counts[r]++
		}
	}
	own, ok := region(st.ID)
	if !ok {
		return ""
	}
	i := slices.IndexFunc(st.Peers, func(p gwquorum.PeerStatus) bool {
		r, ok := region(p.Instance)
		return ok && p.Active && !p.Learner && counts[r] > counts[own]
	})
	if i < 0 {
		return ""
	}
	return st.Peers[i].Instance
}

// anyChangeRunning reports whether any group's primary is being changed.
func (l *Leader) anyChangeRunning() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.changing) > 0
}
