package gwcontrol

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// discardStore is a store that saves nothing.
type discardStore struct{ Store }

func (discardStore) Size() int64 { return 0 }

func (discardStore) Save(gwquorum.HardState, []gwquorum.Entry, *gwquorum.Snapshot) error { return nil }

// newLeadingConsensus returns voter a of the group a, b, c, which leads term 1; its messages
// are lost.
func newLeadingConsensus(t *testing.T, clock *clockwork.FakeClock) *Consensus {
	c := &Consensus{
		ConsensusOptions: ConsensusOptions{
			Clock: clock, Log: slog.New(slog.DiscardHandler), Store: discardStore{}, State: gwstate.New(0),
			Address: func(string) (string, bool) { return "", false }, OnApplied: func() {},
		},
		calls: make(chan func(), 8), proposals: make(map[uint64]proposal), reads: make(map[uint64]chan error), peers: make(map[string]*sender), voterLog: newVoterLog(slog.New(slog.DiscardHandler)),
	}
	snap := gwquorum.Snapshot{Members: gwquorum.Members{Voters: []string{"a", "b", "c"}}}
	var err error
	c.node, err = gwquorum.NewNode(gwquorum.Config{ID: "a", Rand: rand.NewPCG(1, 1)}, gwquorum.HardState{}, snap, nil)
	require.NoError(t, err)
	c.node.Tick(clock.Now())
	clock.Advance(time.Second)
	c.node.Tick(clock.Now())
	for _, m := range []gwquorum.Message{
		{Kind: gwquorum.MessagePreVoteReply, Term: 1},
		{Kind: gwquorum.MessageVoteReply, Term: 1},
		{Kind: gwquorum.MessageAppendReply, Term: 1, Index: 1},
	} {
		c.settle(t)
		m.From, m.To = "b", "a"
		c.node.Step(m, clock.Now())
	}
	c.settle(t)
	require.True(t, c.Leading())
	return c
}

// settle does all work that the node has, and waits for the saves.
func (c *Consensus) settle(t *testing.T) {
	require.NoError(t, c.processReady(t.Context()))
	for c.saving != nil {
		require.NoError(t, c.endSave(t.Context(), <-c.saving.done))
		require.NoError(t, c.processReady(t.Context()))
	}
}

// Guards against a voter that is taken for the leader while it stands still, although the
// others may have elected a successor.
func TestNotLeadingDuringPause(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newLeadingConsensus(t, clock)
	clock.Advance(maxPause - time.Millisecond)
	assert.True(t, c.Leading())
	clock.Advance(time.Millisecond)
	assert.False(t, c.Leading())
}

// Guards against a leader that was stopped and takes the replies to messages from before that
// for a sign that a quorum still follows it.
func TestPauseEndsLeadership(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newLeadingConsensus(t, clock)
	clock.Advance(time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	c.calls <- func() {
		c.node.Step(gwquorum.Message{Kind: gwquorum.MessageAppendReply, From: "b", To: "a", Term: 1, Index: 1}, clock.Now())
		cancel()
	}
	require.NoError(t, c.drive(ctx))
	assert.False(t, c.Leading())
	assert.Equal(t, gwquorum.Follower, c.Status().Role)
}

// Guards against a change of primary that goes on under the lease of the old primary, because
// the voter stood still for a moment while it waited for the lease to end.
func TestPauseDoesNotEndLease(t *testing.T) {
	clock := clockwork.NewFakeClock()
	v := newSteppedVoter(t, clock)
	l := newPromotingLeader(v, &fakePlatform{})
	assert.True(t, l.awaitLeaseEnd("g"), "there is no lease")
	clock.Advance(maxPause)
	assert.False(t, l.awaitLeaseEnd("g"))
}

// Guards against a wait that ends early because the time of an earlier term is taken, or that of
// a term which is no longer kept.
func TestTermTimes(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var times termTimes
	for term := uint64(1); term <= 2*keptTerms; term++ {
		at := start.Add(time.Duration(term) * time.Second)
		times.note(term*2, at)
		times.note(term*2, at.Add(time.Millisecond)) // the first counts
	}
	tests := []struct {
		name  string
		term  uint64
		want  time.Duration
		found bool
	}{
		{"the next term", 4*keptTerms - 2, 2 * keptTerms * time.Second, true},
		{"a term without entries", 4*keptTerms - 3, (2*keptTerms - 1) * time.Second, true},
		{"no later term", 4 * keptTerms, 0, false},
		{"a term that is no longer kept", 2, (keptTerms + 1) * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := times.after(tt.term)
			assert.Equal(t, tt.found, ok)
			if ok {
				assert.Equal(t, tt.want, got.Sub(start))
			}
		})
	}
}
