package gwowner

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	gwexamples "gentianward.example/gentianward/examples"
	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
)

// countedLeases counts how often a lease was given up.
type countedLeases struct {
	fakeLeases
	givenUp atomic.Int64
}

func (l *countedLeases) GiveUp(context.Context, string) { l.givenUp.Add(1) }

// Guards against an owner that gives up the lease of a primary which only has another address,
// and then refuses its writes for a second, and against one that keeps the lease of another run
// of the server or of one that it no longer owns.
func TestLeaseOfUpdatedPrimary(t *testing.T) {
	facts := gwcontrol.ServerFacts{Server: "i-1", Group: "g", Address: "127.0.0.1:1", Born: 1, Slots: 1, Connections: 4}
	tests := []struct {
		name   string
		update func(f gwcontrol.ServerFacts) gwcontrol.ServerFacts
		want   int64
	}{
		{name: "another address", update: func(f gwcontrol.ServerFacts) gwcontrol.ServerFacts { f.Address = "127.0.0.1:2"; return f }},
		{name: "another run", update: func(f gwcontrol.ServerFacts) gwcontrol.ServerFacts { f.Born = 2; return f }, want: 1},
		{name: "another slot", update: func(f gwcontrol.ServerFacts) gwcontrol.ServerFacts { f.Slots = 2; return f }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var leases countedLeases
			o := &Owner{
				clock: clockwork.NewRealClock(), log: slog.New(slog.DiscardHandler), views: gwcontrol.NewViews(gwcontrol.ManifestFormat{}), leases: &leases,
				dialect: &fakeServer{}, backendOptions: func(gwcontrol.ServerFacts) gwbackend.Options { return gwbackend.Options{} },
				servers: make(map[string]*server), draining: make(map[*server]bool), ctx: t.Context(),
			}
			_, err := o.views.Apply(gwcontrol.ViewDelta{Index: 1, Groups: []gwcontrol.GroupView{{Index: 1, Group: "g", Primary: "i-1", Term: 1}}})
			require.NoError(t, err)
			o.open(facts)
			o.update(o.server("i-1"), tt.update(facts))
			o.closing.Wait()
			assert.Equal(t, tt.want, leases.givenUp.Load(), "after the update")
			require.NotNil(t, o.server("i-1"))
			assert.Equal(t, tt.update(facts), o.server("i-1").facts())
			o.Release(t.Context())
			assert.Equal(t, tt.want+1, leases.givenUp.Load(), "after the release")
		})
	}
}

// Guards against connections to a server that another one has replaced at its address: they take
// those of the other one, and its owner kept them when the directory dropped the replaced server.
func TestReplacedServerIsReleased(t *testing.T) {
	for _, later := range []int{1, 3} {
		clock := clockwork.NewFakeClock()
		o := &Owner{
			clock: clock, log: slog.New(slog.DiscardHandler), views: gwcontrol.NewViews(gwcontrol.ManifestFormat{}), leases: &countedLeases{},
			members: aloneMembership(t, clock), directory: gwcontrol.NewDirectory(), dialect: &fakeServer{},
			backendOptions: func(gwcontrol.ServerFacts) gwbackend.Options { return gwbackend.Options{} },
			servers:        make(map[string]*server), draining: make(map[*server]bool), ctx: t.Context(),
		}
		facts := func(born int) gwcontrol.ServerFacts {
			return gwcontrol.ServerFacts{Server: fmt.Sprint("i-", born), Group: "g", Address: "127.0.0.1:1", Slots: 1, Connections: 4, Born: uint64(born), Version: 1}
		}
		text, err := gwexamples.Files.ReadFile("ecodour/manifest.jsonc")
		require.NoError(t, err)
		_, err = o.views.Apply(gwcontrol.ViewDelta{Index: 1, Number: 1, Text: text})
		require.NoError(t, err)
		o.directory.Merge([]gwcontrol.ServerFacts{facts(1)})
		o.reconcile()
		require.NotNil(t, o.server("i-1"))
		for born := 2; born <= 1+later; born++ {
			o.directory.Merge([]gwcontrol.ServerFacts{facts(born)})
		}
		o.reconcile()
		assert.Nil(t, o.server("i-1"), "replaced %d times", later)
		assert.NotNil(t, o.server(facts(1+later).Server))
		o.Release(t.Context())
	}
}
