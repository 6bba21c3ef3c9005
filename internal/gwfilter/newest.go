package gwfilter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Bounds of requests for the newest manifest.
const (
	// newestInterval is the shortest time between two requests, so that unknown keys cause at most
	// 2 per second and instance. It is a tenth of the 5 s in which a new key has to be accepted.
	newestInterval = 500 * time.Millisecond
	// newestTimeout bounds a request: two attempts at a round trip of 60 ms between regions, and
	// the transfer of a changed manifest.
	newestTimeout = time.Second
	// maxNewestWaits bounds the sessions that wait at once. With more, unknown keys are guessed,
	// and those beyond are refused by the manifest that this instance has.
	maxNewestWaits = 256
)

// newest requests the newest manifest on behalf of sessions whose key is not known. Sessions share
// a request that is sent after they have begun to wait.
type newest struct {
	clock clockwork.Clock
	pull  func(ctx context.Context) error

	waits atomic.Int64

	mu sync.Mutex
	// confirmedAt is when the last request was sent that has succeeded.
	confirmedAt time.Time
	// startedAt is when the last request was sent; next is closed when the one that has not been
	// sent yet has ended, nil if there is none.
	startedAt time.Time
	next      chan struct{}
}

// wait returns when the newest manifest has arrived, if that succeeds within newestInterval and
// newestTimeout.
func (n *newest) wait(ctx context.Context) {
	if n.pull == nil {
		return
	}
	defer n.waits.Add(-1)
	if n.waits.Add(1) > maxNewestWaits {
		return
	}
	select {
	case <-n.request():
	case <-ctx.Done():
	}
}

// request returns the channel of the next request.
func (n *newest) request() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.next == nil {
		n.next = make(chan struct{})
		go n.run(n.next, newestInterval-n.clock.Since(n.startedAt))
	}
	return n.next
}

// run sends a request after a delay and closes done when it has ended.
func (n *newest) run(done chan<- struct{}, delay time.Duration) {
	defer close(done)
	if delay > 0 {
		n.clock.Sleep(delay)
	}
	sent := n.clock.Now()
	n.mu.Lock()
	n.startedAt, n.next = sent, nil
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), newestTimeout)
	defer cancel()
	if n.pull(ctx) != nil {
		return // the manifest that this instance has decides
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if sent.After(n.confirmedAt) {
		n.confirmedAt = sent
	}
}

// confirmed reports whether the manifest of this instance was the newest one at most limit ago. It
// sends a request after half of that time, so that sessions hardly ever wait. If the time has passed,
// it waits for one, unless cutOff says that it would be in vain.
func (n *newest) confirmed(ctx context.Context, limit time.Duration, cutOff func() bool) bool {
	if n.pull == nil {
		return false
	}
	switch age := n.age(); {
	case age <= limit/2:
		return true
	case age <= limit:
		n.request()
		return true
	case cutOff != nil && cutOff():
		n.request()
		return false
	}
	n.wait(ctx)
	return n.age() <= limit
}

func (n *newest) age() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock.Since(n.confirmedAt)
}
