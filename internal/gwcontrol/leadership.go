package gwcontrol

import "time"

// Leadership is a term in which this voter leads.
type Leadership struct {
	Term uint64
	// Since is when the voter had applied everything that earlier leaders committed.
	Since time.Time
}

// Leadership returns the term in which this voter leads, and false if Leading is false.
func (c *Consensus) Leadership() (Leadership, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return Leadership{Term: c.status.Term, Since: c.leadingSince}, c.status.LeaderReady
}
