package gwsession

import (
	"testing"
	"time"
)

// Guards against a sample that covers less than its age claims.
func TestAckHistory(t *testing.T) {
	start := time.Unix(100, 0)
	var h AckHistory
	for i := range 100 {
		h.Record(start.Add(time.Duration(i)*20*time.Millisecond), Position{Term: 1, Offset: uint64(i)})
	}
	now := start.Add(2 * time.Second)
	got := h.Since(now, 500*time.Millisecond)
	if len(got) != 5 {
		t.Fatalf("got %d samples, want one every 100 ms: %v", len(got), got)
	}
	for _, s := range got {
		// Positions up to this one were acknowledged at the time of the sample.
		if want := uint64(now.Add(-s.Age).Sub(start) / (20 * time.Millisecond)); s.Position.Offset != want {
			t.Errorf("age %v: got offset %d, want %d", s.Age, s.Position.Offset, want)
		}
	}
	h.Reset()
	if got := h.Since(now, time.Hour); len(got) != 0 {
		t.Errorf("got %v after a reset", got)
	}
}
