package gwcontrol

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwsession"
)

// FenceRequest asks the owner of a server to make it refuse older terms.
type FenceRequest struct {
	Server string `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
}

// PromoteRequest asks the owner of a server to make it the primary of a term.
type PromoteRequest struct {
	Server string `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
}

// Copy is a fenced server with its position.
type Copy struct {
	Server   string             `cbor:"1,keyasint"`
	Position gwsession.Position `cbor:"2,keyasint"`
}

// Owners carries out the steps of a change of primary at the instances that
// own the servers.
type Owners interface {
	FenceAt(ctx context.Context, r FenceRequest) (Copy, error)
	PromoteAt(ctx context.Context, r PromoteRequest) (gwsession.Position, error)
	Await(ctx context.Context, server string, p gwsession.Position) (gwsession.Position, error)
	// Servers returns the known servers of a group.
	Servers(group string) []ServerFacts
	// DurabilityRules returns the number of copies of a group and whether a promotion may
	// lose acknowledged writes.
	DurabilityRules(group string) (copies int, allowLoss bool)
}

// SuspectRequest reports that the primary of a group must be replaced.
type SuspectRequest struct {
	Group  string `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint"`
	// Reporter is the instance that asks.
	Reporter string `cbor:"4,keyasint"`
}

// Suspect begins a change of primary unless the group has moved on since.
//
// While a lease is live, only its holder may ask: an instance that has been cut
// off takes itself for the owner of servers that it merely cannot reach.
func (l *Leader) Suspect(ctx context.Context, r SuspectRequest) (Empty, error) {
	if !l.consensus.Leading() {
		return Empty{}, &Error{Op: "suspect primary", Kind: NotLeader, Detail: voterName(l.consensus.Status().Leader)}
	}
	g, ok := l.state.Group(r.Group)
	if !ok || g.Term != r.Term {
		return Empty{}, nil
	}
	lease, leased := l.state.Lease(r.Group)
	if _, expired := l.state.Clock().Expired(r.Group, l.clock.Now()); leased && !expired && lease.Holder != r.Reporter {
		l.log.Info("report of a primary ignored", "group", r.Group, "reporter", r.Reporter, "holder", lease.Holder, "reason", r.Reason)
		return Empty{}, nil
	}
	l.startChange(r.Group, r.Term, r.Reason)
	return Empty{}, nil
}

// Suspect reports a primary to the leader.
func (c *Client) Suspect(ctx context.Context, group string, term uint64, reason string) {
	req := SuspectRequest{Group: group, Term: term, Reason: reason, Reporter: c.members.Topology().Self.Instance}
	_, err := callLeader(ctx, c, kindSuspect, req, func(ctx context.Context, r SuspectRequest) (Empty, error) {
		return c.local.Suspect(ctx, r)
	})
	if err != nil {
		c.log.Warn("primary not reported", "group", group, "term", term, "error", err)
	}
}

// Timing of changes of primary.
const (
	watchInterval  = 50 * time.Millisecond
	fenceTimeout   = 300 * time.Millisecond
	catchUpTimeout = 500 * time.Millisecond
	promoteTimeout = 2 * time.Second
	changePause    = 50 * time.Millisecond
	// leaselessLimit is how long a group may be without any lease before the
	// leader replaces its primary by itself, as when the owner and the primary
	// have been cut off together.
	leaselessLimit = 1500 * time.Millisecond
	// unsureLogInterval bounds how often a waiting change says why it waits.
	unsureLogInterval = 2 * time.Second
)

// Run resumes the changes of earlier leaders and starts those of groups whose
// lease has run out, while this voter leads.
func (l *Leader) Run(ctx context.Context) {
	ticker := l.clock.NewTicker(watchInterval)
	defer ticker.Stop()
	var since, checked, placed time.Time
	idle := make(leaseless)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if !l.consensus.Leading() {
			since = time.Time{}
			clear(idle)
			continue
		}
		if since.IsZero() {
			since = l.clock.Now()
			placed = since
		}
		l.watch(idle)
		if wanted := l.voters(); len(wanted) > 0 && l.clock.Since(checked) >= votersInterval {
			checked = l.clock.Now()
			go l.keepVotersOnce(ctx, wanted)
		}
		if l.clock.Since(placed) >= placeInterval {
			placed = l.clock.Now()
			l.place(ctx, l.topology())
		}
	}
}

// leaseless holds since when a group has had no lease while it could have one.
type leaseless map[string]time.Time

