package gwowner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/pkg/gwsession"
)

// Timing of confirmations.
const (
	awaitTimeout = 500 * time.Millisecond
	awaitPause   = 20 * time.Millisecond
)

// awaitFunc asks the owner of a replica to wait until the replica has reached p.
// It returns the position of the replica.
type awaitFunc func(ctx context.Context, server string, p gwsession.Position) (gwsession.Position, error)

// confirmer waits for replicas of one group to reach the positions of commits.
//
// It asks each replica for the lowest position that is waited for. One answer
// settles every commit at or below the position in it, so that a busy primary
// needs no more questions than an idle one.
type confirmer struct {
	clock    clockwork.Clock
	await    awaitFunc
	replicas func() []string

	mu      sync.Mutex
	waiters []*confirmation
	asking  map[string]bool
	reached gwsession.Position
}

type confirmation struct {
	position gwsession.Position
	done     chan struct{}
}

func newConfirmer(clock clockwork.Clock, await awaitFunc, replicas func() []string) *confirmer {
	return &confirmer{clock: clock, await: await, replicas: replicas, asking: make(map[string]bool)}
}

// wait returns nil once a replica has reached p.
func (c *confirmer) wait(ctx context.Context, p gwsession.Position) error {
	w := c.add(ctx, p)
	if w == nil {
		return nil
	}
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		c.drop(w)
		return ctx.Err()
	}
}

func (c *confirmer) add(ctx context.Context, p gwsession.Position) *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if covers(c.reached, p) {
		return nil
	}
	w := &confirmation{position: p, done: make(chan struct{})}
	c.waiters = append(c.waiters, w)
	for _, server := range c.replicas() {
		if !c.asking[server] {
			c.asking[server] = true
			go c.ask(context.WithoutCancel(ctx), server)
		}
	}
	return w
}

func (c *confirmer) drop(w *confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters = slices.DeleteFunc(c.waiters, func(v *confirmation) bool { return v == w })
}

// ask questions one replica for as long as commits wait.
func (c *confirmer) ask(ctx context.Context, server string) {
	for {
		target, ok := c.target(server)
		if !ok {
			return
		}
		tctx, cancel := context.WithTimeout(ctx, awaitTimeout)
		p, err := c.await(tctx, server, target)
		cancel()
		if err != nil {
			c.clock.Sleep(awaitPause)
			continue
		}
		c.advance(p)
	}
}

// target returns the lowest position that is waited for, or ends the questions.
func (c *confirmer) target(server string) (gwsession.Position, bool) {
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

// advance settles the commits that a replica at p has.
func (c *confirmer) advance(p gwsession.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.AtLeast(c.reached) {
		c.reached = p
	}
	c.waiters = slices.DeleteFunc(c.waiters, func(w *confirmation) bool {
		if !covers(p, w.position) {
			return false
		}
		close(w.done)
		return true
	})
}

// covers reports whether a replica at p has the commit at q. A replica of
// another term proves nothing: its log may have parted from the primary's
// before q.
func covers(p, q gwsession.Position) bool { return p.Term == q.Term && p.Offset >= q.Offset }
