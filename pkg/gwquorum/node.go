package gwquorum

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Node is one member of a Raft group, without I/O.
type Node struct {
	cfg      Config
	rand     *rand.Rand
	now      time.Time
	term     uint64
	vote     string
	saved    HardState // as of the last Advance
	log      entryLog
	snapshot Snapshot // the latest that is or will be saved
	transfer transfer

	role             Role
	leader           string
	leaderHeardAt    time.Time // when the leader's last message arrived
	electionDeadline time.Time // when the next election starts
	electionUntil    time.Time // until when the election in which this node has voted is left to run
	votes            map[string]bool

	peers            map[string]*progress // on the leader, without itself
	nextHeartbeat    time.Time            // when the next heartbeat is due
	termStartIndex   uint64               // on the leader, first index of its own term
	transferTarget   string
	transferDeadline time.Time

	reads readTracker
	stall stallTracker

	messages        []Message
	held            int // the first messages, which ReadyDuringSave kept
	snapshotUnsaved bool
	restorePending  bool
	restoring       bool // a received snapshot is not saved yet
	readyInProgress bool // Ready was called and Advance not yet
	disk            diskTime
	votersSave      time.Duration // longest save of the voters that answered the last pre-vote
	excused         time.Duration // by which standstills have moved electionDeadline
	standstills     standstills
	fault           error
}

// NewNode returns a node that continues from saved state. Each of the first voters
// starts with a Snapshot of index 0 that names all of them; an instance that is to be
// added later starts with a zero Snapshot. The state machine must be restored from
// snap; the entries after it are delivered again as they are committed.
func NewNode(cfg Config, st HardState, snap Snapshot, entries []Entry) (*Node, error) {
	if cfg.ID == "" || cfg.Rand == nil {
		return nil, newError("new node", KindInvalid, "config needs ID and Rand")
	}
	n := &Node{cfg: cfg.withDefaults(), rand: rand.New(cfg.Rand), term: st.Term, vote: st.Vote, snapshot: snap}
	n.log.reset(snap)
	n.log.applied = snap.Index
	for _, e := range entries {
		if e.Index <= snap.Index {
			continue
		}
		if e.Index != n.log.last()+1 || e.Term < n.log.lastTerm() {
			return nil, newError("new node", KindInconsistent, "entry %d of term %d follows entry %d of term %d",
				e.Index, e.Term, n.log.last(), n.log.lastTerm())
		}
		n.log.append(e)
	}
	if st.Commit > n.log.last() {
		return nil, newError("new node", KindInconsistent, "saved commit index %d is past the last entry %d", st.Commit, n.log.last())
	}
	n.log.stable = n.log.last()
	n.log.commit = max(snap.Index, st.Commit)
	n.saved = st
	// A crash after saving a received snapshot and before saving the term that came
	// with it leaves an older term. A vote in the newer term would have been saved
	// with that term, so none is lost.
	if last := n.log.lastTerm(); last > n.term {
		n.term, n.vote = last, ""
	}
	n.disk.worst = min(cfg.SaveTime, maxDiskTime)
	n.reads.lastForwardedID = n.rand.Uint64()
	return n, nil
}

func (n *Node) advanceTime(now time.Time) {
	if now.After(n.now) {
		was := n.now
		n.now = now
		if !was.IsZero() {
			n.noticeStandstill(now.Sub(was))
		}
	}
	if n.electionDeadline.IsZero() {
		// If all voters restarted, there is no leader to wait for; if a leader works,
		// the pre-vote keeps this node from disturbing it.
		n.shortenElectionDeadline()
	}
}

// Tick advances the time: it starts elections, sends heartbeats, makes a leader without
// an active quorum or without progress step down and expires forwarded reads.
func (n *Node) Tick(now time.Time) {
	n.advanceTime(now)
	if n.fault != nil {
		return
	}
	n.expireReads()
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !n.now.Before(n.electionDeadline) && !n.now.Before(n.stall.yieldUntil) {
		n.resetElectionDeadline()
		n.preCampaign()
	}
}

// maxTerm leaves room for later terms: a vote in the greatest number would be the last one.
const maxTerm = 1 << 48

// Step handles a message from another node.
func (n *Node) Step(m Message, now time.Time) {
	n.advanceTime(now)
	if n.fault != nil || m.To != n.cfg.ID || m.From == n.cfg.ID || m.Term > maxTerm {
		return
	}
	switch m.Kind {
	case MessagePreVote:
		n.onPreVote(m)
		return
	case MessagePreVoteReply:
		n.onPreVoteReply(m)
		return
	}
	if m.Term < n.term {
		n.replyToOldTerm(m)
		return
	}
	if m.Term > n.term {
		if m.Kind == MessageVote && !m.Transfer && n.hasLeader() {
			return
		}
		n.becomeFollower(m.Term)
	}
	n.stepCurrent(m)
}

// stepCurrent handles a message of the current term.
func (n *Node) stepCurrent(m Message) {
	switch m.Kind {
	case MessageVote:
		n.onVote(m)
	case MessageVoteReply:
		n.onVoteReply(m)
	case MessageAppend, MessageSnapshot:
		n.onLeaderMessage(m)
	case MessageAppendReply:
		n.onAppendReply(m)
	case MessageTimeoutNow:
		if n.role == Follower && n.log.mayElect(n.cfg.ID) {
			n.campaign(true)
		}
	case MessageReadIndex:
		n.onReadIndex(m)
	case MessageReadIndexReply:
		n.onReadIndexReply(m)
	}
}

