package gwquorum

import "slices"

// ProposeChange proposes a membership change. One change is in progress at a
// time. A learner is promoted only when it has reported a synced log position
// near the commit index, and no change may leave too few answering voters for
// a quorum. The change holds from the moment it is in the log.
func (n *Node) ProposeChange(c Change) error {
	const op = "propose change"
	if err := n.checkPropose(op); err != nil {
		return err
	}
	// Changes of two leaders are ordered only once the later leader has
	// committed an entry of its own term.
	if n.log.commit < n.firstIndex || n.log.changeIndex() > n.log.commit {
		return newError(op, KindPending, "an earlier change or the leader's first entry is not committed")
	}
	m, err := n.changed(c)
	if err != nil {
		return err
	}
	if !n.hasActiveQuorum(m) {
		return newError(op, KindNoQuorum, "too few of the voters %v answer", m.Voters)
	}
	n.appendOwn(Entry{Kind: EntryChange, Members: &m})
	n.syncPeers()
	return nil
}

// changed returns the membership after c.
func (n *Node) changed(c Change) (Members, error) {
	const op = "propose change"
	m := n.log.members().Clone()
	switch c.Kind {
	case AddLearner:
		if c.Instance == "" || m.IsVoter(c.Instance) || m.IsLearner(c.Instance) {
			return m, newError(op, KindInvalid, "%q is empty or already a member", c.Instance)
		}
		m.Learners = append(m.Learners, c.Instance)
	case Promote:
		pr := n.peers[c.Instance]
		if !m.IsLearner(c.Instance) || pr == nil {
			return m, newError(op, KindInvalid, "%q is not a learner", c.Instance)
		}
		// Having synced the latest change, the learner also knows of its own addition.
		caughtUp := pr.match >= n.log.changeIndex() && pr.match+n.cfg.MaxPromoteLag >= n.log.commit
		if !caughtUp || !n.active(c.Instance) {
			return m, newError(op, KindNotCaughtUp, "%q has synced entry %d of %d", c.Instance, pr.match, n.log.commit)
		}
		m.Learners = slices.DeleteFunc(m.Learners, func(id string) bool { return id == c.Instance })
		m.Voters = append(m.Voters, c.Instance)
	case Remove:
		if c.Instance == n.cfg.ID {
			return m, newError(op, KindInvalid, "the leader cannot remove itself; transfer the leadership first")
		}
		if !m.IsVoter(c.Instance) && !m.IsLearner(c.Instance) {
			return m, newError(op, KindInvalid, "%q is not a member", c.Instance)
		}
		isIt := func(id string) bool { return id == c.Instance }
		m.Learners, m.Voters = slices.DeleteFunc(m.Learners, isIt), slices.DeleteFunc(m.Voters, isIt)
	default:
		return m, newError(op, KindInvalid, "unknown kind of change %d", c.Kind)
	}
	return m, nil
}

// TransferLeadership hands the leadership to another voter once that has the
// whole log. Until then, or for one election timeout, proposals are refused. An
// empty name chooses the answering voter with the longest synced log.
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
	n.transfer, n.transferEnd = to, n.now.Add(n.cfg.ElectionTimeout)
	n.maybeTransfer(to, n.peers[to])
	return nil
}

func (n *Node) maybeTransfer(id string, pr *progress) {
	if id == n.transfer && pr.match == n.log.last() {
		n.send(Message{Kind: MessageTimeoutNow, To: id})
	}
}

// bestVoter returns the answering voter with the longest synced log, or "".
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
