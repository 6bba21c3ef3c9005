package gwlimit

import "time"

const (
	// holdFactor leaves a request three times the average of its server, which 19 of 20
	// do not exceed. One that does waits in the server's own queue with the next.
	slotTimeoutFactor = 3
	// minHold is two requests of 10 ms, the usual time.
	minSlotTimeout = 20 * time.Millisecond
	// maxHold is above what any usual request takes at a server that is ten times as
	// slow; a slower one shows in the number of requests that have given their slot up.
	maxSlotTimeout = 250 * time.Millisecond
	// holdWeight is the weight of the newest time in the moving average.
	slotTimeWeight = 0.1
)

// Hold decides for how long a request may keep its slot. Above that its answer is
// lost, or the server is slow and its own queue takes what comes.
//
// Load pattern: a server that loses one answer in five for 4 s. While each of them
// kept its slot until the deadline, two slots were enough for 5 statements a second;
// with 250 ms, for 35.
//
// It is not safe for concurrent use.
type SlotTimeout struct{ average time.Duration }

// Answered records how long an answered request took at the server.
func (t *SlotTimeout) Record(took time.Duration) {
	if t.average == 0 {
		t.average = took
	}
	t.average += time.Duration(slotTimeWeight * float64(took-t.average))
}

// Limit returns for how long a request that is sent now may keep its slot.
func (t *SlotTimeout) Current() time.Duration {
	return min(maxSlotTimeout, max(minSlotTimeout, slotTimeoutFactor*t.average))
}
