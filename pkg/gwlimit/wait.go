package gwlimit

import "time"

// queueWaitDivisor divides the latency aim of an operation to give the time that it may
// wait for a slot. Only its first statement waits: a transaction that has begun keeps its
// connection and needs no slot.
const queueWaitDivisor = 2

// QueueWait returns the longest expected wait for a slot that an operation with the given
// latency aim accepts. With a longer one it is refused at once, so that its caller can try
// another instance.
//
// Load pattern: all callers come back at once after 2 s without service, to servers that
// are less than half used otherwise. With a quarter of the aim most of them are refused
// until they have no try left, while the servers are idle a moment later.
func QueueWait(aim time.Duration) time.Duration { return aim / queueWaitDivisor }
