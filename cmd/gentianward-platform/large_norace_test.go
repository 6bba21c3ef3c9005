//go:build !race

package main

import "gentianward.example/gentianward/platform"

// largestOfTest is the size of the largest configuration of TestLargeConfiguration.
const largestOfTest = platform.MaxConfigurationBytes
