// Package gwload sends open-loop load to a deployment in this process, with
// faults at times, measures failover gaps, and reports on runs.
//
// Latency counts from the time at which a request was due, so that waiting for
// a connection is part of it.
package gwload
