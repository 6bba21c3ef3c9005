package gwquorum

import (
	"maps"
	"slices"
	"time"
)

type progressState uint8

const (
	probing     progressState = iota // one message with entries at a time until the logs are known to match
	replicating                      // messages are pipelined: sent without waiting for replies
	restoring                        // the peer needs a snapshot before it can get entries
)

// String returns the name of the state.
func (s progressState) String() string {
	return [...]string{"probing", "replicating", "restoring"}[s]
}

// progress is the replication state of one peer at the leader.
type progress struct {
	state          progressState
	match          uint64 // greatest index synced on the peer
	next           uint64 // next index to send
	commitSent     uint64 // commit index last sent
	inflight       []uint64
	probeSent      bool          // a probe was sent and is unanswered
	snapshotSent   time.Time     // when the last snapshot was sent, zero if another one is due
	snapshotIndex  uint64        // of the last snapshot that was sent
	underWay       bool          // the driver is sending a snapshot
	snapshotRound  uint64        // confirmation round that began after the last snapshot was sent
	lastReply      time.Time     // when the last reply of this term arrived
	advancedAt     time.Time     // when match last grew
	excused        time.Duration // by which standstills have moved lastReply
	confirmedRound uint64        // last confirmation round of reads that the peer confirmed
}

func (n *Node) peerIDs() []string { return slices.Sorted(maps.Keys(n.peers)) }

// updatePeers updates the set of peers to the current membership.
func (n *Node) updatePeers() {
	m := n.log.members()
	for _, id := range m.All() {
		if id != n.cfg.ID && n.peers[id] == nil {
			// A new peer counts as active for one election timeout.
			n.peers[id] = &progress{next: n.log.last() + 1, lastReply: n.now, advancedAt: n.now}
		}
	}
	maps.DeleteFunc(n.peers, func(id string, _ *progress) bool { return !m.IsVoter(id) && !m.IsLearner(id) })
}

// flush creates the messages for new entries, a new commit index and reads.
func (n *Node) flush() {
	if n.role != Leader || n.fault != nil {
		return
	}
	n.broadcast(n.startRound())
	n.finishReads()
}

func (n *Node) broadcast(heartbeat bool) {
	for _, id := range n.peerIDs() {
		n.sendAppend(id, n.peers[id], heartbeat)
	}
}

// sendAppend sends the next entries, or an empty append if there is a new commit index
// or a heartbeat is due.
func (n *Node) sendAppend(id string, pr *progress, heartbeat bool) {
	if pr.state == restoring {
		n.resendSnapshot(id, pr, heartbeat)
		return
	}
	prev := pr.next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok || pr.state == probing && !pr.probeSent && n.prefersSnapshot(id, prev) {
		n.sendSnapshot(id, pr)
		return
	}
	m := Message{Kind: MessageAppend, To: id, Index: prev, LogTerm: prevTerm, Commit: n.log.commit, ReadRound: n.reads.round}
	m.Entries = n.nextEntries(pr)
	newCommit := pr.state == replicating && pr.commitSent < n.log.commit
	if len(m.Entries) == 0 && !heartbeat && !newCommit {
		return
	}
	pr.commitSent = n.log.commit
	n.send(m)
	if len(m.Entries) > 0 && pr.state == replicating && pr.next <= n.log.last() {
		n.sendAppend(id, pr, false)
	}
}

// nextEntries returns the entries that a peer is sent now, none if it has to answer first.
func (n *Node) nextEntries(pr *progress) []Entry {
	switch {
	case pr.state == probing && !pr.probeSent:
		// Heartbeats to a peer that does not answer carry no entries.
		entries := n.log.batch(pr.next, n.cfg.MaxBatchBytes)
		pr.probeSent = len(entries) > 0
		return entries
	case pr.state == replicating && len(pr.inflight) < n.cfg.MaxInflight:
		entries := n.log.batch(pr.next, n.cfg.MaxBatchBytes)
		if c := len(entries); c > 0 {
			pr.next = entries[c-1].Index + 1
			pr.inflight = append(pr.inflight, pr.next-1)
		}
		return entries
	}
	return nil
}

