package gwcontrol

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwlease"
)

// leaseAnswer is the leader's answer to a request for leases.
type leaseAnswer struct {
	gwlease.Answer `cbor:"1,keyasint"`
	// Sequences are the log indexes of the granted leases by group; returns refer to them.
	Sequences map[string]uint64 `cbor:"16,keyasint,omitempty"`
}

// returnLeases is the request to end leases that their holder no longer uses.
type returnLeases struct {
	Holder string                `cbor:"1,keyasint"`
	Epoch  uint64                `cbor:"2,keyasint"`
	Leases []gwstate.LeaseReturn `cbor:"3,keyasint"`
}

// Lease grants or renews the leases of one holder. A grant is committed to the
// replicated log; a renewal only needs a quorum to confirm that this voter leads, unless
// the lease has expired.
func (l *Leader) Lease(ctx context.Context, r gwlease.Request) (leaseAnswer, error) {
	lead, leading := l.consensus.Leadership()
	if !leading {
		return leaseAnswer{}, &Error{Op: "grant lease", Kind: NotLeader, Detail: voterName(l.consensus.Status().Leader)}
	}
	answer := leaseAnswer{Answer: gwlease.Answer{Epoch: r.Epoch, Sequence: r.Sequence}, Sequences: make(map[string]uint64)}
	refused := make(map[string]gwstate.Refusal)
	var renewals, grants []gwstate.GroupTerm
	for _, gt := range r.Groups {
		if held, ok := l.state.Lease(gt.Group); ok && held.Holder == r.Holder && held.Incarnation == r.Epoch && held.Term == gt.Term {
			renewals = append(renewals, gwstate.GroupTerm(gt))
			continue
		}
		grants = append(grants, gwstate.GroupTerm(gt))
	}
	expired, err := l.renew(ctx, r, renewals, refused)
	if err != nil {
		return leaseAnswer{}, err
	}
	if err := l.grant(ctx, lead, r, append(grants, expired...), refused); err != nil {
		return leaseAnswer{}, err
	}
	for _, gt := range r.Groups {
		if refusal, ok := refused[gt.Group]; ok {
			answer.Refused = append(answer.Refused, l.leaseRefusal(gt.Group, refusal))
			continue
		}
		if held, ok := l.state.Lease(gt.Group); ok {
			answer.Sequences[gt.Group] = held.Sequence
		}
	}
	return answer, nil
}

// renew renews leases without a log entry. It returns those that have expired, which only a
// grant can renew, and records a refusal for each of the others that it does not renew.
func (l *Leader) renew(ctx context.Context, r gwlease.Request, renewals []gwstate.GroupTerm, refused map[string]gwstate.Refusal) (expired []gwstate.GroupTerm, err error) {
	if len(renewals) == 0 {
		return nil, nil
	}
	if err := l.consensus.ConfirmLeadership(ctx); err != nil {
		return nil, err
	}
	refusals := l.state.Renew(r.Holder, r.Epoch, renewals, l.clock.Now())
	for _, gt := range renewals {
		switch refusal, ok := refusals[gt.Group]; {
		case !ok:
		case refusal == gwstate.LeaseExpired:
			expired = append(expired, gt)
		default:
			refused[gt.Group] = refusal
		}
	}
	return expired, nil
}

// grant proposes grants in the term of lead only, which must have begun before the check of the
// leases that they replace: a leader in between may have renewed these.
func (l *Leader) grant(ctx context.Context, lead Leadership, r gwlease.Request, wanted []gwstate.GroupTerm, refused map[string]gwstate.Refusal) error {
	grants := l.grantable(r, wanted, refused)
	if len(grants) == 0 {
		return nil
	}
	cmd := l.state.FillPrevious(gwstate.GrantLeases{Holder: r.Holder, Incarnation: r.Epoch, Leases: grants}, l.clock.Now())
	for i, g := range cmd.Leases {
		if held, ok := l.state.Lease(g.Group); ok && l.isLaterRun(held, r.Holder, r.Epoch) {
			cmd.Leases[i].Previous = held.Sequence
		}
	}
	res, err := l.consensus.ProposeInTerm(ctx, lead.Term, cmd)
	if err != nil {
		return err
	}
	lr, ok := res.(gwstate.LeaseResult)
	if !ok {
		return &Error{Op: "grant lease", Kind: Unavailable}
	}
	for _, o := range lr.Outcomes {
		if o.Refusal != gwstate.Accepted {
			refused[o.Group] = o.Refusal
		}
	}
	return nil
}

