package gwcontrol

import (
	"context"
	"time"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// maxPause is the time after which a voter that stood still, because its process was stopped
// or its disk did not answer, cannot assume that it still leads: the others, which heard
// nothing from it, may have elected a successor.
const maxPause = gwquorum.DefaultElectionTimeout

// Leadership is a term in which this voter leads.
type Leadership struct {
	Term uint64
	// Since is when the voter had applied everything that earlier leaders committed.
	Since time.Time
}

// Leadership returns the term in which this voter leads, and false if Leading is false.
func (c *Consensus) Leadership() (Leadership, bool) {
	now := c.Clock.Now()
	c.mu.RLock()
	defer c.mu.RUnlock()
	leading := c.status.LeaderReady && now.Sub(c.statusAt) < maxPause
	return Leadership{Term: c.status.Term, Since: c.leadingSince}, leading
}

// Leading reports whether this voter leads and has applied everything that earlier
// leaders committed. It is false while the voter stands still for maxPause or longer.
func (c *Consensus) Leading() bool {
	_, leading := c.Leadership()
	return leading
}

// noticePause makes a leader that stood still step down before it handles what arrived
// meanwhile: replies to messages from before the pause do not show that it still leads.
func (c *Consensus) noticePause() {
	if now := c.Clock.Now(); c.ready && now.Sub(c.statusAt) >= maxPause {
		c.node.Tick(now)
	}
}

// TransferLeadership starts the transfer of the leadership to the reachable other voter
// with the most complete log, and does not wait for its end.
func (c *Consensus) TransferLeadership(ctx context.Context) {
	_ = c.do(ctx, func() {
		best, match := "", uint64(0)
		for _, p := range c.node.Status().Peers {
			if !p.Learner && p.Active && p.Match >= match {
				best, match = p.Instance, p.Match
			}
		}
		if best != "" {
			_ = c.node.TransferLeadership(best)
		}
	})
}
