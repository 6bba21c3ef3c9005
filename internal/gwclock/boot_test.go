package gwclock

import (
	"testing"
	"time"
)

// Guards against a clock that stands still or follows changes of the wall clock.
func TestBootAdvances(t *testing.T) {
	b := NewBootTime()
	start := b.Now()
	time.Sleep(5 * time.Millisecond)
	if got := b.Since(start); got < 5*time.Millisecond || got > time.Minute {
		t.Errorf("got %v after 5 ms", got)
	}
	if start.Round(0) != start {
		t.Error("the time carries a reading of the runtime's monotonic clock")
	}
}
