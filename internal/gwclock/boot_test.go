package gwclock

import (
	"testing"
	"time"
)

// Guards against a clock that jumps with the time of day or stands still.
func TestBootAdvances(t *testing.T) {
	b := NewBootTime()
	start := b.Now()
	time.Sleep(5 * time.Millisecond)
	if got := b.Since(start); got < 5*time.Millisecond || got > time.Minute {
		t.Errorf("got %v after 5 ms", got)
	}
	if start.Round(0) != start {
		t.Error("the time carries a reading of the runtime's steady clock")
	}
}
