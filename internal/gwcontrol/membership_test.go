package gwcontrol

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwmember"
)

// Guards against a topology that is rebuilt for each of hundreds of instances that start at
// once, and against requests that go on to the owner that has left meanwhile.
func TestTopologyInterval(t *testing.T) {
	authority, err := gwpeer.NewAuthority("test")
	require.NoError(t, err)
	source, err := authority.IssueSource("a")
	require.NoError(t, err)
	node, err := gwpeer.Listen(t.Context(), gwpeer.Options{Address: "127.0.0.1:0", TLS: source, Instance: "a"})
	require.NoError(t, err)
	t.Cleanup(func() { _ = node.Close() })
	clock := clockwork.NewFakeClock()
	member := func(name string) gwmember.Member {
		return gwmember.Member{Instance: name, DataCentre: "x", Region: "r", Address: "10.0.0.1:7000", Incarnation: 1}
	}
	m := NewMembership(node, clock, slog.New(slog.DiscardHandler), gwmember.Config{Self: member("a")}, func(gwmember.PeerAhead) {})
	update := func(name string, status gwmember.Status) {
		m.receive(name, gwmember.Message{Kind: gwmember.KindGossip, Updates: []gwmember.Update{{Member: member(name), Status: status}}})
	}
	live := func() int { return len(m.Topology().Live) }

	update("b", gwmember.StatusAlive)
	require.Equal(t, 2, live(), "the first member")
	clock.Advance(10 * time.Millisecond)
	update("c", gwmember.StatusAlive)
	assert.Equal(t, 2, live(), "a member that joins soon after")
	update("b", gwmember.StatusLeft)
	assert.Equal(t, 2, live(), "a and c, as b has left")
	_, ok := m.Topology().Member("b")
	assert.False(t, ok)
	update("d", gwmember.StatusAlive)
	assert.Equal(t, 2, live())
	clock.Advance(topologyInterval)
	m.step(func() []gwmember.Action { return nil })
	assert.Equal(t, 3, live(), "after the interval")
}

// Guards against an instance that is back at its address, and to which the leader makes no link for
// up to 2 s, as it dialed the address in vain meanwhile.
func TestReturnedMemberIsDialedAtOnce(t *testing.T) {
	authority, err := gwpeer.NewAuthority("test")
	require.NoError(t, err)
	listen := func(name, address string) *gwpeer.Node {
		source, err := authority.IssueSource(name)
		require.NoError(t, err)
		node, err := gwpeer.Listen(t.Context(), gwpeer.Options{Address: address, TLS: source, Instance: name, Transport: gwpeer.TCP})
		require.NoError(t, err)
		t.Cleanup(func() { _ = node.Close() })
		return node
	}
	a, b := listen("a", "127.0.0.1:0"), listen("b", "127.0.0.1:0")
	address := b.Address()
	require.NoError(t, b.Close())
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		_, err := askVoter(t.Context(), a, address)
		require.Error(t, err)
	}
	gwpeer.Handle(listen("b", address), kindVoter, func(context.Context, string, Empty) (voterInfo, error) {
		return voterInfo{ID: "b#1"}, nil
	})
	member := func(name, address string) gwmember.Member {
		return gwmember.Member{Instance: name, DataCentre: "x", Region: "r", Address: address, Incarnation: 1}
	}
	m := NewMembership(a, clockwork.NewRealClock(), slog.New(slog.DiscardHandler), gwmember.Config{Self: member("a", a.Address())}, func(gwmember.PeerAhead) {})
	m.receive("c", gwmember.Message{Kind: gwmember.KindGossip, Updates: []gwmember.Update{{Member: member("b", address), Status: gwmember.StatusAlive}}})
	info, err := askVoter(t.Context(), a, address)
	require.NoError(t, err)
	assert.Equal(t, "b#1", info.ID)
}

// Guards against an instance that looks for others in vain without a word, so that its log does
// not tell this from other reasons not to serve, and against a line for each attempt.
func TestAloneIsReported(t *testing.T) {
	var tried []string
	for i := range 20 {
		tried = append(tried, fmt.Sprintf("10.0.0.%d:7000", i))
	}
	addresses := func() []string { return tried }
	now := time.Unix(1000, 0)
	out := new(bytes.Buffer)
	report := aloneReport{log: slog.New(slog.NewTextHandler(out, nil))}
	runFor := func(d time.Duration, live int, tried func() []string) string {
		out.Reset()
		for end := now.Add(d); now.Before(end); now = now.Add(gwmember.DefaultTick) {
			report.update(live, tried, now)
		}
		return out.String()
	}
	assert.Empty(t, runFor(aloneDelay, 1, addresses), "a start of all machines takes some seconds")
	line := runFor(aloneInterval, 1, addresses)
	assert.Equal(t, 1, strings.Count(line, "\n"), line)
	assert.Contains(t, line, `msg="no other instance found" for=5s addresses=20`)
	assert.Contains(t, line, "10.0.0.7:7000")
	assert.NotContains(t, line, "10.0.0.8:7000")
	line = runFor(time.Second, 3, addresses)
	assert.Equal(t, 1, strings.Count(line, "\n"), line)
	assert.Contains(t, line, `msg="other instances found" members=3 after=35s`)
	assert.Empty(t, runFor(time.Minute, 3, addresses))
	assert.Empty(t, runFor(time.Minute, 1, func() []string { return nil }), "a deployment of one instance")
	assert.Empty(t, runFor(time.Second, 2, addresses))
}
