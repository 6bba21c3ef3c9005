// Package gwwire serves callers over the PostgreSQL wire protocol 3.0: startup,
// TLS, SCRAM-SHA-256, cancel requests, message bounds, prepared statements and
// the division of the message stream into requests. A Handler runs the
// requests.
//
// A request is one simple query or the messages of an extended batch up to
// Sync. Statement names in a request are global names (gwbackend.GlobalName):
// the session remembers which SQL each of the caller's names stands for, and
// lists in Request.Prepared the statements that a request uses without parsing
// them. The unnamed statement is remembered in the same way, so that it may be
// parsed in one batch and bound in the next. Closing a statement only ends the
// session's name for it; the server's statement stays for other sessions.
//
// A Flush is answered at once where that cannot change the meaning of the
// batch: inside a transaction block, which the pending messages may have begun,
// and when they only parse, describe or close statements. Elsewhere the answer
// comes at the Sync, since the messages before a Flush share one implicit
// transaction with those after it. A caller that waits for the answer instead
// of sending the Sync gets an error after 2 s; its statements have not run.
//
// Not supported: COPY FROM STDIN, function calls, replication, LISTEN, and
// statements prepared with SQL PREPARE outside of a transaction.
package gwwire
