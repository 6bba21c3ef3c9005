package gwcontrol

import (
	"context"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwstate"
)

// openCalls tracks this instance's calls to the platform that are not closed, by group. While
// there are any, no other server is named: a call that takes effect after another server
// was made the primary would leave two that commit writes. The calls of other instances are
// known by their records in the replicated log.
type openCalls struct {
	mu      sync.Mutex
	servers map[string]map[string]int // number of open calls by group and server
}

// add adds n to the number of open calls and returns that of the group.
func (c *openCalls) add(group, server string, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers == nil {
		c.servers = make(map[string]map[string]int)
	}
	if c.servers[group] == nil {
		c.servers[group] = make(map[string]int)
	}
	if c.servers[group][server] += n; c.servers[group][server] == 0 {
		delete(c.servers[group], server)
	}
	sum := 0
	for _, n := range c.servers[group] {
		sum += n
	}
	if sum == 0 {
		delete(c.servers, group)
	}
	return sum
}

// open returns a server of the group with an open call, other than except.
func (c *openCalls) open(group, except string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server := range c.servers[group] {
		if server != except {
			return server, true
		}
	}
	return "", false
}

// any reports whether there are open calls.
func (c *openCalls) any() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.servers) > 0
}

// Outcomes of a call to the platform, in logs and metrics.
const (
	outcomeAccepted = "accepted"
	outcomeRefused  = "refused"
	outcomeNotSent  = "notSent"
	outcomeOpen     = "open" // no answer; the call may take effect
)

func outcomeOf(sent time.Time, err error) string {
	switch {
	case err == nil:
		return outcomeAccepted
	case !IsRefused(err):
		return outcomeOpen
	case sent.IsZero():
		return outcomeNotSent
	default:
		return outcomeRefused
	}
}

// recordOutcome logs how a call to the platform ended and counts it.
func (l *Leader) recordOutcome(c platformCall, sent time.Time, err error) {
	outcome := outcomeOf(sent, err)
	args := []any{
		"group", c.Group, "server", c.Server, "fence", c.Fence, "holder", l.Instance(), "attempt", c.attempt,
		"outcome", outcome, "took", l.clock.Since(c.recorded).String(),
	}
	if !sent.IsZero() {
		args = append(args, "sentAfter", sent.Sub(c.recorded).String())
	}
	if err != nil {
		args = append(args, "reason", err.Error())
	}
	l.log.Info("call to the platform ended", args...)
	if l.observeCall != nil {
		l.observeCall(outcome)
	}
}

// earlierCallWait returns how long a recorded call of an earlier leader may still take effect,
// or 0. It counts from the first leader that followed the one that made the call, as this
// instance saw it: by then the record had been proposed, and the caller could not confirm its
// leadership any more. If each leader counted from its own start, leaders that change more
// often than that would keep the group waiting.
func (l *Leader) earlierCallWait(c gwstate.PromotionCall, lead Leadership) time.Duration {
	if c.Fence == 0 || c.Fence == lead.Term {
		return 0
	}
	since := lead.Since
	if at, ok := l.consensus.SucceededAt(c.Fence); ok && at.Before(since) {
		since = at
	}
	return max(0, l.clock.Until(since.Add(l.state.Clock().Outlast(earlierCallLimit))))
}

// awaitCalls waits, before an attempt, until no call of an earlier leader about the group can
// take effect. Before the first attempt it also waits for this instance's own calls, which
// would make the present primary the primary again after it was replaced.
func (l *Leader) awaitCalls(group string, term uint64) {
	waiting := false
	began := l.clock.Now()
	for {
		lead, leading := l.consensus.Leadership()
		g, ok := l.state.Group(group)
		if !leading || !ok || g.Term != term {
			return
		}
		wait := l.earlierCallWait(g.Call, lead)
		_, open := l.calls.open(group, "")
		if wait == 0 && (!open || g.Phase == gwstate.Changing) {
			break
		}
		if wait > 0 && !waiting {
			waiting = true
			l.log.Warn("change of primary waits for a call of an earlier leader", "group", group, "server", g.Call.Server, "fence", g.Call.Fence, "holder", g.Call.Holder, "term", lead.Term, "wait", wait.String())
		}
		l.clock.Sleep(changeRetryDelay)
	}
	if waiting {
		l.log.Info("change of primary goes on after a call of an earlier leader", "group", group, "waited", l.clock.Since(began).String())
	}
}

// endRecords ends the records of calls that are closed: those of earlier leaders after their
// time, and own ones whose end was not committed. A record that stays would make the next
// leader wait without need.
func (l *Leader) endRecords(ctx context.Context) {
	if !l.endingRecords.CompareAndSwap(false, true) {
		return
	}
	defer l.endingRecords.Store(false)
	lead, leading := l.consensus.Leadership()
	for _, g := range l.state.Groups() {
		_, open := l.calls.open(g.Name, "")
		if !leading || g.Call.Fence == 0 || open || l.earlierCallWait(g.Call, lead) > 0 {
			continue
		}
		pctx, cancel := context.WithTimeout(ctx, promoteTimeout)
		// Refused if another record has replaced this one.
		_, _ = l.consensus.ProposeInTerm(pctx, lead.Term, gwstate.NamePromotion{Group: g.Name, Fence: g.Call.Fence, Previous: g.Call.Sequence})
		cancel()
	}
}
