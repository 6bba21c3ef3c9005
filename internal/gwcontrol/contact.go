package gwcontrol

import (
	"context"
	"sync/atomic"
	"time"
)

// Timing of the contact with the leader.
const (
	contactInterval = 600 * time.Millisecond
	// contactLimit is how long an instance counts as reached after its last
	// contact: two intervals and a round trip, so that one lost message changes
	// nothing.
	contactLimit = 1500 * time.Millisecond
)

// contact is when this instance last knew that a quorum of voters could be reached.
type contact struct{ at atomic.Pointer[time.Time] }

// Contact answers that this voter leads, which it does only with a quorum.
func (l *Leader) Contact(context.Context, Empty) (Empty, error) {
	st := l.consensus.Status()
	if !st.LeaderReady {
		return Empty{}, &Error{Op: "contact", Kind: NotLeader, Detail: voterName(st.Leader)}
	}
	return Empty{}, nil
}

// MonitorContact asks the leader at intervals whether it leads, until ctx ends. changed
// is told when the contact is lost or regained.
func (c *Client) MonitorContact(ctx context.Context, changed func(inContact bool)) {
	ticker := c.clock.NewTicker(contactInterval)
	defer ticker.Stop()
	last := false
	for {
		go c.contactOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if now := c.InContact(); now != last {
			last = now
			changed(now)
		}
	}
}

func (c *Client) contactOnce(ctx context.Context) {
	sent := c.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, contactLimit)
	defer cancel()
	_, err := callLeader(ctx, c, kindContact, Empty{}, func(ctx context.Context, r Empty) (Empty, error) {
		return c.local.Contact(ctx, r)
	})
	if err != nil {
		c.log.Debug("leader not reached", "error", err)
		return
	}
	for old := c.contact.at.Load(); old == nil || sent.After(*old); old = c.contact.at.Load() {
		if c.contact.at.CompareAndSwap(old, &sent) {
			return
		}
	}
}

// CutOff reports whether this instance has lost the leader for longer than an
// election takes. One that has only just started is not cut off yet.
func (c *Client) CutOff() bool { return c.contact.at.Load() != nil && !c.InContact() }

// InContact reports whether the leader has answered a question that was sent a
// moment ago. An instance that is without contact may be on the losing side of a
// partition.
func (c *Client) InContact() bool {
	at := c.contact.at.Load()
	return at != nil && c.clock.Since(*at) < contactLimit
}
