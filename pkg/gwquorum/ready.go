package gwquorum

// Ready returns the work for the driver. It returns no further work until Advance is called;
// see ReadyDuringSave for what need not wait for a save.
func (n *Node) Ready() Ready {
	if n.readyInProgress {
		return Ready{HardState: n.saved}
	}
	n.flush()
	hs := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	rd := Ready{
		HardState:        hs,
		Entries:          n.log.between(n.log.stable, n.log.last()),
		Messages:         n.messages,
		hardStateChanged: n.unsavedHardState(),
	}
	if n.snapshotUnsaved {
		s := n.snapshot
		rd.Snapshot, rd.Restore = &s, n.restorePending
	}
	switch {
	case rd.Restore:
		rd.Committed = n.log.between(n.snapshot.Index, n.log.commit)
	case !rd.MustSave():
		n.takeApplicable(&rd)
	}
	if rd.MustSave() {
		rd.early, rd.late = n.splitMessages()
		n.disk.begin(n.now)
	}
	n.messages, n.held = nil, 0
	n.snapshotUnsaved, n.restorePending = false, false
	n.readyInProgress = !rd.Empty()
	return rd
}

// ReadyDuringSave returns the work that need not wait for the end of a save, between Ready and
// Advance: messages, entries to apply and answered reads. Advance is called for it, too. A slow
// disk then delays only the promises that need it, and the node stays in touch with the others.
func (n *Node) ReadyDuringSave() Ready {
	rd := Ready{HardState: n.saved, duringSave: true}
	if !n.readyInProgress {
		return rd
	}
	n.flush()
	rd.Messages, n.messages = n.splitMessages()
	n.held = len(n.messages)
	if !n.restoring {
		n.takeApplicable(&rd)
	}
	return rd
}

// takeApplicable moves the committed entries and answered reads to rd.
func (n *Node) takeApplicable(rd *Ready) {
	rd.Committed = n.log.between(n.log.applied, n.log.commit)
	rd.Reads, n.reads.answered = n.reads.answered, nil
}

// unsavedHardState reports whether the term or the vote has changed since the last save.
func (n *Node) unsavedHardState() bool { return n.term != n.saved.Term || n.vote != n.saved.Vote }

// splitMessages returns the messages that may be sent before what is unsaved is saved, and those
// that may not. A reply that confirms unsaved entries is split into one that confirms the saved
// ones, which tells the leader that this node follows it, and the whole one.
func (n *Node) splitMessages() (early, late []Message) {
	for i, m := range n.messages {
		partial := m
		switch {
		case m.Kind == MessagePreVote, m.Kind == MessagePreVoteReply:
			early = append(early, m)
		case m.Kind == MessageVote, m.Kind == MessageVoteReply, n.unsavedHardState(), m.Term != n.term:
			late = append(late, m)
		case m.Kind != MessageAppendReply || m.Reject:
			early = append(early, m)
		case m.Index <= n.log.stable && !n.restoring:
			early = append(early, m)
		case n.restoring, i < n.held: // the leader was told before
			late = append(late, m)
		default:
			partial.Index = n.log.stable
			early, late = append(early, partial), append(late, m)
		}
	}
	return early, late
}

// Advance records that the driver has done the work of rd: saved, sent and applied it.
func (n *Node) Advance(rd Ready) {
	if c := len(rd.Committed); c > 0 {
		n.log.applied = max(n.log.applied, rd.Committed[c-1].Index)
	}
	if rd.duringSave {
		return
	}
	n.readyInProgress = false
	if rd.MustSave() {
		n.saved = rd.HardState
		n.disk.end(n.now, rd.Snapshot != nil)
	}
	if rd.Restore {
		n.log.applied = max(n.log.applied, rd.Snapshot.Index)
		n.restoring = n.restorePending
	}
	if c := len(rd.Entries); c > 0 {
		last := rd.Entries[c-1]
		// An entry that was replaced while it was being saved does not count as synced.
		if t, ok := n.log.term(last.Index); ok && t == last.Term {
			n.log.stable = max(n.log.stable, last.Index)
		}
	}
	n.maybeCommit()
}
