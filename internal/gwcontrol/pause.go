package gwcontrol

import "gentianward.example/gentianward/pkg/gwquorum"

// maxPause is the time after which a voter that stood still, because its process was stopped
// or its disk did not answer, cannot assume that it still leads: the others, which heard
// nothing from it, may have elected a successor.
const maxPause = gwquorum.DefaultElectionTimeout

// Leading reports whether this voter leads and has applied everything that earlier
// leaders committed. It is false while the voter stands still for maxPause or longer.
func (c *Consensus) Leading() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.status.LeaderReady && c.Clock.Since(c.statusAt) < maxPause
}

// noticePause makes a leader that stood still step down before it handles what arrived
// meanwhile: replies to messages from before the pause do not show that it still leads.
func (c *Consensus) noticePause() {
	if now := c.Clock.Now(); c.ready && now.Sub(c.statusAt) >= maxPause {
		c.node.Tick(now)
	}
}
