package gwbackend

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a pool that keeps counting a connection that closed before the pool
// called NotifyClose, or that counts its end twice.
func TestCloseNotifier(t *testing.T) {
	tests := []struct {
		name  string
		steps func(n *CloseNotifier, fn func())
		want  int
	}{
		{"open", func(n *CloseNotifier, fn func()) { n.NotifyClose(fn) }, 0},
		{"closes later", func(n *CloseNotifier, fn func()) { n.NotifyClose(fn); n.MarkClosed() }, 1},
		{"closed before", func(n *CloseNotifier, fn func()) { n.MarkClosed(); n.NotifyClose(fn) }, 1},
		{"closes twice", func(n *CloseNotifier, fn func()) { n.NotifyClose(fn); n.MarkClosed(); n.MarkClosed() }, 1},
		{"no observer", func(n *CloseNotifier, _ func()) { n.MarkClosed() }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var n CloseNotifier
			got := 0
			tt.steps(&n, func() { got++ })
			assert.Equal(t, tt.want, got)
		})
	}
}
