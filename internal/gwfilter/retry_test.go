package gwfilter

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwroute"
)

// Guards against a read that is repeated at full or stale servers until its deadline,
// and against one that is refused while its group is briefly without an owner.
func TestRetryOfRefusedReads(t *testing.T) {
	servers := []string{"a", "b", "c"}
	tests := []struct {
		name string
		// refuse returns how the attempt with the given number, from 0, ends.
		refuse    func(attempt int) gwoutcome.Event
		took      time.Duration // by each attempt
		want      gwoutcome.Event
		wantMost  int // attempts
		wantLeast int
	}{
		{"all servers are full", func(int) gwoutcome.Event { return gwoutcome.QueueFull }, 0, gwoutcome.QueueFull, 4, 3},
		{"two are full and the last is too stale", func(n int) gwoutcome.Event {
			if n == 2 {
				return gwoutcome.TooStale
			}
			return gwoutcome.QueueFull
		}, 0, gwoutcome.TooStale, 4, 3},
		{"the refusals take long", func(int) gwoutcome.Event { return gwoutcome.QueueFull }, 300 * time.Millisecond, gwoutcome.QueueFull, 1, 1},
		{"no owner yet, then one", func(n int) gwoutcome.Event {
			if n < 9 {
				return gwoutcome.NotOwner
			}
			return gwoutcome.Answered
		}, 0, gwoutcome.Answered, 13, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			e := &Entry{
				Options: Options{Clock: clock, Log: slog.New(slog.DiscardHandler), Views: gwcontrol.NewViews(gwcontrol.ManifestFormat{})},
				rng:     rand.New(rand.NewPCG(1, 1)), budget: gwoutcome.NewBudget(retryRatio, retryBurst),
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			go func() { // advances the clock during pauses
				for clock.BlockUntilContext(ctx, 1) == nil {
					clock.Advance(10 * time.Millisecond)
				}
			}()
			r := &request{
				session: &session{entry: e}, w: &answerBuffer{}, kind: stmtRead, started: clock.Now(), deadline: clock.Now().Add(time.Minute),
				rules: rules{
					class:  gwmanifest.Class{Retry: true, Aim: gwmanifest.NewDuration(time.Second)},
					limits: gwmanifest.Limits{GapWait: gwmanifest.NewDuration(time.Minute)},
				},
			}
			attempts := 0
			res := e.retry(func(_ context.Context, r *request) gwowner.Result {
				r.served = gwroute.Server{}
				for _, s := range servers {
					if !r.need.Excluded[s] {
						r.served.Name = s
						break
					}
				}
				if r.served.Name == "" {
					return notRun(noServer, "none is left")
				}
				clock.Advance(tt.took)
				event := tt.refuse(attempts)
				attempts++
				return gwowner.Result{Event: event, TxStatus: 'I'}
			})(ctx, r)
			assert.Equal(t, tt.want, res.Event)
			assert.LessOrEqual(t, attempts, tt.wantMost)
			assert.GreaterOrEqual(t, attempts, tt.wantLeast)
		})
	}
}

// Guards against requests that are held until their deadline while nothing can end the change
// of primary, and against a change that can end whose requests are refused at once.
func TestRequestsDuringChange(t *testing.T) {
	const gapWait = 400 * time.Millisecond
	tests := []struct {
		name string
		wait string
		held bool
	}{
		{name: "the change can end", held: true},
		{name: "the change waits for an operator", wait: "a has left with its data"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			views := gwcontrol.NewViews(gwcontrol.ManifestFormat{})
			_, err := views.Apply(gwcontrol.ViewDelta{Index: 1, Groups: []gwcontrol.GroupView{{Group: "g", Term: 1, Changing: true, Wait: tt.wait, Index: 1}}})
			require.NoError(t, err)
			e := &Entry{
				Options: Options{Clock: clock, Log: slog.New(slog.DiscardHandler), Views: views},
				rng:     rand.New(rand.NewPCG(1, 1)), budget: gwoutcome.NewBudget(retryRatio, retryBurst),
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			go func() { // advances the clock during pauses
				for clock.BlockUntilContext(ctx, 1) == nil {
					clock.Advance(10 * time.Millisecond)
				}
			}()
			r := &request{
				session: &session{entry: e, group: "g"}, w: &answerBuffer{}, kind: stmtWrite, started: clock.Now(), deadline: clock.Now().Add(time.Minute),
				rules: rules{limits: gwmanifest.Limits{GapWait: gwmanifest.NewDuration(gapWait)}},
			}
			res := e.retry(func(context.Context, *request) gwowner.Result { return notRun(gwoutcome.NoLease, "no lease") })(ctx, r)
			assert.Equal(t, gwoutcome.NoLease, res.Event)
			if tt.held {
				assert.GreaterOrEqual(t, r.held, gapWait-10*time.Millisecond)
				return
			}
			assert.Zero(t, r.held)
			assert.Zero(t, clock.Since(r.started))
		})
	}
}