// grantable returns the requests that may be granted and records a refusal for each
// of the others, so that they cost no log entry.
func (l *Leader) grantable(r gwlease.Request, wanted []gwstate.GroupTerm, refused map[string]gwstate.Refusal) []gwstate.LeaseRequest {
	now := l.clock.Now()
	var out []gwstate.LeaseRequest
	for _, g := range wanted {
		group, known := l.state.Group(g.Group)
		_, expired := l.state.Clock().Expired(g.Group, now)
		held, leased := l.state.Lease(g.Group)
		own := leased && held.Holder == r.Holder && held.Incarnation == r.Epoch
		expired = expired || leased && l.isLaterRun(held, r.Holder, r.Epoch)
		switch {
		case !known:
			refused[g.Group] = gwstate.GroupUnknown
		case group.Phase == gwstate.Changing:
			refused[g.Group] = gwstate.GroupChanging
		case group.Term != g.Term:
			refused[g.Group] = gwstate.TermMismatch
		case leased && !own && !expired:
			refused[g.Group] = gwstate.LeaseHeld
		default:
			out = append(out, gwstate.LeaseRequest{Group: g.Group, Term: g.Term, Duration: gwlease.DefaultDuration})
		}
	}
	return out
}

// isLaterRun reports whether holder at the given epoch is a later run of the instance
// that holds the lease. It is false unless instance names are exclusive, as only then
// the later run proves that the earlier one has ended.
func (l *Leader) isLaterRun(held gwstate.Lease, holder string, epoch uint64) bool {
	return l.exclusiveNames && held.Holder == holder && epoch > held.Incarnation
}

