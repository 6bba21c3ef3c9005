package gwtelemetry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
)

// EventHandler is a slog.Handler that writes a human-readable line for each record of
// level info or above, for the demo.
type EventHandler struct {
	mu    *sync.Mutex
	w     io.Writer
	attrs []slog.Attr
}

// NewEventHandler returns a handler that writes to w.
func NewEventHandler(w io.Writer) *EventHandler { return &EventHandler{mu: &sync.Mutex{}, w: w} }

// Enabled reports whether records of level are written.
func (h *EventHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle writes one record as a line.
func (h *EventHandler) Handle(_ context.Context, r slog.Record) error {
	var b strings.Builder
	b.WriteString(r.Time.Format("15:04:05.000"))
	if r.Level > slog.LevelInfo {
		b.WriteString(" " + r.Level.String())
	}
	b.WriteString(" " + r.Message)
	add := func(a slog.Attr) bool {
		fmt.Fprintf(&b, " %s=%s", a.Key, a.Value)
		return true
	}
	for _, a := range h.attrs {
		add(a)
	}
	r.Attrs(add)
	b.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.w, b.String())
	return err
}

// WithAttrs returns a handler that also writes attrs.
func (h *EventHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &EventHandler{mu: h.mu, w: h.w, attrs: append(append([]slog.Attr(nil), h.attrs...), attrs...)}
}

// WithGroup returns the handler unchanged, as attribute groups are not written.
func (h *EventHandler) WithGroup(string) slog.Handler { return h }
