package gwtelemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of a BoundedWriter.
const (
	// DefaultLogBytesPerSecond is the number of bytes a second that a log may have in the
	// long run: 64 lines of 256 bytes, under 1% of a small instance's time.
	DefaultLogBytesPerSecond = 16 << 10
	// DefaultLogBurstBytes is what it may have at once, for the lines of a start or a
	// change of primary.
	DefaultLogBurstBytes = 128 << 10
	// maxQueuedLines is the number of lines that wait for a slow reader.
	maxQueuedLines = 512
	// dropReportInterval is how often the number of dropped lines is written.
	dropReportInterval = time.Second
)

// BoundedWriter passes lines on without ever making the writer wait. Lines beyond
// its rate, or that the reader is too slow for, are dropped and counted; a line
// tells how many.
type BoundedWriter struct {
	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewBoundedWriter starts a writer to out that takes bytesPerSecond in the long
// run and burst bytes at once.
func NewBoundedWriter(out io.Writer, bytesPerSecond, burst int) *BoundedWriter {
	w := &BoundedWriter{
		out: out, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst),
		lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line. It never fails and never waits.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	if !w.limiter.AllowN(time.Now(), len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last line about it.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued; later lines are lost.
func (w *BoundedWriter) Close() {
	w.once.Do(func() { w.lines <- nil })
	<-w.done
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	var lastReport time.Time
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Load(); n > 0 && time.Since(lastReport) >= dropReportInterval {
			lastReport = time.Now()
			w.dropped.Add(-n)
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		// The log itself cannot tell that it cannot be written.
		_, _ = w.out.Write(line)
	}
}
