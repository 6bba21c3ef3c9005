package gwquorum

const opChange = "propose change"

// ProposeChange proposes a membership change. Only one change may be in progress. A
// learner is promoted only if it has reported a synced log position near the commit
// index, and no change may leave too few responsive voters for a quorum. A change takes
// effect as soon as it is in the log, before it is committed. A Replace takes two entries: while
// the first one is the latest, quorums of the voters before and after are needed; once it is
// committed, the leader appends the second one by itself.
func (n *Node) ProposeChange(c Change) error {
	if err := n.checkPropose(opChange); err != nil {
		return err
	}
	// Until the leader has committed an entry of its own term, its change could overlap
	// with a change of an earlier leader.
	if n.log.commit < n.termStartIndex || n.log.changeIndex() > n.log.commit {
		return newError(opChange, KindPending, "an earlier change or the leader's first entry is not committed yet")
	}
	m, err := n.applyChange(c)
	if err != nil {
		return err
	}
	if !n.hasWorkingQuorum(m) {
		return newError(opChange, KindNoQuorum, "too few of the voters %v are responsive and save entries", m.Voters)
	}
	n.appendAsLeader(Entry{Kind: EntryChange, Members: &m})
	n.updatePeers()
	return nil
}

// hasWorkingQuorum reports whether a quorum of the voters in m answers and saves entries. A
// voter whose disk does not answer still answers heartbeats.
func (n *Node) hasWorkingQuorum(m Members) bool {
	return m.hasQuorum(func(id string) bool { return n.active(id) && n.saves(id) })
}

// saves reports whether a member has saved all entries, or some of the missing ones lately.
func (n *Node) saves(id string) bool {
	if id == n.cfg.ID {
		return n.disk.running(n.now) < n.cfg.StallTimeout
	}
	pr := n.peers[id]
	return pr != nil && (pr.match >= n.log.last() || n.now.Sub(pr.advancedAt) < n.cfg.StallTimeout)
}

// applyChange returns the membership that results from c.
func (n *Node) applyChange(c Change) (Members, error) {
	m := n.log.members().Clone()
	switch c.Kind {
	case AddLearner:
		return n.applyAdd(m, c)
	case Promote:
		if err := n.checkCaughtUp(m, c.Instance); err != nil {
			return m, err
		}
		m.Learners = without(m.Learners, c.Instance)
		m.Voters = append(m.Voters, c.Instance)
		return m, nil
	case Remove:
		return n.applyRemove(m, c)
	case Replace:
		return n.applyReplace(m, c)
	default:
		return m, newError(opChange, KindInvalid, "unknown kind of change %d", c.Kind)
	}
}

func (n *Node) applyAdd(m Members, c Change) (Members, error) {
	if c.Instance == "" || m.IsVoter(c.Instance) || m.IsLearner(c.Instance) {
		return m, newError(opChange, KindInvalid, "%q is empty or already a member", c.Instance)
	}
	m.Learners, m.Former = append(m.Learners, c.Instance), without(m.Former, c.Instance)
	_, kept := m.Ranks[c.Instance]
	switch {
	case c.Rank != nil:
		m = m.withRank(c.Instance, *c.Rank)
	case !kept:
		m = m.withRank(c.Instance, n.log.last()+1)
	}
	return m, nil
}

func (n *Node) applyRemove(m Members, c Change) (Members, error) {
	if c.Instance == n.cfg.ID {
		return m, newError(opChange, KindInvalid, "the leader cannot remove itself; transfer the leadership first")
	}
	if !m.IsVoter(c.Instance) && !m.IsLearner(c.Instance) {
		return m, newError(opChange, KindInvalid, "%q is not a member", c.Instance)
	}
	m.Learners, m.Voters = without(m.Learners, c.Instance), without(m.Voters, c.Instance)
	m = m.withRank(c.Instance, m.Ranks[c.Instance])
	if c.Heir != "" {
		if !m.IsVoter(c.Heir) && !m.IsLearner(c.Heir) {
			return m, newError(opChange, KindInvalid, "the heir %q is not another member", c.Heir)
		}
		m = m.withRank(c.Heir, min(m.Ranks[c.Heir], m.Ranks[c.Instance])).withRank(c.Instance, RankSucceeded)
	}
	return m.withFormer(c.Instance), nil
}

