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
	// Replaces means that the voter knows gwquorum.Replace.
	Replaces bool `cbor:"3,keyasint,omitempty"`
	// FirstStart means that the process began with an empty store at the first start of the
	// deployment, so that its instance is no successor of another.
	FirstStart bool `cbor:"4,keyasint,omitempty"`
	// Age is how long ago the process began with an empty store; 0 if it began with data.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
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
//
// The identity is durable once the log in the same folder has been reloaded, which syncs the
// folder. The voter takes part after that, and names its identity to no one before.
func LoadIdentity(ctx context.Context, o IdentityOptions) (Identity, error) {
	saved, err := o.FS.ReadFile(path.Join(o.Folder, identityFile))
	if err == nil {
		// A file whose sync failed, perhaps in an earlier process, can be read but may not
		// survive a loss of power.
		return Identity{ID: string(saved)}, gwstore.ReplaceFile(o.FS, o.Folder, identityFile, saved)
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
	if err := gwstore.ReplaceFile(o.FS, o.Folder, identityFile, []byte(identity.ID)); err != nil {
		return Identity{}, err
	}
	return identity, nil
}

func newIdentity(instance string) string {
	var b [identityBytes]byte
	_, _ = rand.Read(b[:])
	return instance + identitySeparator + hex.EncodeToString(b[:])
}

// isInitialStart asks the other initial voters, all at once, until one answers that it has data of
// a replicated log or all have answered that they have none.
func (o IdentityOptions) isInitialStart(ctx context.Context) (bool, error) {
	if _, listed := o.InitialVoters[o.Instance]; !listed {
		return false, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan voterInfo, len(o.InitialVoters))
	for name, address := range o.InitialVoters {
		if name != o.Instance {
			go o.askUntilAnswered(ctx, address, answers)
		}
	}
	for range len(o.InitialVoters) - 1 {
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case info := <-answers:
			if info.Initialized {
				return false, nil
			}
		}
	}
	return true, nil
}

// askUntilAnswered asks a voter again and again until it answers or ctx ends.
func (o IdentityOptions) askUntilAnswered(ctx context.Context, address string, answers chan<- voterInfo) {
	for {
		if info, err := askVoter(ctx, o.Node, address); err == nil {
			answers <- info
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-o.Clock.After(identityRetryInterval):
		}
	}
}

func askVoter(ctx context.Context, node *gwpeer.Node, address string) (voterInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, askVoterTimeout)
	defer cancel()
	return gwpeer.Call[Empty, voterInfo](ctx, node, address, kindVoter, Empty{})
}

// ServeIdentity registers the handler of requests for this voter's identity.
// Every instance that may become a voter must serve it, so that others can distinguish
// the initial start of the deployment from a loss of their data. firstStart means that the process
// was started as a part of that start.
func (c *Consensus) ServeIdentity(hasData, firstStart bool) {
	began := c.Clock.Now()
	gwpeer.Handle(c.Node, kindVoter, func(context.Context, string, Empty) (voterInfo, error) {
		st := c.Status()
		info := voterInfo{ID: st.ID, Initialized: hasData || st.Commit > 0, Replaces: true, FirstStart: firstStart && !hasData}
		if !hasData {
			info.Age = c.Clock.Since(began)
		}
		return info, nil
	})
}

// reconcileVotersOnce changes the voters step by step while each step follows the one before at
// once or other instances have become known, unless an earlier call is still running.
func (l *Leader) reconcileVotersOnce(ctx context.Context, wanted map[string]string) {
	if !l.reconciling.CompareAndSwap(false, true) {
		return
	}
	defer l.reconciling.Store(false)
	for l.reconcileVoters(ctx, wanted) || l.consensus.Leading() && ctx.Err() == nil && !maps.Equal(l.voters(), wanted) {
		wanted = l.voters()
	}
}

