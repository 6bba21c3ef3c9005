//go:build review

// Command standin plays a small deployment on loopback addresses for the scripts of the
// review: it starts the instances as separate processes, and plays the backend servers,
// the platform, the operator and the clients as the platform's pages describe them. It
// judges only what these have seen.
//
// It is excluded from the default build by the tag review.
package main
