// Package gwstatement implements the statement protocol: callers and backend servers
// exchange one statement at a time over sessions that have variables, prepared
// statements and a transaction of their own.
//
// It is the second protocol beside PostgreSQL's (packages gwwire and gwbackend). A
// Codec defines the encoding of messages; this package knows only their meaning.
// Before a caller's statement is sent on a backend connection, the state of the
// caller's session (variables, prepared statements, an open transaction) is set on it,
// so that sessions can share connections.
package gwstatement
