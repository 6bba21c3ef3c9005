// Package gwfilter carries callers' requests through the chain of filters of an
// entry instance: authenticate, class, classify, session, route, retry and
// observe. Admission happens at the instance that owns the chosen backend
// server, in package gwowner.
//
// Two protocols of callers share the chain: sessions of PostgreSQL's (session.go) and
// of the statement protocol (statement.go), whose values, prepared statements and
// begun transactions are kept here until a statement needs them at a server.
package gwfilter
