// Package gwowner runs requests on the backend servers that this instance owns.
//
// It holds the connections of each owned server, admits requests to its slots,
// checks the position and staleness that a read requires, acknowledges a write
// only while the write lease is held and, unless the class says otherwise, after a
// replica has confirmed it, and records request keys. An entry instance uses a
// Session in the same process or a RemoteSession over a stream between instances;
// both give the same results.
package gwowner
