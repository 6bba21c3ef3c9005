//go:build race

package main

// largestOfTest is the size of the largest configuration of TestLargeConfiguration. With the race
// detector, an entry of 3 MiB occupies the voters for longer than an election timeout; see
// KNOWN-RED.txt.
const largestOfTest = 1<<20 + 1000
