// Package gwlease assigns backend servers to owner instances and implements write leases.
//
// Owner and Placement choose the owner of a backend server by rendezvous hashing.
//
// A Holder obtains and renews the leases of an instance; a Granter is the table that
// grants them. At most one holder considers itself the holder of a group's lease at any
// moment, provided that every clock runs within the configured drift: a holder counts a
// lease from before it sent the request and for less than the duration, and a granter
// counts it from when it recorded the grant and for more than the duration.
//
// The package is pure: it opens no sockets, starts no goroutines and reads no
// clock. Callers pass the current time as an argument; it must be monotonic.
package gwlease
