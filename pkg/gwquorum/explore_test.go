package gwquorum

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// bounds limits an exploration; each field is the maximum number of such actions on a path.
type bounds struct {
	steps                                         int // all actions, including deliveries
	campaigns, proposals, restarts, reads         int
	compactions, heartbeats, changes, repetitions int
	replaces                                      int
}

// systemState is a state of all voters and the messages in flight. Messages may be
// delivered in any order or never, and a bounded number of them repeatedly.
type systemState struct {
	nodes       []*Node
	nodeKeys    []string    // encodings of the nodes
	hardStates  []HardState // synced hard states
	messages    map[string]Message
	remaining   bounds
	leaders     map[uint64]string
	committed   []Entry
	commitTerms []uint64 // terms of the nodes that first reported the entries as committed
	readFloor   uint64   // committed index at the time of the read request
}

// explorer visits every state that can be reached within the bounds.
type explorer struct {
	t        *testing.T
	seen     map[[sha256.Size]byte]bool
	frontier []*systemState // states to visit in the next step
	ids      []string
	members  Members // the first ones
	now      time.Time
}

func newExplorer(t *testing.T, first Members) *explorer {
	return &explorer{t: t, seen: map[[sha256.Size]byte]bool{}, ids: first.All(), members: first, now: time.Unix(1, 0)}
}

func (x *explorer) newSystemState() *systemState {
	s := &systemState{messages: map[string]Message{}, leaders: map[uint64]string{}}
	for _, id := range x.ids {
		n, err := NewNode(Config{ID: id, Rand: rand.NewPCG(1, 1), KeepEntries: 1, MaxBatchBytes: 1},
			HardState{}, Snapshot{Members: x.members}, nil)
		require.NoError(x.t, err)
		n.advanceTime(x.now)
		s.nodes = append(s.nodes, n)
		s.nodeKeys = append(s.nodeKeys, nodeKey(n))
		s.hardStates = append(s.hardStates, HardState{})
	}
	return s
}

func (s *systemState) clone() *systemState {
	c := *s
	c.nodes, c.nodeKeys, c.hardStates = slices.Clone(s.nodes), slices.Clone(s.nodeKeys), slices.Clone(s.hardStates)
	c.messages, c.leaders = maps.Clone(s.messages), maps.Clone(s.leaders)
	c.committed, c.commitTerms = slices.Clone(s.committed), slices.Clone(s.commitTerms)
	return &c
}

func cloneNode(n *Node) *Node {
	c := *n
	c.log.entries, c.log.memberships = slices.Clone(n.log.entries), slices.Clone(n.log.memberships)
	c.votes = maps.Clone(n.votes)
	c.peers = maps.Clone(n.peers)
	for id, pr := range c.peers {
		p := *pr
		p.inflight = slices.Clone(pr.inflight)
		c.peers[id] = &p
	}
	c.reads.waiting, c.reads.pending = slices.Clone(n.reads.waiting), slices.Clone(n.reads.pending)
	c.reads.forwarded = maps.Clone(n.reads.forwarded)
	c.messages = slices.Clone(n.messages)
	return &c
}

// key is a compact encoding of a state, built by appending. Encoding with fmt took most of
// the exploration time.
type key []byte

func (k key) num(values ...uint64) key {
	for _, v := range values {
		k = append(strconv.AppendUint(k, v, 36), ' ')
	}
	return k
}

func (k key) flag(v bool) key {
	if v {
		return append(k, '+')
	}
	return append(k, '-')
}

func (k key) text(values ...string) key {
	for _, v := range values {
		k = append(append(k, v...), ' ')
	}
	return k
}

func (k key) entries(entries []Entry) key {
	for _, e := range entries {
		k = append(k.num(e.Index, e.Term, uint64(e.Kind)), e.Data...)
		if e.Members != nil {
			k = k.text(e.Members.Voters...).text("/").text(e.Members.Learners...).text("/").text(e.Members.Outgoing...)
		}
	}
	return append(k, '|')
}

