// Package gwdaemon puts one instance together: its links to other instances,
// membership, agreed state, owned backend servers, callers and operators.
//
// Start builds and runs the parts; Stop is a graceful shutdown, Kill an abrupt
// one for tests of failures.
package gwdaemon