// tooLong records the state of a group and reports whether it has been without a lease
// for longer than an owner needs to ask for one. The time of a change does not count:
// with it, a change began again 14 ms after its end, every 1.7 s for the rest of a day.
func (i leaseless) tooLong(group string, changing, leased bool, now time.Time) bool {
	if changing || leased {
		delete(i, group)
		return false
	}
	since, known := i[group]
	if !known {
		i[group] = now
		return false
	}
	if now.Sub(since) <= leaselessLimit {
		return false
	}
	delete(i, group)
	return true
}

// watch looks for groups that need a change of primary.
func (l *Leader) watch(idle leaseless) {
	now := l.clock.Now()
	for _, g := range l.state.Groups() {
		changing := g.Phase == gwstate.Changing
		seq, expired := l.state.Clock().Expired(g.Name, now)
		overdue := idle.tooLong(g.Name, changing, !expired, now)
		switch {
		case changing:
			l.startChange(g.Name, g.Term, g.Reason)
		case expired && seq != 0 && l.promoter == nil:
			// The holder has stopped renewing without returning the lease.
			l.startChange(g.Name, g.Term, "the write lease ran out")
		case overdue:
			l.startChange(g.Name, g.Term, "no instance holds the write lease")
		}
	}
}

// startChange runs one change of primary for a group in its own goroutine.
func (l *Leader) startChange(group string, term uint64, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changing[group] || l.owners == nil {
		return
	}
	l.changing[group] = true
	go func() {
		defer func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			delete(l.changing, group)
		}()
		l.change(group, term, reason)
	}()
}

// change replaces the primary of a group, trying again until it succeeds or
// this voter leads no more. Each attempt takes a new term, because an earlier
// one may have promoted another server at its term.
func (l *Leader) change(group string, term uint64, reason string) {
	ctx := context.Background()
	started := l.clock.Now()
	l.log.Info("change of primary begins", "group", group, "term", term, "reason", reason)
	var lastLog time.Time
	for l.consensus.Leading() {
		pctx, cancel := context.WithTimeout(ctx, promoteTimeout)
		res, err := l.consensus.Propose(pctx, gwstate.BeginChange{Group: group, FromTerm: term, Reason: reason})
		cancel()
		gr, ok := res.(gwstate.GroupResult)
		if err != nil || !ok {
			l.clock.Sleep(changePause)
			continue
		}
		if gr.Refusal != gwstate.Accepted {
			return
		}
		l.awaitLeaseEnd(group)
		err = l.attempt(ctx, gr.Group)
		if err == nil {
			took := l.clock.Since(started)
			l.log.Info("change of primary done", "group", group, "term", gr.Group.NextTerm, "took", took.String())
			l.changed(group, took)
			return
		}
		if now := l.clock.Now(); now.Sub(lastLog) > unsureLogInterval {
			lastLog = now
			l.log.Warn("change of primary waits", "group", group, "term", term, "reason", err)
		}
		l.clock.Sleep(changePause)
	}
}

// awaitLeaseEnd waits until the old lease was returned or has run out.
func (l *Leader) awaitLeaseEnd(group string) {
	for l.consensus.Leading() {
		if _, expired := l.state.Clock().Expired(group, l.clock.Now()); expired {
			return
		}
		l.clock.Sleep(5 * time.Millisecond)
	}
}

// attempt fences the servers, promotes one and records it.
func (l *Leader) attempt(ctx context.Context, g gwstate.Group) error {
	need, allowLoss := l.owners.DurabilityRules(g.Name)
	copies := l.fenceAll(ctx, g, need)
	candidates, err := Candidates(g, copies, l.leaving(g.Name), need, allowLoss, l.promoter == nil)
	if err != nil {
		return err
	}
	best := candidates[0]
	pctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	if l.promoter != nil {
		// A leader that has been replaced must not use an older fence after its
		// successor; the quorum answers for this moment.
		if err := l.consensus.ConfirmLeadership(pctx); err != nil {
			return err
		}
		if err := l.promoter.Promote(pctx, g.Name, best.Server, l.consensus.Status().Term); err != nil {
			return err
		}
	}
	start, err := l.owners.PromoteAt(pctx, PromoteRequest{Server: best.Server, Term: g.NextTerm})
	if err != nil {
		return err
	}
	seq, _ := l.state.Clock().Expired(g.Name, l.clock.Now())
	res, err := l.consensus.Propose(pctx, gwstate.FinishChange{
		Group: g.Name, FromTerm: g.Term, Term: start.Term, Attempt: g.NextTerm, Primary: best.Server, Start: start, Previous: seq,
	})
	if err != nil {
		return err
	}
	if gr, ok := res.(gwstate.GroupResult); !ok || gr.Refusal != gwstate.Accepted {
		return &Error{Op: "finish change of primary", Kind: Refused, Detail: gr.Refusal.String()}
	}
	return nil
}

