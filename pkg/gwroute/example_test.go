package gwroute_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianward.example/gentianward/pkg/gwroute"
	"gentianward.example/gentianward/pkg/gwsession"
)

// A read of a session that has written at position 3/40 does not go to a replica that lags
// by seconds.
func ExampleChoose() {
	now := time.Unix(1_800_000_000, 0)
	servers := []gwroute.Server{
		{Name: "replica", Position: gwsession.Position{Term: 3, Offset: 7}, ReportedAt: now, Lag: 4 * time.Second},
		{Name: "primary", Primary: true, Distance: gwroute.SameRegion},
	}
	need := gwroute.Need{
		Position:   gwsession.Position{Term: 3, Offset: 40},
		RequiredAt: now,
		WaitBudget: 20 * time.Millisecond,
	}
	choice := gwroute.Choose(need, servers, now, rand.New(rand.NewPCG(1, 1)))
	fmt.Println(choice.(gwroute.Serve).Server.Name)
	// Output: primary
}