// endEarlierRuns is the request of an instance that has just started, at Epoch.
type endEarlierRuns struct {
	Holder string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// EndEarlierRuns ends the leases of the earlier runs of an instance. The servers of
// these leases may have another owner by now: after a restart of all instances, waiting
// for these leases to expire took longer than every other step.
func (l *Leader) EndEarlierRuns(ctx context.Context, r endEarlierRuns) (Empty, error) {
	if err := l.consensus.ConfirmLeadership(ctx); err != nil {
		return Empty{}, err
	}
	for _, held := range l.state.Leases() {
		if !l.isLaterRun(held, r.Holder, r.Epoch) {
			continue
		}
		cmd := gwstate.ReturnLeases{
			Holder: held.Holder, Incarnation: held.Incarnation,
			Leases: []gwstate.LeaseReturn{{Group: held.Group, Sequence: held.Sequence}},
		}
		if _, err := l.consensus.Propose(ctx, cmd); err != nil {
			return Empty{}, err
		}
		l.log.Info("lease of an earlier run ended", "group", held.Group, "holder", held.Holder, "epoch", r.Epoch)
	}
	return Empty{}, nil
}

func (l *Leader) leaseRefusal(group string, refusal gwstate.Refusal) gwlease.Refusal {
	g, _ := l.state.Group(group)
	reason := gwlease.ReasonStarting
	switch refusal {
	case gwstate.LeaseHeld, gwstate.LeaseNotHeld:
		reason = gwlease.ReasonHeld
	case gwstate.TermMismatch:
		reason = gwlease.ReasonOldTerm
	}
	return gwlease.Refusal{Group: group, Reason: reason, Term: g.Term}
}

// ReturnLeases ends leases that their holder has returned.
func (l *Leader) ReturnLeases(ctx context.Context, r returnLeases) (Empty, error) {
	_, err := l.consensus.Propose(ctx, gwstate.ReturnLeases{Holder: r.Holder, Incarnation: r.Epoch, Leases: r.Leases})
	return Empty{}, err
}

// LeaseKeeper acquires, renews and returns the write leases of the primaries that this
// instance owns.
type LeaseKeeper struct {
	client *Client
	clock  clockwork.Clock
	log    *slog.Logger
	name   string
	epoch  uint64
	wanted func() map[string]uint64

	mu        sync.Mutex
	holder    *gwlease.Holder
	sequences map[string]uint64
	// returning holds the sequences of the leases whose return has not been confirmed,
	// by group. These groups are not requested meanwhile: a return that arrives late
	// would end a lease that was renewed after it.
	returning map[string]uint64
	// requestAfter is when the lease of a group that was given up may be requested again.
	requestAfter map[string]time.Time
	stopping     bool
}

// returnDelay is the time before a returned lease is requested again, which lets a change
// of primary begin, and before an unconfirmed return is repeated.
const returnDelay = time.Second

// NewLeaseKeeper returns a keeper. wanted returns the terms of the groups whose leases
// to hold. epoch must differ from that of every earlier run of the instance, and be
// greater if names are exclusive (see Leader.AssumeExclusiveNames).
func NewLeaseKeeper(client *Client, clock clockwork.Clock, log *slog.Logger, instance string, epoch uint64, drift float64, wanted func() map[string]uint64) *LeaseKeeper {
	return &LeaseKeeper{
		client: client, clock: clock, log: log, name: instance, epoch: epoch, wanted: wanted,
		holder:    gwlease.NewHolder(instance, epoch, gwlease.Config{Drift: drift}),
		sequences: make(map[string]uint64), returning: make(map[string]uint64), requestAfter: make(map[string]time.Time),
	}
}

// leaseRequestInterval is the time between two checks for due requests.
const leaseRequestInterval = 25 * time.Millisecond

// Run requests and renews leases until ctx ends.
func (k *LeaseKeeper) Run(ctx context.Context) {
	go k.endEarlierRuns(ctx)
	ticker := k.clock.NewTicker(leaseRequestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-k.client.views.Changed():
		}
		k.updateWanted()
		if req, ok := k.request(); ok {
			go k.send(ctx, req)
		}
	}
}

// nearbyWait is how long a started instance waits for a nearby voter that knows a leader
// before it calls the leader itself.
const nearbyWait = 1500 * time.Millisecond

// endEarlierRuns asks the leader to end the leases of earlier runs of this instance, unless
// a nearby voter knows that there are none. When all instances start at once, the leader
// could not answer all of them soon.
func (k *LeaseKeeper) endEarlierRuns(ctx context.Context) {
	started := k.clock.Now()
	for k.client.local == nil && ctx.Err() == nil && k.clock.Since(started) < nearbyWait {
		if a, ok := k.client.askNearby(ctx, nearbyContact{Holder: k.name, Epoch: k.epoch}); ok {
			if !a.EarlierLeases {
				return
			}
			break
		}
		k.clock.Sleep(leaderRetryDelay)
	}
	_, err := callLeader(ctx, k.client, kindEndEarlierRuns, endEarlierRuns{Holder: k.name, Epoch: k.epoch}, func(ctx context.Context, r endEarlierRuns) (Empty, error) {
		return k.client.local.EndEarlierRuns(ctx, r)
	})
	if err != nil && ctx.Err() == nil {
		k.log.Warn("leases of earlier runs not ended", "error", err)
	}
}

// updateWanted sets the holder's groups to those that wanted returns.
func (k *LeaseKeeper) updateWanted() {
	wanted := k.wanted()
	now := k.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopping {
		return
	}
	for group, term := range wanted {
		_, returning := k.returning[group]
		if !returning && !now.Before(k.requestAfter[group]) {
			k.holder.Want(group, term)
		}
	}
	for _, group := range k.holder.Groups() {
		if _, ok := wanted[group]; !ok {
			k.release(group)
		}
	}
}

// release stops using a lease and returns it in the background; the caller holds the lock.
func (k *LeaseKeeper) release(group string) {
	if _, ok := k.holder.Return(group); !ok {
		return
	}
	if seq, granted := k.sequences[group]; granted {
		delete(k.sequences, group)
		k.returning[group] = seq
		go k.sendReturn(context.Background(), group, seq)
	}
}

