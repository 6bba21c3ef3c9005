package gwcontrol

import (
	"context"
	"time"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// openTimeout bounds the opening of a stream to another voter. Messages that
// come meanwhile wait in the queue or are dropped; the log repeats them.
const openTimeout = time.Second

// frameQuorum carries one encoded message of the replicated log.
const frameQuorum = 1

// sender carries messages to one voter in order over one stream.
type sender struct{ queue chan gwquorum.Message }

// send queues m for its receiver, or drops it when the queue is full.
func (c *Consensus) send(ctx context.Context, m gwquorum.Message) {
	s, ok := c.peers[m.To]
	if !ok {
		s = &sender{queue: make(chan gwquorum.Message, sendQueue)}
		c.peers[m.To] = s
		go c.deliver(ctx, m.To, s)
	}
	select {
	case s.queue <- m:
	default:
	}
}

// deliver writes queued messages to the stream, which it opens again after a loss.
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
			if stream == nil {
				stream = c.open(ctx, to)
			}
			if stream == nil {
				continue
			}
			b, err := gwpeer.Marshal(m)
			if err != nil {
				c.Log.Error("message of the replicated log not encoded", "to", to, "error", err)
				continue
			}
			if err := stream.WriteFrame(frameQuorum, b); err != nil {
				stream.Cancel()
				stream = nil
			}
		}
	}
}

func (c *Consensus) open(ctx context.Context, to string) *gwpeer.Stream {
	address, ok := c.Address(voterName(to))
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, err := c.Node.OpenStream(ctx, address, kindQuorum)
	if err != nil {
		return nil
	}
	return stream
}

// serve passes the messages of one stream to the node.
func (c *Consensus) serve(ctx context.Context, from string, s *gwpeer.Stream) {
	for {
		kind, payload, err := s.ReadFrame()
		if err != nil || kind != frameQuorum {
			return
		}
		var m gwquorum.Message
		if err := gwpeer.Unmarshal(payload, &m); err != nil || voterName(m.From) != from {
			return
		}
		if c.do(ctx, func() { c.node.Step(m, c.Clock.Now()) }) != nil && ctx.Err() != nil {
			return
		}
	}
}
