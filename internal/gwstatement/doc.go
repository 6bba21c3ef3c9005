// Package gwstatement serves callers and reaches backend servers whose protocol
// carries one statement at a time over sessions with values and prepared
// statements of their own.
//
// It is the second protocol beside PostgreSQL's (packages gwwire and
// gwbackend). How messages are spelled is left to a Codec; this package knows
// only their meaning. A backend connection is brought to the state that a
// caller's session has (values, prepared statements, an open transaction)
// before the session's statement is sent, so that sessions can share
// connections without a statement of their own for that.
package gwstatement
