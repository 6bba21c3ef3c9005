package gwcontrol

import (
	"context"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwstate"
)

// Promoter asks the platform that runs the backend servers to make one of them the
// primary. Promote may be called repeatedly; fence increases with every new leader of
// the replicated log. After an error for which IsRefused is false, the call may still take
// effect, even later.
type Promoter interface {
	Promote(ctx context.Context, group, server string, fence uint64) error
}

// UsePromoter makes changes of primary call p, unless p is nil, and observe with the outcome
// of each call. It must be called before Run.
func (l *Leader) UsePromoter(p Promoter, observe func(outcome string)) {
	l.promoter, l.observeCall = p, observe
}

// Outcomes of a call to the platform, in logs and metrics.
const (
	outcomeAccepted = "accepted"
	outcomeRefused  = "refused"
	outcomeOpen     = "open" // no answer; the call may take effect
)

// recordOutcome logs how a call to the platform ended and counts it.
func (l *Leader) recordOutcome(g gwstate.Group, server string, fence uint64, took time.Duration, err error) {
	outcome, reason := outcomeAccepted, ""
	if err != nil {
		outcome, reason = outcomeOpen, err.Error()
	}
	if IsRefused(err) {
		outcome = outcomeRefused
	}
	l.log.Info("call to the platform ended", "group", g.Name, "server", server, "fence", fence, "holder", l.Instance(), "attempt", g.NextTerm, "outcome", outcome, "took", took.String(), "reason", reason)
	if l.observeCall != nil {
		l.observeCall(outcome)
	}
}

const (
	// promoteCallLimit is how long a call to the platform may take effect. The platform
	// names no limit.
	promoteCallLimit = 30 * time.Second
	// promoteErrorLimit is how long a call may still take effect whose connection broke
	// before the answer. The platform acts some hundred milliseconds after a call.
	promoteErrorLimit = 3 * time.Second
	// leadershipCheckInterval is the time between two checks that the caller still leads.
	leadershipCheckInterval = 20 * time.Millisecond
)

// openCalls tracks the calls to the platform that have not been answered, by group. While
// there are any, no other server is named: a call that takes effect after another server
// was made the primary would leave two that commit writes.
type openCalls struct {
	mu      sync.Mutex
	servers map[string]map[string]int // number of open calls by group and server
}

func (c *openCalls) add(group, server string, n int) {
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

// choosePromotion returns the server to promote in this attempt, which it records before the
// platform is asked for it. If the platform was asked before and has not answered, that server
// is named again, and not fenced: it may lead already.
func (l *Leader) choosePromotion(ctx context.Context, g gwstate.Group, e *Evidence) (string, error) {
	if g.Promoting != "" {
		return g.Promoting, nil
	}
	candidates, err := l.fenceAll(ctx, g, e)
	if err != nil {
		return "", err
	}
	server := candidates[0].Server
	if l.promoter == nil {
		return server, nil
	}
	if other, ok := l.calls.open(g.Name, server); ok {
		return "", &Error{Op: "promote server", Kind: Unavailable, Detail: "the platform has not answered the call for " + other}
	}
	return server, l.namePromotion(ctx, g, server)
}

func (l *Leader) namePromotion(ctx context.Context, g gwstate.Group, server string) error {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	return l.proposeForGroup(ctx, "name promotion", gwstate.NamePromotion{Group: g.Name, Attempt: g.NextTerm, Server: server})
}

// callPromoter asks the platform to promote a server and waits for the answer until ctx ends;
// the call goes on without it. Once it is answered, another server may be named.
func (l *Leader) callPromoter(ctx context.Context, g gwstate.Group, server string) error {
	done := make(chan error, 1)
	l.calls.add(g.Name, server, 1)
	fence := l.consensus.Status().Term
	go func() {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), promoteCallLimit)
		defer cancel()
		go l.whileLeading(call, cancel)
		began := l.clock.Now()
		err := l.promoter.Promote(call, g.Name, server, fence)
		l.recordOutcome(g, server, fence, l.clock.Since(began), err)
		if err != nil && !IsRefused(err) && call.Err() == nil {
			l.clock.Sleep(promoteErrorLimit)
		}
		l.calls.add(g.Name, server, -1)
		done <- err
	}()
	select {
	case err := <-done:
		switch {
		case err == nil:
			// Refused if the change has ended meanwhile.
			go func() { _ = l.namePromotion(context.WithoutCancel(ctx), g, "") }()
			return nil
		case IsRefused(err):
			if e := l.namePromotion(ctx, g, ""); e != nil {
				return e
			}
		}
		return err
	case <-ctx.Done():
		l.log.Warn("the platform has not answered a call to promote a server", "group", g.Name, "server", server, "after", promoteTimeout.String())
		return &Error{Op: "promote server", Kind: Unavailable, Detail: "no answer of the platform for " + server, Err: ctx.Err()}
	}
}

// whileLeading cancels a call when this voter no longer leads, as its fence is outdated then.
func (l *Leader) whileLeading(ctx context.Context, cancel context.CancelFunc) {
	ticker := l.clock.NewTicker(leadershipCheckInterval)
	defer ticker.Stop()
	for l.consensus.Leading() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
	cancel()
}

// awaitOpenCalls waits until no call to promote the group's present primary is open any
// more. Such a call would make it the primary again after it was replaced.
func (l *Leader) awaitOpenCalls(g gwstate.Group) {
	for g.Phase != gwstate.Changing && l.consensus.Leading() {
		if _, open := l.calls.open(g.Name, ""); !open {
			return
		}
		l.clock.Sleep(changeRetryDelay)
	}
}
