// Package gwstatement implements the statement protocol, with which it serves callers
// and reaches backend servers. A connection carries one statement at a time over a
// session that has variables, prepared statements and a transaction of its own.
//
// It is the second protocol beside PostgreSQL's (packages gwwire and gwbackend). A
// Codec defines the encoding of messages; this package knows only their meaning.
// Before a caller's statement is sent on a backend connection, the state of the
// caller's session (variables, prepared statements, an open transaction) is set on it
// as far as it differs, so that sessions can share connections and an unchanged state
// costs no further statement.
package gwstatement
