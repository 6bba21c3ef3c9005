package gwlimit

import "time"

const (
	// initialWindow exceeds the number of requests that one instance has in flight to one
	// server on the days of highest load; maxWindow is four times that.
	initialWindow = 16
	maxWindow     = 64
	// minShrinkInterval is the least time between two reductions: requests that were in
	// flight together count as one loss event.
	minShrinkInterval = 200 * time.Millisecond
	// growthTime is the time after a reduction at which a window grows by one request for
	// each window of answers. The growth increases with the square of the time.
	growthTime = 4 * time.Second
	// minOutage is the time without any answer after which an outage is assumed. On a full
	// link, reduced windows let answers through sooner.
	minOutage = 2 * time.Second
	// outageDivisor divides the size before an outage to give the size that a window soon
	// reaches again. On a full link, a larger share brings the next losses.
	outageDivisor = 5
	// maxGrowth bounds the growth for each window of answers, in requests.
	maxGrowth = 4
)

// Window is a congestion window: it bounds the requests that an instance has in flight to
// one server. It halves when requests go unanswered and grows with the answers, faster
// the longer ago the last reduction was.
//
// Load pattern: most servers of a group are unreachable, and all instances use the last
// one. Without the bound, its owner's link of 2 Mbit/s carries answers to requests whose
// callers have given up, and no probes or control messages, for as long as the load lasts.
//
// Load pattern: a server cannot be reached for some seconds and then answers all requests
// at once. Such an outage, unlike the losses of a full link, says nothing about the capacity
// of the path: the window then grows by one request with each answer, up to a fifth of its
// size before the outage.
//
// It is not safe for concurrent use.
type Window struct {
	size     float64 // 0 stands for initialWindow
	pending  int
	shrunkAt time.Time
	// fastUntil is the size up to which the window grows by one request per answer.
	fastUntil float64
	// outageAt is the time of the first reduction since the last answer, zero if there was
	// none, and sizeBefore the size before it.
	outageAt   time.Time
	sizeBefore float64
}

// Take counts a request that is about to be sent. If the window is full, it returns false
// and does not count the request.
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

// Done records that a counted request was answered or given up, and adjusts the window.
func (w *Window) Done(answered bool, now time.Time) {
	w.pending--
	if answered {
		w.grow(now)
		return
	}
	if now.Sub(w.shrunkAt) < minShrinkInterval {
		return
	}
	if w.outageAt.IsZero() {
		w.outageAt, w.sizeBefore = now, w.size
	}
	w.size, w.shrunkAt, w.fastUntil = max(1, w.size/2), now, 0
}

func (w *Window) grow(now time.Time) {
	if !w.outageAt.IsZero() && now.Sub(w.outageAt) >= minOutage {
		w.fastUntil = w.sizeBefore / outageDivisor
	}
	w.outageAt = time.Time{}
	if w.size < w.fastUntil {
		w.size++
		return
	}
	sinceShrink := float64(now.Sub(w.shrunkAt)) / float64(growthTime)
	w.size = min(maxWindow, w.size+min(maxGrowth, sinceShrink*sinceShrink)/w.size)
}

// Pending returns the number of requests in flight.
func (w *Window) Pending() int { return w.pending }
