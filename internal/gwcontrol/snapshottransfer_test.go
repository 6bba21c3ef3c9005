package gwcontrol

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// messageSender returns a Consensus that sends messages to the other node and takes no part.
func messageSender(from, to *gwpeer.Node) *Consensus {
	return &Consensus{
		ConsensusOptions: ConsensusOptions{
			Node: from, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler),
			Address: func(string) (string, bool) { return to.Address(), true },
		},
		peers: make(map[string]*sender),
	}
}

func heartbeat(round uint64) gwquorum.Message {
	return gwquorum.Message{Kind: gwquorum.MessageAppend, From: "a", To: "b", Term: 1, ReadRound: round}
}

func snapshotMessage(size int) gwquorum.Message {
	data := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(data)
	return gwquorum.Message{Kind: gwquorum.MessageSnapshot, From: "a", To: "b", Term: 1, Snapshot: &gwquorum.Snapshot{Index: 7, Term: 1, Data: data}}
}

// received collects the messages that a node receives. hold, if not nil, delays the end of each
// stream that carries a snapshot.
func received(t *testing.T, n *gwpeer.Node, hold <-chan struct{}) <-chan gwquorum.Message {
	out := make(chan gwquorum.Message, 100)
	n.HandleStream(kindQuorum, func(ctx context.Context, _ string, s *gwpeer.Stream) {
		s.ExpectLargeFrames()
		for {
			_, payload, err := s.ReadFrame()
			if err != nil {
				return
			}
			var m gwquorum.Message
			if !assert.NoError(t, gwpeer.Unmarshal(payload, &m)) {
				return
			}
			out <- m
			if m.Snapshot != nil && hold != nil {
				select {
				case <-hold:
				case <-ctx.Done():
				}
			}
		}
	})
	return out
}

func next(t *testing.T, messages <-chan gwquorum.Message) gwquorum.Message {
	select {
	case m := <-messages:
		return m
	case <-time.After(20 * time.Second):
		require.Fail(t, "no message")
		return gwquorum.Message{}
	}
}

// betweenRegions is a path of the smallest sites.
var betweenRegions = netPath{delay: 30 * time.Millisecond, bandwidth: 30_000_000 / 8, window: 256 << 10}

// Guards against a member that hears nothing of the leader while it is sent a snapshot: a voter
// that was cut off then starts elections, and the leader takes the member for unresponsive.
func TestHeartbeatsOvertakeSnapshots(t *testing.T) {
	nodes := laggedNodes(t, betweenRegions, "a", "b")
	messages := received(t, nodes[1], nil)
	c := messageSender(nodes[0], nodes[1])
	c.send(t.Context(), heartbeat(1))
	require.Equal(t, gwquorum.MessageAppend, next(t, messages).Kind, "over a link that is open")

	c.send(t.Context(), snapshotMessage(4<<20)) // 1.1 s
	ticker := time.NewTicker(75 * time.Millisecond)
	defer ticker.Stop()
	overtook := 0
	for round := uint64(2); ; {
		select {
		case <-ticker.C:
			c.send(t.Context(), heartbeat(round))
			round++
			continue
		case m := <-messages:
			if m.Kind == gwquorum.MessageAppend {
				overtook++
				continue
			}
			assert.Equal(t, snapshotMessage(4<<20).Snapshot, m.Snapshot)
		case <-t.Context().Done():
		}
		break
	}
	assert.GreaterOrEqual(t, overtook, 3)
}

// Guards against a link that is filled with copies of one snapshot, which the leader sends again
// while no reply comes, and against a lost one that keeps later ones from being sent.
func TestOneSnapshotAtATime(t *testing.T) {
	nodes := laggedNodes(t, betweenRegions, "a", "b")
	hold := make(chan struct{})
	messages := received(t, nodes[1], hold)
	c := messageSender(nodes[0], nodes[1])
	for range 3 {
		c.send(t.Context(), snapshotMessage(1000))
	}
	next(t, messages)
	c.send(t.Context(), snapshotMessage(1000)) // while the member saves it
	c.send(t.Context(), heartbeat(1))
	assert.Equal(t, gwquorum.MessageAppend, next(t, messages).Kind)
	hold <- struct{}{}
	s := c.peers["b"]
	require.Eventually(t, func() bool { return !s.snapshot.Load() }, 10*time.Second, time.Millisecond)
	assert.Empty(t, messages)

	c.send(t.Context(), snapshotMessage(1000))
	next(t, messages)
	nodes[0].Disconnect(nodes[1].Address())
	require.Eventually(t, func() bool { return !s.snapshot.Load() }, 10*time.Second, time.Millisecond, "the link was lost")
	c.send(t.Context(), snapshotMessage(1000))
	next(t, messages)
	close(hold)
}

// Guards against a snapshot that counts as delivered although the member was not running yet, and
// against one that is sent again while the member saves it.
func TestSnapshotEnds(t *testing.T) {
	nodes := laggedNodes(t, betweenRegions, "a", "b")
	member := messageSender(nodes[1], nodes[0])
	nodes[1].HandleStream(kindQuorum, member.receive)
	c := messageSender(nodes[0], nodes[1])
	_, err := c.deliverSnapshot(t.Context(), snapshotMessage(1000))
	require.Error(t, err, "the member does not run")

	member.calls = make(chan func(), 10)
	member.running.Store(true)
	done := make(chan error, 1)
	go func() {
		_, err := c.deliverSnapshot(t.Context(), snapshotMessage(1000))
		done <- err
	}()
	select {
	case <-member.calls:
	case <-time.After(10 * time.Second):
		require.Fail(t, "no message")
	}
	select {
	case <-done:
		assert.Fail(t, "delivered before it is saved")
	case <-time.After(snapshotHold / 4):
	}
	member.mu.Lock()
	member.status.Applied = 7
	member.mu.Unlock()
	require.NoError(t, <-done)
}
