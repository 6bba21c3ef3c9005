package gwowner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/pkg/gwsession"
)

// Timeout of one call of awaitFunc, and the delay before the next call after an error.
const (
	awaitTimeout    = 500 * time.Millisecond
	awaitRetryDelay = 20 * time.Millisecond
)

// awaitFunc waits, through the owner of a replica, until the replica has reached p,
// and returns the replica's position.
type awaitFunc func(ctx context.Context, server string, p gwsession.Position) (gwsession.Position, error)

// confirmer waits for the replicas of one group to reach the positions of commits.
//
// It awaits, at each replica, the lowest position of the commits that wait. One answer
// confirms every commit at or below the replica's position, so that the number of
// messages does not grow with the number of commits.
type confirmer struct {
	clock    clockwork.Clock
	await    awaitFunc
	replicas func() []string

	mu      sync.Mutex
	waiters []*commitWaiter
	asking  map[string]bool    // replicas for which askReplica runs
	reached gwsession.Position // the latest position that a replica has returned
}

// commitWaiter is a commit that waits for its confirmation; done is then closed.
type commitWaiter struct {
	position gwsession.Position
	done     chan struct{}
}

func newConfirmer(clock clockwork.Clock, await awaitFunc, replicas func() []string) *confirmer {
	return &confirmer{clock: clock, await: await, replicas: replicas, asking: make(map[string]bool)}
}

// wait returns nil once any replica has reached p.
func (c *confirmer) wait(ctx context.Context, p gwsession.Position) error {
	w := c.add(ctx, p)
	if w == nil {
		return nil
	}
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		c.remove(w)
		return ctx.Err()
	}
}

func (c *confirmer) add(ctx context.Context, p gwsession.Position) *commitWaiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if covers(c.reached, p) {
		return nil
	}
	w := &commitWaiter{position: p, done: make(chan struct{})}
	c.waiters = append(c.waiters, w)
	for _, server := range c.replicas() {
		if !c.asking[server] {
			c.asking[server] = true
			go c.askReplica(context.WithoutCancel(ctx), server)
		}
	}
	return w
}

func (c *confirmer) remove(w *commitWaiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters = slices.DeleteFunc(c.waiters, func(v *commitWaiter) bool { return v == w })
}

// askReplica repeatedly awaits, at one replica, the lowest position of the commits that
// wait, until none is left.
func (c *confirmer) askReplica(ctx context.Context, server string) {
	for {
		target, ok := c.lowestWaiting(server)
		if !ok {
			return
		}
		tctx, cancel := context.WithTimeout(ctx, awaitTimeout)
		p, err := c.await(tctx, server, target)
		cancel()
		if err != nil {
			c.clock.Sleep(awaitRetryDelay)
			continue
		}
		c.advance(p)
	}
}

// lowestWaiting returns the lowest position of the commits that wait. If there are
// none, it returns false and records that askReplica ends for the replica.
func (c *confirmer) lowestWaiting(server string) (gwsession.Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiters) == 0 {
		delete(c.asking, server)
		return gwsession.Position{}, false
	}
	lowest := c.waiters[0].position
	for _, w := range c.waiters[1:] {
		if lowest.AtLeast(w.position) {
			lowest = w.position
		}
	}
	return lowest, true
}

// advance confirms the commits that a replica at position p contains.
func (c *confirmer) advance(p gwsession.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.AtLeast(c.reached) {
		c.reached = p
	}
	c.waiters = slices.DeleteFunc(c.waiters, func(w *commitWaiter) bool {
		if !covers(p, w.position) {
			return false
		}
		close(w.done)
		return true
	})
}

// covers reports whether a replica at p contains the commit at q. A position of
// another term proves nothing, as the replica's log may have diverged from the
// primary's before q.
func covers(p, q gwsession.Position) bool { return p.Term == q.Term && p.Offset >= q.Offset }
