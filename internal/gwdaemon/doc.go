// Package gwdaemon assembles and runs one instance: its links to other instances,
// membership, replicated state, owned backend servers, callers and operators.
//
// Start builds and runs the parts. Stop is a graceful shutdown; Kill simulates a crash in
// tests of failures.
package gwdaemon
