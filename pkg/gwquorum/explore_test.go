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

// bounds limits an exploration; each field is a number of actions in a history.
type bounds struct {
	steps                                        int // all actions, deliveries included
	campaigns, proposals, restarts, reads        int
	compactions, heartbeats, changes, repetition int
}

// world is one state of three voters and the messages under way. A message may
// be delivered in any order or never, and a bounded number of them again.
type world struct {
	nodes     []*Node
	keys      []string    // of the nodes
	hard      []HardState // synced hard states
	messages  map[string]Message
	left      bounds
	leaders   map[uint64]string
	committed []Entry
	seenAt    []uint64 // terms of the nodes that first saw the entries as committed
	asked     uint64   // committed index when the read was asked
}

// explorer visits every world that can be reached within the bounds.
type explorer struct {
	t    *testing.T
	seen map[[sha256.Size]byte]bool
	next []*world // one step further
	ids  []string
	now  time.Time
}

func newExplorer(t *testing.T, ids ...string) *explorer {
	return &explorer{t: t, seen: map[[sha256.Size]byte]bool{}, ids: ids, now: time.Unix(1, 0)}
}

func (x *explorer) newWorld() *world {
	w := &world{messages: map[string]Message{}, leaders: map[uint64]string{}}
	for _, id := range x.ids {
		n, err := NewNode(Config{ID: id, Rand: rand.NewPCG(1, 1), KeepEntries: 1, MaxBatchBytes: 1},
			HardState{}, Snapshot{Members: Members{Voters: x.ids}}, nil)
		require.NoError(x.t, err)
		n.observe(x.now)
		w.nodes = append(w.nodes, n)
		w.keys = append(w.keys, nodeKey(n))
		w.hard = append(w.hard, HardState{})
	}
	return w
}

func (w *world) clone() *world {
	c := *w
	c.nodes, c.keys, c.hard = slices.Clone(w.nodes), slices.Clone(w.keys), slices.Clone(w.hard)
	c.messages, c.leaders = maps.Clone(w.messages), maps.Clone(w.leaders)
	c.committed, c.seenAt = slices.Clone(w.committed), slices.Clone(w.seenAt)
	return &c
}

func cloneNode(n *Node) *Node {
	c := *n
	c.log.entries, c.log.records = slices.Clone(n.log.entries), slices.Clone(n.log.records)
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

// key builds a compact text of a state; fmt took most of an exploration's time.
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
			k = k.text(e.Members.Voters...)
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
	k := key{}.num(uint64(n.role), n.term, n.log.base, n.log.stable, n.log.commit, n.log.applied, n.snapshot.Index, n.firstIndex, n.reads.round)
	k = k.text(n.vote, n.leader, "|").entries(n.log.entries)
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
		k = k.text(id).num(uint64(pr.state), pr.match, pr.next, pr.commit, pr.round).flag(pr.probed).num(pr.inflight...)
	}
	return string(k)
}

func (w *world) key() [sha256.Size]byte {
	parts := append(slices.Sorted(maps.Keys(w.messages)), w.keys...)
	b := w.left
	k := key{}.num(w.asked).num(w.seenAt...).entries(w.committed)
	k = k.num(uint64(b.campaigns), uint64(b.proposals), uint64(b.restarts), uint64(b.reads), uint64(b.compactions),
		uint64(b.heartbeats), uint64(b.changes), uint64(b.repetition))
	for _, hs := range w.hard {
		k = k.num(hs.Term, hs.Commit).text(hs.Vote)
	}
	for _, term := range slices.Sorted(maps.Keys(w.leaders)) {
		k = k.num(term).text(w.leaders[term])
	}
	parts = append(parts, string(k))
	return sha256.Sum256([]byte(strings.Join(parts, "\n")))
}

// explore visits everything that can be reached from w.
func (x *explorer) explore(w *world) {
	x.add(w)
	for range w.left.steps {
		worlds := x.next
		x.next = nil
		for _, w := range worlds {
			x.visit(w)
		}
	}
}

