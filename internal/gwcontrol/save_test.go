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
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// newTestConsensus returns a voter without peers whose node the test drives.
func newTestConsensus(t *testing.T, id string) *Consensus {
	t.Helper()
	log, err := gwstore.Open(gwstore.NewMemoryFS(), "voter")
	require.NoError(t, err)
	c := &Consensus{
		ConsensusOptions: ConsensusOptions{
			Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Store: log, State: gwstate.New(0), OnApplied: func() {},
			Address: func(string) (string, bool) { return "", false },
		},
		proposals: make(map[uint64]proposal), reads: make(map[uint64]chan error), peers: make(map[string]*sender),
		voterLog: newVoterLog(slog.New(slog.DiscardHandler)),
	}
	c.node, err = gwquorum.NewNode(gwquorum.Config{ID: id, Rand: rand.NewPCG(1, 1)}, gwquorum.HardState{}, gwquorum.Snapshot{}, nil)
	require.NoError(t, err)
	return c
}

// work processes what the node has ready, and its saves, until nothing is left.
func (c *Consensus) work(ctx context.Context) error {
	for {
		if err := c.processReady(ctx); err != nil || c.saving == nil {
			return err
		}
		if err := c.endSave(ctx, <-c.saving.result()); err != nil {
			return err
		}
	}
}

// Guards against a member that is sent a snapshot of a long log and then takes one of its own of
// the same entry, which is an error that stopped its voter for 0.5 s.
func TestRestoredSnapshotIsNotTakenAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	state := gwstate.New(0)
	now := time.Now()
	data, err := gwstate.Encode(gwstate.StartGroup{Group: "g", Primary: "p", Term: 1}, now)
	require.NoError(t, err)
	const index = 3 * compactEntries
	state.Apply(index, data, now)
	snapshot, err := state.Snapshot()
	require.NoError(t, err)

	c := newTestConsensus(t, "d")
	c.node.Step(gwquorum.Message{
		Kind: gwquorum.MessageSnapshot, From: "a", To: "d", Term: 1,
		Snapshot: &gwquorum.Snapshot{Index: index, Term: 1, Members: gwquorum.Members{Voters: []string{"a"}, Learners: []string{"d"}}, Data: snapshot},
	}, now)
	require.NoError(t, c.work(ctx))
	assert.Equal(t, uint64(index), c.State.Index())
	entry := gwquorum.Entry{Index: index + 1, Term: 1, Data: data}
	c.node.Step(gwquorum.Message{Kind: gwquorum.MessageAppend, From: "a", To: "d", Term: 1, Index: index, LogTerm: 1, Entries: []gwquorum.Entry{entry}, Commit: index + 1}, now)
	require.NoError(t, c.work(ctx))
	assert.Equal(t, uint64(index+1), c.State.Index())
	assert.Equal(t, uint64(index), c.node.Status().Snapshot)
}

// Guards against a call at an earlier leader that waits for its whole time, as the entry that it
// proposed is skipped by a snapshot, and against memory that grows with such calls.
func TestSnapshotAnswersProposals(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newTestConsensus(t, "d")
	data, err := c.State.Snapshot()
	require.NoError(t, err)
	replaced, later := make(chan applied, 1), make(chan applied, 1)
	c.proposals[5], c.proposals[10] = proposal{term: 1, done: replaced}, proposal{term: 1, done: later}
	c.node.Step(gwquorum.Message{
		Kind: gwquorum.MessageSnapshot, From: "a", To: "d", Term: 2,
		Snapshot: &gwquorum.Snapshot{Index: 9, Term: 2, Members: gwquorum.Members{Voters: []string{"a", "d"}}, Data: data},
	}, time.Now())
	require.NoError(t, c.work(ctx))
	require.Len(t, replaced, 1)
	assert.ErrorIs(t, (<-replaced).err, errLostLeadership)
	assert.Empty(t, later)
	assert.Len(t, c.proposals, 1)
}
