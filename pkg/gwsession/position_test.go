package gwsession

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against comparing offsets of different terms without regard to the terms.
func TestPositionCompare(t *testing.T) {
	tests := []struct {
		name string
		p, q Position
		want int
	}{
		{name: "equal", p: Position{1, 2}, q: Position{1, 2}, want: 0},
		{name: "later offset", p: Position{1, 3}, q: Position{1, 2}, want: 1},
		{name: "earlier term with later offset", p: Position{1, 9}, q: Position{2, 2}, want: -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.want, tt.p.Compare(tt.q))
			assert.Equal(t, tt.want >= 0, tt.p.AtLeast(tt.q))
		})
	}
}

// Guards against positions that change when formatted and parsed, and against accepting
// malformed ones.
func TestParsePosition(t *testing.T) {
	got, err := ParsePosition(Position{Term: 7, Offset: 42}.String())
	require.NoError(t, err)
	assert.Equal(t, Position{Term: 7, Offset: 42}, got)

	for _, bad := range []string{"", "1", "1/", "/1", "-1/2", "1/2/3"} {
		_, err := ParsePosition(bad)
		assert.Error(t, err, "input %q", bad)
	}
}
