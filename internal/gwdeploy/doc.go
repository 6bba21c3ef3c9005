// Package gwdeploy runs a whole deployment in one process on loopback: entry instances
// with real sockets, database stand-ins, simulated network delays, and faults. The demo,
// the load generator, the replay of traces and the tests of failures use it.
package gwdeploy
