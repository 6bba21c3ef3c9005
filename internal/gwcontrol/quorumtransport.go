package gwcontrol

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// streamOpenTimeout limits how long opening a stream to another voter may take.
// Messages sent meanwhile are queued, or dropped if the queue is full; the
// replication protocol sends them again.
const streamOpenTimeout = time.Second

// frameQuorum is the kind of frame that carries one encoded message of the replicated log.
const frameQuorum = 1

// sender queues the messages to one voter, which are sent in order over one stream.
type sender struct {
	queue   chan gwquorum.Message
	dropped uint64 // messages for which the queue was full; owned by the goroutine of Run
	// snapshot is set while a snapshot is sent, over a stream of its own.
	snapshot atomic.Bool
}

// voterTraffic counts irregularities of the messages to other voters.
type voterTraffic struct{ dropped, reopened atomic.Uint64 }

// droppedMessages returns how many messages to a voter were dropped because its queue was full.
func (c *Consensus) droppedMessages(to string) uint64 {
	if s, ok := c.peers[to]; ok {
		return s.dropped
	}
	return 0
}

// send queues m for its receiver, or drops it if the queue is full.
func (c *Consensus) send(ctx context.Context, m gwquorum.Message) {
	s, ok := c.peers[m.To]
	if !ok {
		s = &sender{queue: make(chan gwquorum.Message, sendQueueLength)}
		c.peers[m.To] = s
		go c.deliver(ctx, m.To, s)
	}
	select {
	case s.queue <- m:
	default:
		s.dropped++
		c.traffic.dropped.Add(1)
	}
}

// deliver writes queued messages to a stream, which it reopens after an error.
func (c *Consensus) deliver(ctx context.Context, to string, s *sender) {
	var stream *gwpeer.Stream
	for {
		select {
		case <-ctx.Done():
			if stream != nil {
				_ = stream.Close()
			}
			return
		case m := <-s.queue:
			if m.Kind == gwquorum.MessageSnapshot {
				c.beginSnapshot(ctx, m, s)
				continue
			}
			if stream == nil {
				var err error
				if stream, err = c.openStream(ctx, to, kindQuorum); err != nil {
					stream = nil
					continue
				}
			}
			b, err := gwpeer.Marshal(m)
			if err != nil {
				c.Log.Error("message of the replicated log not encoded", "to", to, "error", err)
				continue
			}
			if err := stream.WriteFrame(frameQuorum, b); err != nil {
				stream.Cancel()
				stream = nil
				c.traffic.reopened.Add(1)
			}
		}
	}
}

// openStream opens a stream to another voter within streamOpenTimeout.
func (c *Consensus) openStream(ctx context.Context, to string, kind gwpeer.Kind) (*gwpeer.Stream, error) {
	address, ok := c.Address(voterName(to))
	if !ok {
		return nil, &Error{Op: "open stream", Kind: Unavailable, Detail: "the address of " + to + " is not known"}
	}
	ctx, cancel := context.WithTimeout(ctx, streamOpenTimeout)
	defer cancel()
	return c.Node.OpenStream(ctx, address, kind)
}

// receive passes the messages of one stream to the node. It ends the stream on a
// malformed message or one whose sender is not the peer.
func (c *Consensus) receive(ctx context.Context, from string, s *gwpeer.Stream) {
	s.ExpectLargeFrames()
	var snapshot *receivedSnapshot // the last message, nil if it was another one
	for {
		kind, payload, err := s.ReadFrame()
		if errors.Is(err, io.EOF) && snapshot != nil {
			c.endSnapshot(ctx, s, *snapshot)
			return
		}
		if err != nil || kind != frameQuorum {
			return
		}
		var m gwquorum.Message
		if err := gwpeer.Unmarshal(payload, &m); err != nil || voterName(m.From) != from {
			return
		}
		if m.Kind == gwquorum.MessageAppend {
			s.GrowWindow() // only a leader sends this, so that few streams of a voter have a large window
		}
		err = c.do(ctx, func() { c.node.Step(m, c.Clock.Now()) })
		if err != nil && ctx.Err() != nil {
			return
		}
		if snapshot = nil; m.Snapshot != nil {
			snapshot = &receivedSnapshot{index: m.Snapshot.Index, term: m.Term, dropped: err != nil}
		}
	}
}
