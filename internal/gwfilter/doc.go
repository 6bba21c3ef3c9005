// Package gwfilter processes callers' requests at their entry instance. An Entry supplies
// the credentials by which package gwwire authenticates callers of the PostgreSQL
// protocol, and opens the callers' sessions. A session classifies each request; a chain
// of filters then observes it, applies the rules of the caller's class, determines the
// position and staleness that a read requires, and retries; the last handler selects a
// backend server and runs the request at the server's owner. Admission control is the
// owner's task, in package gwowner.
//
// Sessions of the PostgreSQL protocol (session.go) and of the statement protocol
// (statement.go) share the chain. The values, prepared statements and pending BEGIN of
// a statement protocol session are kept here and sent with the statements that need
// them.
package gwfilter
