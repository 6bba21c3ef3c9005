package gwquorum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a snapshot that is overtaken by heartbeats and sent again and again while it is
// still on its way, each time a newer one.
func TestSnapshotUnderWayIsNotLost(t *testing.T) {
	tests := []struct {
		name      string
		began     bool
		ended     bool
		delivered bool
		want      bool // another snapshot is sent
	}{
		{"messages arrive in order, and the snapshot did not", false, false, false, true},
		{"it is under way", true, false, false, false},
		{"it was delivered, and its reply is on the way", true, true, true, false},
		{"it failed", true, true, false, true},
	}
	for _, tt := range tests {
		now := time.Unix(1000, 0)
		n, err := NewNode(Config{ID: "a", Rand: rand.NewPCG(1, 1)}, HardState{}, Snapshot{Members: Members{Voters: []string{"a"}}}, nil)
		require.NoError(t, err)
		var sent []Message
		work := func() {
			for rd := n.Ready(); !rd.Empty() || n.SnapshotWanted(); rd = n.Ready() {
				if rd.Empty() {
					n.ProvideSnapshot([]byte("state"))
					continue
				}
				sent = append(append(sent, rd.EarlyMessages()...), rd.LateMessages()...)
				n.Advance(rd)
			}
		}
		pass := func(d time.Duration) {
			for end := now.Add(d); now.Before(end); {
				now = now.Add(20 * time.Millisecond)
				n.Tick(now)
				work()
			}
		}
		reply := func() {
			n.Step(Message{Kind: MessageAppendReply, From: "b", To: "a", Term: n.term, ReadRound: n.reads.round}, now)
			work()
		}
		pass(time.Second)
		require.Equal(t, Leader, n.role)
		require.NoError(t, n.ProposeChange(Change{Kind: AddLearner, Instance: "b"}))
		work()
		n.Step(Message{Kind: MessageAppendReply, From: "b", To: "a", Term: n.term, Reject: true, Index: n.peers["b"].next - 1}, now)
		work()
		snapshots := func() int {
			count := 0
			for _, m := range sent {
				if m.Kind == MessageSnapshot {
					count++
				}
			}
			return count
		}
		require.Equal(t, 1, snapshots(), tt.name)
		if tt.began {
			n.SnapshotBegan("b")
		}
		for range 20 { // heartbeats are answered meanwhile
			pass(20 * time.Millisecond)
			if tt.began {
				reply()
			}
		}
		require.Equal(t, 1, snapshots(), tt.name)
		if tt.ended {
			n.SnapshotEnded("b", tt.delivered)
		}
		reply()
		assert.Equal(t, tt.want, snapshots() > 1, tt.name)
	}
}
