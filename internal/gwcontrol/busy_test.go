package gwcontrol

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// Guards against refusing a configuration because the leader's links are full, which makes the
// caller send it again over the same links.
func TestProposeWaitsForRoom(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newLeadingConsensus(t, clock)
	c.running.Store(true)
	go func() { _ = c.drive(t.Context()) }()
	last := make(chan uint64, 1)
	c.calls <- func() {
		index, _, err := c.node.Propose(make([]byte, gwquorum.DefaultMaxPendingBytes))
		assert.NoError(t, err)
		last <- index
	}
	full := <-last

	outcome := make(chan error, 1)
	go func() {
		_, err := c.Propose(t.Context(), gwstate.PublishManifest{Number: 1, Text: string(make([]byte, 100<<10))})
		outcome <- err
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 2), "the voter's ticker and the proposal wait")
	assert.Equal(t, full, c.Status().Last)

	confirm := func(index uint64) {
		c.calls <- func() {
			m := gwquorum.Message{Kind: gwquorum.MessageAppendReply, From: "b", To: "a", Term: 1, Index: index}
			c.node.Step(m, clock.Now())
			last <- c.node.Status().Commit
		}
		<-last
	}
	confirm(full)
	clock.Advance(busyRetryDelay)
	require.Eventually(t, func() bool { return c.Status().Last == full+1 }, 5*time.Second, 5*time.Millisecond)
	confirm(full + 1)
	require.NoError(t, <-outcome)
}
