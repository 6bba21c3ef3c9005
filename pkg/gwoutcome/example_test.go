package gwoutcome_test

import (
	"fmt"
	"time"

	"gentianward.example/gentianward/pkg/gwoutcome"
)

// A payment whose connection broke after it was sent is not retried; one that
// never left the proxy is.
func ExampleShouldRetry() {
	payment := gwoutcome.Request{Remaining: 5 * time.Second, Attempts: 1}
	fmt.Println(gwoutcome.ShouldRetry(gwoutcome.BrokenAfterSend, payment) == gwoutcome.Stop)
	fmt.Println(gwoutcome.ShouldRetry(gwoutcome.BrokenBeforeSend, payment) == gwoutcome.Refresh)
	// Output:
	// true
	// true
}
