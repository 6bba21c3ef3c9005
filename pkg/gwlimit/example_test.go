package gwlimit_test

import (
	"fmt"
	"time"

	"gentianward.example/gentianward/pkg/gwlimit"
)

// With a weight of 3 to 1, payments get three quarters of a busy server's only slot.
func ExampleFairQueue() {
	now := time.Unix(1_800_000_000, 0)
	q := gwlimit.NewFairQueue(1)
	q.SetClass(gwlimit.Class{Name: "payments", Weight: 3})
	q.SetClass(gwlimit.Class{Name: "reports", Weight: 1})
	for range 4 {
		_ = q.Push(&gwlimit.Item{Class: "reports"}, now)
		_ = q.Push(&gwlimit.Item{Class: "payments"}, now)
	}
	for range 4 {
		it := q.Pop(now)
		fmt.Println(it.Class)
		q.Done(it)
	}
	// Output:
	// reports
	// payments
	// payments
	// payments
}
