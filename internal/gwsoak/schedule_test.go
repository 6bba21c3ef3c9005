package gwsoak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against seeds in failedBeforeBeside that stand for other schedules.
func TestKindsBeforeBeside(t *testing.T) {
	steps := scheduleOf(kinds, 309, 12*time.Second, stepInterval)
	require.Len(t, steps, 17)
	assert.Equal(t, "11.863s for 1.724s: gwsoak.ReplaceControl{Control:1, Silent:true, Seeds:0x0}", steps[16].String())
}

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
