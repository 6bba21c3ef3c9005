package gwmember

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// How long after the start of a loss all members that remain in contact agree on who is left.
// The owners of backend servers follow from that.
const (
	splitLimit = 2500 * time.Millisecond
	// loneLimit applies if a data centre has a single member on one side, whose suspicions
	// nobody shares, so that they take twice as long.
	loneLimit = 4 * time.Second
)

// splitSides divides the members of a network at random; share is the part on the side that
// is returned as true.
func splitSides(w *network, share float64) map[string]bool {
	side := make(map[string]bool)
	for _, i := range w.rnd.Perm(len(w.nodes))[:int(share*float64(len(w.nodes)))] {
		side[w.nodes[i].self.Instance] = true
	}
	return side
}

// wrongRows returns the number of pairs of running members of which one takes the other for
// live although it is on the other side or down, or for lost although it is neither.
func wrongRows(w *network, side map[string]bool) int {
	wrong := 0
	left := make(map[string]bool) // data centres with members on a side
	key := func(m Member, side bool) string { return fmt.Sprint(m.DataCentre, side) }
	for _, nd := range w.nodes {
		if nd.up {
			left[key(nd.self, side[nd.self.Instance])] = true
		}
	}
	for _, nd := range w.nodes {
		for _, other := range w.nodes {
			if !left[key(other.self, side[nd.self.Instance])] {
				continue // an unreachable data centre keeps its rows
			}
			together := other.up && side[nd.self.Instance] == side[other.self.Instance]
			if nd.up && nd.State(other.self.Instance).Live() != together {
				wrong++
			}
		}
	}
	return wrong
}

// hasLoneMember reports whether a data centre has only one running member on a side.
func hasLoneMember(w *network, side map[string]bool) bool {
	running := make(map[string]int)
	for _, nd := range w.nodes {
		if nd.up {
			running[fmt.Sprint(nd.self.DataCentre, side[nd.self.Instance])]++
		}
	}
	return slices.Contains(slices.Collect(maps.Values(running)), 1)
}

// Guards against instances that count on members they cannot reach for as long as a partition
// lasts. Each member was watched by three others; those on the wrong side of a partition
// report nothing, and the next ones found the losses one round after the other. Relays told
// other data centres through contacts that were lost, too. In the recorded partition the last
// instance learned of the last loss after 6.4 s, and requests went to owners on the other side
// until then.
func TestMembersAgreeAfterSplit(t *testing.T) {
	for _, tt := range []struct {
		centres, perCentre int
		share              float64
		power              bool // the members of one side stop, instead of losing contact
	}{
		{centres: 6, perCentre: 12, share: 0.65},
		{centres: 6, perCentre: 12, share: 0.35},
		{centres: 6, perCentre: 10, share: 0.41, power: true},
		{centres: 3, perCentre: 6, share: 0.5},
	} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%dx%d/%v/%d", tt.centres, tt.perCentre, tt.share, seed), func(t *testing.T) {
				w := newNetwork(seed, tt.centres*tt.perCentre, tt.centres)
				w.startAll()
				w.run(3 * time.Second)
				side := splitSides(w, tt.share)
				w.cut = func(from, to Member) bool { return side[from.Instance] != side[to.Instance] }
				if tt.power {
					for _, nd := range w.nodes {
						nd.up = !side[nd.self.Instance]
					}
				}
				begin := w.now
				for wrongRows(w, side) > 0 && w.now.Sub(begin) < 12*time.Second {
					w.run(50 * time.Millisecond)
				}
				limit := splitLimit
				if hasLoneMember(w, side) {
					limit = loneLimit
				}
				assert.LessOrEqual(t, w.now.Sub(begin), limit)
				t.Logf("agreed after %v", w.now.Sub(begin))
			})
		}
	}
}
