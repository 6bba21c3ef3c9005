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
	// Sequences are those of the granted leases, for returning them.
	Sequences map[string]uint64 `cbor:"16,keyasint,omitempty"`
}

// returnLeases gives leases back.
type returnLeases struct {
	Holder string                `cbor:"1,keyasint"`
	Epoch  uint64                `cbor:"2,keyasint"`
	Leases []gwstate.LeaseReturn `cbor:"3,keyasint"`
}

// Lease grants or renews the leases of one holder. A new holder of a group is
// committed to the log; a renewal only needs a quorum to confirm that this
// voter leads.
func (l *Leader) Lease(ctx context.Context, r gwlease.Request) (leaseAnswer, error) {
	if !l.consensus.Leading() {
		return leaseAnswer{}, &Error{Op: "lease", Kind: NotLeader, Detail: voterName(l.consensus.Status().Leader)}
	}
	answer := leaseAnswer{Answer: gwlease.Answer{Epoch: r.Epoch, Sequence: r.Sequence}, Sequences: make(map[string]uint64)}
	refused := make(map[string]gwstate.Refusal)
	var renewals []gwstate.GroupTerm
	var grants []gwstate.LeaseRequest
	for _, gt := range r.Groups {
		if held, ok := l.state.Lease(gt.Group); ok && held.Holder == r.Holder && held.Incarnation == r.Epoch && held.Term == gt.Term {
			renewals = append(renewals, gwstate.GroupTerm(gt))
			continue
		}
		grants = append(grants, gwstate.LeaseRequest{Group: gt.Group, Term: gt.Term, Duration: gwlease.DefaultDuration})
	}
	if err := l.grant(ctx, r, grants, refused); err != nil {
		return leaseAnswer{}, err
	}
	if len(renewals) > 0 {
		if err := l.consensus.ConfirmLeadership(ctx); err != nil {
			return leaseAnswer{}, err
		}
		for group, refusal := range l.state.Renew(r.Holder, r.Epoch, renewals, l.clock.Now()) {
			refused[group] = refusal
		}
	}
	for _, gt := range r.Groups {
		if refusal, ok := refused[gt.Group]; ok {
			answer.Refused = append(answer.Refused, l.describe(gt.Group, refusal))
			continue
		}
		if held, ok := l.state.Lease(gt.Group); ok {
			answer.Sequences[gt.Group] = held.Sequence
		}
	}
	return answer, nil
}

func (l *Leader) grant(ctx context.Context, r gwlease.Request, grants []gwstate.LeaseRequest, refused map[string]gwstate.Refusal) error {
	grants = l.grantable(r, grants, refused)
	if len(grants) == 0 {
		return nil
	}
	cmd := l.state.FillPrevious(gwstate.GrantLeases{Holder: r.Holder, Incarnation: r.Epoch, Leases: grants}, l.clock.Now())
	for i, g := range cmd.Leases {
		if held, ok := l.state.Lease(g.Group); ok && l.restarted(held, r.Holder, r.Epoch) {
			cmd.Leases[i].Previous = held.Sequence
		}
	}
	res, err := l.consensus.Propose(ctx, cmd)
	if err != nil {
		return err
	}
	lr, ok := res.(gwstate.LeaseResult)
	if !ok {
		return &Error{Op: "lease", Kind: Unavailable}
	}
	for _, o := range lr.Outcomes {
		if o.Refusal != gwstate.Accepted {
			refused[o.Group] = o.Refusal
		}
	}
	return nil
}

// grantable leaves out the requests that would certainly be refused, so that
// they cost no log entry.
func (l *Leader) grantable(r gwlease.Request, grants []gwstate.LeaseRequest, refused map[string]gwstate.Refusal) []gwstate.LeaseRequest {
	now := l.clock.Now()
	var out []gwstate.LeaseRequest
	for _, g := range grants {
		group, known := l.state.Group(g.Group)
		_, expired := l.state.Clock().Expired(g.Group, now)
		held, leased := l.state.Lease(g.Group)
		own := leased && held.Holder == r.Holder && held.Incarnation == r.Epoch
		expired = expired || leased && l.restarted(held, r.Holder, r.Epoch)
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
			out = append(out, g)
		}
	}
	return out
}

// restarted reports whether an instance at the given epoch is a later run of the
// one that holds the lease, where that proves the end of the earlier run.
func (l *Leader) restarted(held gwstate.Lease, holder string, epoch uint64) bool {
	return l.exclusive && held.Holder == holder && epoch > held.Incarnation
}

