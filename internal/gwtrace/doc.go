// Package gwtrace generates traces of callers' sessions with faults and stated
// outcomes, replays them against a deployment in this process and checks the
// stated outcomes against the answers and the final content of the databases.
//
// A trace is a text file of JSON lines, described in docs/traces.md. Times in
// a trace are offsets from its start.
package gwtrace
