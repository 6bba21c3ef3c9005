package gwfilter

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Timing of requests for the newest manifest.
const (
	// newestAge is the age up to which the last answer suffices to refuse a key, a tenth of the
	// 5 s in which a new key has to be accepted. It bounds the requests that unknown keys cause
	// to 2 per second and instance.
	newestAge = 500 * time.Millisecond
	// newestTimeout bounds a request: two attempts at a round trip of 60 ms between regions, and
	// the transfer of a changed manifest.
	newestTimeout = time.Second
)

// newest requests the newest manifest on behalf of sessions whose key is not known. Sessions that
// wait at the same time share a request.
type newest struct {
	clock clockwork.Clock
	pull  func(ctx context.Context) error

	mu sync.Mutex
	// startedAt is when the last request was sent; done is closed when it has ended.
	startedAt time.Time
	done      chan struct{}
}

// wait returns when the manifest of this instance was the newest one at most newestAge ago, or
// when that cannot be found out in newestTimeout.
func (n *newest) wait(ctx context.Context) {
	if n.pull == nil {
		return
	}
	select {
	case <-n.request():
	case <-ctx.Done():
	}
}

// request returns the channel of the last request, or of a new one if that is too old.
func (n *newest) request() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.done != nil && n.clock.Since(n.startedAt) < newestAge {
		return n.done
	}
	done := make(chan struct{})
	n.startedAt, n.done = n.clock.Now(), done
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), newestTimeout)
		defer cancel()
		_ = n.pull(ctx) // without an answer, the manifest that this instance has decides
	}()
	return done
}