// endRuns tells that an instance has started.
type endRuns struct {
	Holder string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// EndRuns ends the leases of the earlier runs of an instance, which another one may
// own by now: after a restart of all, they were the last thing waited for.
func (l *Leader) EndRuns(ctx context.Context, r endRuns) (Empty, error) {
	if err := l.consensus.ConfirmLeadership(ctx); err != nil {
		return Empty{}, err
	}
	for _, held := range l.state.Leases() {
		if !l.restarted(held, r.Holder, r.Epoch) {
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

func (l *Leader) describe(group string, refusal gwstate.Refusal) gwlease.Refusal {
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

// Return ends leases that their holder no longer uses.
func (l *Leader) Return(ctx context.Context, r returnLeases) (Empty, error) {
	_, err := l.consensus.Propose(ctx, gwstate.ReturnLeases{Holder: r.Holder, Incarnation: r.Epoch, Leases: r.Leases})
	return Empty{}, err
}

// LeaseKeeper keeps the write leases of the primaries that this instance owns.
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
	// returning holds the leases whose return has not been confirmed. They are
	// not asked for meanwhile: a return that arrives late would end a lease
	// that was renewed after it.
	returning map[string]uint64
	// rest is when a group whose lease was given up may be asked for again.
	rest     map[string]time.Time
	stopping bool
}

// restAfterReturn leaves time for a change of primary to begin.
const restAfterReturn = time.Second

// NewLeaseKeeper returns a keeper; wanted tells the groups and terms to hold leases
// of, and epoch must differ from that of every earlier run of the instance.
func NewLeaseKeeper(client *Client, clock clockwork.Clock, log *slog.Logger, instance string, epoch uint64, drift float64, wanted func() map[string]uint64) *LeaseKeeper {
	return &LeaseKeeper{
		client: client, clock: clock, log: log, name: instance, epoch: epoch, wanted: wanted,
		holder:    gwlease.NewHolder(instance, epoch, gwlease.Config{Drift: drift}),
		sequences: make(map[string]uint64), returning: make(map[string]uint64), rest: make(map[string]time.Time),
	}
}

// keeperInterval is how often due requests are looked for.
const keeperInterval = 25 * time.Millisecond

// Run requests and renews leases until ctx ends.
func (k *LeaseKeeper) Run(ctx context.Context) {
	go k.endEarlierRuns(ctx)
	ticker := k.clock.NewTicker(keeperInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-k.client.views.Changed():
		}
		k.want()
		if req, ok := k.request(); ok {
			go k.send(ctx, req)
		}
	}
}

// endEarlierRuns tells the leader once that this run has begun.
func (k *LeaseKeeper) endEarlierRuns(ctx context.Context) {
	_, err := callLeader(ctx, k.client, kindEndRuns, endRuns{Holder: k.name, Epoch: k.epoch}, func(ctx context.Context, r endRuns) (Empty, error) {
		return k.client.local.EndRuns(ctx, r)
	})
	if err != nil && ctx.Err() == nil {
		k.log.Warn("leases of earlier runs not ended", "error", err)
	}
}

// want makes the holder's groups those that this instance should hold.
func (k *LeaseKeeper) want() {
	wanted := k.wanted()
	now := k.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopping {
		return
	}
	for group, term := range wanted {
		_, returning := k.returning[group]
		if !returning && !now.Before(k.rest[group]) {
			k.holder.Want(group, term)
		}
	}
	for _, group := range k.holder.Groups() {
		if _, ok := wanted[group]; !ok {
			k.drop(group)
		}
	}
}

// drop ends the use of a lease; the caller holds the lock.
func (k *LeaseKeeper) drop(group string) {
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
	for group, seq := range k.accept(answer) {
		go k.sendReturn(context.Background(), group, seq)
	}
	for _, r := range answer.Refused {
		k.log.Debug("lease refused", "group", r.Group, "reason", r.Reason.String())
	}
}

// accept takes over the leader's answer and returns the leases to give back: those
// that were granted after they had been given up. While an instance that had just
// started owned a server for 0.1 s, its lease kept the next owner waiting for 2 s. The
// caller holds the lock.
func (k *LeaseKeeper) accept(answer leaseAnswer) map[string]uint64 {
	surplus := make(map[string]uint64)
	wanted := k.holder.Groups()
	for group, seq := range answer.Sequences {
		if _, returning := k.returning[group]; slices.Contains(wanted, group) || returning {
			k.sequences[group] = seq
			continue
		}
		delete(k.sequences, group)
		k.returning[group], surplus[group] = seq, seq
	}
	k.holder.Answer(answer.Answer, k.clock.Now())
	return surplus
}

// Valid reports whether writes to group may be acknowledged at term now.
func (k *LeaseKeeper) Valid(group string, term uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Valid(group, term, k.clock.Now())
}

// Grant identifies the present grant of the group's lease by its place in the
// replicated log, 0 if there is none.
func (k *LeaseKeeper) Grant(group string) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sequences[group]
}

// GiveUp ends the use of the group's lease at once and returns it.
func (k *LeaseKeeper) GiveUp(ctx context.Context, group string) {
	k.mu.Lock()
	k.rest[group] = k.clock.Now().Add(restAfterReturn)
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

// sendReturn repeats the return of a lease until it is confirmed or the lease
// has run out by itself.
func (k *LeaseKeeper) sendReturn(ctx context.Context, group string, seq uint64) {
	req := returnLeases{Holder: k.name, Epoch: k.epoch, Leases: []gwstate.LeaseReturn{{Group: group, Sequence: seq}}}
	ctx, cancel := context.WithTimeout(ctx, gwlease.DefaultDuration)
	defer cancel()
	_, err := callLeader(ctx, k.client, kindReturn, req, func(ctx context.Context, r returnLeases) (Empty, error) {
		return k.client.local.Return(ctx, r)
	})
	if err != nil {
		k.log.Warn("lease not returned", "group", group, "error", err)
		k.clock.AfterFunc(restAfterReturn, func() { k.sendReturn(context.Background(), group, seq) })
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.returning, group)
}

// Stop returns every lease and asks for none any more.
func (k *LeaseKeeper) Stop(ctx context.Context) {
	k.mu.Lock()
	k.stopping = true
	groups := k.holder.Groups()
	k.mu.Unlock()
	for _, group := range groups {
		k.GiveUp(ctx, group)
	}
}
