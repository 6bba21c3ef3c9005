package gwbackend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a connection to a later run of a server that counts as one to the run before, and
// against one to the same run that counts as one to a later run whenever it is replaced.
func TestRunSpan(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	tests := []struct {
		name    string
		answers [][2]int // opened, sent
		since   int
	}{
		{"the first answer", [][2]int{{1, 5}}, 1},
		{"further answers", [][2]int{{1, 5}, {1, 9}}, 1},
		{"a connection opened after the last answer", [][2]int{{1, 5}, {6, 7}}, 6},
		{"one opened before the last answer of another", [][2]int{{1, 5}, {4, 7}}, 1},
		{"an answer over a replaced connection, recorded late", [][2]int{{6, 7}, {1, 5}}, 6},
		{"an overlapping one, recorded late", [][2]int{{4, 7}, {1, 5}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r runSpan
			for _, a := range tt.answers {
				r = r.extend(at(a[0]), at(a[1]))
			}
			assert.Equal(t, at(tt.since), r.since)
		})
	}
}
