package gwcontrol

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Timing of the upkeep of the copies of groups.
const (
	copiesCheckInterval = 250 * time.Millisecond
	// releaseDelay is how long a server has ended before the primary is asked for its
	// position. A confirmation that the server sent last has arrived by then.
	releaseDelay = time.Second
	// releaseTimeout bounds the wait for a replica that has everything up to that position.
	releaseTimeout = 2 * time.Second
	// unknownReleaseDelay replaces releaseDelay for a copy of which the directory does not say that
	// it has ended. A leader that has lost power may not have heard of it again; it hears of those
	// that the others know within some exchanges of directories.
	unknownReleaseDelay = 10 * time.Second
)

// copyKeeper keeps gwstate.Group.Copies equal to the known servers of each group: servers are
// added at once, and one that has ended is removed only when a replica that stays has
// everything that the ended one may have confirmed.
type copyKeeper struct {
	running atomic.Bool

	mu sync.Mutex
	// ended holds when a copy was first seen to have ended, by group.
	ended map[string]map[run]time.Time
	// locks holds, by group, what a change of its recorded copies takes, so that none is made from
	// a state that another one has replaced.
	locks map[string]chan struct{}
}

// lock waits for the changes of the recorded copies of a group that are under way.
func (k *copyKeeper) lock(ctx context.Context, group string) (unlock func(), err error) {
	k.mu.Lock()
	if k.locks == nil {
		k.locks = make(map[string]chan struct{})
	}
	c := k.locks[group]
	if c == nil {
		c = make(chan struct{}, 1)
		k.locks[group] = c
	}
	k.mu.Unlock()
	select {
	case c <- struct{}{}:
		return func() { <-c }, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// reconcile takes the next step for each group, unless an earlier call still runs.
func (k *copyKeeper) reconcile(ctx context.Context, l *Leader) {
	if l.owners == nil || !k.running.CompareAndSwap(false, true) {
		return
	}
	defer k.running.Store(false)
	lead, leading := l.consensus.Leadership()
	if !leading {
		return
	}
	var wg sync.WaitGroup
	for _, g := range l.state.Groups() {
		if g.Phase == gwstate.Changing {
			continue
		}
		servers := l.owners.Servers(g.Name)
		next, release := k.next(g, copyRefs(servers), l.clock.Now(), l.knownToHaveEnded)
		switch {
		case release:
			wg.Go(func() {
				if l.replicaCaughtUp(ctx, g, servers) {
					l.replaceCopies(ctx, lead, g, copyRefs(servers))
				}
			})
		case !slices.Equal(next, g.Copies):
			wg.Go(func() { l.replaceCopies(ctx, lead, g, next) })
		}
	}
	wg.Wait()
}

// knownToHaveEnded reports whether the directory says that a run has ended.
func (l *Leader) knownToHaveEnded(c gwstate.CopyRef) bool {
	if l.directory == nil {
		return true
	}
	f, known := l.directory.Server(c.Server)
	return known && (f.Gone || f.Born > c.Born)
}

// next returns the copies of a group after new servers were added, and whether all that have
// ended may be removed once a replica has caught up.
func (k *copyKeeper) next(g gwstate.Group, known []gwstate.CopyRef, now time.Time, hasEnded func(gwstate.CopyRef) bool) (next []gwstate.CopyRef, release bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next = slices.Clone(g.Copies)
	release = true
	for _, c := range known {
		switch i := slices.IndexFunc(next, c.SameRun); {
		case i < 0:
			next, release = append(next, c), false
		case next[i] != c:
			next[i], release = c, false
		}
	}
	primary := primaryRun(g)
	ended := make(map[run]time.Time)
	for i, c := range next {
		if slices.ContainsFunc(known, c.SameRun) {
			continue
		}
		since, seen := k.ended[g.Name][runOf(c)]
		if !seen {
			since = now
		}
		ended[runOf(c)] = since
		// Without the run that leads the term, no position covers what was acknowledged.
		delay := releaseDelay
		if !hasEnded(c) {
			delay = unknownReleaseDelay
		}
		release = release && now.Sub(since) >= delay && i != primary
	}
	if k.ended == nil {
		k.ended = make(map[string]map[run]time.Time)
	}
	k.ended[g.Name] = ended
	return next, release && len(ended) > 0
}

// replicaCaughtUp reports whether a replica that stays has every write that was acknowledged
// before the call.
func (l *Leader) replicaCaughtUp(ctx context.Context, g gwstate.Group, servers []ServerFacts) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	p, err := l.owners.Barrier(ctx, g.Name)
	if err != nil {
		return false
	}
	return l.awaitAny(ctx, servers, g.Primary, p)
}

// awaitAny waits until one of the servers, without one that is leaving or named except, has
// reached a position, and reports whether one has before ctx ends.
func (l *Leader) awaitAny(ctx context.Context, servers []ServerFacts, except string, p gwsession.Position) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var reached atomic.Bool
	var wg sync.WaitGroup
	for _, f := range servers {
		if f.Server == except || f.Leaving {
			continue
		}
		wg.Go(func() {
			if got, err := l.owners.Await(ctx, f.Server, p); err == nil && got.AtLeast(p) {
				reached.Store(true)
				cancel()
			}
		})
	}
	wg.Wait()
	return reached.Load()
}

// replaceCopies records copies that were decided on for the state g, unless they have changed since.
func (l *Leader) replaceCopies(ctx context.Context, lead Leadership, g gwstate.Group, copies []gwstate.CopyRef) {
	unlock, err := l.copies.lock(ctx, g.Name)
	if err != nil {
		return
	}
	defer unlock()
	if present, _ := l.state.Group(g.Name); present.Term != g.Term || !slices.Equal(present.Copies, g.Copies) {
		return // decided on again at the next check
	}
	_ = l.setCopies(ctx, lead, g, copies) // tried again at the next check
}

// setCopies records copies that were decided on in the leadership of lead: a leader in between
// may have added one. The caller has locked the copies of the group.
func (l *Leader) setCopies(ctx context.Context, lead Leadership, g gwstate.Group, copies []gwstate.CopyRef) error {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := l.proposeForGroup(ctx, lead.Term, "set copies", gwstate.SetCopies{Group: g.Name, Term: g.Term, Copies: copies})
	if err != nil {
		return err
	}
	l.log.Info("copies of a group recorded", "group", g.Name, "term", g.Term, "copies", len(copies), "before", len(g.Copies))
	return nil
}
