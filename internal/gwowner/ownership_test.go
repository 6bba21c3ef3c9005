package gwowner

import (
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwmember"
)

// aloneMembership returns the membership of an instance that is the only one.
func aloneMembership(t *testing.T, clock clockwork.Clock) *gwcontrol.Membership {
	authority, err := gwpeer.NewAuthority("test")
	require.NoError(t, err)
	source, err := authority.IssueSource("a")
	require.NoError(t, err)
	node, err := gwpeer.Listen(t.Context(), gwpeer.Options{Address: "127.0.0.1:0", TLS: source, Instance: "a"})
	require.NoError(t, err)
	t.Cleanup(func() { _ = node.Close() })
	self := gwmember.Member{Instance: "a", DataCentre: "x", Region: "r", Address: "10.0.0.1:7000", Incarnation: 1}
	return gwcontrol.NewMembership(node, clock, slog.New(slog.DiscardHandler), gwmember.Config{Self: self}, func(gwmember.PeerAhead) {})
}

// Guards against an instance that waits for settle again when it gets its first server, long
// after it has become a member.
func TestSettledWithoutServers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	o := &Owner{clock: clock, members: aloneMembership(t, clock), directory: gwcontrol.NewDirectory(), settle: time.Second, settleFar: time.Minute}
	o.reconcile()
	clock.Advance(time.Second)
	o.reconcile()
	assert.True(t, o.settled("x", "x"))
	assert.False(t, o.settled("y", "x"), "another data centre")
}
