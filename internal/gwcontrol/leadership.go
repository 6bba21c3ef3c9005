package gwcontrol

import (
	"context"
	"slices"
	"sync"
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
	// NoManifest means that no manifest had been committed before this term.
	NoManifest bool
}

// Leadership returns the term in which this voter leads, and false if Leading is false.
func (c *Consensus) Leadership() (Leadership, bool) {
	now := c.Clock.Now()
	c.mu.RLock()
	defer c.mu.RUnlock()
	leading := c.status.LeaderReady && now.Sub(c.statusAt) < maxPause
	return Leadership{Term: c.status.Term, Since: c.leadingSince, NoManifest: c.noManifest}, leading
}

// keptTerms limits the number of terms in termTimes. Without an old one, a later one is used.
const keptTerms = 32

// termTimes holds when this run of the process first applied an entry of each term, of the
// latest terms, in ascending order.
type termTimes struct {
	mu    sync.Mutex
	terms []termTime
}

type termTime struct {
	term uint64
	at   time.Time
}

// note records that entries of a term were applied at a time.
func (t *termTimes) note(term uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.terms); n > 0 && t.terms[n-1].term >= term {
		return
	}
	t.terms = append(t.terms, termTime{term, at})
	if len(t.terms) > keptTerms {
		t.terms = slices.Delete(t.terms, 0, 1)
	}
}

// after returns when an entry of a term after the given one was first applied.
func (t *termTimes) after(term uint64) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.IndexFunc(t.terms, func(o termTime) bool { return o.term > term })
	if i < 0 {
		return time.Time{}, false
	}
	return t.terms[i].at, true
}

// SucceededAt returns a time, by this instance's clock, at which a leader that follows the given
// term had an entry of its own committed, or false if none is known. By then the leader of the
// given term could commit nothing any more.
func (c *Consensus) SucceededAt(term uint64) (time.Time, bool) { return c.terms.after(term) }

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
