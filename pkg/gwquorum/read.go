package gwquorum

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// read is a read index request; from is "" for one of this node.
type read struct {
	id   uint64
	from string
}

// confirmation is a read that waits for a quorum to confirm a round.
type confirmation struct {
	read
	round uint64
	index uint64
}

// forwarded is a read that was sent to the leader.
type forwarded struct {
	id       uint64
	deadline time.Time
}

type reads struct {
	round     uint64 // current confirmation round of the leader's term
	waiting   []read // without a round yet
	pending   []confirmation
	forwarded map[uint64]forwarded
	// next identifies the next forwarded read. It starts at random, so that
	// replies to reads from before a restart are not taken for later ones.
	next     uint64
	answered []ReadState
}

// ReadIndex asks for an index that covers everything committed before the call.
// Each successful call is answered by one ReadState with the same id.
func (n *Node) ReadIndex(id uint64) error {
	const op = "read index"
	switch {
	case n.fault != nil:
		return n.fault
	case len(n.reads.waiting)+len(n.reads.pending)+len(n.reads.forwarded) >= n.cfg.MaxPending:
		return newError(op, KindBusy, "%d reads are not answered", n.cfg.MaxPending)
	case n.role == Leader:
		n.reads.waiting = append(n.reads.waiting, read{id: id})
		return nil
	case n.leader == "":
		return &Error{Op: op, Kind: KindNotLeader, Err: errors.New("no leader is known")}
	}
	if n.reads.forwarded == nil {
		n.reads.forwarded = map[uint64]forwarded{}
	}
	n.reads.next++
	n.reads.forwarded[n.reads.next] = forwarded{id: id, deadline: n.now.Add(n.cfg.ElectionTimeout)}
	n.send(Message{Kind: MessageReadIndex, To: n.leader, ReadID: n.reads.next})
	return nil
}

func (n *Node) onReadIndex(m Message) {
	if n.role != Leader || len(n.reads.waiting)+len(n.reads.pending) >= n.cfg.MaxPending {
		return
	}
	n.reads.waiting = append(n.reads.waiting, read{id: m.ReadID, from: m.From})
}

func (n *Node) onReadIndexReply(m Message) {
	f, ok := n.reads.forwarded[m.ReadID]
	if !ok {
		return
	}
	delete(n.reads.forwarded, m.ReadID)
	n.reads.answered = append(n.reads.answered, ReadState{ID: f.id, Index: m.Index})
}

// startRound gives the waiting reads a confirmation round and reports whether
// it must be sent. Before an entry of its own term is committed, a leader may
// not know the latest commit index.
func (n *Node) startRound() bool {
	if len(n.reads.waiting) == 0 || n.log.commit < n.firstIndex {
		return false
	}
	n.reads.round++
	for _, r := range n.reads.waiting {
		n.reads.pending = append(n.reads.pending, confirmation{read: r, round: n.reads.round, index: n.log.commit})
	}
	n.reads.waiting = nil
	return true
}

// finishReads answers the reads whose round a quorum confirmed.
func (n *Node) finishReads() {
	done := 0
	for _, c := range n.reads.pending {
		if !n.confirmed(c.round) {
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

func (n *Node) confirmed(round uint64) bool {
	m := n.log.members()
	count := 0
	for _, id := range m.Voters {
		if id == n.cfg.ID || n.peers[id] != nil && n.peers[id].round >= round {
			count++
		}
	}
	return count >= m.Quorum()
}

// failReads fails the node's own reads when it stops leading. Forwarded ones
// time out at their sender.
func (n *Node) failReads() {
	for _, c := range n.reads.pending {
		n.failRead(c.read)
	}
	for _, r := range n.reads.waiting {
		n.failRead(r)
	}
	n.reads.pending, n.reads.waiting = nil, nil
}

func (n *Node) failRead(r read) {
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