// reconcileVoters takes the next step towards the wanted members of the replicated log and
// reports whether the next one is to follow at once: the step is committed, or other instances
// have become known. It waits up to voterCheckInterval for a step to become possible. live holds
// peer addresses by instance; it counts unless the manifest lists voters.
func (l *Leader) reconcileVoters(ctx context.Context, live map[string]string) bool {
	wanted, listed := l.listedVoters(live)
	l.identities.ask(ctx, l.clock, l.others(wanted))
	for until := l.clock.Now().Add(voterCheckInterval); l.consensus.Leading(); {
		st := l.consensus.Status()
		plan := l.plan(wanted, listed, st)
		change, reason := plan.next()
		if change != (gwquorum.Change{}) {
			err := l.proposeChange(ctx, change, plan)
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
		if !maps.Equal(l.voters(), live) {
			return true
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

// plan returns the plan of the next change of the voters.
func (l *Leader) plan(wanted map[string]string, listed bool, st gwquorum.Status) voterPlan {
	now := l.clock.Now()
	l.observePresence()
	return newVoterPlan(st, voterView{
		identities:  l.currentIdentities(wanted, st),
		listed:      listed,
		dataCentres: l.presence.dataCentres(),
		now:         now,
		lastSeen:    l.presence.lastSeen,
		replaces:    l.identities.replaces(st),
		firstStart:  l.identities.firstStart,
		began:       l.identities.began,
	})
}

// proposeChange proposes a change, or transfers the leadership to make it possible.
func (l *Leader) proposeChange(ctx context.Context, change gwquorum.Change, plan voterPlan) error {
	st := plan.st
	if leaves(change, st.ID) {
		l.handOver(ctx, plan)
		l.undone.observe(l.log, l.clock.Now(), errLeavesFirst.Error(), st)
		return errLeavesFirst
	}
	err := l.consensus.ChangeMembership(ctx, change)
	switch gwquorum.KindOf(err) {
	case gwquorum.KindPending, gwquorum.KindNotCaughtUp:
		return err
	}
	l.log.Info("change of the voters proposed", "kind", int(change.Kind), "voter", change.Instance, "error", err)
	if change.Kind == gwquorum.Replace && err == nil {
		plan.logReplacement(l.log, change)
	}
	var reason string
	if err != nil {
		reason = err.Error()
	}
	l.undone.observe(l.log, l.clock.Now(), reason, st)
	return err
}

// leaves reports whether a change takes the vote of a voter.
func leaves(change gwquorum.Change, id string) bool {
	return change.Kind == gwquorum.Remove && change.Instance == id || change.Kind == gwquorum.Replace && change.Replaced == id
}

// handOver starts the transfer of the leadership to a voter that stays, if there is one. The
// attempts at one voter are as far apart as those of moveLeadership, as nothing is committed
// during each.
func (l *Leader) handOver(ctx context.Context, plan voterPlan) {
	now := l.clock.Now()
	to := plan.nextLeader(l.handOvers, now)
	if to == "" {
		return
	}
	if l.handOvers == nil {
		l.handOvers = make(leadershipMoves)
	}
	l.handOvers.record(to, now)
	l.log.Info("transferring the leadership of the replicated log, as this voter is to be replaced", "to", to)
	_ = l.consensus.do(ctx, func() { _ = l.consensus.node.TransferLeadership(to) })
}

// logReplacement logs that a voter is replaced by another.
func (p voterPlan) logReplacement(log *slog.Logger, c gwquorum.Change) {
	log.Info("voter replaced", "voter", c.Replaced, "successor", c.Instance,
		"dataCentre", p.dataCentres[voterName(c.Replaced)], "successorDataCentre", p.dataCentres[voterName(c.Instance)],
		"rank", p.st.Ranks[c.Replaced], "successorRank", p.st.Ranks[c.Instance], "answers", p.answers(c.Replaced))
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
	case gwquorum.Replace:
		return voter && len(st.Outgoing) == 0
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

// undoneLogAge is how long a change of the voters is undone when it is logged first.
const undoneLogAge = time.Second

// undoneChange says since when a change of the voters is wanted and not made.
type undoneChange struct{ lastingState }

// observe logs why a change is not made, each time the wait has doubled. An empty reason means
// that none is wanted or one was made.
func (u *undoneChange) observe(log *slog.Logger, now time.Time, reason string, st gwquorum.Status) {
	if reason == "" {
		*u = undoneChange{}
		return
	}
	if age, due := u.due(now, undoneLogAge); due {
		log.Warn("change of the voters is not made", "age", age.Round(time.Millisecond).String(), "reason", reason, "voters", st.Voters, "learners", st.Learners)
	}
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
