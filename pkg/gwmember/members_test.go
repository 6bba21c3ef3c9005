package gwmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// agree returns how many running members see an instance in a state.
func (w *network) agree(instance string, want Status) int {
	n := 0
	for _, nd := range w.nodes {
		if nd.up && nd.self.Instance != instance && nd.State(instance) == want {
			n++
		}
	}
	return n
}

// Guards against members that do not find each other through seeds, and tables that a page bound cuts off.
func TestJoin(t *testing.T) {
	w := newNetwork(1, 150, 3)
	for _, nd := range w.nodes {
		w.start(nd)
		w.run(20 * time.Millisecond)
	}
	w.run(5 * time.Second)
	for _, nd := range w.nodes {
		assert.True(t, nd.Joined())
		assert.Len(t, nd.Live(), 150, nd.self.Instance)
	}
}

// Guards against a crash that is not noticed in time everywhere in the data centre.
func TestCrashIsDeclared(t *testing.T) {
	w := newNetwork(2, 60, 1)
	w.startAll()
	w.run(2 * time.Second)
	w.nodes[7].up = false
	w.run(2 * time.Second)
	assert.Equal(t, 59, w.agree(w.nodes[7].self.Instance, StatusDead))
}
