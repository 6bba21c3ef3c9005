// Package gwfilter carries callers' requests through the chain of filters of an
// entry instance: authenticate, class, classify, session, route, retry and
// observe. Admission happens at the instance that owns the chosen backend
// server, in package gwowner.
package gwfilter
