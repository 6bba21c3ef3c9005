package gwtelemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

type stuckWriter struct{ release chan struct{} }

func (s stuckWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Guards against a process that blocks because nobody reads its log.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	s := stuckWriter{release: make(chan struct{})}
	w := NewBoundedWriter(s, 1<<30, 1<<30)
	done := make(chan struct{})
	go func() {
		for range 10 * maxQueuedLines {
			_, _ = w.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked")
	}
	if w.Dropped() == 0 {
		t.Error("no line was counted as dropped")
	}
	close(s.release)
	w.Close()
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// Guards against a log whose volume grows with the load, and against lines that are
// dropped without being reported.
func TestBoundedWriterReportsDroppedLines(t *testing.T) {
	var out lockedBuffer
	w := NewBoundedWriter(&out, 1000, 100)
	for range 100 {
		_, _ = w.Write([]byte("0123456789\n"))
	}
	time.Sleep(50 * time.Millisecond)
	_, _ = w.Write([]byte("end\n"))
	w.Close()
	got := out.b.String()
	if len(got) > 500 {
		t.Errorf("got %d bytes, want the burst and a few lines", len(got))
	}
	if !strings.Contains(got, "log lines dropped") {
		t.Errorf("got %q, want a line that reports the dropped ones", got)
	}
}
