// Package gwwire implements the server side of the PostgreSQL wire protocol 3.0
// for callers: startup, TLS, SCRAM-SHA-256 authentication, cancel requests, size
// limits, prepared statements, and the splitting of the message stream into
// requests, which a Handler executes.
//
// A request is one simple query, or the messages of an extended-protocol batch up
// to and including Sync. The statement names in a request are global names
// (gwbackend.GlobalName): the session maps each of the caller's names to its SQL
// and lists in Request.Prepared the statements that a request uses without
// parsing them. The unnamed statement is mapped in the same way, so it can be
// parsed in one batch and bound in the next. Closing a statement only removes the
// session's name for it; the statement on the backend server stays for other
// sessions.
//
// A Flush is processed immediately where this cannot change the meaning of the
// batch: inside a transaction block, including one that the pending messages open,
// and when the pending messages only parse, describe or close statements.
// Otherwise the response is deferred to the Sync, because the messages before a
// Flush share one implicit transaction with those after it. A caller that waits
// for the response instead of sending Sync gets an error after 2 s; its statements
// have not run.
//
// Not supported: COPY FROM STDIN, function calls, replication, LISTEN, and
// statements prepared with SQL PREPARE outside of a transaction.
package gwwire
