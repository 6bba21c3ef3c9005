package gwcontrol

import (
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/pkg/gwlease"
)

// Guards against a lease that is granted after it was given up and then keeps the next
// owner waiting until it runs out.
func TestKeeperReturnsLeaseGrantedTooLate(t *testing.T) {
	tests := []struct {
		name     string
		giveUp   bool
		wantBack map[string]uint64
	}{
		{"still wanted", false, map[string]uint64{}},
		{"given up while the request was under way", true, map[string]uint64{"g": 7}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wanted := map[string]uint64{"g": 1}
			clock := clockwork.NewFakeClock()
			k := NewLeaseKeeper(nil, clock, slog.New(slog.DiscardHandler), "a", 1, 0, func() map[string]uint64 { return wanted })
			k.want()
			req, ok := k.request()
			assert.True(t, ok)
			if tt.giveUp {
				delete(wanted, "g")
				k.want()
			}
			answer := leaseAnswer{Answer: gwlease.Answer{Epoch: 1, Sequence: req.Sequence}, Sequences: map[string]uint64{"g": 7}}
			assert.Equal(t, tt.wantBack, k.accept(answer))
			assert.Equal(t, !tt.giveUp, k.Valid("g", 1))
			assert.Equal(t, !tt.giveUp, k.Grant("g") == 7)
		})
	}
}

// Guards against changes of primary without end: the time before and during a change
// counted as time without a lease, so that the new owner had none to ask for one.
func TestLeaselessDoesNotCountChanges(t *testing.T) {
	start := time.Unix(100, 0)
	idle := make(leaseless)
	assert.False(t, idle.tooLong("g", false, false, start), "the lease was just given up")
	for at := time.Duration(0); at < 2*leaselessLimit; at += 10 * time.Millisecond {
		assert.False(t, idle.tooLong("g", true, false, start.Add(at)), "a change is running")
	}
	done := start.Add(2 * leaselessLimit)
	assert.False(t, idle.tooLong("g", false, false, done))
	assert.False(t, idle.tooLong("g", false, false, done.Add(leaselessLimit)))
	assert.True(t, idle.tooLong("g", false, false, done.Add(leaselessLimit+1)))

	assert.False(t, idle.tooLong("g", false, false, done))
	assert.False(t, idle.tooLong("g", false, true, done.Add(leaselessLimit)), "leased meanwhile")
	assert.False(t, idle.tooLong("g", false, false, done.Add(2*leaselessLimit)))
}
