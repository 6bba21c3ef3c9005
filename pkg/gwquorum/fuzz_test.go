package gwquorum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FuzzStep looks for messages of a peer that cause a panic in a follower, a candidate or a
// leader. A node may halt with a fault.
func FuzzStep(f *testing.F) {
	entries := []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1, Data: []byte("x")}}
	for _, m := range []Message{
		{Kind: MessagePreVote, Term: 2, Index: 2, LogTerm: 1},
		{Kind: MessageVote, Term: 2, Index: 2, LogTerm: 1},
		{Kind: MessageVoteReply, Term: 2},
		{Kind: MessageAppend, Term: 2, Index: 2, LogTerm: 1, Commit: 3, Entries: []Entry{{Index: 3, Term: 2, Kind: EntryChange, Data: []byte{1}}}},
		{Kind: MessageAppend, Term: 2, Index: 1 << 63, LogTerm: 1, Commit: 1 << 63},
		{Kind: MessageAppendReply, Term: 2, Index: 1 << 63, Reject: true},
		{Kind: MessageSnapshot, Term: 2, Snapshot: &Snapshot{Index: 9, Term: 2, Members: Members{Voters: []string{"a", "b"}}}},
		{Kind: MessageSnapshot, Term: 2},
		{Kind: MessageSnapshot, Term: 2, Snapshot: &Snapshot{Index: 9, Term: 2, Members: Members{
			Voters: []string{"b", "c", "d"}, Learners: []string{"a"}, Outgoing: []string{"a", "b", "c"}, Ranks: map[string]uint64{"d": 4},
		}}},
		{Kind: MessageAppend, Term: 2, Index: 2, LogTerm: 1, Entries: []Entry{
			{Index: 3, Term: 2, Kind: EntryChange, Members: &Members{Outgoing: []string{"a"}, Learners: []string{"a", "a"}}},
		}},
		{Kind: MessageAppend, Term: 2, Index: 2, LogTerm: 1, Commit: 3, Entries: []Entry{
			{Index: 3, Term: 2, Kind: EntryChange, Members: &Members{Voters: []string{"a"}, Learners: []string{"b"}, Outgoing: []string{"a"}}},
		}},
		{Kind: MessageVote, Term: 1<<64 - 1, Index: 9, LogTerm: 9},
		{Kind: MessageTimeoutNow, Term: 1},
		{Kind: MessageReadIndex, Term: 1},
		{Kind: MessageReadIndexReply, Term: 1},
	} {
		b, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if cbor.Unmarshal(b, &m) != nil {
			return
		}
		m.To, m.From = "a", "b"
		for role := range 3 {
			now := time.Unix(1000, 0)
			snap := Snapshot{Members: Members{Voters: []string{"a", "b", "c"}}}
			n, err := NewNode(Config{ID: "a", Rand: rand.NewPCG(1, 1)}, HardState{Term: 1}, snap, entries)
			if err != nil {
				panic(err)
			}
			drain := func() {
				for rd := n.Ready(); !rd.Empty(); rd = n.Ready() {
					n.Advance(rd)
				}
			}
			if role > 0 { // a candidate, and with a second vote a leader
				for range 100 {
					now = now.Add(25 * time.Millisecond)
					n.Tick(now)
					drain()
					if role > 1 {
						n.Step(Message{Kind: MessagePreVoteReply, To: "a", From: "c", Term: n.term + 1}, now)
						n.Step(Message{Kind: MessageVoteReply, To: "a", From: "c", Term: n.term}, now)
						drain()
					}
				}
			}
			for range 2 {
				n.Step(m, now)
				drain()
				now = now.Add(time.Second)
				n.Tick(now)
				drain()
			}
			if n.term > maxTerm+1 {
				t.Fatalf("term %d", n.term)
			}
		}
	})
}
