package gwquorum_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// A group of one voter shows the driver loop: save, send, apply and advance.
func ExampleNode() {
	log, err := gwstore.Open(gwstore.NewMemoryFS(), "data")
	if err != nil {
		fmt.Println(err)
		return
	}
	first := gwquorum.Snapshot{Members: gwquorum.Members{Voters: []string{"a"}}}
	n, err := gwquorum.NewNode(gwquorum.Config{ID: "a", Rand: rand.NewPCG(1, 2)}, gwquorum.HardState{}, first, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	work := func() {
		for rd := n.Ready(); !rd.Empty(); rd = n.Ready() {
			if err := log.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
				fmt.Println("save failed, discard the node:", err)
				return
			}
			// Send rd.Messages here.
			for _, e := range rd.Committed {
				if e.Kind == gwquorum.EntryData {
					fmt.Printf("apply %d: %s\n", e.Index, e.Data)
				}
			}
			for _, r := range rd.Reads {
				fmt.Printf("read %d may see everything up to %d\n", r.ID, r.Index)
			}
			n.Advance(rd)
		}
	}
	now := time.Unix(0, 0)
	n.Tick(now)
	n.Tick(now.Add(time.Second)) // after the election timeout
	work()
	if _, _, err := n.Propose([]byte("hello")); err != nil {
		fmt.Println(err)
	}
	work()
	if err := n.ReadIndex(7); err != nil {
		fmt.Println(err)
	}
	work()
	// Output:
	// apply 2: hello
	// read 7 may see everything up to 2
}

// A node that is not the leader refuses a proposal and names the leader, if known.
func ExampleKindOf() {
	n, err := gwquorum.NewNode(gwquorum.Config{ID: "a", Rand: rand.NewPCG(1, 2)}, gwquorum.HardState{},
		gwquorum.Snapshot{Members: gwquorum.Members{Voters: []string{"a", "b", "c"}}}, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	_, _, err = n.Propose([]byte("x"))
	fmt.Println(gwquorum.KindOf(err) == gwquorum.KindNotLeader)
	// Output: true
}

func ExampleMembers_Quorum() {
	m := gwquorum.Members{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}
	fmt.Println(m.Quorum())
	// Output: 2
}
