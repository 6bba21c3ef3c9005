package gwlimit

import "time"

const (
	// firstWindow is above what one instance has under way to one server on the days of
	// highest load, maxWindow four times that.
	initialWindow = 16
	maxWindow     = 64
	// shrinkPause is the least time between two halvings: the requests that were under
	// way together count as one sign.
	minShrinkInterval = 200 * time.Millisecond
	// calmTime is how long after it shrank a window grows by one for each window of
	// answers; before it grows more slowly and after it faster, by the square.
	growthTime = 4 * time.Second
	// maxGrowth bounds the growth for each window of answers.
	maxGrowth = 4
)

// Window bounds the requests that an instance has under way to one server. It halves
// when requests go unanswered, and grows with the answers, the faster the longer ago
// that was.
//
// Load pattern: most servers of a group are away, and all instances turn to the last
// one. Its owner's link of 2 Mbit/s carried the answers to requests whose callers had
// given up, and neither probes nor control messages, for as long as the day lasted.
//
// It is not safe for concurrent use.
type Window struct {
	size     float64 // 0 stands for firstWindow
	pending  int
	shrunkAt time.Time
}

// Take counts a request that is sent. It returns false, and counts nothing, if as many
// are under way as may be.
func (w *Window) Take() bool {
	if w.size == 0 {
		w.size = initialWindow
	}
	if float64(w.pending) >= w.size {
		return false
	}
	w.pending++
	return true
}

// Done counts the end of a request.
func (w *Window) Done(answered bool, now time.Time) {
	w.pending--
	switch {
	case answered:
		sinceShrink := float64(now.Sub(w.shrunkAt)) / float64(growthTime)
		w.size = min(maxWindow, w.size+min(maxGrowth, sinceShrink*sinceShrink)/w.size)
	case now.Sub(w.shrunkAt) >= minShrinkInterval:
		w.size, w.shrunkAt = max(1, w.size/2), now
	}
}

// Pending returns the number of requests under way.
func (w *Window) Pending() int { return w.pending }
