// Package gwsession implements session consistency: log positions, watermarks, signed
// session tokens, barriers, and bounds on the staleness of replicas.
//
// The package is pure: it opens no sockets, starts no goroutines and reads no
// clock. Callers pass the current time as an argument.
package gwsession
