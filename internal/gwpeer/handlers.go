package gwpeer

import (
	"context"
	"fmt"
	"sync"
)

// callHandler decodes a request, runs the registered handler and returns the response
// to encode; refused is true if the handler did not run.
type callHandler func(ctx context.Context, from string, payload []byte) (resp any, refused bool, err error)

type streamHandler func(ctx context.Context, from string, s *Stream)

type datagramHandler func(from string, payload []byte) error

// handlers maps the IDs of kinds to their handlers.
type handlers struct {
	mu           *sync.RWMutex
	calls        map[uint16]callHandler
	streams      map[uint16]streamHandler
	datagrams    map[uint16]datagramHandler
	names        map[uint16]string
	operatorOnly map[uint16]bool
	maxBytes     map[uint16]int
}

func newHandlers() handlers {
	return handlers{
		mu:           new(sync.RWMutex),
		calls:        map[uint16]callHandler{},
		streams:      map[uint16]streamHandler{},
		datagrams:    map[uint16]datagramHandler{},
		names:        map[uint16]string{},
		operatorOnly: map[uint16]bool{},
		maxBytes:     map[uint16]int{},
	}
}

// add registers f in m. It panics if the ID already has a handler in m or a different
// name, both of which are programming errors.
func add[F any](h *handlers, m map[uint16]F, kind Kind, f F) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := m[kind.ID]; ok {
		panic(fmt.Sprintf("gwpeer: a handler for %s is already registered", kind))
	}
	if name, ok := h.names[kind.ID]; ok && name != kind.Name {
		panic(fmt.Sprintf("gwpeer: kinds %q and %q share ID %d", name, kind.Name, kind.ID))
	}
	h.names[kind.ID] = kind.Name
	h.operatorOnly[kind.ID] = kind.OperatorOnly
	h.maxBytes[kind.ID] = kind.maxBytes()
	m[kind.ID] = f
}

// isOperatorOnly reports whether a kind is restricted to operators.
func (h *handlers) isOperatorOnly(id uint16) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.operatorOnly[id]
}

// messageLimit returns the limit of one request or response of a kind.
func (h *handlers) messageLimit(id uint16) int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if limit, ok := h.maxBytes[id]; ok {
		return limit
	}
	return MaxMessageBytes
}

func find[F any](h *handlers, m map[uint16]F, id uint16) (F, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	f, ok := m[id]
	return f, ok
}
