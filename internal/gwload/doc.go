// Package gwload sends open-loop load to a deployment in this process, injects
// faults at given times, measures failover gaps, and reports on runs.
//
// Latency is measured from the time at which a request was due, so that it
// includes the wait for a connection.
package gwload
