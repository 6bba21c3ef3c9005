// Package gwcontrol runs the controllers of one instance: membership, the
// replicated log of a voter, the agreed state as this instance knows it, the
// directory of backend servers, ownership, write leases and changes of primary.
//
// Each controller owns its state and runs in its own goroutine; others read
// immutable snapshots of it.
package gwcontrol
