package gwsession

import (
	"testing"
	"time"
)

// Guards against a read of data older than its class accepts, and against requiring more
// of a lagging replica than necessary.
func TestHistoryRequired(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var h History
	for i := range 10 {
		h.Record(at(200*i), Position{Term: 1, Offset: uint64(i)})
	}
	h.Record(at(100), Position{Term: 1, Offset: 99}) // out of order: dropped
	tests := []struct {
		name      string
		now       int
		staleness time.Duration
		want      uint64
		ok        bool
	}{
		{"the oldest of those that are recent enough", 1800, time.Second, 4, true},
		{"exactly at the bound", 1800, 0, 9, true},
		{"all are recent enough", 1800, time.Minute, 0, true},
		{"none is recent enough", 4000, time.Second, 0, false},
	}
	for _, tt := range tests {
		got, ok := h.Required(at(tt.now), tt.staleness)
		if ok != tt.ok || got.Offset != tt.want {
			t.Errorf("%s: got %v %v, want offset %d %v", tt.name, got, ok, tt.want, tt.ok)
		}
	}
}

// Guards against a history that grows without bound.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	for i := range 1000 {
		h.Record(time.Unix(100, int64(i)*1e6), Position{Term: 1, Offset: uint64(i)})
	}
	if got, want := len(h.samples), maxSamples; got != want {
		t.Errorf("got %d samples, want %d", got, want)
	}
}
