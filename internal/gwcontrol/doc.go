// Package gwcontrol implements the control plane of one instance: membership,
// the replicated log of a voter, this instance's view of the replicated state,
// the directory of backend servers, server ownership, write leases and changes
// of primary.
//
// Each controller owns its state and runs in its own goroutine. Other code
// reads immutable snapshots of that state.
package gwcontrol
