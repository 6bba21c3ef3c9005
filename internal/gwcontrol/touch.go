package gwcontrol

import (
	"context"
	"sync/atomic"
	"time"
)

// Timing of the contact with the leader.
const (
	touchInterval = 600 * time.Millisecond
	// touchLimit is how long an instance counts as in touch after its last
	// contact: two intervals and a round trip, so that one lost message changes
	// nothing.
	touchLimit = 1500 * time.Millisecond
)

// touch is when this instance last knew that a quorum of voters could be reached.
type touch struct{ at atomic.Pointer[time.Time] }

// Touch answers that this voter leads, which it does only with a quorum.
func (l *Leader) Touch(context.Context, Empty) (Empty, error) {
	st := l.consensus.Status()
	if !st.LeaderReady {
		return Empty{}, &Error{Op: "touch", Kind: NotLeader, Detail: voterName(st.Leader)}
	}
	return Empty{}, nil
}

// KeepTouch asks the leader at intervals whether it leads, until ctx ends. changed
// is told when the contact is lost or regained.
func (c *Client) KeepTouch(ctx context.Context, changed func(inTouch bool)) {
	ticker := c.clock.NewTicker(touchInterval)
	defer ticker.Stop()
	last := false
	for {
		go c.touchOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if now := c.InTouch(); now != last {
			last = now
			changed(now)
		}
	}
}

func (c *Client) touchOnce(ctx context.Context) {
	sent := c.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, touchLimit)
	defer cancel()
	_, err := callLeader(ctx, c, kindTouch, Empty{}, func(ctx context.Context, r Empty) (Empty, error) {
		return c.local.Touch(ctx, r)
	})
	if err != nil {
		c.log.Debug("leader not reached", "error", err)
		return
	}
	for old := c.touch.at.Load(); old == nil || sent.After(*old); old = c.touch.at.Load() {
		if c.touch.at.CompareAndSwap(old, &sent) {
			return
		}
	}
}

// CutOff reports whether this instance has lost the leader for longer than an
// election takes. One that has only just started is not cut off yet.
func (c *Client) CutOff() bool { return c.touch.at.Load() != nil && !c.InTouch() }

// InTouch reports whether the leader has answered a question that was sent a
// moment ago. An instance that is out of touch may be on the losing side of a
// partition.
func (c *Client) InTouch() bool {
	at := c.touch.at.Load()
	return at != nil && c.clock.Since(*at) < touchLimit
}
