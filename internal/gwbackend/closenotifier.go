package gwbackend

import "sync"

// CloseNotifier notifies one observer when a connection has closed; the zero value is
// ready to use.
type CloseNotifier struct {
	mu    sync.Mutex
	ended bool
	fn    func()
}

// NotifyClose calls fn once, when the connection closes.
func (n *CloseNotifier) NotifyClose(fn func()) {
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

// MarkClosed records that the connection has closed and calls the observer. Calls after
// the first have no effect.
func (n *CloseNotifier) MarkClosed() {
	n.mu.Lock()
	fn := n.fn
	n.ended, n.fn = true, nil
	n.mu.Unlock()
	if fn != nil {
		fn()
	}
}
