package gwload

import (
	"sync"
	"time"
)

// ackedWrite is a write that was acknowledged as done at a time.
type ackedWrite struct {
	id, subject string
	at          time.Duration
}

// ring is a ring buffer of the latest acknowledged writes.
type ring struct {
	mu    sync.Mutex
	items []ackedWrite
	next  int
}

func (r *ring) add(a ackedWrite) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.items) < ringSize {
		r.items = append(r.items, a)
		return
	}
	r.items[r.next] = a
	r.next = (r.next + 1) % ringSize
}

// pick returns a write acknowledged no later than until: the newest one for odd n, and
// for even n, for variety, one that n selects. It returns false if there is none.
func (r *ring) pick(n uint64, until time.Duration) (ackedWrite, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best ackedWrite
	found := false
	for i := range r.items {
		a := r.items[(i+int(n%ringSize))%len(r.items)]
		if a.at > until {
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
