package gwcontrol

import (
	"context"
	"errors"
	"io"
	"time"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwquorum"
)

const (
	// snapshotTransferTimeout bounds the transfer of one snapshot. The largest message, 16 MiB,
	// takes 5 s at 30 Mbit/s.
	snapshotTransferTimeout = 10 * time.Second
	// snapshotHold is how long a member keeps the stream of a snapshot open until it has saved it,
	// so that it is not sent again meanwhile. A save is four syncs, of up to 150 ms more each on a
	// slow disk.
	snapshotHold = 2 * time.Second
)

// kindQuorumSnapshot is kindQuorum on the wire, so that earlier releases know it. Its streams carry
// one snapshot each. The leader's other messages overtake it, as a member that hears nothing of
// the leader for some heartbeats starts an election.
var kindQuorumSnapshot = gwpeer.Kind{ID: kindQuorum.ID, Name: "quorumSnapshot"}

// beginSnapshot starts the transfer of a snapshot over a stream of its own. While one is under way
// to a member, another one is dropped: it is mostly the same, sent again because no reply has come.
func (c *Consensus) beginSnapshot(ctx context.Context, m gwquorum.Message, s *sender) {
	if !s.snapshot.CompareAndSwap(false, true) {
		return
	}
	_ = c.do(ctx, func() { c.node.SnapshotBegan(m.To) })
	go func() {
		began := c.Clock.Now()
		size, err := c.deliverSnapshot(ctx, m)
		s.snapshot.Store(false)
		_ = c.do(ctx, func() { c.node.SnapshotEnded(m.To, err == nil) })
		took := c.Clock.Since(began).Round(time.Millisecond).String()
		if err != nil && ctx.Err() == nil {
			c.Log.Warn("snapshot of the replicated log not delivered", "to", m.To, "index", m.Snapshot.Index, "bytes", size, "took", took, "error", err.Error())
			return
		}
		c.Log.Info("snapshot of the replicated log delivered", "to", m.To, "index", m.Snapshot.Index, "bytes", size, "took", took)
	}()
}

// deliverSnapshot sends a snapshot and returns its size once the member has saved it.
func (c *Consensus) deliverSnapshot(ctx context.Context, m gwquorum.Message) (size int, err error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTransferTimeout)
	defer cancel()
	stream, err := c.openStream(ctx, m.To, kindQuorumSnapshot)
	if err != nil {
		return 0, err
	}
	defer stream.Cancel()
	defer stream.CancelOn(ctx)()
	b, err := gwpeer.Marshal(m)
	if err != nil {
		return 0, err
	}
	if err := stream.WriteFrame(frameQuorum, b); err != nil {
		return len(b), err
	}
	if err := stream.CloseWrite(); err != nil {
		return len(b), err
	}
	// The member closes the stream, and sends nothing on it.
	if _, _, err := stream.ReadFrame(); !errors.Is(err, io.EOF) {
		return len(b), err
	}
	return len(b), nil
}

// receivedSnapshot describes a message with a snapshot.
type receivedSnapshot struct {
	index, term uint64 // of the snapshot and of the message
	dropped     bool   // the voter was not running
}

// endSnapshot ends the stream of a received snapshot: it cancels it if the snapshot was dropped, and
// otherwise returns once the member has applied and saved it, at most after snapshotHold.
func (c *Consensus) endSnapshot(ctx context.Context, s *gwpeer.Stream, r receivedSnapshot) {
	if r.dropped {
		s.Cancel()
		return
	}
	for until := c.Clock.Now().Add(snapshotHold); c.Clock.Now().Before(until); {
		if st := c.Status(); st.Applied >= r.index || st.Term > r.term {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(consensusTick):
		}
	}
}