// add makes w one of the next worlds unless it was reached before.
func (x *explorer) add(w *world) {
	if key := w.key(); !x.seen[key] {
		x.seen[key] = true
		x.next = append(x.next, w)
	}
}

// visit adds the worlds that are one action away from w.
func (x *explorer) visit(w *world) {
	x.deliver(w)
	for i, n := range w.nodes {
		if n.role != Leader {
			// Whenever, because elections must be safe without timeouts and pre-votes.
			x.act(w, i, func(b *bounds) *int { return &b.campaigns }, func(n *Node) { n.campaign(true) })
		} else {
			x.act(w, i, func(b *bounds) *int { return &b.proposals }, func(n *Node) { _, _, _ = n.Propose([]byte(x.ids[i])) })
			x.act(w, i, func(b *bounds) *int { return &b.heartbeats }, func(n *Node) { n.broadcast(true) })
			x.act(w, i, func(b *bounds) *int { return &b.changes }, func(n *Node) {
				_ = n.ProposeChange(Change{Kind: Remove, Instance: x.ids[(i+2)%len(x.ids)]})
			})
		}
		if n.log.applied > n.snapshot.Index {
			x.act(w, i, func(b *bounds) *int { return &b.compactions }, func(n *Node) { _ = n.Compact(n.log.applied, nil) })
		}
		x.read(w, i)
		x.restart(w, i)
	}
}

// deliver visits the worlds after each message, with and without keeping it to
// be delivered again.
func (x *explorer) deliver(w *world) {
	for key, m := range w.messages {
		step := func(n *Node) { n.Step(m, x.now) }
		once := w.clone()
		delete(once.messages, key)
		x.act(once, x.index(m.To), nil, step)
		x.act(w, x.index(m.To), func(b *bounds) *int { return &b.repetition }, step)
	}
}

func (x *explorer) index(id string) int { return slices.Index(x.ids, id) }

// act adds the world after fn on node i, if the bound allows it.
func (x *explorer) act(w *world, i int, bound func(*bounds) *int, fn func(*Node)) {
	if bound != nil && *bound(&w.left) == 0 {
		return
	}
	next := w.clone()
	if bound != nil {
		*bound(&next.left)--
	}
	next.nodes[i] = cloneNode(w.nodes[i])
	fn(next.nodes[i])
	x.work(next, i)
	x.add(next)
}

func (x *explorer) read(w *world, i int) {
	if w.left.reads == 0 {
		return
	}
	next := w.clone()
	next.left.reads--
	next.asked = uint64(len(w.committed))
	next.nodes[i] = cloneNode(w.nodes[i])
	if w.nodes[i].leader == "" || next.nodes[i].ReadIndex(1) != nil {
		return
	}
	x.work(next, i)
	x.add(next)
}

// restart adds the world in which node i lost everything that was not synced.
func (x *explorer) restart(w *world, i int) {
	if w.left.restarts == 0 {
		return
	}
	next := w.clone()
	next.left.restarts--
	old := w.nodes[i]
	n, err := NewNode(old.cfg, w.hard[i], old.snapshot, old.log.between(old.snapshot.Index, old.log.last()))
	require.NoError(x.t, err)
	n.observe(x.now)
	next.nodes[i], next.keys[i] = n, nodeKey(n)
	x.add(next)
}

// work does the node's Ready and checks the guarantees.
func (x *explorer) work(w *world, i int) {
	n := w.nodes[i]
	for {
		rd := n.Ready()
		if rd.Empty() {
			break
		}
		if rd.MustSave() {
			w.hard[i] = rd.HardState
		}
		for _, m := range rd.Messages {
			w.messages[messageKey(m)] = m
		}
		for _, e := range rd.Committed {
			x.commit(w, n, e)
		}
		for _, r := range rd.Reads {
			if !r.Failed {
				assert.GreaterOrEqual(x.t, r.Index, w.asked, "read index")
			}
		}
		n.Advance(rd)
	}
	w.keys[i] = nodeKey(n)
	require.NoError(x.t, n.fault)
	if n.role == Leader && w.leaders[n.term] != n.cfg.ID {
		require.Empty(x.t, w.leaders[n.term], "two leaders of term %d", n.term)
		w.leaders[n.term] = n.cfg.ID
		x.complete(w, n)
	}
}

