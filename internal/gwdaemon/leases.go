package gwdaemon

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwmember"
)

// joinCheckInterval is the time between two checks whether the instance has joined.
const joinCheckInterval = 10 * time.Millisecond

// membership is the part of gwcontrol.Membership that joinedLeases needs.
type membership interface {
	Joined() bool
	Self() gwmember.Member
}

// joinedLeases holds the write leases of this run from the time at which the instance has
// joined the others.
//
// The epoch of leases must be greater than that of every earlier run. It is the incarnation,
// which begins as the time of day at the start. If the time of day has been set back since an
// earlier run, the incarnation exceeds the earlier one only after the others, who know it,
// have answered; an instance owns no backend server before that.
type joinedLeases struct {
	clock   clockwork.Clock
	members membership
	// start returns the keeper of the leases of this run.
	start func(epoch uint64) *gwcontrol.LeaseKeeper

	mu      sync.RWMutex
	keeper  *gwcontrol.LeaseKeeper // nil until the instance has joined
	begun   uint64                 // the epoch of keeper
	stopped bool
}

var _ gwowner.Leases = (*joinedLeases)(nil)

func (l *joinedLeases) current() *gwcontrol.LeaseKeeper {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.keeper
}

// epoch returns the epoch of the leases, 0 until the instance has joined.
func (l *joinedLeases) epoch() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.begun
}

// Valid implements gwowner.Leases.
func (l *joinedLeases) Valid(group string, term uint64) bool {
	k := l.current()
	return k != nil && k.Valid(group, term)
}

// Grant implements gwowner.Leases.
func (l *joinedLeases) Grant(group string) uint64 {
	if k := l.current(); k != nil {
		return k.Grant(group)
	}
	return 0
}

// GiveUp implements gwowner.Leases.
func (l *joinedLeases) GiveUp(ctx context.Context, group string) {
	if k := l.current(); k != nil {
		k.GiveUp(ctx, group)
	}
}

// Stop returns all leases and requests no more.
func (l *joinedLeases) Stop(ctx context.Context) {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	if k := l.current(); k != nil {
		k.Stop(ctx)
	}
}

// Run waits until the instance has joined, then requests and renews leases until ctx ends.
func (l *joinedLeases) Run(ctx context.Context) {
	ticker := l.clock.NewTicker(joinCheckInterval)
	defer ticker.Stop()
	for !l.members.Joined() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
	if k := l.begin(); k != nil {
		k.Run(ctx)
	}
}

// begin creates the keeper, unless the instance is stopping.
func (l *joinedLeases) begin() *gwcontrol.LeaseKeeper {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.begun = l.members.Self().Incarnation
		l.keeper = l.start(l.begun)
	}
	return l.keeper
}
