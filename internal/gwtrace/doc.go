// Package gwtrace generates traces of callers' sessions with injected faults and
// expected outcomes, replays them against a deployment in this process and checks
// the results and the final content of the databases against the expectations.
//
// A trace is a text file of JSON lines, described in docs/traces.md. Times in
// a trace are offsets from its start.
package gwtrace
