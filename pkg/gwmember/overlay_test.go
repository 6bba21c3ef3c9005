package gwmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// countPeers makes the network count, for each member, the members that it exchanges
// messages with.
func (w *network) countPeers() map[string]map[string]bool {
	peers := make(map[string]map[string]bool)
	w.cut = func(from, to Member) bool {
		for _, pair := range [][2]string{{from.Instance, to.Instance}, {to.Instance, from.Instance}} {
			if peers[pair[0]] == nil {
				peers[pair[0]] = make(map[string]bool)
			}
			peers[pair[0]][pair[1]] = true
		}
		return false
	}
	return peers
}

// maxPeers is the number of links that an instance may have within 10 s, at any size of the
// deployment. Relays and seeds have more.
const maxPeers = 24

// mostPeers returns the greatest number of members that one member other than the relays
// and seeds exchanges messages with in 10 s after start.
func mostPeers(size int, start func(w *network)) int {
	w := newNetwork(11, size, 6)
	start(w)
	peers := w.countPeers()
	w.run(10 * time.Second)
	most := 0
	for _, nd := range w.nodes[12:] { // the first two of each data centre are seeds
		if !nd.IsRelay() {
			most = max(most, len(peers[nd.self.Instance]))
		}
	}
	return most
}

// Guards against a number of links that grows with the deployment: with receivers chosen
// among all members, 300 instances had 210 to 240 links each.
func TestPeersStayFew(t *testing.T) {
	for _, size := range []int{100, 300, 1000} {
		assert.LessOrEqual(t, mostPeers(size, (*network).startAll), maxPeers, "%d instances", size)
	}
}

// Guards against a herd of links when all instances start at once, while the ring of each
// data centre fills.
func TestPeersStayFewAtStart(t *testing.T) {
	for _, size := range []int{100, 300, 1000} {
		most := mostPeers(size, func(w *network) {
			for _, nd := range w.nodes {
				w.start(nd)
			}
		})
		assert.LessOrEqual(t, most, maxPeers, "%d instances", size)
	}
}

// Guards against a change that does not reach every member of the data centre if each
// member passes it on to its forward contacts once.
func TestForwardReachesAll(t *testing.T) {
	for _, size := range []int{1, 2, 3, 7, 8, 50, 250} {
		w := newNetwork(12, size, 1)
		w.startAll()
		reached := map[string]int{w.nodes[0].self.Instance: 0}
		queue := []string{w.nodes[0].self.Instance}
		byName := make(map[string]*node)
		for _, nd := range w.nodes {
			byName[nd.self.Instance] = nd
		}
		hops := 0
		for len(queue) > 0 {
			name := queue[0]
			queue = queue[1:]
			for _, m := range byName[name].Forward() {
				if _, ok := reached[m.Instance]; !ok {
					reached[m.Instance] = reached[name] + 1
					hops = max(hops, reached[m.Instance])
					queue = append(queue, m.Instance)
				}
			}
		}
		require.Len(t, reached, size)
		assert.LessOrEqual(t, hops, 8, "hops among %d members", size)
	}
}

// Guards against rows that are missing for seconds after instances started within a second:
// links were held back until the ring was quiet, and nobody passed on what all others of a
// data centre had learned by comparing tables.
func TestRowsSpreadAtStart(t *testing.T) {
	tests := []struct {
		size   int
		within time.Duration // the time in which all but the seeds start
	}{
		{size: 100},
		{size: 100, within: time.Second},
		{size: 200},
		{size: 200, within: time.Second},
	}
	for _, tt := range tests {
		for seed := range uint64(3) {
			w := newNetwork(20+seed, tt.size, 6)
			all := w.nodes
			w.nodes = all[:12]
			for _, nd := range w.nodes {
				w.start(nd)
			}
			for _, i := range w.rnd.Perm(tt.size - 12) {
				w.nodes = append(w.nodes, all[12+i])
				w.start(all[12+i])
				w.run(tt.within / time.Duration(tt.size))
			}
			took, ok := w.runUntilReunited(3 * time.Second)
			assert.True(t, ok, "%d instances within %v, seed %d: %d rows missing", tt.size, tt.within, seed, w.missingRows())
			t.Logf("%d instances within %v: %v", tt.size, tt.within, took)
		}
	}
}