func messageKey(m Message) string {
	k := key{}.num(uint64(m.Kind)).text(m.From, m.To).num(m.Term, m.Index, m.LogTerm, m.Commit, m.HintIndex, m.HintTerm, m.ReadRound, m.ReadID)
	k = k.flag(m.Reject).entries(m.Entries)
	if m.Snapshot != nil {
		k = k.num(m.Snapshot.Index, m.Snapshot.Term)
	}
	return string(k)
}

func nodeKey(n *Node) string {
	k := key{}.num(uint64(n.role), n.term, n.log.base, n.log.stable, n.log.commit, n.log.applied, n.snapshot.Index, n.termStartIndex, n.reads.round)
	k = k.text(n.vote, n.leader, "|").entries(n.log.entries)
	if t := n.transfer.snapshot; t != nil {
		k = k.num(t.Index)
	}
	for _, id := range slices.Sorted(maps.Keys(n.votes)) {
		k = k.text(id).flag(n.votes[id])
	}
	for _, r := range n.reads.waiting {
		k = k.num(r.id).text(r.from)
	}
	for _, r := range n.reads.pending {
		k = k.num(r.id, r.round, r.index).text(r.from, "|")
	}
	for _, id := range slices.Sorted(maps.Keys(n.reads.forwarded)) {
		k = k.num(id)
	}
	for _, id := range n.peerIDs() {
		pr := n.peers[id]
		k = k.text(id).num(uint64(pr.state), pr.match, pr.next, pr.commitSent, pr.confirmedRound, pr.snapshotIndex, pr.snapshotRound).flag(pr.probeSent).flag(pr.snapshotSent.IsZero()).num(pr.inflight...)
	}
	return string(k)
}

func (s *systemState) key() [sha256.Size]byte {
	parts := append(slices.Sorted(maps.Keys(s.messages)), s.nodeKeys...)
	b := s.remaining
	k := key{}.num(s.readFloor).num(s.commitTerms...).entries(s.committed)
	k = k.num(uint64(b.campaigns), uint64(b.proposals), uint64(b.restarts), uint64(b.reads), uint64(b.compactions),
		uint64(b.heartbeats), uint64(b.changes), uint64(b.repetitions), uint64(b.replaces))
	for _, hs := range s.hardStates {
		k = k.num(hs.Term, hs.Commit).text(hs.Vote)
	}
	for _, term := range slices.Sorted(maps.Keys(s.leaders)) {
		k = k.num(term).text(s.leaders[term])
	}
	parts = append(parts, string(k))
	return sha256.Sum256([]byte(strings.Join(parts, "\n")))
}

// explore visits every state that can be reached from s within its bounds.
func (x *explorer) explore(s *systemState) {
	x.add(s)
	for range s.remaining.steps {
		states := x.frontier
		x.frontier = nil
		for _, s := range states {
			x.visit(s)
		}
	}
}

// add adds s to the frontier unless it was reached before.
func (x *explorer) add(s *systemState) {
	if key := s.key(); !x.seen[key] {
		x.seen[key] = true
		x.frontier = append(x.frontier, s)
	}
}

// visit adds the states that are one action away from s.
func (x *explorer) visit(s *systemState) {
	x.deliver(s)
	for i, n := range s.nodes {
		if n.role != Leader {
			// At any time, because safety must not depend on election timeouts and pre-votes.
			x.act(s, i, func(b *bounds) *int { return &b.campaigns }, func(n *Node) { n.campaign(true) })
		} else {
			x.act(s, i, func(b *bounds) *int { return &b.proposals }, func(n *Node) { _, _, _ = n.Propose([]byte(x.ids[i])) })
			x.act(s, i, func(b *bounds) *int { return &b.heartbeats }, func(n *Node) { n.broadcast(true) })
			x.act(s, i, func(b *bounds) *int { return &b.changes }, func(n *Node) {
				_ = n.ProposeChange(Change{Kind: Remove, Instance: x.ids[(i+2)%len(x.ids)]})
			})
			x.act(s, i, func(b *bounds) *int { return &b.replaces }, func(n *Node) { _ = n.ProposeChange(replace(n)) })
		}
		if n.log.applied > n.snapshot.Index {
			x.act(s, i, func(b *bounds) *int { return &b.compactions }, func(n *Node) { _ = n.Compact(n.log.applied, nil) })
		}
		x.read(s, i)
		x.restart(s, i)
	}
}