func (x *explorer) commit(w *world, n *Node, e Entry) {
	if e.Index > uint64(len(w.committed)) {
		w.committed, w.seenAt = append(w.committed, e), append(w.seenAt, n.term)
	}
	was := w.committed[e.Index-1]
	require.Equal(x.t, e.Term, was.Term, "term of committed entry %d", e.Index)
	require.Equal(x.t, e.Data, was.Data, "committed entry %d", e.Index)
}

// complete requires a new leader to have every entry committed in earlier terms.
func (x *explorer) complete(w *world, n *Node) {
	for i, e := range w.committed {
		if t, ok := n.log.term(e.Index); w.seenAt[i] < n.term && (ok || e.Index > n.log.last()) {
			require.True(x.t, ok && t == e.Term, "leader of term %d misses committed entry %d", n.term, e.Index)
		}
	}
}

// settle delivers messages in a fixed order, only those that match if a filter
// of "kind from to" is given, and loses the others.
func (x *explorer) settle(w *world, only ...string) {
	for len(w.messages) > 0 {
		key := slices.Min(slices.Collect(maps.Keys(w.messages)))
		m := w.messages[key]
		delete(w.messages, key)
		if len(only) == 0 || slices.Contains(only, fmt.Sprint(m.Kind, " ", m.From, " ", m.To)) {
			i := x.index(m.To)
			w.nodes[i].Step(m, x.now)
			x.work(w, i)
		}
	}
}

// between returns the filters of both directions of requests and replies of two nodes.
func between(from, to string, kinds ...MessageKind) []string {
	var only []string
	for _, k := range kinds {
		only = append(only, fmt.Sprint(k, " ", from, " ", to), fmt.Sprint(k+1, " ", to, " ", from))
	}
	return only
}

func (x *explorer) do(w *world, i int, fn func(n *Node)) {
	fn(w.nodes[i])
	x.work(w, i)
}

func campaign(n *Node) { n.campaign(true) }

func propose(n *Node) { _, _, _ = n.Propose([]byte(n.cfg.ID)) }

// elect makes a the leader and commits its first entry everywhere.
func elect(x *explorer, w *world) {
	x.do(w, 0, campaign)
	x.settle(w)
}

