package gwquorum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	testNow  = time.Unix(1, 0)
	testSeed uint64 // differs between nodes, as Config.Rand requires
)

// testNode returns voter b of the group a, b, c with entries of the given terms.
func testNode(t *testing.T, commit uint64, terms ...uint64) *Node {
	var entries []Entry
	for i, term := range terms {
		entries = append(entries, Entry{Index: uint64(i) + 1, Term: term})
	}
	testSeed++
	n, err := NewNode(Config{ID: "b", Rand: rand.NewPCG(testSeed, 1)}, HardState{Term: 1, Commit: commit},
		Snapshot{Members: Members{Voters: []string{"a", "b", "c"}}}, entries)
	require.NoError(t, err)
	return n
}

// handle passes m to n and returns its only reply.
func handle(t *testing.T, n *Node, m Message) Message {
	m.From, m.To = "a", "b"
	n.Step(m, testNow)
	rd := n.Ready()
	require.Len(t, rd.Messages, 1)
	n.Advance(rd)
	return rd.Messages[0]
}

// Guards against a follower that commits or acknowledges entries at the end of its log
// that the leader's append does not cover, and against a repeated or late append that
// drops entries already acknowledged as synced.
func TestFollowerTrustsOnlyMatchingEntries(t *testing.T) {
	n := testNode(t, 0, 1, 1, 1)
	r := handle(t, n, Message{Kind: MessageAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 1}}, Commit: 3})
	assert.Equal(t, []uint64{2, 2, 3}, []uint64{r.Index, n.log.commit, n.log.last()})

	r = handle(t, n, Message{Kind: MessageAppend, Term: 2, Index: 2, LogTerm: 1, Entries: []Entry{{Index: 3, Term: 2}, {Index: 4, Term: 2}}})
	assert.Equal(t, uint64(4), r.Index)
	r = handle(t, n, Message{Kind: MessageAppend, Term: 2, Index: 2, LogTerm: 1, Entries: []Entry{{Index: 3, Term: 2}}})
	assert.Equal(t, []uint64{3, 4}, []uint64{r.Index, n.log.last()})

	r = handle(t, n, Message{Kind: MessageAppend, Term: 2, Index: 9, LogTerm: 2})
	assert.Equal(t, []any{true, uint64(4)}, []any{r.Reject, r.HintIndex})
}

// Guards against a leader that never learns of a later term, so that a member already in
// that term can never follow it.
func TestOldTermIsAnswered(t *testing.T) {
	n := testNode(t, 0, 3)
	for _, kind := range []MessageKind{MessageAppend, MessageVote, MessagePreVote} {
		r := handle(t, n, Message{Kind: kind, Term: 2})
		assert.Equal(t, []any{uint64(3), true}, []any{r.Term, r.Reject})
	}
}

// Guards against answering a read with the reply to a read from before a restart, whose
// index is too old.
func TestReadReplyAfterRestart(t *testing.T) {
	ask := func() (*Node, Message) {
		n := testNode(t, 0, 1)
		handle(t, n, Message{Kind: MessageAppend, Term: 1, Index: 1, LogTerm: 1})
		require.NoError(t, n.ReadIndex(7))
		rd := n.Ready()
		n.Advance(rd)
		return n, rd.Messages[0]
	}
	_, old := ask()
	n, current := ask()
	reply := Message{Kind: MessageReadIndexReply, From: "a", To: "b", Term: 1, ReadID: old.ReadID, Index: 1}
	n.Step(reply, testNow)
	assert.Empty(t, n.Ready().Reads)
	reply.ReadID, reply.Index = current.ReadID, 2
	n.Step(reply, testNow)
	assert.Equal(t, []ReadState{{ID: 7, Index: 2}}, n.Ready().Reads)
}

// Guards against counting an entry as synced that was replaced while it was being saved.
func TestAdvanceAfterReplacement(t *testing.T) {
	n := testNode(t, 0, 1)
	n.Step(Message{Kind: MessageAppend, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 1}}}, testNow)
	rd := n.Ready()
	require.Len(t, rd.Entries, 1)
	assert.True(t, n.Ready().Empty(), "only one Ready at a time")
	n.Step(Message{Kind: MessageAppend, From: "c", To: "b", Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}}, testNow)
	n.Advance(rd)
	assert.Equal(t, uint64(1), n.log.stable)
	rd = n.Ready()
	assert.Equal(t, []Entry{{Index: 2, Term: 2}}, rd.Entries)
	assert.Equal(t, uint64(2), rd.HardState.Term)
}

// Guards against a membership that stays in effect after its entry was truncated.
func TestTruncatedChange(t *testing.T) {
	n := testNode(t, 0, 1)
	change := Entry{Index: 2, Term: 1, Kind: EntryChange, Members: &Members{Voters: []string{"a", "b"}}}
	handle(t, n, Message{Kind: MessageAppend, Term: 1, Index: 1, LogTerm: 1, Entries: []Entry{change}})
	assert.Len(t, n.Status().Voters, 2, "a change takes effect when it is appended")
	handle(t, n, Message{Kind: MessageAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}})
	assert.Len(t, n.Status().Voters, 3)
}

// Guards against conflicting entries that stay in the log after a snapshot.
func TestSnapshotReplacesLog(t *testing.T) {
	n := testNode(t, 0, 1, 1, 1)
	snap := Snapshot{Index: 2, Term: 2, Members: Members{Voters: []string{"a", "b", "c"}}, Data: []byte("state")}
	n.Step(Message{Kind: MessageSnapshot, From: "a", To: "b", Term: 2, Snapshot: &snap}, testNow)
	rd := n.Ready()
	assert.True(t, rd.Restore)
	assert.Equal(t, &snap, rd.Snapshot)
	assert.Equal(t, uint64(2), rd.Messages[0].Index)
	n.Advance(rd)
	assert.Equal(t, []uint64{2, 2, 2}, []uint64{n.log.last(), n.log.commit, n.log.applied})
}

// Guards against a node that continues although saved state or a message contradicts its log.
func TestInconsistent(t *testing.T) {
	cfg := Config{ID: "b", Rand: rand.NewPCG(1, 1)}
	_, err := NewNode(cfg, HardState{}, Snapshot{}, []Entry{{Index: 2, Term: 1}})
	assert.Equal(t, KindInconsistent, KindOf(err), "a gap in the log")
	_, err = NewNode(cfg, HardState{Commit: 1}, Snapshot{}, nil)
	assert.Equal(t, KindInconsistent, KindOf(err), "lost committed entries")

	n := testNode(t, 2, 1, 1, 1)
	n.Step(Message{Kind: MessageAppend, From: "a", To: "b", Term: 2, Index: 2, LogTerm: 2}, testNow)
	assert.Equal(t, KindInconsistent, KindOf(n.Status().Fault))
	_, _, err = n.Propose(nil)
	assert.Equal(t, KindInconsistent, KindOf(err))
	assert.Empty(t, n.Ready().Messages)
}