func (n *Node) onAppendReply(m Message) {
	pr := n.peers[m.From]
	if n.role != Leader || pr == nil {
		return
	}
	pr.lastReply, pr.excused = n.now, 0
	pr.confirmedRound = max(pr.confirmedRound, min(m.ReadRound, n.reads.round))
	if m.Reject {
		n.backOff(pr, m)
		return
	}
	if m.Index > n.log.last() {
		n.fail("%s reports a synced entry %d past the leader's last entry %d", m.From, m.Index, n.log.last())
		return
	}
	if m.Index > pr.match {
		pr.match, pr.advancedAt = m.Index, n.now
	}
	pr.next = max(pr.next, pr.match+1)
	pr.inflight = slices.DeleteFunc(pr.inflight, func(i uint64) bool { return i <= pr.match })
	if n.snapshotLost(pr, m) {
		pr.snapshotSent = time.Time{}
	}
	switch {
	case pr.state == restoring && n.needsSnapshot(m.From, pr):
	case pr.state != replicating && m.Index == pr.match:
		pr.state, pr.next, pr.probeSent = replicating, pr.match+1, false
	}
	n.maybeCommit()
	n.maybeTransfer(m.From, pr)
}

// backOff moves the next index of a peer that rejected an entry back to where the logs
// may match.
func (n *Node) backOff(pr *progress, m Message) {
	switch {
	case pr.state == replicating && m.Index > pr.match:
		pr.state, pr.next, pr.inflight, pr.probeSent = probing, pr.match+1, nil, false
	case pr.state == probing && m.Index == pr.next-1:
		hint, _ := n.log.matchHint(m.HintIndex, m.HintTerm)
		if m.HintIndex < n.log.base {
			hint = m.HintIndex
		}
		pr.next = max(min(m.Index, hint+1), pr.match+1)
		pr.probeSent = false
	}
}

// maybeCommit commits the entries that a quorum has synced. Only an entry of the leader's
// own term is committed by counting replicas; it commits the entries before it.
func (n *Node) maybeCommit() {
	if n.role != Leader {
		return
	}
	index := n.log.members().syncedByQuorum(func(id string) uint64 {
		switch pr := n.peers[id]; {
		case id == n.cfg.ID:
			return n.log.stable
		case pr != nil:
			return pr.match
		}
		return 0
	})
	if t, ok := n.log.term(index); ok && t == n.term && index > n.log.commit {
		n.log.commit = index
		n.stall.count = 0
		n.finishReplace()
		n.leaveLeadership()
	}
}

// onLeaderMessage handles an append or a snapshot from the leader of the term.
func (n *Node) onLeaderMessage(m Message) {
	if n.role == Leader {
		n.fail("%s also claims to lead term %d", m.From, n.term)
		return
	}
	n.role, n.leader, n.votes = Follower, m.From, nil
	n.leaderHeardAt, n.electionUntil = n.now, time.Time{}
	n.resetElectionDeadline()
	if m.Kind == MessageSnapshot {
		n.onSnapshot(m)
		return
	}
	n.onAppend(m)
}

func (n *Node) onAppend(m Message) {
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term > m.Term {
			return // malformed: no leader sends this
		}
	}
	reply := Message{Kind: MessageAppendReply, To: m.From, ReadRound: m.ReadRound}
	t, ok := n.log.term(m.Index)
	switch {
	case ok && t != m.LogTerm && m.Index <= n.log.commit:
		n.fail("entry %d from %s has term %d, but the committed entry has term %d", m.Index, m.From, m.LogTerm, t)
		return
	case m.Index < n.log.commit:
		reply.Index = n.log.commit
	case ok && t == m.LogTerm:
		n.appendEntries(m.Entries)
		reply.Index = m.Index + uint64(len(m.Entries))
		if commit := min(m.Commit, reply.Index); commit > n.log.commit {
			n.log.commit = commit
			n.stall.count = 0 // another voter can do better
		}
	default:
		reply.Reject, reply.Index = true, m.Index
		reply.HintIndex, reply.HintTerm = n.log.matchHint(m.Index, m.LogTerm)
	}
	n.send(reply)
}

// appendEntries appends the leader's entries, which are all after the commit index, and
// replaces conflicting entries.
func (n *Node) appendEntries(entries []Entry) {
	for i, e := range entries {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.log.truncate(e.Index)
		}
		n.log.append(entries[i:]...)
		return
	}
}
