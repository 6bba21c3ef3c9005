package gwcontrol

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io/fs"
	"log/slog"
	"maps"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// Identity names a voter in the replicated log.
//
// A voter that has lost its data may have cast votes or acknowledged entries that
// it no longer knows. It therefore takes part under a new identity, which the
// leader adds like any new voter, instead of reusing the old one.
type Identity struct {
	ID string
	// InitialVoters names the initial voters; empty unless the deployment starts for
	// the first time.
	InitialVoters []string
}

// identitySeparator separates the name of an instance from the suffix that
// distinguishes its later identities.
const identitySeparator = "#"

// voterName returns the name of the instance that has the identity id.
func voterName(id string) string {
	name, _, _ := strings.Cut(id, identitySeparator)
	return name
}

// voterInfo is a voter's answer to a request for its identity.
type voterInfo struct {
	ID string `cbor:"1,keyasint"`
	// Initialized means that the voter has data of a replicated log.
	Initialized bool `cbor:"2,keyasint"`
}

// identityFile is the name of the file in the data folder that holds a voter's identity.
const identityFile = "voter"

// Timing of voters.
const (
	identityRetryInterval = 20 * time.Millisecond
	askVoterTimeout       = 500 * time.Millisecond
	voterCheckInterval    = 250 * time.Millisecond
	identityBytes         = 8
	// identityWait is how long a step waits for the identities of the instances. Between
	// regions an answer takes 60 ms.
	identityWait = 150 * time.Millisecond
	// identityLifetime is how long the answer of an instance counts.
	identityLifetime = 2 * time.Second
	// changeCommitTimeout is how long the next step waits for the commit of the one before.
	changeCommitTimeout = 2 * time.Second
)

// IdentityOptions configures the choice of a voter's identity.
type IdentityOptions struct {
	Instance string
	Node     *gwpeer.Node
	Clock    clockwork.Clock
	FS       gwstore.FS
	Folder   string
	// StoreEmpty means that nothing has ever been written to the store.
	StoreEmpty bool
	// InitialVoters are the peer addresses, by instance, of the voters of the initial
	// start; empty on an instance that the manifest of that start does not list.
	InitialVoters map[string]string
}

// LoadIdentity returns the identity of a voter: the saved one; otherwise the name of the
// instance if its store has data or the deployment starts for the first time; otherwise
// a new identity, as this instance is new or has lost its data.
//
// It is the initial start if this instance is an initial voter and all others answer that
// they have no data of a replicated log. Unless one answers that it has data, LoadIdentity
// waits for all answers, because a voter that does not answer may have the log in which
// this instance has voted.
func LoadIdentity(ctx context.Context, o IdentityOptions) (Identity, error) {
	saved, err := o.FS.ReadFile(path.Join(o.Folder, identityFile))
	if err == nil {
		// A file whose sync failed, perhaps in an earlier process, can be read but may not
		// survive a loss of power.
		return Identity{ID: string(saved)}, gwstore.WriteFile(o.FS, o.Folder, identityFile, saved)
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return Identity{}, err
	}
	identity := Identity{ID: o.Instance}
	if o.StoreEmpty {
		fresh, err := o.isInitialStart(ctx)
		if err != nil {
			return Identity{}, err
		}
		if fresh {
			for name := range o.InitialVoters {
				identity.InitialVoters = append(identity.InitialVoters, name)
			}
			slices.Sort(identity.InitialVoters)
		} else {
			identity.ID = newIdentity(o.Instance)
		}
	}
	if err := gwstore.WriteFile(o.FS, o.Folder, identityFile, []byte(identity.ID)); err != nil {
		return Identity{}, err
	}
	return identity, nil
}

func newIdentity(instance string) string {
	var b [identityBytes]byte
	_, _ = rand.Read(b[:])
	return instance + identitySeparator + hex.EncodeToString(b[:])
}

// isInitialStart asks the other initial voters until one answers that it has data of a
// replicated log or all have answered that they have none.
func (o IdentityOptions) isInitialStart(ctx context.Context) (bool, error) {
	if _, listed := o.InitialVoters[o.Instance]; !listed {
		return false, nil
	}
	waiting := make(map[string]string)
	for name, address := range o.InitialVoters {
		if name != o.Instance {
			waiting[name] = address
		}
	}
	for len(waiting) > 0 {
		for name, address := range waiting {
			info, err := askVoter(ctx, o.Node, address)
			switch {
			case err != nil:
			case info.Initialized:
				return false, nil
			default:
				delete(waiting, name)
			}
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-o.Clock.After(identityRetryInterval):
		}
	}
	return true, nil
}

