package gwfilter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// Guards against refusals because of a server that answers late although its owner answers
// in time. The window of an instance bounds what it sends over the link to the owner; a
// server that is slow or loses answers for some seconds, while its replicas are late, made
// all instances refuse statements for 16 s (carnes-barrio, trouble-1).
func TestWindowShrinksOnlyIfOwnerIsSilent(t *testing.T) {
	tests := []struct {
		name string
		res  gwowner.Result
		// inFlight is whether the usual number of attempts can be in flight afterwards.
		inFlight bool
	}{
		{name: "server timed out", res: gwowner.Result{Event: gwoutcome.TimedOut}, inFlight: true},
		{name: "server broke the connection", res: gwowner.Result{Event: gwoutcome.BrokenAfterSend}, inFlight: true},
		{name: "owner unreachable", res: gwowner.Result{Event: gwoutcome.PeerUnreachable, OwnerSilent: true}},
		{name: "no answer from the owner", res: gwowner.Result{Event: gwoutcome.TimedOut, OwnerSilent: true}},
	}
	const usual = 8
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newServerTable()
			now := time.Unix(1_800_000_000, 0)
			for range 20 {
				assert.True(t, table.beginAttempt("s", "i"))
				now = now.Add(500 * time.Millisecond)
				table.endAttempt("s", "i", tt.res, now.Add(-500*time.Millisecond), now, 0)
			}
			taken := 0
			for taken < usual && table.beginAttempt("s", "i") {
				taken++
			}
			assert.Equal(t, tt.inFlight, taken == usual, "%d attempts in flight", taken)
		})
	}
}

// Guards against a window that the silence of an earlier owner has reduced, after the server has
// got another one: the entry instances refused statements for 2 s (full:window in the play of
// 9aa7c2c), as the window grows slowly after losses on a link.
func TestWindowBeginsAnewWithOwner(t *testing.T) {
	const usual = 16
	table := newServerTable()
	now := time.Unix(1_800_000_000, 0)
	taken := func(owner string) int {
		n := 0
		for n < usual && table.beginAttempt("s", owner) {
			n++
		}
		return n
	}
	silent := gwowner.Result{Event: gwoutcome.TimedOut, OwnerSilent: true}
	for range 8 {
		require.True(t, table.beginAttempt("s", "a"))
		now = now.Add(300 * time.Millisecond)
		table.endAttempt("s", "a", silent, now, now, 0)
	}
	late := taken("a")
	assert.Equal(t, 1, late)
	assert.Equal(t, usual, taken("b"), "another owner")
	for range late {
		table.endAttempt("s", "a", silent, now, now.Add(time.Second), 0)
	}
	table.endAttempt("s", "b", gwowner.Result{Event: gwoutcome.Answered}, now, now, 0)
	assert.Equal(t, 2, taken("b"), "the place of the answered attempt, and one more as the window grows; late ends of attempts through the first owner change nothing")
}

// panickingUpstream is an upstream whose requests panic.
type panickingUpstream struct{ closed bool }

func (*panickingUpstream) Owner() string { return "i" }
func (u *panickingUpstream) Close()      { u.closed = true }
func (*panickingUpstream) Exec(context.Context, *gwowner.Request, writer) gwowner.Result {
	panic("unexpected answer")
}

// Guards against a panic during a request that leaves its attempt counted for ever, so that
// the window to the server shrinks, or its stream open.
func TestPanicEndsAttempt(t *testing.T) {
	e := &Entry{Options: Options{Clock: clockwork.NewFakeClock(), Views: gwcontrol.NewViews(gwcontrol.ManifestFormat{})}, servers: newServerTable(), inflight: newInflight()}
	var up panickingUpstream
	assert.Panics(t, func() { e.attempt(t.Context(), &request{session: &session{entry: e}}, "s", &up) })
	assert.True(t, up.closed, "stream")
	assert.Zero(t, e.servers.shard("s").stat("s").window.Pending(), "unanswered attempts")
}

// Guards against statistics that are kept for each server that there ever was.
func TestStatisticsOfServersThatLeftAreDropped(t *testing.T) {
	const day, kept = 3000, 64
	table, now := newServerTable(), time.Unix(1000, 0)
	require.True(t, table.beginAttempt("unanswered", "i"))
	for run := range day {
		name := fmt.Sprintf("run-%d", run)
		require.True(t, table.beginAttempt(name, "i"))
		table.endAttempt(name, "i", gwowner.Result{Event: gwoutcome.Answered}, now, now.Add(time.Millisecond), 0)
		now = now.Add(time.Minute)
	}
	count := 0
	for i := range table.shards {
		count += len(table.shards[i].servers)
	}
	// A shard is swept with an attempt in it, so that the last one of each stays until the next.
	assert.LessOrEqual(t, count, 3*kept+int(statLifetime/time.Minute))
	assert.Contains(t, table.shard("unanswered").servers, "unanswered")
}