// explorations start where few steps reach a situation that is known to be difficult.
var explorations = []struct {
	name   string
	voters int // 3 if 0
	start  func(x *explorer, w *world)
	bounds bounds
}{
	{
		name: "competing elections", bounds: bounds{steps: 6, campaigns: 2, restarts: 1, repetition: 1},
		start: func(x *explorer, w *world) { x.do(w, 0, campaign) },
	},
	{
		// A stale leader learns of the term before it is asked for its vote.
		name: "vote in a known term", bounds: bounds{steps: 8, restarts: 1},
		start: func(x *explorer, w *world) {
			elect(x, w)
			x.do(w, 1, campaign)
			x.do(w, 2, campaign)
			for key, m := range w.messages {
				if m.To != "a" {
					delete(w.messages, key)
				}
			}
			x.do(w, 0, func(n *Node) { n.sendAppend("b", n.peers["b"], true) })
		},
	},
	{name: "new leader and proposals", bounds: bounds{steps: 8, campaigns: 1, proposals: 2, restarts: 1}, start: elect},
	{
		// The new leader has the latest committed entry but does not know that it is committed.
		name: "read under a new leader", bounds: bounds{steps: 6, campaigns: 1, reads: 1, repetition: 1},
		start: func(x *explorer, w *world) {
			elect(x, w)
			x.do(w, 0, propose)
			x.do(w, 1, func(n *Node) {
				n.Step(Message{Kind: MessageAppend, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1, Entries: w.nodes[0].log.between(1, 2)}, x.now)
			})
			x.settle(w, fmt.Sprint(MessageAppendReply, " b a"))
		},
	},
	{
		// A reply from before the read is still under way to the old leader.
		name: "late reply to a replaced leader", bounds: bounds{steps: 7, campaigns: 1, reads: 1},
		start: func(x *explorer, w *world) {
			elect(x, w)
			x.do(w, 0, func(n *Node) { n.broadcast(true) })
			sent := w.messages
			w.messages = map[string]Message{}
			for _, m := range sent {
				if m.To == "b" {
					x.do(w, 1, func(n *Node) { n.Step(m, x.now) })
				}
			}
		},
	},
	{
		// The leader's entry in the middle of its term is on no other node.
		name: "entry on a minority", bounds: bounds{steps: 9, campaigns: 2, restarts: 1},
		start: func(x *explorer, w *world) {
			elect(x, w)
			x.do(w, 0, propose)
			clear(w.messages)
		},
	},
	{
		// Node a leads again and sends an entry of its earlier term, while c has a later term's entry.
		name: "earlier entry on a majority", bounds: bounds{steps: 9, campaigns: 1},
		start: func(x *explorer, w *world) {
			elect(x, w)
			x.do(w, 0, propose)
			clear(w.messages)
			x.do(w, 2, campaign)
			x.settle(w, between("c", "b", MessageVote)...)
			x.do(w, 0, func(n *Node) { n.follow(2) })
			x.do(w, 0, campaign)
			x.settle(w, between("a", "b", MessageVote)...)
			x.do(w, 0, func(n *Node) { n.sendAppend("b", n.peers["b"], true) })
			x.do(w, 2, func(n *Node) { n.follow(3) })
		},
	},
	{
		name: "snapshot for a late follower", bounds: bounds{steps: 8, campaigns: 1, heartbeats: 1, proposals: 1, restarts: 1},
		start: func(x *explorer, w *world) {
			ab := between("a", "b", MessageVote, MessageAppend)
			x.do(w, 0, campaign)
			x.settle(w, ab...)
			x.do(w, 0, propose)
			x.settle(w, ab...)
			x.do(w, 0, func(n *Node) { _ = n.Compact(n.log.applied, nil) })
		},
	},
	{
		// Leaders a and c remove d and a; the memberships {a, b, c} and {b, c, d} have disjoint quorums.
		name: "two removals by two leaders", voters: 4, bounds: bounds{steps: 8, campaigns: 1, changes: 1},
		start: func(x *explorer, w *world) {
			elect(x, w)
			x.do(w, 0, func(n *Node) { require.NoError(x.t, n.ProposeChange(Change{Kind: Remove, Instance: "d"})) })
			clear(w.messages)
			x.do(w, 2, campaign)
			x.settle(w, append(between("c", "b", MessageVote), between("c", "d", MessageVote)...)...)
			x.do(w, 2, func(n *Node) { n.sendAppend("d", n.peers["d"], true) })
			x.do(w, 0, func(n *Node) { n.follow(2) })
		},
	},
	{name: "removal under a new leader", bounds: bounds{steps: 8, campaigns: 2, changes: 2}, start: elect},
}

// Guards against orders of few events that break the guarantees: each order of
// delivery, loss, repetition and restart within the bounds is tried.
func TestExploreAllOrders(t *testing.T) {
	for _, tt := range explorations {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			x := newExplorer(t, []string{"a", "b", "c", "d"}[:max(3, tt.voters)]...)
			w := x.newWorld()
			tt.start(x, w)
			w.left = tt.bounds
			x.explore(w)
			t.Logf("%d states", len(x.seen))
		})
	}
}
