package gwload

import (
	"sync"
	"time"
)

// acknowledged is a write whose caller was told that it is done.
type acknowledged struct {
	id, subject string
	at          time.Duration
}

// ring holds the latest acknowledged writes.
type ring struct {
	mu    sync.Mutex
	items []acknowledged
	next  int
}

func (r *ring) add(a acknowledged) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.items) < recent {
		r.items = append(r.items, a)
		return
	}
	r.items[r.next] = a
	r.next = (r.next + 1) % recent
}

// pick returns the newest write acknowledged no later than before, or, for
// variety, every other time any such write chosen by n.
func (r *ring) pick(n uint64, before time.Duration) (acknowledged, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best acknowledged
	found := false
	for i := range r.items {
		a := r.items[(i+int(n%recent))%len(r.items)]
		if a.at > before {
			continue
		}
		if n%2 == 0 {
			return a, true
		}
		if !found || a.at > best.at {
			best, found = a, true
		}
	}
	return best, found
}
