package gwcontrol

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// The channels of the shared compressor must not belong to the bubble of the first test that takes a
// snapshot.
var _, _ = gwstate.New(0).Snapshot()

// voterGroup is voters with links of 30 ms, in the virtual time of a synctest bubble.
type voterGroup struct {
	t      *testing.T
	ids    []string
	voters map[string]*Consensus
	stop   map[string]context.CancelFunc
}

func newVoterGroup(t *testing.T, initial, later []string) *voterGroup {
	g := &voterGroup{t: t, ids: slices.Concat(initial, later), voters: make(map[string]*Consensus), stop: make(map[string]context.CancelFunc)}
	for _, id := range g.ids {
		store, err := gwstore.Open(gwstore.NewMemoryFS(), "voter")
		require.NoError(t, err)
		identity := Identity{ID: id}
		if slices.Contains(initial, id) {
			identity.InitialVoters = initial
		}
		log := slog.New(slog.DiscardHandler)
		g.voters[id] = &Consensus{
			ConsensusOptions: ConsensusOptions{
				Instance: voterName(id), Clock: clockwork.NewRealClock(), Log: log, Store: store,
				State: gwstate.New(gwmanifest.DefaultMaxClockDrift), OnApplied: func() {},
				Identity: func(context.Context) (Identity, error) { return identity, nil },
			},
			calls: make(chan func(), callQueueLength), proposals: make(map[uint64]proposal),
			reads: make(map[uint64]chan error), peers: make(map[string]*sender), voterLog: newVoterLog(log),
		}
	}
	for _, id := range g.ids {
		ctx, stop := context.WithCancel(t.Context())
		g.stop[id] = stop
		for _, to := range g.ids {
			s := &sender{queue: make(chan gwquorum.Message, sendQueueLength)}
			g.voters[id].peers[to] = s
			go g.link(ctx, s, g.voters[to])
		}
		go func() { _ = g.voters[id].Run(ctx) }()
	}
	return g
}

// link delivers messages, each 30 ms after it was sent.
func (g *voterGroup) link(ctx context.Context, s *sender, to *Consensus) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			time.AfterFunc(30*time.Millisecond, func() {
				_ = to.do(ctx, func() { to.node.Step(m, to.Clock.Now()) })
			})
		}
	}
}

// leading returns the leader once there is one.
func (g *voterGroup) leading() *Consensus {
	for range 200 {
		for _, c := range g.voters {
			if c.Leading() {
				return c
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Fail(g.t, "no voter leads")
	return nil
}

// Guards against a change of the voters that takes long because an instance does not answer the
// question for its identity, or because each step waits for the next look at the voters.
func TestVotersChangeAtOnce(t *testing.T) {
	for _, replaces := range []bool{false, true} {
		t.Run(fmt.Sprintf("replaces %t", replaces), func(t *testing.T) { testVotersChangeAtOnce(t, replaces) })
	}
}

func testVotersChangeAtOnce(t *testing.T, replaces bool) {
	synctest.Test(t, func(t *testing.T) {
		g := newVoterGroup(t, []string{"a", "b", "c"}, []string{"d#1"})
		c := g.leading()
		wanted := map[string]string{"d": "d#1"}
		for _, id := range []string{"a", "b", "c"} {
			wanted[id] = id
		}
		lost := slices.DeleteFunc([]string{"a", "b", "c"}, func(id string) bool { return id == c.Instance })[0]
		g.stop[lost]()
		delete(wanted, lost)
		l := &Leader{
			consensus: c, clock: c.Clock, log: c.Log, voters: func() map[string]string { return wanted },
			manifest: func() *gwmanifest.Index { return nil },
		}
		l.identities.askOne = func(ctx context.Context, address string) (voterInfo, error) {
			if address == "d#1" {
				return voterInfo{ID: address, Replaces: replaces}, nil
			}
			<-ctx.Done() // a voter that does not answer this question
			return voterInfo{}, ctx.Err()
		}
		for _, id := range []string{"a", "b", "c"} { // as they have answered before
			before := c.Clock.Now().Add(-time.Minute)
			l.identities.begin(id, before)
			l.identities.end(id, before, voterInfo{ID: id, Replaces: replaces}, true, before)
		}
		time.Sleep(time.Second)
		began := time.Now()
		l.reconcileVotersOnce(t.Context(), wanted)
		// One wait for an answer, three commits and a learner that catches up.
		assert.Less(t, time.Since(began), identityWait+6*60*time.Millisecond+8*consensusTick)
		st := c.Status()
		assert.Contains(t, st.Voters, "d#1")
		assert.NotContains(t, st.Voters, lost)
		assert.Len(t, st.Voters, 3)
		if replaces {
			assert.Equal(t, []string{lost}, st.Learners, "kept for absenceLimit")
			time.Sleep(absenceLimit)
			l.reconcileVotersOnce(t.Context(), wanted)
			st = c.Status()
			assert.Len(t, st.Voters, 3)
		}
		assert.Empty(t, st.Learners)
		for _, stop := range g.stop {
			stop()
		}
		time.Sleep(time.Minute)
	})
}

// Guards against an instance that does not answer and delays the others, and against the answer
// of an instance that has not been heard of since.
func TestVoterAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		asked := make(map[string]int)
		v := voterAnswers{askOne: func(ctx context.Context, address string) (voterInfo, error) {
			mu.Lock()
			asked[address]++
			mu.Unlock()
			switch address {
			case "prompt":
				return voterInfo{ID: "prompt#1"}, nil
			case "late":
				time.Sleep(2 * identityWait)
				return voterInfo{ID: "late#1"}, nil
			default:
				return voterInfo{}, errors.New("refused")
			}
		}}
		clock := clockwork.NewRealClock()
		ask := func() time.Duration {
			began := time.Now()
			v.ask(t.Context(), clock, map[string]string{"prompt": "prompt", "late": "late", "down": "down"})
			return time.Since(began)
		}
		answers := func() []string {
			now := clock.Now()
			return []string{v.answer("prompt", now), v.answer("late", now), v.answer("down", now), v.answer("unknown", now)}
		}
		assert.Equal(t, identityWait, ask())
		assert.Equal(t, []string{"prompt#1", "", "", ""}, answers())
		assert.Zero(t, ask(), "the late one is being asked already")
		time.Sleep(2 * identityWait)
		assert.Equal(t, []string{"prompt#1", "late#1", "", ""}, answers())
		assert.Equal(t, map[string]int{"prompt": 2, "late": 1, "down": 2}, asked)
		time.Sleep(identityLifetime + time.Second)
		assert.Equal(t, []string{"", "", "", ""}, answers())
	})
}

