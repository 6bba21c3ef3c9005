//go:build review

// Command lab plays the cases of review/REPORT-2.md that are scripts. It starts the project's
// program as separate processes on loopback addresses and is itself the platform, the backend
// servers, the operator and the callers. It judges only what these see.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case
// could not run.
package main