// applyReplace returns the membership in which both quorums are needed. The entry after it is
// appended by finishReplace.
func (n *Node) applyReplace(m Members, c Change) (Members, error) {
	if c.Replaced == n.cfg.ID {
		return m, newError(opChange, KindInvalid, "the leader cannot replace itself; transfer the leadership first")
	}
	if !m.IsVoter(c.Replaced) {
		return m, newError(opChange, KindInvalid, "%q, which is to be replaced, is not a voter", c.Replaced)
	}
	if err := n.checkCaughtUp(m, c.Instance); err != nil {
		return m, err
	}
	m.Outgoing = m.Voters
	m.Voters = append(without(m.Voters, c.Replaced), c.Instance)
	m.Learners = append(without(m.Learners, c.Instance), c.Replaced)
	return m, nil
}

// checkCaughtUp returns an error unless id is a learner that has caught up.
func (n *Node) checkCaughtUp(m Members, id string) error {
	pr := n.peers[id]
	if !m.IsLearner(id) || pr == nil {
		return newError(opChange, KindInvalid, "%q is not a learner", id)
	}
	// A learner that has synced the latest change also knows of its own addition.
	if pr.match < n.log.changeIndex() || !n.hasAlmostAll(pr) || !n.active(id) {
		return newError(opChange, KindNotCaughtUp, "%q has synced up to entry %d, the commit index is %d", id, pr.match, n.log.commit)
	}
	return nil
}

// hasAlmostAll reports whether a peer lacks few of the committed entries. One that lacks entries which
// are not in memory needs a snapshot first, and their size is not known.
func (n *Node) hasAlmostAll(pr *progress) bool {
	return pr.match >= n.log.base && pr.match+n.cfg.MaxPromoteLag >= n.log.commit &&
		n.lagBytes(pr) <= n.cfg.MaxPromoteLagBytes
}

// finishReplace appends the membership after a Replace once the one with both quorums is
// committed, also if an earlier leader appended that.
func (n *Node) finishReplace() {
	m := n.log.members()
	if !m.joint() || n.log.changeIndex() > n.log.commit {
		return
	}
	m = m.Clone()
	m.Outgoing = nil
	n.appendAsLeader(Entry{Kind: EntryChange, Members: &m})
	n.updatePeers()
}

// hasLeft reports whether the committed membership and later ones give this node no vote.
func (n *Node) hasLeft() bool { return !n.log.mayElect(n.cfg.ID) }

// leaveLeadership makes a leader that a Replace has turned into a learner hand the leadership
// to a voter. It leads until the change is committed, as it may have been the only one that
// could be elected.
func (n *Node) leaveLeadership() {
	if !n.hasLeft() || n.transferTarget != "" {
		return
	}
	to := n.bestVoter()
	if to == "" {
		n.becomeFollower(n.term)
		return
	}
	n.transferTo(to)
}

// TransferLeadership hands the leadership to another voter once that voter has the whole
// log. Until then, but for one election timeout at most, proposals are refused. A voter that
// is not responsive or lacks more than a learner may at its promotion is refused. An empty name chooses
// the responsive voter with the longest synced log.
func (n *Node) TransferLeadership(to string) error {
	const op = "transfer leadership"
	if err := n.checkPropose(op); err != nil {
		return err
	}
	if to == "" {
		to = n.bestVoter()
	}
	if to == n.cfg.ID || !n.log.members().IsVoter(to) {
		return newError(op, KindInvalid, "%q is not another voter", to)
	}
	pr := n.peers[to]
	if !n.active(to) || !n.hasAlmostAll(pr) {
		return newError(op, KindNotCaughtUp, "%q is not responsive, or has synced only up to entry %d of %d", to, pr.match, n.log.commit)
	}
	n.transferTo(to)
	return nil
}

func (n *Node) transferTo(to string) {
	n.transferTarget, n.transferDeadline = to, n.now.Add(n.electionTimeout())
	n.maybeTransfer(to, n.peers[to])
}

func (n *Node) maybeTransfer(id string, pr *progress) {
	if id == n.transferTarget && pr.match == n.log.last() {
		n.send(Message{Kind: MessageTimeoutNow, To: id})
	}
}

// bestVoter returns the responsive voter with the longest synced log, "" if there is none.
func (n *Node) bestVoter() string {
	best := ""
	for _, id := range n.peerIDs() {
		if !n.active(id) || !n.log.members().IsVoter(id) {
			continue
		}
		if best == "" || n.peers[id].match > n.peers[best].match {
			best = id
		}
	}
	return best
}
