// Package gwdeploy runs a whole deployment in one process on loopback: entry
// instances with real sockets, database stand-ins, delays and faults. The demo,
// the load tool and tests of failures use it.
package gwdeploy