func (k *LeaseKeeper) request() (gwlease.Request, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Request(k.clock.Now())
}

func (k *LeaseKeeper) send(ctx context.Context, req gwlease.Request) {
	ctx, cancel := context.WithTimeout(ctx, gwlease.DefaultDuration)
	defer cancel()
	answer, err := callLeader(ctx, k.client, kindLease, req, func(ctx context.Context, r gwlease.Request) (leaseAnswer, error) {
		return k.client.local.Lease(ctx, r)
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.holder.Failed(req.Sequence, k.clock.Now())
		k.log.Warn("leases not renewed", "error", err)
		return
	}
	for group, seq := range k.acceptAnswer(answer) {
		go k.sendReturn(context.Background(), group, seq)
	}
	for _, r := range answer.Refused {
		k.log.Debug("lease refused by the leader", "group", r.Group, "reason", r.Reason.String())
	}
}

// acceptAnswer records the leader's answer, which may be older than the latest one: a grant
// then stays the one with the greater index. It returns the leases to return, that is, those
// that were granted after this instance had given them up. Otherwise the next owner waits for
// them to expire: an instance that had just started owned a server for 0.1 s, and its
// lease delayed the next owner by 2 s. The caller holds the lock.
func (k *LeaseKeeper) acceptAnswer(answer leaseAnswer) map[string]uint64 {
	surplus := make(map[string]uint64)
	wanted := k.holder.Groups()
	for group, seq := range answer.Sequences {
		if _, returning := k.returning[group]; slices.Contains(wanted, group) || returning {
			k.sequences[group] = max(seq, k.sequences[group])
			continue
		}
		delete(k.sequences, group)
		k.returning[group], surplus[group] = seq, seq
	}
	k.holder.Answer(answer.Answer, k.clock.Now())
	return surplus
}

// Valid reports whether writes to group at term may be acknowledged now.
func (k *LeaseKeeper) Valid(group string, term uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Valid(group, term, k.clock.Now())
}

// Grant returns the index in the replicated log of the current grant of the group's
// lease, or 0 if there is none.
func (k *LeaseKeeper) Grant(group string) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sequences[group]
}

// GiveUp stops using the group's lease at once and returns it to the leader. It is not
// requested again for returnDelay.
func (k *LeaseKeeper) GiveUp(ctx context.Context, group string) {
	k.mu.Lock()
	k.requestAfter[group] = k.clock.Now().Add(returnDelay)
	_, held := k.holder.Return(group)
	seq, granted := k.sequences[group]
	delete(k.sequences, group)
	if held && granted {
		k.returning[group] = seq
	}
	k.mu.Unlock()
	if held && granted {
		k.sendReturn(ctx, group, seq)
	}
}

// sendReturn returns a lease, and repeats this after returnDelay until the leader has
// confirmed it.
func (k *LeaseKeeper) sendReturn(ctx context.Context, group string, seq uint64) {
	req := returnLeases{Holder: k.name, Epoch: k.epoch, Leases: []gwstate.LeaseReturn{{Group: group, Sequence: seq}}}
	ctx, cancel := context.WithTimeout(ctx, gwlease.DefaultDuration)
	defer cancel()
	_, err := callLeader(ctx, k.client, kindReturnLease, req, func(ctx context.Context, r returnLeases) (Empty, error) {
		return k.client.local.ReturnLeases(ctx, r)
	})
	if err != nil {
		k.log.Warn("lease not returned", "group", group, "error", err)
		k.clock.AfterFunc(returnDelay, func() { k.sendReturn(context.Background(), group, seq) })
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.returning, group)
}

// Stop returns all leases and requests no more.
func (k *LeaseKeeper) Stop(ctx context.Context) {
	k.mu.Lock()
	k.stopping = true
	groups := k.holder.Groups()
	k.mu.Unlock()
	for _, group := range groups {
		k.GiveUp(ctx, group)
	}
}
