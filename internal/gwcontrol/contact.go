package gwcontrol

import (
	"context"
	"sync/atomic"
	"time"
)

// Timing of the check that the leader can be reached.
const (
	contactInterval = 600 * time.Millisecond
	// contactTimeout is how long an answer of the leader proves that the leader is
	// reachable: two intervals and a round trip, so that a single lost message is
	// tolerated.
	contactTimeout = 1500 * time.Millisecond
)

// lastContact holds the time at which this instance sent the latest call that the
// leader, and hence a quorum of voters, has answered.
type lastContact struct{ at atomic.Pointer[time.Time] }

// Contact returns nil if this voter leads and is ready, and an error of kind NotLeader
// otherwise. A voter leads only while it has a quorum.
func (l *Leader) Contact(context.Context, Empty) (Empty, error) {
	st := l.consensus.Status()
	if !st.LeaderReady {
		return Empty{}, &Error{Op: "confirm contact", Kind: NotLeader, Detail: voterName(st.Leader)}
	}
	return Empty{}, nil
}

// MonitorContact calls the leader at intervals until ctx ends, and calls changed
// whenever the contact is lost or regained.
func (c *Client) MonitorContact(ctx context.Context, changed func(inContact bool)) {
	ticker := c.clock.NewTicker(contactInterval)
	defer ticker.Stop()
	last := false
	for {
		go c.askLeader(ctx)
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

func (c *Client) askLeader(ctx context.Context) {
	sent := c.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	_, err := callLeader(ctx, c, kindContact, Empty{}, func(ctx context.Context, r Empty) (Empty, error) {
		return c.local.Contact(ctx, r)
	})
	if err != nil {
		c.log.Debug("leader of the replicated log not reached", "error", err)
		return
	}
	for old := c.lastContact.at.Load(); old == nil || sent.After(*old); old = c.lastContact.at.Load() {
		if c.lastContact.at.CompareAndSwap(old, &sent) {
			return
		}
	}
}

// CutOff reports whether this instance has lost contact with the leader for longer than
// an election takes. It is false until the first contact after the start.
func (c *Client) CutOff() bool { return c.lastContact.at.Load() != nil && !c.InContact() }

// InContact reports whether the leader has answered a call that was sent within the
// last contactTimeout. An instance without contact may be on the minority side of
// a network partition.
func (c *Client) InContact() bool {
	at := c.lastContact.at.Load()
	return at != nil && c.clock.Since(*at) < contactTimeout
}
