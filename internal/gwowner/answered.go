package gwowner

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/pkg/gwsession"
)

// sharedPatience is how long a commit whose position includes others waits for their answers. A replica
// has received them by then, unless it lags: between regions that takes 30 ms.
const sharedPatience = 50 * time.Millisecond

// answeredCommits counts the commits in a primary's log that were answered, which a replica has received.
// The position of an answer is the end of the log; if it is past the count, it includes commits that
// are under way. All commits of a term pass through the owner, so that the count misses only those
// whose answers were lost.
type answeredCommits struct {
	mu sync.Mutex
	// term is that of the positions, top the greatest offset and count the offset up to which all
	// commits are taken for answered.
	term, top, count uint64
	// raised is closed when count grows; nil while nobody waits.
	raised chan struct{}
}

// add counts a commit that was answered with a position, and reports whether that includes others.
func (a *answeredCommits) add(p gwsession.Position) (shared bool) {
	if p.IsZero() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Term != a.term {
		a.term, a.top, a.count = p.Term, p.Offset, p.Offset
		return false
	}
	a.top = max(a.top, p.Offset)
	// An answer may be processed late, and a transaction may have written nothing.
	a.raise(min(a.count+1, a.top))
	return p.Offset > a.count
}

// raise sets the count. a.mu is held.
func (a *answeredCommits) raise(count uint64) {
	if count > a.count && a.raised != nil {
		close(a.raised)
		a.raised = nil
	}
	a.count = max(a.count, count)
}

// await waits until all commits up to p were answered, ctx ends or sharedPatience has passed. After that
// they count as answered, as the answer of one may be lost.
func (a *answeredCommits) await(ctx context.Context, clock clockwork.Clock, p gwsession.Position) {
	t := clock.NewTimer(sharedPatience)
	defer t.Stop()
	for {
		raised := a.pending(p)
		if raised == nil {
			return
		}
		select {
		case <-raised:
		case <-ctx.Done():
			return
		case <-t.Chan():
			a.mu.Lock()
			defer a.mu.Unlock()
			if p.Term == a.term {
				a.raise(min(p.Offset, a.top))
			}
			return
		}
	}
}

// pending returns a channel that is closed when the count grows, or nil if it has reached p.
func (a *answeredCommits) pending(p gwsession.Position) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Term != a.term || a.count >= p.Offset {
		return nil
	}
	if a.raised == nil {
		a.raised = make(chan struct{})
	}
	return a.raised
}