// deliver adds the states after the delivery of each message, both with the message
// consumed and with it kept for another delivery.
func (x *explorer) deliver(s *systemState) {
	for key, m := range s.messages {
		step := func(n *Node) { n.Step(m, x.now) }
		once := s.clone()
		delete(once.messages, key)
		x.act(once, x.index(m.To), nil, step)
		x.act(s, x.index(m.To), func(b *bounds) *int { return &b.repetitions }, step)
	}
}

func (x *explorer) index(id string) int { return slices.Index(x.ids, id) }

// act adds the state after fn was called on node i, if the bound allows it.
func (x *explorer) act(s *systemState, i int, bound func(*bounds) *int, fn func(*Node)) {
	if bound != nil && *bound(&s.remaining) == 0 {
		return
	}
	next := s.clone()
	if bound != nil {
		*bound(&next.remaining)--
	}
	next.nodes[i] = cloneNode(s.nodes[i])
	fn(next.nodes[i])
	x.processReady(next, i)
	x.add(next)
}

func (x *explorer) read(s *systemState, i int) {
	if s.remaining.reads == 0 {
		return
	}
	next := s.clone()
	next.remaining.reads--
	next.readFloor = uint64(len(s.committed))
	next.nodes[i] = cloneNode(s.nodes[i])
	if s.nodes[i].leader == "" || next.nodes[i].ReadIndex(1) != nil {
		return
	}
	x.processReady(next, i)
	x.add(next)
}

// restart adds the state in which node i lost everything that was not synced.
func (x *explorer) restart(s *systemState, i int) {
	if s.remaining.restarts == 0 {
		return
	}
	next := s.clone()
	next.remaining.restarts--
	old := s.nodes[i]
	n, err := NewNode(old.cfg, s.hardStates[i], old.snapshot, old.log.between(old.snapshot.Index, old.log.last()))
	require.NoError(x.t, err)
	n.advanceTime(x.now)
	next.nodes[i], next.nodeKeys[i] = n, nodeKey(n)
	x.add(next)
}

// processReady does the work that the node's Ready returns and checks the guarantees.
func (x *explorer) processReady(s *systemState, i int) {
	n := s.nodes[i]
	for {
		rd := n.Ready()
		if rd.Empty() && n.SnapshotWanted() {
			n.ProvideSnapshot(nil)
			continue
		}
		if rd.Empty() {
			break
		}
		if rd.MustSave() {
			s.hardStates[i] = rd.HardState
		}
		for _, m := range rd.Messages {
			s.messages[messageKey(m)] = m
		}
		for _, e := range rd.Committed {
			x.checkCommitted(s, n, e)
		}
		for _, r := range rd.Reads {
			if !r.Failed {
				assert.GreaterOrEqual(x.t, r.Index, s.readFloor, "read index")
			}
		}
		n.Advance(rd)
	}
	s.nodeKeys[i] = nodeKey(n)
	require.NoError(x.t, n.fault)
	x.checkOneChange(n)
	if n.role == Leader && s.leaders[n.term] != n.cfg.ID {
		require.Empty(x.t, s.leaders[n.term], "two leaders in term %d", n.term)
		s.leaders[n.term] = n.cfg.ID
		x.checkLeaderCompleteness(s, n)
	}
}

func (x *explorer) checkCommitted(s *systemState, n *Node, e Entry) {
	if e.Index > uint64(len(s.committed)) {
		s.committed, s.commitTerms = append(s.committed, e), append(s.commitTerms, n.term)
	}
	was := s.committed[e.Index-1]
	require.Equal(x.t, e.Term, was.Term, "term of committed entry %d", e.Index)
	require.Equal(x.t, e.Data, was.Data, "committed entry %d", e.Index)
}

