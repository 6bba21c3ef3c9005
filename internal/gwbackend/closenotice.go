package gwbackend

import "sync"

// CloseNotice tells one observer that a connection has ended; the zero value is ready.
type CloseNotice struct {
	mu    sync.Mutex
	ended bool
	fn    func()
}

// NotifyClose calls fn once, when the connection ends.
func (n *CloseNotice) NotifyClose(fn func()) {
	n.mu.Lock()
	ended := n.ended
	if !ended {
		n.fn = fn
	}
	n.mu.Unlock()
	if ended {
		fn()
	}
}

// Ended calls the observer; only the first call counts.
func (n *CloseNotice) Ended() {
	n.mu.Lock()
	fn := n.fn
	n.ended, n.fn = true, nil
	n.mu.Unlock()
	if fn != nil {
		fn()
	}
}
