package gwcontrol

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// voterAnswers holds the answers of instances to the question for their identity. It asks all at
// once, and an instance that does not answer delays a step by identityWait at most.
type voterAnswers struct {
	// askOne asks the instance at an address.
	askOne func(ctx context.Context, address string) (voterInfo, error)

	mu     sync.Mutex
	byName map[string]voterAnswer
}

type voterAnswer struct {
	id string
	at time.Time
	// asking is the number of questions under way, of which the latest began at askedAt.
	asking  int
	askedAt time.Time
	// answeredAt is when the question began that was answered last.
	answeredAt time.Time
	// replaces and firstStart are what the instance answered last; they count for as long as
	// this process runs.
	replaces, firstStart bool
	// began is when the instance began with an empty store, zero if it has not told.
	began time.Time
}

// ask asks the instances and waits up to identityWait for the answers of those that are not being
// asked already. A later answer counts for the next step.
func (v *voterAnswers) ask(ctx context.Context, clock clockwork.Clock, addresses map[string]string) {
	var wait sync.WaitGroup
	for name, address := range addresses {
		asked := clock.Now()
		begun, again := v.begin(name, asked)
		if !begun {
			continue
		}
		one := func() {
			info, err := v.askOne(ctx, address)
			v.end(name, asked, info, err == nil, clock.Now())
		}
		if again {
			go one()
			continue
		}
		wait.Go(one)
	}
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-clock.After(identityWait):
	}
}

// begin reports whether the instance is to be asked, and whether it is being asked already. It is
// asked again after identityWait, as a question that was sent before it could be reached may be
// lost and ends after askVoterTimeout only.
func (v *voterAnswers) begin(name string, now time.Time) (begun, again bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byName == nil {
		v.byName = make(map[string]voterAnswer)
	}
	a := v.byName[name]
	again = a.asking > 0
	if again && now.Sub(a.askedAt) <= identityWait {
		return false, true
	}
	a.asking++
	a.askedAt = now
	v.byName[name] = a
	return true, again
}

// end records the end of a question that began at the time asked. An answer to an earlier question
// than the one that was answered last does not count, as it may be that of an earlier process.
func (v *voterAnswers) end(name string, asked time.Time, info voterInfo, answered bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.byName[name]
	a.asking--
	if answered && !asked.Before(a.answeredAt) {
		a.answeredAt = asked
		a.id, a.at, a.replaces, a.firstStart = info.ID, now, info.Replaces, info.FirstStart
		if info.Age > 0 {
			a.began = now.Add(-info.Age)
		}
	}
	v.byName[name] = a
}

// answer returns the identity that an instance answered lately, or "".
func (v *voterAnswers) answer(name string, now time.Time) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	a, ok := v.byName[name]
	if !ok || now.Sub(a.at) > identityLifetime {
		return ""
	}
	return a.id
}

// knowsReplace reports whether an instance has answered that it knows gwquorum.Replace.
func (v *voterAnswers) knowsReplace(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byName[name].replaces
}

// began returns when an instance began with an empty store, zero if that is not known.
func (v *voterAnswers) began(name string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byName[name].began
}

// firstStart reports whether an instance has answered that it is one of the first start.
func (v *voterAnswers) firstStart(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byName[name].firstStart
}

// replaces reports whether the instances of all other members have answered that they know
// gwquorum.Replace. A release that does not know it takes the members in between for those after.
// A learner that is away need not have answered, as it has no vote before or after the change.
func (v *voterAnswers) replaces(st gwquorum.Status) bool {
	away := func(id string) bool {
		return slices.ContainsFunc(st.Peers, func(p gwquorum.PeerStatus) bool { return p.Instance == id && p.Learner && !p.Active })
	}
	return !slices.ContainsFunc(slices.Concat(st.Voters, st.Learners), func(id string) bool {
		return voterName(id) != voterName(st.ID) && !away(id) && !v.knowsReplace(voterName(id))
	})
}
