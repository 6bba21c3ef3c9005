package gwcontrol

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstore"
)

// Guards against an instance that has lost its disk and asks the first voters one after the other,
// so that each one whose machine is gone delays its vote by askVoterTimeout.
func TestEmptyVoterAsksAllAtOnce(t *testing.T) {
	authority, err := gwpeer.NewAuthority("test")
	require.NoError(t, err)
	listen := func(name string) *gwpeer.Node {
		source, err := authority.IssueSource(name)
		require.NoError(t, err)
		node, err := gwpeer.Listen(t.Context(), gwpeer.Options{Address: "127.0.0.1:0", TLS: source, Instance: name})
		require.NoError(t, err)
		t.Cleanup(func() { _ = node.Close() })
		return node
	}
	a, e := listen("a"), listen("e")
	gwpeer.Handle(e, kindVoter, func(context.Context, string, Empty) (voterInfo, error) {
		return voterInfo{ID: "e", Initialized: true}, nil
	})
	voters := map[string]string{"a": a.Address(), "e": e.Address()}
	for _, name := range []string{"b", "c", "d"} { // take packets and connections, and do not answer
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		p, err := net.ListenPacket("udp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = p.Close() })
		voters[name] = l.Addr().String()
	}
	for range 4 { // the order of a map is random
		began := time.Now()
		identity, err := LoadIdentity(t.Context(), IdentityOptions{
			Instance: "a", Node: a, Clock: clockwork.NewRealClock(), FS: gwstore.NewMemoryFS(), Folder: "data", StoreEmpty: true, InitialVoters: voters,
		})
		require.NoError(t, err)
		assert.Empty(t, identity.InitialVoters)
		assert.Less(t, time.Since(began), askVoterTimeout)
	}
}
