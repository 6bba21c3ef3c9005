package gwmember_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianward.example/gentianward/pkg/gwmember"
)

// Three members join through the first one; then one fails and the others detect it. The
// loop stands in for a network and a clock.
func Example() {
	now := time.Unix(0, 0)
	members := make(map[string]*gwmember.Members) // by address
	names := make(map[string]string)
	for i, name := range []string{"a", "b", "c"} {
		self := gwmember.Member{Instance: name, DataCentre: "rennes-a", Address: "10.0.0." + name, Incarnation: 1}
		names[self.Address] = name
		members[self.Address] = gwmember.New(gwmember.Config{
			Self: self, Seeds: []string{"10.0.0.a"}, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		})
	}
	var deliver func(from string, actions []gwmember.Action)
	deliver = func(from string, actions []gwmember.Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case gwmember.SendMessage:
				if to, up := members[action.To]; up {
					deliver(action.To, to.Receive(names[from], action.Message, now))
				}
			case gwmember.MemberChanged:
				if action.Status == gwmember.StatusDead {
					fmt.Println(names[from], "sees", action.Member.Instance, action.Status)
				}
			}
		}
	}
	for step := range 100 {
		now = now.Add(gwmember.DefaultTick)
		for _, address := range []string{"10.0.0.a", "10.0.0.b", "10.0.0.c"} {
			if m, up := members[address]; up {
				deliver(address, m.Tick(now))
			}
		}
		if step == 50 {
			fmt.Println(len(members["10.0.0.a"].Live()), "live")
			delete(members, "10.0.0.c")
		}
	}
	fmt.Println(len(members["10.0.0.b"].Live()), "live")
	// Unordered output:
	// 3 live
	// a sees c dead
	// b sees c dead
	// 2 live
}
