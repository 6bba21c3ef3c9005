// Package gwlimit admits work to the slots of a backend server.
//
// A FairQueue shares the slots between classes by weight, bounds the queue length and
// the concurrency of each class, and drops requests whose deadline passes before they
// get a slot. It rejects at once a request that cannot meet its deadline or its longest
// accepted wait. It remembers refused operations, so that it can tell whose caller has no
// try left and who can no longer be served within the aim.
//
// A SlotTimeout and a LossDetector free slots and connections whose answers were lost.
// A Window bounds the requests in flight to one server by congestion control.
//
// The package is pure: it starts no goroutines, reads no clock and is not safe for
// concurrent use. Callers pass the current time as an argument.
package gwlimit
