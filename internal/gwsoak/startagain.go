package gwsoak

import (
	"context"
	"time"

	"gentianward.example/gentianward/platform/platformtest"
)

const (
	// brokenTime is how long the platform breaks calls off after a server was named, at least, and
	// moreBrokenTime how much longer at most.
	brokenTime, moreBrokenTime = time.Second, 4 * time.Second
	// namedDelay is the longest time from a call to the restart of the server that it names.
	namedDelay = 300 * time.Millisecond
	// hiddenTime is how long the heartbeats of a primary that has started again reach nobody.
	hiddenTime = 4 * time.Second
	// catchUpTime is how long a server that has started again receives undisturbed.
	catchUpTime = 2 * time.Second
	// startAgainRounds is the number of rounds in a run.
	startAgainRounds = 2
)

// startAgain plays servers that start again at once: under their id and empty, or with their log under
// another one. What their earlier run answered, was named for, or led with says nothing about them.
func startAgain(ctx context.Context, r *Run) {
	for i := range startAgainRounds {
		g := r.groups[i%len(r.groups)]
		for _, play := range []func(context.Context, *platformtest.Group){r.namedStartsAgain, r.primaryStartsAgain, r.replicaStartsAgain, r.crashedReturnsAtOnce} {
			play(ctx, g)
			if !sleep(ctx, catchUpTime) {
				return
			}
		}
	}
}

// namedStartsAgain restarts the server of a call that the platform has broken off, while the primary
// is down, cut off from control or still leads.
func (r *Run) namedStartsAgain(ctx context.Context, g *platformtest.Group) {
	named := r.check.nextCall(g.Name())
	r.check.fault(1, "the platform breaks calls off; the primary of %s crashes", g.Name())
	r.api.SetBroken(true)
	primary := g.Primary()
	primary.Crash()
	awaitSuccessor(ctx, func() bool { return named() != "" })
	sleep(ctx, r.between(0, namedDelay))
	for _, s := range g.Servers() {
		if s.ID() == named() && s != primary {
			r.restartEmpty(s)
		}
	}
	sleep(ctx, r.between(brokenTime, brokenTime+moreBrokenTime))
	r.api.SetBroken(false)
	sleep(ctx, catchUpTime)
	if err := primary.Return(); err != nil {
		r.check.logf("%s does not return: %v", primary.ID(), err)
	}
	r.check.fault(-1, "the platform acts on calls; the old primary of %s is back", g.Name())
}

// primaryStartsAgain restarts a primary whose heartbeats reach nobody for a while.
func (r *Run) primaryStartsAgain(ctx context.Context, g *platformtest.Group) {
	s := g.Primary()
	r.during(ctx, hiddenTime, "the primary of "+g.Name()+" starts again and is not heard", func() {
		s.SetHidden(true)
		r.restartEmpty(s)
	}, func() { s.SetHidden(false) })
}

// replicaStartsAgain restarts a replica in calm.
func (r *Run) replicaStartsAgain(_ context.Context, g *platformtest.Group) {
	servers := g.Servers()
	if s := servers[r.rand.IntN(len(servers))]; s != g.Primary() {
		r.restartEmpty(s)
	}
}

// crashedReturnsAtOnce restarts a server with its log.
func (r *Run) crashedReturnsAtOnce(ctx context.Context, g *platformtest.Group) {
	servers := g.Servers()
	r.crash(ctx, g, servers[r.rand.IntN(len(servers))], r.between(0, namedDelay))
}

func (r *Run) restartEmpty(s *platformtest.Server) {
	r.check.fault(0, "%s starts again without its log", s.ID())
	if err := s.RestartEmpty(); err != nil {
		r.check.logf("%s does not start again: %v", s.ID(), err)
	}
}

func (r *Run) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.rand.Int64N(int64(most-least)))
}

// nextCall returns a function that returns the server of the latest call about a group since nextCall
// was called, or nothing.
func (c *Checker) nextCall(group string) func() string {
	calls := func() (n int, server string) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, k := range c.calls[group] {
			n += k
		}
		return n, c.fences[group].Server
	}
	before, _ := calls()
	return func() string {
		if n, server := calls(); n > before {
			return server
		}
		return ""
	}
}
