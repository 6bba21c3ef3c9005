package gwsession_test

import (
	"fmt"
	"time"

	"gentianward.example/gentianward/pkg/gwsession"
)

// A service that embeds the package returns a token to its caller after a write and later
// reads only from replicas that have reached the token's position.
func ExampleSigner() {
	signer := gwsession.NewSigner(time.Hour, []byte("secret shared by all instances"))
	now := time.Unix(1_800_000_000, 0)

	var session gwsession.Session
	session = session.WithWrite("orders", gwsession.Position{Term: 4, Offset: 120})
	token, _ := signer.Issue("alice", session.Watermark(), now)

	watermark, _ := signer.Verify("alice", token, now.Add(time.Minute))
	elsewhere := gwsession.Session{}.WithToken(watermark)
	required, _ := elsewhere.Watermark().Position("orders")

	replica := gwsession.Position{Term: 4, Offset: 118}
	fmt.Println(required, replica.AtLeast(required))
	// Output: 4/120 false
}
