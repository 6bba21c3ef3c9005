// Package gwlease places backend servers on owner instances and keeps write
// leases.
//
// Owner and Placement choose the owner of a backend server by rendezvous
// hashing. Holder is the side of an instance that wants leases, Granter the
// table that grants them. At most one holder believes at any moment that it
// holds the lease of a group, provided that every clock runs within the
// configured drift: a holder counts a lease from before it sent the request
// and for less than the duration, a granter counts it from when it recorded
// the grant and for more than the duration.
//
// The package is pure: it opens no sockets, starts no goroutines and reads no
// clock. Callers pass the current time as an argument; it must be monotonic.
package gwlease
