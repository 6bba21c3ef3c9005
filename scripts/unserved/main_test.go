package main

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a day that ends with a group out of service and counts as good, as no rule is
// broken, and against findings where a server is still down or only a short gap was seen.
func TestUnserved(t *testing.T) {
	windows := func(refused ...int) []window {
		var out []window
		for i, n := range refused {
			out = append(out, window{Name: strconv.Itoa(2 * i), N: 100, Refused: n})
		}
		return out
	}
	crash := func(to float64) []event { return []event{{At: 1, To: to, Kind: "srv_crash (primary)"}} }
	tests := []struct {
		name string
		r    report
		want bool
	}{
		{name: "served to the end", r: report{Windows: windows(0, 30, 30, 0, 0, 0, 0, 0), Events: crash(4)}},
		{name: "not served from a crash to the end", r: report{Windows: windows(0, 30, 30, 30, 30, 30, 30, 30), Events: crash(5)}, want: true},
		{name: "a gap within the last seconds", r: report{Windows: windows(0, 0, 0, 0, 30, 30, 30, 0), Events: crash(5)}},
		{name: "a server is still down", r: report{Windows: windows(0, 30, 30, 30, 30, 30, 30, 30), Events: crash(7)}},
		{name: "a server is down for good", r: report{Windows: windows(0, 30, 30, 30, 30, 30, 30, 30), Events: []event{{At: 1, To: 2, Kind: "srv_crash (gone)"}}}},
		{name: "work on the instances at the end", r: report{Windows: windows(0, 30, 30, 30, 30, 30, 30, 30), Events: []event{{At: 1, To: 15, Kind: "hup"}}}, want: true},
		{name: "no requests"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, got, err := tt.r.unserved(10, 0.05)
			require.NoError(t, err)
			assert.Equal(t, tt.want, got)
		})
	}
}
