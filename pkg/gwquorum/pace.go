package gwquorum

import "time"

const (
	// maxDiskTime bounds what a slow disk adds to the waits of a node.
	maxDiskTime = time.Second
	// hungSaveTime is the duration of a save after which a leader gives way.
	hungSaveTime = 10 * time.Second
	// standstillMemory is the time in which the measure of standstills falls to a third.
	standstillMemory = 8 * time.Second
)

// diskTime measures how long saves take. It follows longer saves at once and shorter ones
// slowly, as the waits that depend on it are for the worst save of an election.
type diskTime struct {
	began time.Time
	worst time.Duration
}

func (d *diskTime) begin(now time.Time) { d.began = now }

// running returns for how long the present save has lasted, 0 if there is none.
func (d *diskTime) running(now time.Time) time.Duration {
	if d.began.IsZero() {
		return 0
	}
	return now.Sub(d.began)
}

// end records a save. Snapshots take several syncs and are no measure of one.
func (d *diskTime) end(now time.Time, snapshot bool) {
	took := min(now.Sub(d.began), maxDiskTime)
	d.began = time.Time{}
	switch {
	case took >= d.worst && !snapshot:
		d.worst = took
	case took < d.worst:
		d.worst -= (d.worst - took) / 2
	}
}

// standstills measures for how long this node is not called at a time, as on a machine that is
// too busy. The other members are assumed to fare alike. A single standstill does not count, as
// it says nothing about the next one.
type standstills struct {
	longest time.Duration // of the last time
	worst   time.Duration // that at least one other one was as long as
}

func (s *standstills) decay(passed time.Duration) {
	share := min(1, float64(passed)/float64(standstillMemory))
	s.longest -= time.Duration(float64(s.longest) * share)
	s.worst -= time.Duration(float64(s.worst) * share)
}

func (s *standstills) add(d time.Duration) {
	s.worst = max(s.worst, min(d, s.longest))
	s.longest = max(s.longest, d)
}

// noticeStandstill handles the time since the last call of this node. In a standstill, messages
// of the others were not handled, which is no silence of theirs.
func (n *Node) noticeStandstill(gap time.Duration) {
	n.standstills.decay(gap)
	if gap < n.cfg.ElectionTimeout/2 || n.leader == "" {
		return
	}
	n.standstills.add(min(gap, n.cfg.ElectionTimeout))
	switch {
	case n.role != Leader:
		excuse(&n.electionDeadline, &n.excused, gap, 2*n.cfg.ElectionTimeout)
	case gap >= 2*n.cfg.ElectionTimeout:
		n.becomeFollower(n.term) // the others have elected a successor
	case gap < n.cfg.ElectionTimeout:
		for _, pr := range n.peers {
			excuse(&pr.lastReply, &pr.excused, gap, n.cfg.ElectionTimeout)
		}
	}
}

// excuse moves t by a standstill, up to limit since the last message that counted. A node that
// stands still again and again must not take a lost peer for present, and a leader must end
// soon after its successor begins.
func excuse(t *time.Time, excused *time.Duration, gap, limit time.Duration) {
	d := min(gap, limit-*excused)
	*t = t.Add(d)
	*excused += d
}

// leaderTimeout returns the minimum silence after which a leader, or a leader's quorum, is missed.
func (n *Node) leaderTimeout() time.Duration { return n.cfg.ElectionTimeout + n.standstills.worst }

// electionTimeout returns how long an election may take at least: two saves one after the other,
// of the candidate and of the voters, beside the messages.
func (n *Node) electionTimeout() time.Duration {
	return n.leaderTimeout() + n.disk.worst + max(n.disk.worst, n.votersSave)
}

// saveHangs reports whether a save has lasted for so long that this node should not lead: its
// unsaved entries would grow without bound.
func (n *Node) saveHangs() bool { return n.disk.running(n.now) >= hungSaveTime }
