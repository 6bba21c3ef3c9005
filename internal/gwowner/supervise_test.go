package gwowner

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
)

// followingServer is a paused replica that counts the orders to follow.
type followingServer struct {
	reportingServer
	follows int
}

func (f *followingServer) Follow(context.Context, gwbackend.Connection, uint64, string) (uint64, error) {
	f.follows++
	return 0, nil
}

// Guards against an instance on the wrong side of a partition that resumes a replica which
// the leader has paused for a change of primary. In the recorded partition one did so ten
// times a second, and the change took 1.9 s.
func TestOwnerWithoutContactOrdersNoServer(t *testing.T) {
	for _, tt := range []struct {
		name      string
		inContact func() bool
		want      int
	}{
		{"in contact", func() bool { return true }, 1},
		{"without contact", func() bool { return false }, 0},
		{"contact is not checked", nil, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := &followingServer{reportingServer: reportingServer{report: gwbackend.Report{Role: gwbackend.RoleReplica, Term: 2, Paused: true}}}
			g := gwcontrol.GroupView{Group: "g", Primary: "i-2", Term: 2, Index: 1}
			o := newFakeOwner(t, &f.fakeServer, g)
			o.clock, o.inContact, o.freshnessInterval = clockwork.NewFakeClock(), tt.inContact, time.Hour
			o.directory = gwcontrol.NewDirectory()
			o.directory.Record(gwcontrol.ServerFacts{Server: "i-2", Group: "g", Address: "127.0.0.1:1"})
			s := o.server("i-1")
			s.freshnessAskedAt = o.clock.Now()
			require.NoError(t, s.backend.Close(t.Context()))
			s.backend = gwbackend.NewServer(gwbackend.ServerOptions{Dialect: f, PollInterval: time.Hour, Pool: gwbackend.PoolOptions{Limit: 4}})
			_, err := s.backend.Refresh(t.Context())
			require.NoError(t, err)
			s.superviseReplica(t.Context(), g)
			assert.Equal(t, tt.want, f.follows)
		})
	}
}
