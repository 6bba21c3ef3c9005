// Package gwowner runs requests on the backend servers that this instance owns.
//
// It holds the connections of each server, admits work to its slots, checks the
// position and staleness that a read requires, acknowledges writes only under
// the write lease and with the confirmation of a replica, and records request
// keys. Sessions of callers reach it directly or over a stream between
// instances, with the same result.
package gwowner
