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
	// DefaultLogBytesPerSecond is the sustained rate of a log: 64 lines of 256 bytes per
	// second, which take under 1% of a small instance's CPU time.
	DefaultLogBytesPerSecond = 16 << 10
	// DefaultLogBurstBytes is what may be written at once beyond the rate, for the lines
	// of a start or a change of primary.
	DefaultLogBurstBytes = 128 << 10
	// maxQueuedLines bounds the lines that wait for a slow reader.
	maxQueuedLines = 512
	// dropReportInterval is the shortest time between two lines that report drops.
	dropReportInterval = time.Second
)

// BoundedWriter writes log lines without ever blocking the caller of Write. Lines that
// exceed its rate or find the queue full are dropped and counted, and a log line
// reports their number.
type BoundedWriter struct {
	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewBoundedWriter starts a writer to out with a token bucket of burst bytes that
// refills at bytesPerSecond.
func NewBoundedWriter(out io.Writer, bytesPerSecond, burst int) *BoundedWriter {
	w := &BoundedWriter{
		out: out, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst),
		lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues or drops one line. It never fails and never blocks.
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

// Dropped returns the number of lines dropped since the last log line that reported drops.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and ends the writer. Lines written later are lost.
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
		// A failed write is ignored: there is no log left to report it in.
		_, _ = w.out.Write(line)
	}
}
