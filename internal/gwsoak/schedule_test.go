package gwsoak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against schedules that a seed does not repeat.
func TestRandomSchedule(t *testing.T) {
	const total = 20 * time.Second
	for seed := range uint64(20) {
		steps := RandomSchedule(seed, total)
		assert.Equal(t, steps, RandomSchedule(seed, total), "seed %d", seed)
		assert.NotEqual(t, steps, RandomSchedule(seed+1, total), "seed %d", seed)
		assert.NotEmpty(t, steps)
		for _, s := range steps {
			assert.Less(t, s.At, total)
			assert.Positive(t, s.For)
		}
	}
}
