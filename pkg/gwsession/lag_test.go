package gwsession

import (
	"testing"
	"time"
)

// positionAt returns the position at now of a replica that applies writes with the lag
// behind, while its primary has committed once every step since start.
func positionAt(now time.Time, start time.Time, step, behind time.Duration) Position {
	return Position{Term: 1, Offset: uint64(max(0, now.Add(-behind).Sub(start)) / step)}
}

// Guards against reads that are sent to a lagging replica over and over: the estimate has
// to be near the time at which the replica really reaches the position.
func TestHistoryWait(t *testing.T) {
	const step = 20 * time.Millisecond
	start := time.Unix(100, 0)
	now := start.Add(5 * time.Second)
	var h History
	for at := start; !at.After(now); at = at.Add(100 * time.Millisecond) {
		h.Record(at, positionAt(at, start, step, 0))
	}
	tests := []struct {
		name   string
		behind time.Duration
		// age is how long ago the primary had the wanted position.
		age  time.Duration
		want time.Duration
	}{
		{"no lag", 0, 0, 0},
		{"lagging, position older than the lag", 2 * time.Second, 2500 * time.Millisecond, 0},
		{"lagging, position more recent than the lag", 2 * time.Second, 1500 * time.Millisecond, 500 * time.Millisecond},
		{"lagging, position of now", 900 * time.Millisecond, 0, 900 * time.Millisecond},
		{"lag exceeds all samples", 10 * time.Second, time.Second, 4 * time.Second},
	}
	const tolerance = 200 * time.Millisecond // two intervals of the samples
	for _, tt := range tests {
		s := Observation{Position: positionAt(now, start, step, tt.behind), At: now}
		got := h.ExpectedWait(s, now, positionAt(now, start, step, tt.age))
		if diff := got - tt.want; diff < -tolerance || diff > tolerance {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against waits for a replica whose lag is unknown: it has to be asked.
func TestHistoryWaitUnknown(t *testing.T) {
	var h History
	now := time.Unix(100, 0)
	p := Position{Term: 1, Offset: 7}
	seen := Observation{Position: Position{Term: 1, Offset: 1}, At: now}
	if got := h.ExpectedWait(seen, now, p); got != 0 {
		t.Errorf("got %v, want 0 when the primary's positions are unknown", got)
	}
	if _, known := h.Lag(seen); known {
		t.Error("got a known lag without samples of the primary's position")
	}
	h.Record(now.Add(-time.Second), p)
	if got := h.ExpectedWait(Observation{}, now, p); got != 0 {
		t.Errorf("got %v, want 0 without an observation", got)
	}
}