// Guards against a leader that does not know whether a voter that ended with the last leader knows
// gwquorum.Replace, so that its successor is promoted beside it.
func TestVotersTellTheirReleaseToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVoterGroup(t, []string{"a", "b", "c"}, nil)
		c := g.leading()
		follower := g.voters[slices.DeleteFunc([]string{"a", "b", "c"}, func(id string) bool { return id == c.Instance })[0]]
		l := &Leader{consensus: follower, clock: c.Clock, log: c.Log, voters: func() map[string]string {
			return map[string]string{"a": "a", "b": "b", "c": "c", "d": "d"}
		}}
		var mu sync.Mutex
		asked := make(map[string]int)
		l.identities.askOne = func(_ context.Context, address string) (voterInfo, error) {
			mu.Lock()
			defer mu.Unlock()
			asked[address]++
			return voterInfo{ID: address, Replaces: address != "d"}, nil
		}
		for range 3 {
			l.askReleases(t.Context())
			synctest.Wait()
		}
		others := slices.DeleteFunc([]string{"a", "b", "c"}, func(id string) bool { return id == follower.Instance })
		assert.Equal(t, map[string]int{others[0]: 1, others[1]: 1, "d": 3}, asked, "d may be updated")
		st := follower.Status()
		assert.True(t, l.identities.replaces(st))
		st.Learners = []string{"d"}
		assert.False(t, l.identities.replaces(st))
		for _, stop := range g.stop {
			stop()
		}
		time.Sleep(time.Minute)
	})
}

// Guards against live instances that are taken for the list of a manifest that came in force
// after they were read: a leader that knows no other instance yet removed the other voters.
func TestLiveInstancesAreNoList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVoterGroup(t, []string{"a", "b", "c"}, nil)
		c := g.leading()
		m := gwmanifest.Manifest{Voters: []gwmanifest.Voter{{Instance: "a", Address: "1"}, {Instance: "b", Address: "2"}, {Instance: "c", Address: "3"}}}
		l := &Leader{
			consensus: c, clock: c.Clock, log: c.Log, manifest: func() *gwmanifest.Index { return m.Index() },
			voters: func() map[string]string { return map[string]string{"a": "1", "b": "2", "c": "3"} },
		}
		l.identities.askOne = func(context.Context, string) (voterInfo, error) { return voterInfo{}, errors.New("refused") }
		l.reconcileVotersOnce(t.Context(), map[string]string{c.Instance: "1"})
		time.Sleep(time.Second)
		assert.Len(t, c.Status().Voters, 3)
		for _, stop := range g.stop {
			stop()
		}
		time.Sleep(time.Minute)
	})
}
