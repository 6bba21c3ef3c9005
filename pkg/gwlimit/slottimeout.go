package gwlimit

import "time"

const (
	// slotTimeoutFactor is the timeout as a multiple of the server's average time; 19 of 20
	// requests take no longer. After the timeout, the server queues the next request itself.
	slotTimeoutFactor = 3
	// minSlotTimeout is twice the usual time of a request, 10 ms.
	minSlotTimeout = 20 * time.Millisecond
	// maxSlotTimeout exceeds the time of any usual request at a server that is ten times
	// slower than usual. A still slower server is visible in the number of slot timeouts.
	maxSlotTimeout = 250 * time.Millisecond
	// slotTimeWeight is the weight of the newest time in the exponential moving average.
	slotTimeWeight = 0.1
)

// SlotTimeout computes for how long a request may occupy its slot. If a request takes
// longer, either its answer is lost, or the server is slow and can queue the next request
// itself.
//
// Load pattern: a server loses one answer in five for 4 s. When each lost answer occupies
// its slot until the deadline, two slots serve 5 statements a second; with a timeout of
// 250 ms, they serve 35.
//
// It is not safe for concurrent use.
type SlotTimeout struct{ average time.Duration }

// Record records how long an answered request took at the server.
func (t *SlotTimeout) Record(took time.Duration) {
	if t.average == 0 {
		t.average = took
	}
	t.average += time.Duration(slotTimeWeight * float64(took-t.average))
}

// Current returns for how long a request that is sent now may occupy its slot.
func (t *SlotTimeout) Current() time.Duration {
	return min(maxSlotTimeout, max(minSlotTimeout, slotTimeoutFactor*t.average))
}
