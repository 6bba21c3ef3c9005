package gwbackend

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a pool that keeps counting a connection which ended before the pool
// asked to be told, or that counts its end twice.
func TestCloseNotice(t *testing.T) {
	tests := []struct {
		name  string
		steps func(n *CloseNotice, fn func())
		want  int
	}{
		{"open", func(n *CloseNotice, fn func()) { n.NotifyClose(fn) }, 0},
		{"ends later", func(n *CloseNotice, fn func()) { n.NotifyClose(fn); n.Ended() }, 1},
		{"ended before", func(n *CloseNotice, fn func()) { n.Ended(); n.NotifyClose(fn) }, 1},
		{"ends twice", func(n *CloseNotice, fn func()) { n.NotifyClose(fn); n.Ended(); n.Ended() }, 1},
		{"nobody asked", func(n *CloseNotice, _ func()) { n.Ended() }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var n CloseNotice
			got := 0
			tt.steps(&n, func() { got++ })
			assert.Equal(t, tt.want, got)
		})
	}
}
