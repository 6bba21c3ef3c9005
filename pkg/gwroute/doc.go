// Package gwroute chooses the backend server that serves a request.
//
// A choice is made from what an entry instance knows, which may be old. The
// instance that owns the chosen server checks the required position and
// staleness again and refuses what it cannot serve, so that a wrong choice
// costs time and never correctness. The package is pure: random numbers and
// the current time are passed in.
package gwroute
