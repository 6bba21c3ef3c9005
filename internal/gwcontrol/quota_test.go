package gwcontrol

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwquota"
)

// Guards against one message to every voter for each report, and against a confirmation that began
// before a report arrived.
func TestReportsShareConfirmations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const roundTrip = 60 * time.Millisecond
		var mu sync.Mutex
		var began []time.Time
		c := &confirmations{clock: clockwork.NewRealClock(), confirm: func(context.Context) error {
			mu.Lock()
			began = append(began, time.Now())
			mu.Unlock()
			time.Sleep(roundTrip)
			return nil
		}}
		var wg sync.WaitGroup
		for range 40 { // within a second
			wg.Go(func() {
				arrived := time.Now()
				assert.NoError(t, c.wait(t.Context()))
				mu.Lock()
				defer mu.Unlock()
				assert.True(t, slices.ContainsFunc(began, func(b time.Time) bool { return !b.Before(arrived) && time.Since(b) >= roundTrip }), "a whole confirmation after the arrival")
			})
			time.Sleep(25 * time.Millisecond)
		}
		wg.Wait()
		assert.LessOrEqual(t, len(began), 10)

		c.confirm = func(context.Context) error { return &Error{Op: "confirm", Kind: NotLeader} }
		assert.Error(t, c.wait(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Error(t, c.wait(ctx))
		time.Sleep(time.Second)
	})
}

// Guards against a report that is sent on to another voter although the first may have handled it,
// and against one that is not.
func TestMayHaveRun(t *testing.T) {
	tests := []struct {
		err  error
		want bool
	}{
		{&Error{Kind: NotLeader}, false},
		{&Error{Kind: Unavailable}, true},
		{&gwpeer.Error{Kind: gwpeer.KindNotSent}, false},
		{&gwpeer.Error{Kind: gwpeer.KindUnknown}, true},
		{&gwpeer.Error{Kind: gwpeer.KindRemote, Code: codeNotLeader}, false},
		{&gwpeer.Error{Kind: gwpeer.KindRemote}, true},
		{errors.New("any other"), true},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.want, mayHaveRun(tt.err), "%v", tt.err)
	}
}

// Guards against limits of customers without a rate.
func TestQuotaLimits(t *testing.T) {
	m := &gwmanifest.Manifest{Customers: []gwmanifest.Customer{{Name: "a", Rate: 236, Burst: 236}, {Name: "b"}}}
	rules := gwquota.Rules{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	assert.Equal(t, map[string]gwquota.Limit{"a": gwquota.NewLimit(236, 236, rules)}, QuotaLimits(m.Index(), rules))
	assert.Empty(t, QuotaLimits(nil, rules))
}
