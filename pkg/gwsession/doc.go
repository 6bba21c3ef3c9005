// Package gwsession keeps the consistency state of callers' sessions: log
// positions, watermarks, signed session tokens, barriers and the freshness of
// replicas.
//
// The package is pure: it opens no sockets, starts no goroutines and reads no
// clock. Callers pass the current time as an argument.
package gwsession
