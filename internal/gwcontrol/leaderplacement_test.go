package gwcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a leadership that is transferred again and again to a voter that does not
// keep it, and against one that is never transferred to a voter which has recovered.
func TestLeadershipMovesBackOff(t *testing.T) {
	m, now := make(leadershipMoves), time.Unix(1000, 0)
	assert.True(t, m.allowed("a", now))
	var times []int
	for second := range 600 {
		if now := now.Add(time.Duration(second) * time.Second); m.allowed("a", now) {
			m.record("a", now)
			times = append(times, second)
		}
	}
	assert.Equal(t, []int{0, 4, 12, 28, 60, 124, 244, 364, 484}, times)
	assert.True(t, m.allowed("b", now), "another voter")

	later := now.Add(time.Hour)
	m.record("a", later)
	assert.True(t, m.allowed("a", later.Add(2*leaderPlacementInterval)), "the voter kept the leadership for long")
}
