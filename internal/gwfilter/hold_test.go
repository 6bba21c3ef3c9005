package gwfilter

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// refusingUpstream is an upstream that answers all requests with one event.
type refusingUpstream struct {
	event gwoutcome.Event
	owner string
	sent  int
}

func (u *refusingUpstream) Owner() string { return u.owner }
func (*refusingUpstream) Close()          {}
func (u *refusingUpstream) Exec(context.Context, *gwowner.Request, writer) gwowner.Result {
	u.sent++
	return gwowner.Result{Event: u.event, TxStatus: 'I'}
}

// Guards against refusals that each cost two messages on the owner's link, and against a
// refusal that is taken for one of requests which the owner would serve.
func TestRefusalHoldsForSimilarRequests(t *testing.T) {
	write := gwowner.Request{Class: "a", Access: gwowner.Write}
	stale := gwowner.Request{Class: "a", Access: gwowner.Read, Staleness: time.Second}
	otherClass := gwowner.Request{Class: "b", Access: gwowner.Write}
	for _, tt := range []struct {
		name         string
		event        gwoutcome.Event
		first, later gwowner.Request
		owner        string // of the later request
		after        time.Duration
		want         bool // the later request is sent
	}{
		{"full queue, the same class", gwoutcome.QueueFull, write, write, "i", 0, false},
		{"full queue, another class", gwoutcome.QueueFull, write, otherClass, "i", 0, true},
		{"full queue, another owner", gwoutcome.QueueFull, write, write, "j", 0, true},
		{"full queue, later", gwoutcome.QueueFull, write, write, "i", 50 * time.Millisecond, true},
		{"no lease, another class", gwoutcome.NoLease, write, otherClass, "i", 0, false},
		{"no lease, a read that needs none", gwoutcome.NoLease, write, stale, "i", 0, true},
		{"freshness unknown", gwoutcome.FreshnessUnknown, stale, stale, "i", 0, false},
		{"freshness unknown, a write", gwoutcome.FreshnessUnknown, stale, write, "i", 0, true},
		{"not the owner", gwoutcome.NotOwner, write, stale, "i", 0, false},
		{"too stale for one request", gwoutcome.TooStale, stale, stale, "i", 0, true},
		{"an answer", gwoutcome.Answered, write, write, "i", 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			e := &Entry{
				Options: Options{Clock: clock, Views: gwcontrol.NewViews(gwcontrol.ManifestFormat{})},
				servers: newServerTable(), inflight: newInflight(), rng: rand.New(rand.NewPCG(1, 1)),
			}
			up := &refusingUpstream{event: tt.event, owner: "i"}
			first := e.attempt(t.Context(), &request{session: &session{entry: e}, exec: tt.first}, "s", up)
			assert.Equal(t, tt.event, first.Event)
			clock.Advance(tt.after)
			up.owner = tt.owner
			later := e.attempt(t.Context(), &request{session: &session{entry: e}, exec: tt.later}, "s", up)
			assert.Equal(t, tt.event, later.Event)
			assert.Equal(t, tt.want, up.sent == 2)
			assert.Zero(t, e.servers.shard("s").stat("s").window.Pending(), "unanswered attempts")
		})
	}
}
