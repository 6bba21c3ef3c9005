package gwoutcome

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against waiting requests that fill the links: 300 requests a second that each
// waited 3 s for an owner made 90,000 attempts a second.
func TestBackoffBoundsAttempts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, tt := range []struct {
		name         string
		wait         time.Duration
		meanAttempts float64 // at most
	}{
		{"the deadline of a statement on the users' platform", 800 * time.Millisecond, 9},
		{"a change of primary", 3 * time.Second, 24},
	} {
		attempts, requests := 0, 300
		for range requests {
			var b Backoff
			for at := time.Duration(0); at < tt.wait; at += b.Next(rng.Float64()) {
				attempts++
			}
		}
		assert.LessOrEqual(t, float64(attempts)/float64(requests), tt.meanAttempts, tt.name)
	}
}

// Guards against an attempt that comes too late after its group is available again.
func TestBackoffPausesAreBounded(t *testing.T) {
	var b Backoff
	assert.LessOrEqual(t, b.Next(0.99), 15*time.Millisecond)
	for range 100 {
		assert.LessOrEqual(t, b.Next(0.99), 240*time.Millisecond)
	}
}
