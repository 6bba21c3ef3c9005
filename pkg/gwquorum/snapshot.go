package gwquorum

import "time"

// transfer is the snapshot that a leader sends to members that are behind. It is newer than the
// saved one where that leaves many entries to send, and is not saved here: it holds committed
// entries only.
type transfer struct {
	snapshot *Snapshot
	// wanted means that the driver is to make a newer one.
	wanted bool
}

// SnapshotWanted reports whether the driver is to call ProvideSnapshot, as a member is behind
// and is better sent the state than the entries that it lacks.
func (n *Node) SnapshotWanted() bool { return n.role == Leader && n.transfer.wanted }

// ProvideSnapshot takes data as the state of the state machine after the last applied entry, to be
// sent to members that are behind. It is not saved here.
func (n *Node) ProvideSnapshot(data []byte) {
	index := n.log.applied
	term, _ := n.log.term(index)
	n.transfer = transfer{snapshot: &Snapshot{Index: index, Term: term, Members: n.log.membersAt(index).Clone(), Data: data}}
}

// latestSnapshot returns the newest snapshot there is.
func (n *Node) latestSnapshot() Snapshot {
	if t := n.transfer.snapshot; t != nil && t.Index > n.snapshot.Index {
		return *t
	}
	return n.snapshot
}

// freshSnapshot returns the newest snapshot, and false if the entries applied after it are so
// large that a newer one has to be made first.
func (n *Node) freshSnapshot() (Snapshot, bool) {
	s := n.latestSnapshot()
	return s, s.Index > 0 && n.log.size(s.Index, n.log.applied) <= max(n.cfg.MinSnapshotBytes, len(s.Data))
}

// prefersSnapshot reports whether a peer that has the entries up to index is better sent a
// snapshot: it is a new member, or the entries that it lacks are larger than the state and than
// what a member that was away for a moment may lack.
func (n *Node) prefersSnapshot(id string, index uint64) bool {
	if n.log.applied == 0 {
		return false
	}
	limit := n.cfg.KeepBytes
	switch {
	case index == 0 && n.log.members().IsLearner(id) && !n.log.members().isElector(id):
		return true
	case index == 0:
		limit = n.cfg.MinSnapshotBytes
	}
	s := n.latestSnapshot()
	return n.log.size(index, n.log.applied) > max(limit, len(s.Data))
}

// needsSnapshot reports whether a peer that is being restored cannot, or should not, continue with
// the entries after those that it has confirmed.
func (n *Node) needsSnapshot(id string, pr *progress) bool {
	if !pr.snapshotSent.IsZero() {
		return pr.match < pr.snapshotIndex
	}
	return pr.match < n.log.base || n.prefersSnapshot(id, pr.match)
}

// sendSnapshot sends a snapshot to a responsive peer, as soon as there is a fresh one. Other peers
// get only heartbeats, so that an unreachable peer costs little bandwidth.
func (n *Node) sendSnapshot(id string, pr *progress) {
	pr.state, pr.inflight, pr.snapshotSent = restoring, nil, time.Time{}
	if !n.active(id) {
		return
	}
	s, fresh := n.freshSnapshot()
	if !fresh {
		n.transfer.wanted = true
		return
	}
	pr.snapshotSent, pr.snapshotIndex = n.now, s.Index
	n.send(Message{Kind: MessageSnapshot, To: id, Snapshot: &s, ReadRound: n.reads.round})
	n.reads.round++
	pr.snapshotRound = n.reads.round
}

// SnapshotBegan tells that the driver has begun to send a snapshot to a member in a way in which
// other messages overtake it. Until SnapshotEnded is called, it does not count as lost.
func (n *Node) SnapshotBegan(to string) {
	if pr := n.peers[to]; pr != nil {
		pr.underWay = true
	}
}

// SnapshotEnded tells that a snapshot has been delivered to a member, or that it is to be sent again.
func (n *Node) SnapshotEnded(to string, delivered bool) {
	pr := n.peers[to]
	if pr == nil {
		return
	}
	pr.underWay = false
	if pr.snapshotSent.IsZero() {
		return
	}
	pr.snapshotSent = n.now // its reply may be on the way
	if !delivered {
		pr.snapshotSent = time.Time{}
	}
}

// dropTransfer forgets the snapshot that is not saved while no responsive member needs it.
func (n *Node) dropTransfer() {
	for id, pr := range n.peers {
		if pr.state == restoring && n.active(id) {
			return
		}
	}
	n.transfer = transfer{}
}

// snapshotLost reports whether a reply to a message that was sent after the last snapshot shows
// that the peer does not have it. Messages to a peer arrive in order; one that overtakes the
// snapshot costs another snapshot, at most one for each election timeout. Silence shows nothing, as
// a member sends no reply while it receives and saves a snapshot.
func (n *Node) snapshotLost(pr *progress, m Message) bool {
	return pr.state == restoring && !pr.underWay && m.ReadRound >= pr.snapshotRound && pr.match < pr.snapshotIndex &&
		n.now.Sub(pr.snapshotSent) >= n.cfg.ElectionTimeout
}

func (n *Node) resendSnapshot(id string, pr *progress, heartbeat bool) {
	switch {
	case n.active(id) && !pr.underWay && n.now.Sub(pr.snapshotSent) >= n.cfg.SnapshotTimeout:
		n.sendSnapshot(id, pr)
	case heartbeat:
		// Entry 0 matches in every log; the reply contains the peer's commit index.
		n.send(Message{Kind: MessageAppend, To: id, ReadRound: n.reads.round})
	}
}

func (n *Node) onSnapshot(m Message) {
	s := m.Snapshot
	if s == nil || s.Term > m.Term {
		return // malformed: no leader sends this
	}
	reply := Message{Kind: MessageAppendReply, To: m.From, ReadRound: m.ReadRound}
	t, ok := n.log.term(s.Index)
	switch {
	case s.Index <= n.log.commit:
		reply.Index = n.log.commit
	case ok && t == s.Term:
		n.log.commit = s.Index
		reply.Index = s.Index
	default:
		n.snapshot, n.snapshotUnsaved, n.restorePending, n.restoring = *s, true, true, true
		n.log.reset(*s)
		reply.Index = s.Index
	}
	n.send(reply)
}