// checkOneChange requires a leader to have committed the membership before its latest one.
func (x *explorer) checkOneChange(n *Node) {
	if r := n.log.memberships; n.role == Leader && len(r) > 1 && n.log.changeIndex() >= n.termStartIndex {
		require.LessOrEqual(x.t, r[len(r)-2].index, n.log.commit, "membership before the one of entry %d", n.log.changeIndex())
	}
}

// checkLeaderCompleteness requires a new leader to have every entry that was committed in
// an earlier term.
func (x *explorer) checkLeaderCompleteness(s *systemState, n *Node) {
	for i, e := range s.committed {
		if t, ok := n.log.term(e.Index); s.commitTerms[i] < n.term && (ok || e.Index > n.log.last()) {
			require.True(x.t, ok && t == e.Term, "leader of term %d lacks committed entry %d", n.term, e.Index)
		}
	}
}

// deliverAll delivers all messages in a fixed order. If filters of the form "kind from to"
// are given, it drops the messages that match none of them.
func (x *explorer) deliverAll(s *systemState, only ...string) {
	for len(s.messages) > 0 {
		key := slices.Min(slices.Collect(maps.Keys(s.messages)))
		m := s.messages[key]
		delete(s.messages, key)
		if len(only) == 0 || slices.Contains(only, fmt.Sprint(m.Kind, " ", m.From, " ", m.To)) {
			i := x.index(m.To)
			s.nodes[i].Step(m, x.now)
			x.processReady(s, i)
		}
	}
}

// requestsAndReplies returns the filters for requests of the given kinds and their replies
// between two nodes.
func requestsAndReplies(from, to string, kinds ...MessageKind) []string {
	var only []string
	for _, k := range kinds {
		only = append(only, fmt.Sprint(k, " ", from, " ", to), fmt.Sprint(k+1, " ", to, " ", from))
	}
	return only
}

func (x *explorer) onNode(s *systemState, i int, fn func(n *Node)) {
	fn(s.nodes[i])
	x.processReady(s, i)
}

func campaign(n *Node) { n.campaign(true) }

func propose(n *Node) { _, _, _ = n.Propose([]byte(n.cfg.ID)) }

// elect makes node a the leader and commits its first entry on all nodes.
func elect(x *explorer, s *systemState) {
	x.onNode(s, 0, campaign)
	x.deliverAll(s)
}

// replace returns the replacement of the second voter after n by the first learner.
func replace(n *Node) Change {
	m := n.log.members()
	c := Change{Kind: Replace, Replaced: m.Voters[(slices.Index(m.Voters, n.cfg.ID)+2)%len(m.Voters)]}
	if len(m.Learners) > 0 {
		c.Instance = m.Learners[0]
	}
	return c
}

// proposeReplace makes leader a replace voter c by learner d, without a message delivered.
func proposeReplace(x *explorer, s *systemState) {
	elect(x, s)
	x.onNode(s, 0, func(n *Node) { require.NoError(x.t, n.ProposeChange(replace(n))) })
}

// commitReplace lets a commit a replacement that only a and b know of. The entry that ends it
// is only on a, and in messages that are in flight.
func commitReplace(x *explorer, s *systemState) {
	x.deliverAll(s, fmt.Sprint(MessageAppend, " a b"))
	x.onNode(s, 0, func(n *Node) {
		n.Step(Message{Kind: MessageAppendReply, From: "b", To: "a", Term: n.term, Index: n.log.last()}, x.now)
		require.True(x.t, s.nodes[1].log.members().joint())
		require.False(x.t, n.log.members().joint())
	})
}

