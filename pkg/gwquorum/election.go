package gwquorum

import "time"

// resetElectionDeadline sets the time at which a silent leader is missed.
func (n *Node) resetElectionDeadline() {
	t := n.leaderTimeout()
	n.setElectionDeadline(t, t)
}

// setElectionDeadline sets the deadline to a random time from least on.
func (n *Node) setElectionDeadline(least, spread time.Duration) {
	n.electionDeadline, n.excused = n.now.Add(least+time.Duration(n.rand.Int64N(int64(spread)))), 0
}

// awaitElection leaves the election in which this node has just voted the time for its saves.
// Meanwhile it starts no other one, and lets no other node than its candidate do so.
func (n *Node) awaitElection() {
	t := n.electionTimeout()
	n.setElectionDeadline(t, n.leaderTimeout()+n.disk.worst)
	n.electionUntil = n.now.Add(t)
}

// electionRuns reports whether a pre-vote of another node would disturb an election.
func (n *Node) electionRuns(from string) bool { return from != n.vote && n.now.Before(n.electionUntil) }

// shortenElectionDeadline sets a shorter deadline after a lost election. A pre-vote is
// often lost only because another voter heard from the old leader a little later.
func (n *Node) shortenElectionDeadline() {
	half := n.cfg.ElectionTimeout / 2
	n.electionDeadline = n.now.Add(half + time.Duration(n.rand.Int64N(int64(half))))
}

// hasLeader reports whether a leader was heard from within the election timeout, so
// that votes for other candidates are refused.
func (n *Node) hasLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != "" && n.now.Sub(n.leaderHeardAt) < n.cfg.ElectionTimeout
}

// becomeFollower makes the node a follower in term without a known leader.
func (n *Node) becomeFollower(term uint64) {
	if term > n.term {
		n.term, n.vote, n.electionUntil = term, "", time.Time{}
	}
	if n.role == Leader {
		n.failReads()
	}
	n.role, n.leader = Follower, ""
	n.peers, n.votes, n.transferTarget, n.transfer = nil, nil, "", transfer{}
	n.resetElectionDeadline()
}

// preCampaign asks the voters whether this node could win an election, without changing
// the term, so that an isolated node does not disturb a working leader when it returns. A
// node without a vote only forgets the leader, so that it does not send callers to it.
func (n *Node) preCampaign() {
	if !n.log.mayElect(n.cfg.ID) {
		n.leader = ""
		return
	}
	n.role, n.leader, n.votersSave = PreCandidate, "", 0
	n.votes = map[string]bool{n.cfg.ID: true}
	if n.hasWonElection() {
		n.campaign(false)
		return
	}
	n.requestVotes(Message{Kind: MessagePreVote, Term: n.term + 1})
}

// campaign starts an election in the next term.
func (n *Node) campaign(transfer bool) {
	n.role, n.leader = Candidate, ""
	n.term++
	n.vote = n.cfg.ID
	n.votes = map[string]bool{n.cfg.ID: true}
	n.awaitElection()
	if n.hasWonElection() {
		n.becomeLeader()
		return
	}
	n.requestVotes(Message{Kind: MessageVote, Term: n.term, Transfer: transfer})
}

func (n *Node) requestVotes(m Message) {
	m.Index, m.LogTerm = n.log.last(), n.log.lastTerm()
	for _, id := range n.log.members().electors() {
		if id != n.cfg.ID {
			m.To = id
			n.send(m)
		}
	}
}

func (n *Node) hasWonElection() bool {
	return n.log.members().hasQuorum(func(id string) bool { return n.votes[id] })
}

func (n *Node) hasLostElection() bool {
	return !n.log.members().hasQuorum(func(id string) bool {
		granted, answered := n.votes[id]
		return granted || !answered
	})
}

func (n *Node) onPreVote(m Message) {
	grant := m.Term > n.term && !n.hasLeader() && n.log.upToDate(m.Index, m.LogTerm) && !n.hasElectionPriority(m) && !n.electionRuns(m.From)
	if grant && n.role == PreCandidate {
		n.becomeFollower(n.term)
	}
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Reject: !grant, SaveTime: n.disk.worst}
	if grant {
		reply.Term = m.Term
	}
	n.send(reply)
}

// hasElectionPriority reports whether this node asks for pre-votes as well and has
// priority over the sender of m, so that nodes with equal logs do not split the votes.
func (n *Node) hasElectionPriority(m Message) bool {
	return n.role == PreCandidate && m.Index == n.log.last() && m.LogTerm == n.log.lastTerm() && n.cfg.ID > m.From
}

func (n *Node) onPreVoteReply(m Message) {
	if m.Reject && m.Term > n.term {
		n.becomeFollower(m.Term)
		return
	}
	if n.role != PreCandidate || !m.Reject && m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = !m.Reject
	n.votersSave = max(n.votersSave, min(m.SaveTime, maxDiskTime))
	switch {
	case n.hasWonElection():
		n.campaign(false)
	case n.hasLostElection():
		n.becomeFollower(n.term)
		n.shortenElectionDeadline()
	}
}

func (n *Node) onVote(m Message) {
	canVote := n.vote == "" && n.leader == "" || n.vote == m.From
	grant := canVote && n.role != Leader && n.log.upToDate(m.Index, m.LogTerm)
	if grant {
		n.vote, n.role = m.From, Follower
		n.awaitElection()
	}
	n.send(Message{Kind: MessageVoteReply, To: m.From, Reject: !grant})
}

func (n *Node) onVoteReply(m Message) {
	if n.role != Candidate {
		return
	}
	n.votes[m.From] = !m.Reject
	switch {
	case n.hasWonElection():
		n.becomeLeader()
	case n.hasLostElection():
		n.becomeFollower(n.term)
		n.shortenElectionDeadline()
	}
}

// becomeLeader makes the node the leader of its term.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.nextHeartbeat = n.now
	n.reads.round = 0
	n.peers = map[string]*progress{}
	n.updatePeers()
	n.termStartIndex = n.appendAsLeader(Entry{Kind: EntryEmpty}).Index
	n.stall.entries.since, n.stall.reads.since = n.now, n.now
}

func (n *Node) tickLeader() {
	if n.transferTarget != "" && !n.now.Before(n.transferDeadline) {
		n.transferTarget = ""
		if n.hasLeft() {
			n.becomeFollower(n.term)
			return
		}
	}
	if !n.hasActiveQuorum(n.log.members()) {
		n.becomeFollower(n.term)
		return
	}
	if n.saveHangs() {
		n.giveWay()
		return
	}
	n.checkProgress()
	if n.role == Leader && !n.now.Before(n.nextHeartbeat) {
		n.nextHeartbeat = n.now.Add(n.cfg.HeartbeatInterval)
		n.dropTransfer()
		n.broadcast(true)
	}
}

// hasActiveQuorum reports whether a quorum of the voters in m answered within the
// election timeout.
func (n *Node) hasActiveQuorum(m Members) bool { return m.hasQuorum(n.active) }

func (n *Node) active(id string) bool {
	if id == n.cfg.ID {
		return true
	}
	pr := n.peers[id]
	return pr != nil && n.now.Sub(pr.lastReply) < n.leaderTimeout()
}
