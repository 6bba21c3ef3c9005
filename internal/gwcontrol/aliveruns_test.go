package gwcontrol

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwmember"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Guards against the answer of a copy that has started again under its id, without data, and counts
// as that of its earlier run, which confirmed writes: after a loss of power, neither the owner of
// the copy nor the directory knows better.
func TestAnswerCountsForItsRun(t *testing.T) {
	at := func(offset uint64) gwsession.Position { return gwsession.Position{Term: 2, Offset: offset} }
	run := func(born uint64, age time.Duration) aliveRunsResponse {
		return aliveRunsResponse{Runs: []aliveRun{{Server: "b", Born: 10, Age: time.Millisecond}, {Server: "c", Born: born, Age: age}}}
	}
	earlier := &gwpeer.Error{Kind: gwpeer.KindNotSent, Err: errors.New("kind 18 has no handler")}
	tests := []struct {
		name   string
		age    time.Duration // of the connection to c
		told   aliveRunsResponse
		err    error
		counts bool
	}{
		{"a heartbeat that is older than the connection", time.Second, run(10, time.Minute), nil, false},
		{"a heartbeat since then", time.Minute, run(10, time.Second), nil, true},
		{"a heartbeat of a later run since then", time.Minute, run(20, time.Second), nil, false},
		{"no heartbeat", time.Minute, aliveRunsResponse{}, nil, false},
		{"no instance within reach", time.Minute, aliveRunsResponse{}, context.DeadlineExceeded, false},
		{"an instance of an earlier release", time.Minute, aliveRunsResponse{}, earlier, true},
		{"an owner of an earlier release", 0, aliveRunsResponse{}, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newSteppedVoter(t, clockwork.NewRealClock())
			v.propose(
				gwstate.StartGroup{Group: "g", Primary: "a", Term: 2, Start: at(5)},
				gwstate.SetCopies{Group: "g", Term: 2, Copies: at10("a", "b", "c")},
				gwstate.BeginChange{Group: "g", FromTerm: 2},
			)
			owners := &scriptedOwners{servers: returnedAt(at10("b", "c")), answers: map[string]Copy{
				"b": {Server: "b", Position: at(7), Held: 2, RunAge: tt.age},
				"c": {Server: "c", Position: at(6), Held: 2, RunAge: tt.age}, // up to 9 before it started again
			}}
			l := &Leader{consensus: v.Consensus, state: v.State, clock: v.Clock, log: v.Log, owners: owners, promoter: &fakePlatform{}}
			l.runs = &runTable{
				clock: v.Clock, members: func() []gwmember.Member { return []gwmember.Member{{Instance: "e"}} },
				askOne: func(context.Context, gwmember.Member, aliveRunsRequest) (aliveRunsResponse, error) {
					return tt.told, tt.err
				},
			}
			g, _ := v.State.Group("g")
			e := NewEvidence(g)
			done := make(chan struct{})
			var got []Copy
			var err error
			go func() {
				defer close(done)
				got, err = l.fenceAll(t.Context(), g, e)
			}()
			v.serve(done, 0)
			if tt.counts {
				require.NoError(t, err)
				assert.Equal(t, "b", got[0].Server)
				return
			}
			require.Error(t, err, "%v", got)
			assert.Contains(t, e.Wait(2).Missing, "c at c:1 answers, but has not been heard from since it may have started again")
		})
	}
}

// Guards against an old primary that has started again without data and counts as the one that led,
// because the term begins with an empty log, and against a change that waits for a heartbeat of one
// that has held the term.
func TestUnidentifiedPrimary(t *testing.T) {
	g := gwstate.Group{Name: "g", Primary: "a", Term: 1, NextTerm: 2, Start: gwsession.Position{Term: 1}, Copies: at10("a", "b", "c")}
	tests := []struct {
		name   string
		answer Copy
		want   bool
	}{
		{"empty", Copy{Server: "a"}, false},
		{"with its log", Copy{Server: "a", Position: gwsession.Position{Term: 1, Offset: 9}, Held: 1}, true},
		{"follows a later term", Copy{Server: "a", Position: gwsession.Position{Term: 2, Offset: 9}, Held: 2}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := NewEvidence(g)
			e.AddServers(returnedAt(at10("a", "b", "c")))
			e.AddUnidentified(tt.answer)
			assert.Equal(t, tt.want, e.oldPrimaryAnswered())
		})
	}
}

// Guards against a heartbeat that was delayed and shows a run that has ended to exist, and against
// one of a run that was followed by another.
func TestHeartbeats(t *testing.T) {
	type beat struct {
		born, sequence uint64
		gone           bool
	}
	const second = time.Second
	tests := []struct {
		name  string
		beats []beat // one each second
		want  []aliveRun
	}{
		{"the first one may be late", []beat{{10, 1, false}}, nil},
		{"the second shows that the first was answered", []beat{{10, 1, false}, {10, 2, false}}, []aliveRun{{Server: "b", Born: 10, Age: 2 * second}}},
		{"the third", []beat{{10, 1, false}, {10, 2, false}, {10, 5, false}}, []aliveRun{{Server: "b", Born: 10, Age: 2 * second}}},
		{"the first one again", []beat{{10, 1, false}, {10, 1, false}}, nil},
		{"out of order", []beat{{10, 2, false}, {10, 1, false}}, nil},
		{"the last sequence number", []beat{{10, lastSequence, false}, {10, lastSequence, false}}, []aliveRun{{Server: "b", Born: 10, Age: 2 * second}}},
		{"the first of a later run", []beat{{10, 1, false}, {10, 2, false}, {20, 1, false}}, nil},
		{"one of an earlier run", []beat{{20, 1, false}, {20, 2, false}, {10, 9, false}}, []aliveRun{{Server: "b", Born: 20, Age: 3 * second}}},
		{"a deregistration", []beat{{10, 1, false}, {10, 2, true}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			h := &Heartbeats{clock: clock, byServer: make(map[string]receivedHeartbeats)}
			for _, b := range tt.beats {
				h.Record(ServerFacts{Server: "b", Born: b.born, Version: b.born<<20 | b.sequence, Gone: b.gone})
				clock.Advance(second)
			}
			assert.Equal(t, tt.want, h.alive(aliveRunsRequest{Servers: []string{"b", "x"}}).Runs)
			clock.Advance(heartbeatLifetime)
			h.Record(ServerFacts{Server: "y", Born: 1, Version: 1})
			assert.Len(t, h.byServer, 1, "heartbeats of servers that ended are dropped")
		})
	}
}

// Guards against a question to every instance for each of the groups whose primaries change at once.
func TestQuestionsForRunsAreJoined(t *testing.T) {
	asked := make(chan aliveRunsRequest, 10)
	table := &runTable{
		clock: clockwork.NewRealClock(), members: func() []gwmember.Member { return []gwmember.Member{{Instance: "e"}} },
		askOne: func(_ context.Context, _ gwmember.Member, r aliveRunsRequest) (aliveRunsResponse, error) {
			asked <- r
			return aliveRunsResponse{Runs: []aliveRun{{Server: r.Servers[0], Born: 10}}}, nil
		},
	}
	first, second := table.ask(t.Context(), []string{"b", "c"}), table.ask(t.Context(), []string{"a"})
	for range 2 { // an answer and the end
		<-first
		<-second
	}
	assert.Equal(t, aliveRunsRequest{Servers: []string{"a", "b", "c"}}, <-asked)
	assert.Empty(t, asked)
	assert.True(t, table.knows(ServerFacts{Server: "a", Born: 10}))
	assert.False(t, table.knows(ServerFacts{Server: "a", Born: 20}))
}
