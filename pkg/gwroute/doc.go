// Package gwroute chooses the backend server that serves a request.
//
// An entry instance chooses from its own state, which may be out of date. The owner of
// the chosen server checks the required position and staleness again and refuses the
// request if the server does not satisfy them, so a wrong choice costs time but never
// correctness. The package is pure: callers pass the current time and the source of
// random numbers.
package gwroute