func askVoter(ctx context.Context, node *gwpeer.Node, address string) (voterInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, askVoterTimeout)
	defer cancel()
	return gwpeer.Call[Empty, voterInfo](ctx, node, address, kindVoter, Empty{})
}

// ServeIdentity registers the handler of requests for this voter's identity.
// Every instance that may become a voter must serve it, so that others can distinguish
// the initial start of the deployment from a loss of their data.
func (c *Consensus) ServeIdentity(hasData bool) {
	gwpeer.Handle(c.Node, kindVoter, func(context.Context, string, Empty) (voterInfo, error) {
		st := c.Status()
		return voterInfo{ID: st.ID, Initialized: hasData || st.Commit > 0}, nil
	})
}

// reconcileVotersOnce changes the voters step by step while each step follows the one before at
// once, unless an earlier call is still running.
func (l *Leader) reconcileVotersOnce(ctx context.Context, wanted map[string]string) {
	if !l.reconciling.CompareAndSwap(false, true) {
		return
	}
	defer l.reconciling.Store(false)
	for l.reconcileVoters(ctx, wanted) {
		wanted = l.voters()
	}
}

// reconcileVoters takes the next step towards the wanted members of the replicated log and
// reports whether it is committed. It waits up to voterCheckInterval for a step to become
// possible. wanted holds peer addresses by instance; it counts unless the manifest lists voters.
func (l *Leader) reconcileVoters(ctx context.Context, wanted map[string]string) bool {
	wanted, listed := l.listedVoters(wanted)
	l.identities.ask(ctx, l.clock, l.others(wanted))
	for until := l.clock.Now().Add(voterCheckInterval); l.consensus.Leading(); {
		st := l.consensus.Status()
		change, reason := newVoterPlan(st, l.currentIdentities(wanted, st), listed).next()
		if change != (gwquorum.Change{}) {
			err := l.proposeChange(ctx, change, st)
			switch gwquorum.KindOf(err) {
			case gwquorum.KindPending, gwquorum.KindNotCaughtUp: // may be made soon
				reason = err.Error()
			default:
				return err == nil && l.awaitChange(ctx, change, st.Term)
			}
		}
		if reason == "" || !l.clock.Now().Before(until) {
			l.undone.observe(l.log, l.clock.Now(), reason, st)
			l.spares.observe(l.log, reason, st)
			return false
		}
		if !l.sleep(ctx, consensusTick) {
			return false
		}
	}
	return false
}

// sleep returns false if ctx has ended.
func (l *Leader) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-l.clock.After(d):
		return true
	}
}

// proposeChange proposes a change, or transfers the leadership to make it possible.
func (l *Leader) proposeChange(ctx context.Context, change gwquorum.Change, st gwquorum.Status) error {
	if change.Kind == gwquorum.Remove && change.Instance == st.ID {
		l.consensus.TransferLeadership(ctx)
		l.undone.observe(l.log, l.clock.Now(), errLeavesFirst.Error(), st)
		return errLeavesFirst
	}
	err := l.consensus.ChangeMembership(ctx, change)
	switch gwquorum.KindOf(err) {
	case gwquorum.KindPending, gwquorum.KindNotCaughtUp:
		return err
	}
	l.log.Info("change of the voters proposed", "kind", int(change.Kind), "voter", change.Instance, "error", err)
	var reason string
	if err != nil {
		reason = err.Error()
	}
	l.undone.observe(l.log, l.clock.Now(), reason, st)
	return err
}

var errLeavesFirst = &Error{Op: "change voters", Kind: NotLeader, Detail: "the leader is to be removed and gives its leadership away"}

// awaitChange waits up to changeCommitTimeout until a change is committed.
func (l *Leader) awaitChange(ctx context.Context, change gwquorum.Change, term uint64) bool {
	var index uint64 // of an entry from the change on; 0 as long as the status does not show the change
	for until := l.clock.Now().Add(changeCommitTimeout); l.clock.Now().Before(until); {
		st := l.consensus.Status()
		if !st.LeaderReady || st.Term != term {
			return false
		}
		if index == 0 && isMade(change, st) {
			index = st.Last
		}
		if index > 0 && st.Commit >= index {
			return true
		}
		if !l.sleep(ctx, consensusTick) {
			return false
		}
	}
	return false
}

