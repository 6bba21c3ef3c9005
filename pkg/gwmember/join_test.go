package gwmember

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a control-only instance that waits for seeds that are gone, one after the other,
// while it has no vote: with two of them it joined 0.4 s later.
func TestControlInstanceTriesAllSeeds(t *testing.T) {
	tests := []struct {
		name    string
		control bool
		limit   time.Duration
	}{
		{"a control-only instance", true, 2*30*time.Millisecond + 2*DefaultTick},
		{"another instance, of which there may be thousands", false, 2*seedRetry + 2*30*time.Millisecond + 3*DefaultTick},
	}
	for _, tt := range tests {
		w := newNetwork(1, 4, 4)
		w.delay = 30 * time.Millisecond
		w.startAll()
		gone, joining := w.nodes[:2], w.nodes[3]
		for _, nd := range gone {
			nd.up = false
		}
		joining.up = false
		w.run(time.Second)
		joining.self.ControlOnly = tt.control
		joining.self = joining.self.WithIncarnation(uint64(w.now.UnixMilli()))
		joining.Members = New(Config{
			Self: joining.self, Rand: rand.New(rand.NewPCG(1, 2)),
			Seeds: []string{gone[0].self.Address, gone[1].self.Address, w.nodes[2].self.Address},
		})
		joining.up = true
		began := w.now
		for !joining.Joined() && w.now.Sub(began) < 10*time.Second {
			w.run(DefaultTick / 10)
		}
		assert.LessOrEqual(t, w.now.Sub(began), tt.limit, tt.name)
	}
}