// replyToOldTerm answers a message of an older term with the current term, so that a
// stale leader or candidate steps down.
func (n *Node) replyToOldTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot:
		n.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true})
	case MessageVote:
		n.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// fail halts the node, because continuing could violate a guarantee.
func (n *Node) fail(format string, args ...any) {
	n.becomeFollower(n.term)
	n.messages, n.held = nil, 0
	n.fault = &Error{Op: "handle message", Kind: KindInconsistent, Err: errors.Newf(format, args...)}
}

// Propose appends data to the leader's log. The entry is committed once it appears in
// Ready.Committed with the returned index and term; an entry of another term at that
// index means that the proposal was lost.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.checkPropose("propose entry"); err != nil {
		return 0, 0, err
	}
	if len(data) > n.cfg.MaxDataBytes {
		return 0, 0, newError("propose entry", KindInvalid, "data has %d bytes, the limit is %d", len(data), n.cfg.MaxDataBytes)
	}
	if size := n.pendingBytes(); len(data) > smallEntryBytes && size > 0 && size+len(data) > n.cfg.MaxPendingBytes {
		return 0, 0, newError("propose entry", KindBusy, "uncommitted entries have %d bytes", size)
	}
	e := n.appendAsLeader(Entry{Kind: EntryData, Data: data})
	return e.Index, e.Term, nil
}

// smallEntryBytes is the size up to which entries are accepted whatever the size of the
// uncommitted ones, so that leases are granted while configurations wait.
const smallEntryBytes = 16 << 10

// pendingBytes returns the size of the data of the uncommitted entries.
func (n *Node) pendingBytes() int {
	size := 0
	for _, e := range n.log.between(n.log.commit, n.log.last()) {
		size += len(e.Data)
	}
	return size
}

func (n *Node) checkPropose(op string) error {
	switch {
	case n.fault != nil:
		return n.fault
	case n.role != Leader:
		return &Error{Op: op, Kind: KindNotLeader, Leader: n.leader, Err: errors.New("this node is not the leader")}
	case n.transferTarget != "":
		return newError(op, KindPending, "leadership is being transferred to %s", n.transferTarget)
	case n.log.last()-n.log.commit >= uint64(n.cfg.MaxPending):
		return newError(op, KindBusy, "too many uncommitted entries: %d", n.log.last()-n.log.commit)
	}
	return nil
}

func (n *Node) appendAsLeader(e Entry) Entry {
	e.Index, e.Term = n.log.last()+1, n.term
	n.log.append(e)
	return e
}

// Compact takes data as the snapshot of the state machine after the applied entry at
// index, so that earlier entries can be dropped.
func (n *Node) Compact(index uint64, data []byte) error {
	if index > n.log.applied || index <= n.snapshot.Index {
		return newError("compact log", KindInvalid, "index %d is not between the snapshot index %d and the applied index %d", index, n.snapshot.Index, n.log.applied)
	}
	term, ok := n.log.term(index)
	if !ok {
		return newError("compact log", KindInvalid, "the log does not contain entry %d", index)
	}
	n.snapshot = Snapshot{Index: index, Term: term, Members: n.log.membersAt(index).Clone(), Data: data}
	n.snapshotUnsaved = true
	n.log.trimMemberships(index)
	n.log.trim(n.log.keptBefore(index, n.cfg.KeepEntries, max(n.cfg.KeepBytes, len(data))))
	return nil
}

// lagBytes returns the size of the last MaxPromoteLag committed entries that a peer lacks. That of
// all took 24 us for a peer that lacked 2,000 entries, each time a status was taken.
func (n *Node) lagBytes(pr *progress) int {
	recent := n.log.commit - min(n.log.commit, n.cfg.MaxPromoteLag)
	return n.log.size(max(pr.match, recent), n.log.commit)
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	m := n.log.members().Clone()
	s := Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Vote: n.vote, Leader: n.leader, LeaderHeardAt: n.leaderHeardAt,
		Commit: n.log.commit, Applied: n.log.applied, Last: n.log.last(), LastTerm: n.log.lastTerm(), Synced: n.log.stable, Snapshot: n.snapshot.Index,
		First:        n.log.base + 1,
		Transferring: n.transferTarget, Fault: n.fault,
	}
	s.Voters, s.Learners, s.Outgoing, s.Ranks = m.Voters, m.Learners, m.Outgoing, m.Ranks
	if n.role != Leader {
		return s
	}
	s.LeaderReady = n.log.applied >= n.termStartIndex
	for _, id := range n.peerIDs() {
		pr := n.peers[id]
		s.Peers = append(s.Peers, PeerStatus{
			Instance: id, Learner: m.IsLearner(id), State: pr.state.String(), Match: pr.match, Next: pr.next,
			Active: n.active(id), LastReplyAt: pr.lastReply, LagBytes: n.lagBytes(pr),
		})
	}
	return s
}
