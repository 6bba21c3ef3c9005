package gwcontrol

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a delayed announcement that restores an earlier state of a server, or
// an earlier server at the same address.
func TestDirectoryRecord(t *testing.T) {
	fact := func(server, address string, born, version uint64, leaving bool) ServerFacts {
		return ServerFacts{Server: server, Group: "g", Address: address, Slots: 2, Born: born, Version: version, Leaving: leaving}
	}
	tests := []struct {
		name    string
		facts   []ServerFacts
		leaving bool
		gone    bool
		changed int // number of facts that the last call of Record returns
	}{
		{"new", []ServerFacts{fact("a", "x", 1, 10, false)}, false, false, 1},
		{"the same again", []ServerFacts{fact("a", "x", 1, 10, false), fact("a", "x", 1, 11, false)}, false, false, 0},
		{"leaves", []ServerFacts{fact("a", "x", 1, 10, false), fact("a", "x", 1, 11, true)}, true, false, 1},
		{"late, of the same run", []ServerFacts{fact("a", "x", 1, 11, true), fact("a", "x", 1, 10, false)}, true, false, 0},
		{"late, of an earlier run", []ServerFacts{fact("a", "x", 1, 10, false), fact("a", "x", 2, 20, false), fact("a", "x", 1, 11, true)}, false, false, 0},
		{"another server at the address", []ServerFacts{fact("a", "x", 1, 10, false), fact("b", "x", 2, 20, false)}, false, true, 2},
		{"late, after another server at the address", []ServerFacts{fact("b", "x", 2, 20, false), fact("a", "x", 1, 10, false)}, false, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := NewDirectory()
			var changed []ServerFacts
			for _, f := range tt.facts {
				changed = d.Record(f)
			}
			got, _ := d.Server("a")
			assert.Equal(t, tt.leaving, got.Leaving)
			assert.Equal(t, tt.gone, got.Gone)
			assert.Len(t, changed, tt.changed)
		})
	}
}

// Guards against two instances that know different runs of a server and find their
// directories equal.
func TestDigestCoversRun(t *testing.T) {
	facts := ServerFacts{Server: "i-1", Group: "g", DataCentre: "a", Address: "10.0.0.1:1", Version: 4, Born: 1000}
	later := facts
	later.Born = 2000
	a, b := NewDirectory(), NewDirectory()
	a.Merge([]ServerFacts{facts})
	b.Merge([]ServerFacts{later})
	require.NotEqual(t, a.Digest(), b.Digest())
	a.Merge(b.All())
	b.Merge([]ServerFacts{facts})
	require.Equal(t, a.All(), b.All(), "both keep the same run")
}
