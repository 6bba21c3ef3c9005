package gwcontrol

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// Guards against a question for the identity of an instance that was sent before its machine was
// back and is lost: no other was sent for 500 ms, and a new member was added that much later.
func TestLostQuestionForIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := time.Now().Add(50 * time.Millisecond)
		v := voterAnswers{askOne: func(ctx context.Context, _ string) (voterInfo, error) {
			if time.Now().Before(up) {
				time.Sleep(askVoterTimeout)
				return voterInfo{}, context.DeadlineExceeded
			}
			time.Sleep(60 * time.Millisecond)
			return voterInfo{ID: "a#1"}, nil
		}}
		clock := clockwork.NewRealClock()
		v.ask(t.Context(), clock, map[string]string{"a": "a"})
		time.Sleep(voterCheckInterval - identityWait)
		v.ask(t.Context(), clock, map[string]string{"a": "a"})
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, "a#1", v.answer("a", clock.Now()))
		time.Sleep(askVoterTimeout)
		assert.Equal(t, "a#1", v.answer("a", clock.Now()), "after the end of the lost question")
	})
}

// Guards against an answer of an earlier process that arrives after that of its successor at the
// same address and names the identity whose data is lost.
func TestLateAnswerOfEarlierProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		asked := 0
		v := voterAnswers{askOne: func(context.Context, string) (voterInfo, error) {
			mu.Lock()
			asked++
			first := asked == 1
			mu.Unlock()
			if first {
				time.Sleep(2 * identityWait)
				return voterInfo{ID: "a"}, nil
			}
			return voterInfo{ID: "a#1"}, nil
		}}
		clock := clockwork.NewRealClock()
		v.ask(t.Context(), clock, map[string]string{"a": "a"})
		time.Sleep(time.Millisecond)
		v.ask(t.Context(), clock, map[string]string{"a": "a"})
		time.Sleep(2 * identityWait)
		assert.Equal(t, "a#1", v.answer("a", clock.Now()))
	})
}

// Guards against a leader that waits for a change to become possible and does not look at the
// instances meanwhile: one that became known then was asked up to 250 ms later.
func TestInstanceKnownDuringWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVoterGroup(t, []string{"a", "b", "c"}, []string{"d#1"})
		c := g.leading()
		var lost string
		for id, stop := range g.stop {
			if id != c.Instance && id != "d#1" {
				lost = id
				stop()
				break
			}
		}
		known := time.Now().Add(time.Minute)
		l := &Leader{
			consensus: c, clock: c.Clock, log: c.Log, manifest: func() *gwmanifest.Index { return nil },
			voters: func() map[string]string {
				wanted := map[string]string{}
				for _, id := range []string{"a", "b", "c"} {
					if id != lost {
						wanted[id] = id
					}
				}
				if !time.Now().Before(known) {
					wanted["d"] = "d#1"
				}
				return wanted
			},
		}
		l.identities.askOne = func(_ context.Context, address string) (voterInfo, error) {
			if address == lost {
				return voterInfo{}, errors.New("refused")
			}
			time.Sleep(60 * time.Millisecond)
			return voterInfo{ID: address, Replaces: true}, nil
		}
		l.reconcileVotersOnce(t.Context(), l.voters())
		time.Sleep(seatLimit + time.Second)
		known = time.Now().Add(100 * time.Millisecond)
		l.reconcileVotersOnce(t.Context(), l.voters())
		assert.Contains(t, append(c.Status().Voters, c.Status().Learners...), "d#1")
		assert.Less(t, time.Since(known), time.Second)
		for _, stop := range g.stop {
			stop()
		}
		time.Sleep(time.Minute)
	})
}

// Guards against an instance that becomes known while the leader, which has nothing to change, waits
// for the answer of another one: the next look at the voters was up to 250 ms away.
func TestInstanceKnownDuringQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVoterGroup(t, []string{"a", "b", "c"}, []string{"d#1"})
		c := g.leading()
		known := time.Now().Add(identityWait / 2)
		l := &Leader{
			consensus: c, clock: c.Clock, log: c.Log, manifest: func() *gwmanifest.Index { return nil },
			voters: func() map[string]string {
				wanted := map[string]string{"a": "a", "b": "b", "c": "c", "silent": "silent"}
				if !time.Now().Before(known) {
					wanted["d"] = "d#1"
				}
				return wanted
			},
		}
		l.identities.askOne = func(ctx context.Context, address string) (voterInfo, error) {
			if address == "silent" {
				<-ctx.Done()
				return voterInfo{}, ctx.Err()
			}
			return voterInfo{ID: address, Replaces: true}, nil
		}
		l.reconcileVotersOnce(t.Context(), l.voters())
		assert.Contains(t, append(c.Status().Voters, c.Status().Learners...), "d#1")
		for _, stop := range g.stop {
			stop()
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a member that is away and that a young leader has never asked: until it was given
// up after 10 s, voters were promoted and removed one by one, and where the older instances of a
// data centre may vote, too, its newest one got no vote at all.
func TestAbsentLearnerDoesNotForbidReplace(t *testing.T) {
	var v voterAnswers
	for _, name := range []string{"b", "c"} {
		v.begin(name, time.Time{})
		v.end(name, time.Time{}, voterInfo{ID: name, Replaces: true}, true, time.Time{})
	}
	st := gwquorum.Status{ID: "a", Voters: []string{"a", "b", "c"}, Learners: []string{"old"}}
	peers := func(active bool) []gwquorum.PeerStatus {
		return []gwquorum.PeerStatus{{Instance: "b", Active: true}, {Instance: "c"}, {Instance: "old", Learner: true, Active: active}}
	}
	tests := []struct {
		name             string
		voters, learners []string
		active, want     bool
	}{
		{"the learner is away", []string{"a", "b", "c"}, []string{"old"}, false, true},
		{"the learner answers and may be promoted", []string{"a", "b", "c"}, []string{"old"}, true, false},
		{"a voter is away and was never asked", []string{"a", "b", "d"}, nil, false, false},
		{"a voter is away and was asked before", []string{"a", "b", "c"}, nil, false, true},
	}
	for _, tt := range tests {
		st.Voters, st.Learners, st.Peers = tt.voters, tt.learners, peers(tt.active)
		assert.Equal(t, tt.want, v.replaces(st), tt.name)
	}
}
