package gwlease_test

import (
	"fmt"
	"time"

	"gentianward.example/gentianward/pkg/gwlease"
)

// Two instances compete for the write lease of one group. The second gets it after the
// first has stopped renewing and its lease has expired.
func Example() {
	now := time.Unix(0, 0)
	cfg := gwlease.Config{Duration: 2 * time.Second, Drift: 0.01}
	granter := gwlease.NewGranter(cfg)
	a := gwlease.NewHolder("instance-a", 1, cfg)
	b := gwlease.NewHolder("instance-b", 1, cfg)
	a.Want("orders", 7)
	b.Want("orders", 7)

	renew := func(h *gwlease.Holder) {
		if req, due := h.Request(now); due { // send req over the network
			granter.Expire(now)
			h.Answer(granter.Grant(req, now), now)
		}
	}
	for range 4 {
		if now.Unix() < 2 { // a fails after two seconds
			renew(a)
		}
		renew(b)
		fmt.Println(now.Unix(), "s: a", a.Valid("orders", 7, now), "b", b.Valid("orders", 7, now))
		now = now.Add(1500 * time.Millisecond)
	}
	refusal, refused := b.Refusal("orders")
	fmt.Println(refusal.Reason, refused)
	// Output:
	// 0 s: a true b false
	// 1 s: a true b false
	// 3 s: a true b false
	// 4 s: a false b true
	// unknown false
}

// The owner of a backend server moves only when that owner leaves.
func ExampleOwner() {
	live := []gwlease.Instance{
		{Name: "a1", DataCentre: "a", Region: "north"},
		{Name: "a2", DataCentre: "a", Region: "north"},
		{Name: "b1", DataCentre: "b", Region: "north"},
	}
	fmt.Println(gwlease.Owners("server-1", "a", "north", live, 2))
	owner, ok := gwlease.Owner("server-1", "a", "north", live[:1])
	fmt.Println(owner, ok)
	// Output:
	// [a2 a1]
	// a1 true
}