// isMade reports whether the members show a change.
func isMade(change gwquorum.Change, st gwquorum.Status) bool {
	voter, learner := slices.Contains(st.Voters, change.Instance), slices.Contains(st.Learners, change.Instance)
	switch change.Kind {
	case gwquorum.AddLearner:
		return learner
	case gwquorum.Promote:
		return voter
	default:
		return !voter && !learner
	}
}

// others returns wanted without the own instance.
func (l *Leader) others(wanted map[string]string) map[string]string {
	out := maps.Clone(wanted)
	delete(out, l.Instance())
	return out
}

// currentIdentities returns, by instance, the identities under which the wanted instances take
// part, "" for one that is not known.
func (l *Leader) currentIdentities(wanted map[string]string, st gwquorum.Status) map[string]string {
	out := make(map[string]string, len(wanted))
	now := l.clock.Now()
	for name := range wanted {
		out[name] = currentIdentity(name, l.identities.answer(name, now), st)
	}
	return out
}

// currentIdentity returns the identity that an instance answered or, if it did not answer, the
// latest one among the members of the log; "" if there is none.
func currentIdentity(name, answered string, st gwquorum.Status) string {
	if name == voterName(st.ID) {
		return st.ID
	}
	if answered != "" {
		return answered
	}
	for _, id := range slices.Backward(slices.Concat(st.Voters, st.Learners)) {
		if voterName(id) == name {
			return id
		}
	}
	return ""
}

// voterAnswers holds the answers of instances to the question for their identity. It asks all at
// once, and an instance that does not answer delays a step by identityWait at most.
type voterAnswers struct {
	// askOne asks the instance at an address.
	askOne func(ctx context.Context, address string) (voterInfo, error)

	mu     sync.Mutex
	byName map[string]voterAnswer
}

type voterAnswer struct {
	id     string
	at     time.Time
	asking bool
}

// ask asks the instances and waits up to identityWait for their answers. A later answer
// counts for the next step.
func (v *voterAnswers) ask(ctx context.Context, clock clockwork.Clock, addresses map[string]string) {
	var wait sync.WaitGroup
	for name, address := range addresses {
		if !v.begin(name) {
			continue
		}
		wait.Go(func() {
			info, err := v.askOne(ctx, address)
			v.end(name, info.ID, err == nil, clock.Now())
		})
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

// begin returns false if the instance is being asked already.
func (v *voterAnswers) begin(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byName == nil {
		v.byName = make(map[string]voterAnswer)
	}
	a := v.byName[name]
	if a.asking {
		return false
	}
	a.asking = true
	v.byName[name] = a
	return true
}

func (v *voterAnswers) end(name, id string, answered bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.byName[name]
	a.asking = false
	if answered {
		a.id, a.at = id, now
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

// undoneLogAge is how long a change of the voters is undone when it is logged first.
const undoneLogAge = time.Second

// undoneChange says since when a change of the voters is wanted and not made.
type undoneChange struct {
	since, nextLine time.Time
}

// observe logs why a change is not made, each time the wait has doubled. An empty reason means
// that none is wanted or one was made.
func (u *undoneChange) observe(log *slog.Logger, now time.Time, reason string, st gwquorum.Status) {
	if reason == "" {
		*u = undoneChange{}
		return
	}
	if u.since.IsZero() {
		*u = undoneChange{since: now, nextLine: now.Add(undoneLogAge)}
	}
	if now.Before(u.nextLine) {
		return
	}
	age := now.Sub(u.since)
	u.nextLine = now.Add(age)
	log.Warn("change of the voters is not made", "age", age.Round(time.Millisecond).String(), "reason", reason, "voters", st.Voters, "learners", st.Learners)
}

// spareLearners holds the learners that were last logged as not needed for a vote.
type spareLearners []string

// observe logs the learners for which no vote is planned when they change.
func (s *spareLearners) observe(log *slog.Logger, reason string, st gwquorum.Status) {
	if reason != "" || slices.Equal(*s, st.Learners) {
		return
	}
	*s = slices.Clone(st.Learners)
	log.Info("learners stay without a vote", "voters", st.Voters, "learners", st.Learners)
}

// listedVoters returns the voters that the manifest lists and true, or the given ones and false if
// it lists none. The two are told apart here, as live instances that are taken for a list would
// make the leader remove all other voters.
func (l *Leader) listedVoters(live map[string]string) (wanted map[string]string, listed bool) {
	m := l.manifest()
	if m == nil || len(m.Manifest().Voters) == 0 {
		return live, false
	}
	wanted = make(map[string]string)
	for _, v := range m.Manifest().Voters {
		wanted[v.Instance] = v.Address
	}
	return wanted, true
}