// explorations start in states from which few steps lead to a known difficult situation.
var explorations = []struct {
	name    string
	voters  int  // 3 if 0
	learner bool // d is a learner
	start   func(x *explorer, s *systemState)
	bounds  bounds
}{
	{
		name: "competing elections", bounds: bounds{steps: 6, campaigns: 2, restarts: 1, repetitions: 1},
		start: func(x *explorer, s *systemState) { x.onNode(s, 0, campaign) },
	},
	{
		// A stale leader learns of the new term before it receives the vote request.
		name: "vote in a known term", bounds: bounds{steps: 8, restarts: 1},
		start: func(x *explorer, s *systemState) {
			elect(x, s)
			x.onNode(s, 1, campaign)
			x.onNode(s, 2, campaign)
			for key, m := range s.messages {
				if m.To != "a" {
					delete(s.messages, key)
				}
			}
			x.onNode(s, 0, func(n *Node) { n.sendAppend("b", n.peers["b"], true) })
		},
	},
	{name: "new leader and proposals", bounds: bounds{steps: 8, campaigns: 1, proposals: 2, restarts: 1}, start: elect},
	{
		// The new leader has the latest committed entry but does not know that it is committed.
		name: "read under a new leader", bounds: bounds{steps: 6, campaigns: 1, reads: 1, repetitions: 1},
		start: func(x *explorer, s *systemState) {
			elect(x, s)
			x.onNode(s, 0, propose)
			x.onNode(s, 1, func(n *Node) {
				n.Step(Message{Kind: MessageAppend, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1, Entries: s.nodes[0].log.between(1, 2)}, x.now)
			})
			x.deliverAll(s, fmt.Sprint(MessageAppendReply, " b a"))
		},
	},
	{
		// A reply from before the read is still in flight to the old leader.
		name: "late reply to a replaced leader", bounds: bounds{steps: 7, campaigns: 1, reads: 1},
		start: func(x *explorer, s *systemState) {
			elect(x, s)
			x.onNode(s, 0, func(n *Node) { n.broadcast(true) })
			sent := s.messages
			s.messages = map[string]Message{}
			for _, m := range sent {
				if m.To == "b" {
					x.onNode(s, 1, func(n *Node) { n.Step(m, x.now) })
				}
			}
		},
	},
	{
		// A later entry of the leader's term is on no other node.
		name: "entry on a minority", bounds: bounds{steps: 9, campaigns: 2, restarts: 1},
		start: func(x *explorer, s *systemState) {
			elect(x, s)
			x.onNode(s, 0, propose)
			clear(s.messages)
		},
	},
	{
		// Node a is leader again and sends an entry of its earlier term; c has an entry of a later term.
		name: "earlier entry on a majority", bounds: bounds{steps: 9, campaigns: 1},
		start: func(x *explorer, s *systemState) {
			elect(x, s)
			x.onNode(s, 0, propose)
			clear(s.messages)
			x.onNode(s, 2, campaign)
			x.deliverAll(s, requestsAndReplies("c", "b", MessageVote)...)
			x.onNode(s, 0, func(n *Node) { n.becomeFollower(2) })
			x.onNode(s, 0, campaign)
			x.deliverAll(s, requestsAndReplies("a", "b", MessageVote)...)
			x.onNode(s, 0, func(n *Node) { n.sendAppend("b", n.peers["b"], true) })
			x.onNode(s, 2, func(n *Node) { n.becomeFollower(3) })
		},
	},
	{
		name: "snapshot for a late follower", bounds: bounds{steps: 8, campaigns: 1, heartbeats: 1, proposals: 1, restarts: 1},
		start: func(x *explorer, s *systemState) {
			ab := requestsAndReplies("a", "b", MessageVote, MessageAppend)
			x.onNode(s, 0, campaign)
			x.deliverAll(s, ab...)
			x.onNode(s, 0, propose)
			x.deliverAll(s, ab...)
			x.onNode(s, 0, func(n *Node) { _ = n.Compact(n.log.applied, nil) })
		},
	},
	{
		// Leaders a and c remove d and a; the memberships {a, b, c} and {b, c, d} have disjoint quorums.
		name: "two removals by two leaders", voters: 4, bounds: bounds{steps: 8, campaigns: 1, changes: 1},
		start: func(x *explorer, s *systemState) {
			elect(x, s)
			x.onNode(s, 0, func(n *Node) { require.NoError(x.t, n.ProposeChange(Change{Kind: Remove, Instance: "d"})) })
			clear(s.messages)
			x.onNode(s, 2, campaign)
			x.deliverAll(s, append(requestsAndReplies("c", "b", MessageVote), requestsAndReplies("c", "d", MessageVote)...)...)
			x.onNode(s, 2, func(n *Node) { n.sendAppend("d", n.peers["d"], true) })
			x.onNode(s, 0, func(n *Node) { n.becomeFollower(2) })
		},
	},
	{name: "removal under a new leader", bounds: bounds{steps: 8, campaigns: 2, changes: 2}, start: elect},
	{name: "replacement", learner: true, bounds: bounds{steps: 7, campaigns: 1, replaces: 1, restarts: 1}, start: elect},
	{
		name: "replacement on the leader and the learner", learner: true, bounds: bounds{steps: 7, campaigns: 2, heartbeats: 1},
		start: func(x *explorer, s *systemState) {
			proposeReplace(x, s)
			x.deliverAll(s, requestsAndReplies("a", "d", MessageAppend)...)
		},
	},
	{
		name: "replacement on two voters", learner: true, bounds: bounds{steps: 6, campaigns: 2, restarts: 1, heartbeats: 1},
		start: func(x *explorer, s *systemState) {
			proposeReplace(x, s)
			x.deliverAll(s, fmt.Sprint(MessageAppend, " a b"))
		},
	},
	{
		name: "end of a replacement on the leader", learner: true, bounds: bounds{steps: 6, campaigns: 2, restarts: 1},
		start: func(x *explorer, s *systemState) {
			proposeReplace(x, s)
			commitReplace(x, s)
		},
	},
	{
		// Leader c, which is replaced, does not know that a has ended the replacement.
		name: "replacement that two leaders end", learner: true, bounds: bounds{steps: 7, campaigns: 1},
		start: func(x *explorer, s *systemState) {
			proposeReplace(x, s)
			toOthers := maps.Clone(s.messages)
			commitReplace(x, s)
			for _, m := range toOthers {
				if m.To != "b" {
					x.onNode(s, x.index(m.To), func(n *Node) { n.Step(m, x.now) })
				}
			}
			clear(s.messages)
			x.onNode(s, 2, campaign)
			x.deliverAll(s, append(requestsAndReplies("c", "b", MessageVote), requestsAndReplies("c", "d", MessageVote)...)...)
			require.Equal(x.t, Leader, s.nodes[2].role)
			x.onNode(s, 2, func(n *Node) { n.broadcast(true) })
			x.onNode(s, 0, func(n *Node) { n.becomeFollower(2) })
		},
	},
	{
		// Voter b acknowledges the entry before the replacement only.
		name: "replacement after a proposal", learner: true, bounds: bounds{steps: 5, campaigns: 1, restarts: 1},
		start: func(x *explorer, s *systemState) {
			elect(x, s)
			x.onNode(s, 0, propose)
			x.onNode(s, 0, func(n *Node) { require.NoError(x.t, n.ProposeChange(replace(n))) })
		},
	},
	{
		// Voter c, which is replaced, is elected with the entries of a.
		name: "replaced voter leads", learner: true, bounds: bounds{steps: 7, campaigns: 1, restarts: 1},
		start: func(x *explorer, s *systemState) {
			proposeReplace(x, s)
			x.deliverAll(s, fmt.Sprint(MessageAppend, " a c"))
			x.onNode(s, 2, campaign)
			x.deliverAll(s, append(requestsAndReplies("c", "b", MessageVote), requestsAndReplies("c", "d", MessageVote)...)...)
			require.Equal(x.t, Leader, s.nodes[2].role)
			x.onNode(s, 2, func(n *Node) { n.broadcast(true) })
		},
	},
	{
		// Nodes c and d have no entries, and get a snapshot with both memberships.
		name: "snapshot during a replacement", learner: true, bounds: bounds{steps: 7, campaigns: 1, restarts: 1},
		start: func(x *explorer, s *systemState) {
			x.onNode(s, 0, campaign)
			x.deliverAll(s, requestsAndReplies("a", "b", MessageVote, MessageAppend)...)
			x.onNode(s, 0, func(n *Node) { require.NoError(x.t, n.ProposeChange(replace(n))) })
			commitReplace(x, s)
			x.onNode(s, 0, func(n *Node) { require.NoError(x.t, n.Compact(2, nil)) })
			require.True(x.t, s.nodes[0].snapshot.Members.joint())
			for _, id := range []string{"c", "d"} {
				reply := Message{Kind: MessageAppendReply, From: id, To: "a", Term: 1, Reject: true}
				x.onNode(s, 0, func(n *Node) { n.Step(reply, x.now) })
			}
			isSnapshot := func(m Message) bool { return m.Kind == MessageSnapshot }
			require.True(x.t, slices.ContainsFunc(slices.Collect(maps.Values(s.messages)), isSnapshot))
		},
	},
	{
		// Learner d has no entries, and is sent a snapshot that leader a has not saved, of entries that
		// only a and b have.
		name: "snapshot that is not saved", learner: true, bounds: bounds{steps: 7, campaigns: 1, proposals: 1, restarts: 1},
		start: func(x *explorer, s *systemState) {
			ab := requestsAndReplies("a", "b", MessageVote, MessageAppend)
			x.onNode(s, 0, campaign)
			x.deliverAll(s, ab...)
			x.onNode(s, 0, propose)
			x.deliverAll(s, ab...)
			x.requestSnapshots(s, "d")
			require.Zero(x.t, s.nodes[0].snapshot.Index)
		},
	},
	{
		// Nodes c and d have no entries, and are sent a snapshot with both memberships that a has not saved.
		name: "snapshot during a replacement that is not saved", learner: true, bounds: bounds{steps: 7, campaigns: 1, restarts: 1},
		start: func(x *explorer, s *systemState) {
			for _, n := range s.nodes {
				n.cfg.KeepBytes, n.cfg.MinSnapshotBytes = 1, 1
			}
			ab := requestsAndReplies("a", "b", MessageVote, MessageAppend)
			x.onNode(s, 0, campaign)
			x.deliverAll(s, ab...)
			x.onNode(s, 0, func(n *Node) { require.NoError(x.t, n.ProposeChange(replace(n))) })
			commitReplace(x, s)
			x.requestSnapshots(s, "c", "d")
			require.True(x.t, s.nodes[0].transfer.snapshot.Members.joint())
		},
	},
	{
		// Leaders a and b replace c and a by d.
		name: "two replacements by two leaders", learner: true, bounds: bounds{steps: 8, campaigns: 1, replaces: 1},
		start: func(x *explorer, s *systemState) {
			proposeReplace(x, s)
			clear(s.messages)
			x.onNode(s, 1, campaign)
			x.deliverAll(s, requestsAndReplies("b", "c", MessageVote)...)
			x.onNode(s, 0, func(n *Node) { n.becomeFollower(2) })
			x.onNode(s, 1, func(n *Node) { n.broadcast(true) })
		},
	},
}

// requestSnapshots lets nodes without entries refuse those of leader a, which then sends snapshots.
func (x *explorer) requestSnapshots(s *systemState, ids ...string) {
	for _, id := range ids {
		x.onNode(s, 0, func(n *Node) {
			n.Step(Message{Kind: MessageAppendReply, From: id, To: "a", Term: 1, Index: n.peers[id].next - 1, Reject: true}, x.now)
		})
		sent := func(m Message) bool { return m.Kind == MessageSnapshot && m.To == id }
		require.True(x.t, slices.ContainsFunc(slices.Collect(maps.Values(s.messages)), sent))
	}
}

// Guards against short sequences of events that violate the guarantees: it tries every
// order of deliveries, losses, repetitions and restarts within the bounds.
func TestExploreAllOrders(t *testing.T) {
	for _, tt := range explorations {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			first := Members{Voters: []string{"a", "b", "c", "d"}[:max(3, tt.voters)]}
			if tt.learner {
				first.Learners = []string{"d"}
			}
			x := newExplorer(t, first)
			s := x.newSystemState()
			tt.start(x, s)
			s.remaining = tt.bounds
			x.explore(s)
			t.Logf("%d states", len(x.seen))
		})
	}
}
