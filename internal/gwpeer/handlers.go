package gwpeer

import (
	"context"
	"fmt"
	"sync"
)

// callHandler decodes a request, runs the handler and returns the response
// value to encode; refused is true when the handler did not run.
type callHandler func(ctx context.Context, from string, payload []byte) (resp any, refused bool, err error)

type streamHandler func(ctx context.Context, from string, s *Stream)

type datagramHandler func(from string, payload []byte) error

// handlers maps kinds to the functions that serve them.
type handlers struct {
	mu        *sync.RWMutex
	calls     map[uint16]callHandler
	streams   map[uint16]streamHandler
	datagrams map[uint16]datagramHandler
	names     map[uint16]string
	operators map[uint16]bool
}

func newHandlers() handlers {
	return handlers{
		mu:        new(sync.RWMutex),
		calls:     map[uint16]callHandler{},
		streams:   map[uint16]streamHandler{},
		datagrams: map[uint16]datagramHandler{},
		names:     map[uint16]string{},
		operators: map[uint16]bool{},
	}
}

// add stores f in m; two handlers or two names for one ID are programming
// errors and panic.
func add[F any](h *handlers, m map[uint16]F, kind Kind, f F) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := m[kind.ID]; ok {
		panic(fmt.Sprintf("gwpeer: a handler for %s is registered already", kind))
	}
	if name, ok := h.names[kind.ID]; ok && name != kind.Name {
		panic(fmt.Sprintf("gwpeer: kinds %q and %q share ID %d", name, kind.Name, kind.ID))
	}
	h.names[kind.ID] = kind.Name
	h.operators[kind.ID] = kind.OperatorOnly
	m[kind.ID] = f
}

// forOperators reports whether the kind is open to operators only.
func (h *handlers) forOperators(id uint16) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.operators[id]
}

func find[F any](h *handlers, m map[uint16]F, id uint16) (F, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	f, ok := m[id]
	return f, ok
}
