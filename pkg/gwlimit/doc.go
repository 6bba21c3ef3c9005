// Package gwlimit admits work to the slots of a backend server.
//
// A FairQueue shares the slots between classes by weight, bounds each class in
// queue length and concurrency, and drops work whose deadline has passed
// before it takes a slot. It refuses at once what would wait in vain. The package is pure: it starts no goroutines, reads
// no clock and is not safe for concurrent use.
package gwlimit
