package gwquorum

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// readRequest is a request for a read index; from is "" if this node made it.
type readRequest struct {
	id   uint64
	from string
}

// pendingRead is a read that waits until a quorum has confirmed its round.
type pendingRead struct {
	readRequest
	round uint64
	index uint64
}

// forwardedRead is a read that was forwarded to the leader.
type forwardedRead struct {
	id       uint64
	deadline time.Time
}

// readTracker holds the unanswered reads of a node, and the answers for the next Ready.
type readTracker struct {
	round     uint64        // latest confirmation round of the leader's term
	waiting   []readRequest // not assigned to a round yet
	pending   []pendingRead
	forwarded map[uint64]forwardedRead
	// lastForwardedID is the last ID given to a forwarded read. It starts at random, so
	// that replies to reads from before a restart are not taken for later ones.
	lastForwardedID uint64
	answered        []ReadState
}

// ReadIndex asks for an index that covers every entry committed before the call. Each
// successful call is answered by one ReadState with the same ID.
func (n *Node) ReadIndex(id uint64) error {
	const op = "read index"
	switch {
	case n.fault != nil:
		return n.fault
	case len(n.reads.waiting)+len(n.reads.pending)+len(n.reads.forwarded) >= n.cfg.MaxPending:
		return newError(op, KindBusy, "unanswered reads have reached the limit of %d", n.cfg.MaxPending)
	case n.role == Leader:
		n.reads.waiting = append(n.reads.waiting, readRequest{id: id})
		return nil
	case n.leader == "":
		return &Error{Op: op, Kind: KindNotLeader, Err: errors.New("no leader is known")}
	}
	if n.reads.forwarded == nil {
		n.reads.forwarded = map[uint64]forwardedRead{}
	}
	n.reads.lastForwardedID++
	n.reads.forwarded[n.reads.lastForwardedID] = forwardedRead{id: id, deadline: n.now.Add(n.cfg.ElectionTimeout)}
	n.send(Message{Kind: MessageReadIndex, To: n.leader, ReadID: n.reads.lastForwardedID})
	return nil
}

func (n *Node) onReadIndex(m Message) {
	if n.role != Leader || len(n.reads.waiting)+len(n.reads.pending) >= n.cfg.MaxPending {
		return
	}
	n.reads.waiting = append(n.reads.waiting, readRequest{id: m.ReadID, from: m.From})
}

func (n *Node) onReadIndexReply(m Message) {
	f, ok := n.reads.forwarded[m.ReadID]
	if !ok {
		return
	}
	delete(n.reads.forwarded, m.ReadID)
	n.reads.answered = append(n.reads.answered, ReadState{ID: f.id, Index: m.Index})
}

// startRound assigns the waiting reads to a new confirmation round and reports whether
// there is one to send. Reads wait until an entry of the leader's own term is committed,
// because before that the leader may not know the latest commit index.
func (n *Node) startRound() bool {
	if len(n.reads.waiting) == 0 || n.log.commit < n.termStartIndex {
		return false
	}
	n.reads.round++
	for _, r := range n.reads.waiting {
		n.reads.pending = append(n.reads.pending, pendingRead{readRequest: r, round: n.reads.round, index: n.log.commit})
	}
	n.reads.waiting = nil
	return true
}

// finishReads answers the reads whose round a quorum has confirmed.
func (n *Node) finishReads() {
	done := 0
	for _, c := range n.reads.pending {
		if !n.roundConfirmed(c.round) {
			break
		}
		done++
		if c.from == "" {
			n.reads.answered = append(n.reads.answered, ReadState{ID: c.id, Index: c.index})
			continue
		}
		n.send(Message{Kind: MessageReadIndexReply, To: c.from, ReadID: c.id, Index: c.index})
	}
	n.reads.pending = slices.Delete(n.reads.pending, 0, done)
}

func (n *Node) roundConfirmed(round uint64) bool {
	return n.log.members().hasQuorum(func(id string) bool {
		return id == n.cfg.ID || n.peers[id] != nil && n.peers[id].confirmedRound >= round
	})
}

// failReads fails the node's own reads when it steps down as leader. Reads forwarded by
// other nodes time out there.
func (n *Node) failReads() {
	for _, c := range n.reads.pending {
		n.failRead(c.readRequest)
	}
	for _, r := range n.reads.waiting {
		n.failRead(r)
	}
	n.reads.pending, n.reads.waiting = nil, nil
}

func (n *Node) failRead(r readRequest) {
	if r.from == "" {
		n.reads.answered = append(n.reads.answered, ReadState{ID: r.id, Failed: true})
	}
}

func (n *Node) expireReads() {
	for _, key := range slices.Sorted(maps.Keys(n.reads.forwarded)) {
		if f := n.reads.forwarded[key]; !n.now.Before(f.deadline) {
			delete(n.reads.forwarded, key)
			n.reads.answered = append(n.reads.answered, ReadState{ID: f.id, Failed: true})
		}
	}
}