func (l *Leader) leaving(group string) map[string]bool {
	out := make(map[string]bool)
	for _, f := range l.owners.Servers(group) {
		if f.Leaving {
			out[f.Server] = true
		}
	}
	return out
}

// fenceAll fences the servers of a group and returns the copies that answered.
//
// A primary that is leaving is fenced first, and the others are given the time
// to receive its last writes: once fenced, they take none from it. Otherwise
// all are fenced at once, and nobody waits for a primary that does not answer.
func (l *Leader) fenceAll(ctx context.Context, g gwstate.Group, need int) []Copy {
	servers := l.owners.Servers(g.Name)
	if l.leaving(g.Name)[g.Primary] {
		fctx, cancel := context.WithTimeout(ctx, fenceTimeout)
		old, err := l.owners.FenceAt(fctx, FenceRequest{Server: g.Primary, Term: g.NextTerm})
		cancel()
		if err == nil {
			l.awaitCatchUp(ctx, servers, old)
		}
	}
	fctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	answers := make(chan Copy, len(servers))
	var wg sync.WaitGroup
	for _, f := range servers {
		wg.Go(func() {
			if c, err := l.owners.FenceAt(fctx, FenceRequest{Server: f.Server, Term: g.NextTerm}); err == nil {
				answers <- c
			}
		})
	}
	go func() {
		wg.Wait()
		close(answers)
	}()
	var copies []Copy
	for c := range answers {
		copies = append(copies, c)
		if len(copies) >= need-1 && len(copies) < len(servers) && !slices.ContainsFunc(copies, func(c Copy) bool { return c.Server == g.Primary }) {
			break
		}
	}
	return copies
}

// awaitCatchUp waits until one replica has everything that the primary has.
func (l *Leader) awaitCatchUp(ctx context.Context, servers []ServerFacts, old Copy) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for _, f := range servers {
		if f.Server == old.Server || f.Leaving {
			continue
		}
		go func() {
			if p, err := l.owners.Await(ctx, f.Server, old.Position); err == nil && p.AtLeast(old.Position) {
				cancel()
			}
		}()
	}
	<-ctx.Done()
}

// Candidates returns the servers that may be promoted, the best first.
//
// The greatest position among the copies is sure to include every acknowledged
// write if the old primary is among them, or all copies but one: a write was
// acknowledged only when one copy besides the primary had it. The copy that is
// promoted must have that position. An old primary that is behind another copy,
// or behind the start of its own term, has lost data and proves nothing.
//
// With stay, the old primary is the first choice. Without, it is promoted only if
// not all others answer: a change costs a call and a gap, so that it is asked for
// only when the primary should not lead on.
func Candidates(g gwstate.Group, copies []Copy, leaving map[string]bool, need int, allowLoss, stay bool) ([]Copy, error) {
	if !stay {
		others := slices.DeleteFunc(slices.Clone(copies), func(c Copy) bool { return c.Server == g.Primary })
		if len(others) >= need-1 {
			copies = others
		}
	}
	var best gwsession.Position
	for _, c := range copies {
		if c.Position.AtLeast(best) {
			best = c.Position
		}
	}
	isOld := func(c Copy) bool { return c.Server == g.Primary }
	lossy := func(c Copy) bool {
		return isOld(c) && (c.Position.Offset < g.Start.Offset || !c.Position.AtLeast(best))
	}
	copies = slices.DeleteFunc(slices.Clone(copies), lossy)
	old := slices.ContainsFunc(copies, isOld)
	if len(copies) == 0 || (!old && len(copies) < need-1 && !allowLoss) {
		return nil, &Error{
			Op: "choose primary", Kind: Unavailable,
			Detail: "only " + strconv.Itoa(len(copies)) + " of " + strconv.Itoa(need) + " copies can be read, and an acknowledged write may be missing from them",
		}
	}
	var out []Copy
	for _, c := range copies {
		if leaving[c.Server] || !c.Position.AtLeast(best) {
			continue
		}
		if c.Server == g.Primary {
			out = append([]Copy{c}, out...)
			continue
		}
		out = append(out, c)
	}
	if len(out) == 0 {
		return nil, &Error{Op: "choose primary", Kind: Unavailable, Detail: "every copy with all acknowledged writes is leaving"}
	}
	return out, nil
}

func utoa(n uint64) string { return strconv.FormatUint(n, 10) }
