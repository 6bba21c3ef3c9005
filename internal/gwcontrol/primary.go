package gwcontrol

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"time"

	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwmember"
	"gentianward.example/gentianward/pkg/gwsession"
)

// FenceRequest asks the owner of a server to make it refuse terms before Term.
type FenceRequest struct {
	Server string `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	// Attempt is the log index of the attempt's BeginChange; 0 from earlier releases. An
	// owner refuses requests of attempts before the latest that it knows.
	Attempt uint64 `cbor:"3,keyasint,omitempty"`
	// Try orders the requests of one attempt as Attempt does those of a group: while servers do
	// not answer, an attempt asks them again. It is 0 from earlier releases.
	Try uint64 `cbor:"4,keyasint,omitempty"`
}

// PromoteRequest asks the owner of a server to make it the primary of Term.
type PromoteRequest struct {
	Server string `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	// Attempt and Try: see FenceRequest.
	Attempt uint64 `cbor:"3,keyasint,omitempty"`
	Try     uint64 `cbor:"4,keyasint,omitempty"`
}

// Copy is a fenced server and the position of its data.
type Copy struct {
	Server   string             `cbor:"1,keyasint"`
	Position gwsession.Position `cbor:"2,keyasint"`
	// Held is the latest term that the server has led or followed; 0 if it has received
	// nothing, or if its owner runs an earlier release. It may be later than the term of
	// the position, which is that of the last write.
	Held uint64 `cbor:"3,keyasint,omitempty"`
	// RunAge is for how long, before the answer, the run that answered is known to have existed: it
	// is the same since then. It is 0 if the owner cannot tell or runs an earlier release.
	RunAge time.Duration `cbor:"4,keyasint,omitempty"`
}

// Owners performs the steps of a change of primary at the instances that own the
// servers.
type Owners interface {
	FenceAt(ctx context.Context, r FenceRequest) (Copy, error)
	// AskAt returns what FenceAt does for a server that has been fenced, and does not fence it.
	AskAt(ctx context.Context, r FenceRequest) (Copy, error)
	PromoteAt(ctx context.Context, r PromoteRequest) (gwsession.Position, error)
	Await(ctx context.Context, server string, p gwsession.Position) (gwsession.Position, error)
	// Servers returns the known servers of a group.
	Servers(group string) []ServerFacts
	// DurabilityRules returns the number of copies of a group's data and whether a
	// promotion may lose acknowledged writes.
	DurabilityRules(group string) (copies int, allowLoss bool)
	// Barrier returns a position that covers every write acknowledged before the call.
	Barrier(ctx context.Context, group string) (gwsession.Position, error)
}

// SuspectRequest reports that the primary of a group must be replaced.
type SuspectRequest struct {
	Group  string `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint"`
	// Reporter is the instance that sends the request.
	Reporter string `cbor:"4,keyasint"`
}

// Suspect starts a change of primary unless the group has a later term by now.
//
// While a lease is valid, only its holder may request the change: an instance that is
// cut off by a partition considers itself the owner of servers that it merely cannot
// reach, and would report their primaries.
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
		l.log.Info("request to replace a primary ignored, as another instance holds the lease", "group", r.Group, "reporter", r.Reporter, "holder", lease.Holder, "reason", r.Reason)
		return Empty{}, nil
	}
	l.startPrimaryChange(r.Group, r.Term, r.Reason)
	return Empty{}, nil
}

// maxReasonBytes bounds the reason of a change of primary, which is for people.
const maxReasonBytes = 512

// boundReason cuts a reason to maxReasonBytes and replaces what is not UTF-8: it may quote any answer
// of a server, and a command that the replicated log cannot take would never begin the change.
func boundReason(reason string) string {
	return strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "?")
}

func newSuspectRequest(group string, term uint64, reason, reporter string) SuspectRequest {
	return SuspectRequest{Group: group, Term: term, Reason: boundReason(reason), Reporter: reporter}
}

// Suspect asks the leader to replace the primary that a group has at term.
func (c *Client) Suspect(ctx context.Context, group string, term uint64, reason string) {
	req := newSuspectRequest(group, term, reason, c.members.Topology().Self.Instance)
	_, err := callLeader(ctx, c, kindSuspect, req, func(ctx context.Context, r SuspectRequest) (Empty, error) {
		return c.local.Suspect(ctx, r)
	})
	if err != nil {
		c.log.Warn("request to replace a primary failed", "group", group, "term", term, "error", err)
	}
}

// Timing of changes of primary.
const (
	groupCheckInterval = 50 * time.Millisecond
	fenceTimeout       = 300 * time.Millisecond
	catchUpTimeout     = 500 * time.Millisecond
	promoteTimeout     = 2 * time.Second
	changeRetryDelay   = 50 * time.Millisecond
	// maxPromoteRetryDelay bounds the wait after an attempt that could not promote a server, which
	// doubles: each adds three entries to the log and is a call to the platform, which limits the
	// calls of all instances together.
	maxPromoteRetryDelay = 500 * time.Millisecond
	// leaselessLimit is how long a group may be without a lease before the leader
	// replaces its primary without a request, for example because a partition has
	// cut off the owner together with the primary.
	leaselessLimit = 1500 * time.Millisecond
	// waitLogInterval is the minimum time between two log messages with the reason why a
	// change of primary cannot be completed.
	waitLogInterval = 2 * time.Second
)

// Run performs the leader's periodic work while this voter leads, until ctx ends: it
// resumes changes of primary of earlier leaders, starts changes for groups whose lease
// has expired, keeps the voters and the copies of the groups up to date and moves the
// leadership to a better region.
func (l *Leader) Run(ctx context.Context) {
	ticker := l.clock.NewTicker(groupCheckInterval)
	defer ticker.Stop()
	var leadingSince, lastVoterCheck, lastCopiesCheck, lastPlacement, lastPresence time.Time
	var lastWanted map[string]string
	unleased := make(leaselessSince)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if l.clock.Since(lastPresence) >= voterCheckInterval {
			lastPresence = l.clock.Now()
			l.observePresence()
			l.askReleases(ctx)
		}
		if !l.consensus.Leading() {
			leadingSince = time.Time{}
			clear(unleased)
			continue
		}
		if leadingSince.IsZero() {
			leadingSince = l.clock.Now()
			lastPlacement = leadingSince
		}
		l.checkGroups(unleased)
		wanted := l.voters()
		if due := l.clock.Since(lastVoterCheck) >= voterCheckInterval || !maps.Equal(wanted, lastWanted); due && len(wanted) > 0 {
			lastVoterCheck, lastWanted = l.clock.Now(), wanted
			go l.reconcileVotersOnce(ctx, wanted)
		}
		if l.clock.Since(lastCopiesCheck) >= copiesCheckInterval {
			lastCopiesCheck = l.clock.Now()
			go l.copies.reconcile(ctx, l)
			go l.endRecords(ctx)
		}
		if l.clock.Since(lastPlacement) >= leaderPlacementInterval {
			lastPlacement = l.clock.Now()
			l.moveLeadership(ctx, l.topology())
		}
	}
}

// observePresence records the live instances, also while another voter leads.
func (l *Leader) observePresence() {
	var live []gwmember.Member
	if l.topology != nil {
		live = l.topology().Live
	}
	l.presence.observe(live, l.clock.Now())
}

// askReleases asks the instances that have not told yet that they know gwquorum.Replace while
// another voter leads: the next leader cannot ask a voter that ended with the last.
func (l *Leader) askReleases(ctx context.Context) {
	if l.consensus.Leading() {
		return // reconcileVoters asks
	}
	unknown := l.others(l.voters())
	maps.DeleteFunc(unknown, func(name, _ string) bool { return l.identities.knowsReplace(name) })
	if len(unknown) > 0 {
		go l.identities.ask(ctx, l.clock, unknown)
	}
}

// leaselessSince holds, by group, the time since which the group has had no lease while
// no change of primary was running.
type leaselessSince map[string]time.Time

// exceedsLimit records the state of a group and reports whether it has been without a
// lease for longer than leaselessLimit, in which an owner would have requested one. The
// duration of a change of primary does not count: when it did, each change was followed
// by another 14 ms later, so that the primary changed every 1.7 s for the rest of a day.
func (l leaselessSince) exceedsLimit(group string, changing, leased bool, now time.Time) bool {
	if changing || leased {
		delete(l, group)
		return false
	}
	since, known := l[group]
	if !known {
		l[group] = now
		return false
	}
	if now.Sub(since) <= leaselessLimit {
		return false
	}
	delete(l, group)
	return true
}

// inForce reports whether the manifest has the group, or there is none. The replicated state
// keeps a group that was withdrawn, as it may come back.
func (l *Leader) inForce(group string) bool {
	if l.manifest == nil {
		return true
	}
	m := l.manifest()
	if m == nil {
		return true
	}
	_, ok := m.GroupByName(group)
	return ok
}

// checkGroups starts a change of primary for each group that needs one. One that was withdrawn
// has no callers and often no servers, so that a change of its primary would never end.
func (l *Leader) checkGroups(unleased leaselessSince) {
	now := l.clock.Now()
	for _, g := range l.state.Groups() {
		if !l.inForce(g.Name) {
			delete(unleased, g.Name)
			continue
		}
		changing := g.Phase == gwstate.Changing
		seq, expired := l.state.Clock().Expired(g.Name, now)
		overdue := unleased.exceedsLimit(g.Name, changing, !expired, now)
		switch {
		case changing:
			l.startPrimaryChange(g.Name, g.Term, g.Reason)
		case expired && seq != 0 && l.promoter == nil:
			// The holder has stopped renewing the lease without returning it.
			l.startPrimaryChange(g.Name, g.Term, "the write lease ran out")
		case overdue:
			l.startPrimaryChange(g.Name, g.Term, "no instance holds the write lease")
		}
	}
}

// startPrimaryChange runs changePrimary in its own goroutine, unless a change of the
// group's primary is already running.
func (l *Leader) startPrimaryChange(group string, term uint64, reason string) {
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
		l.changePrimary(group, term, reason)
	}()
}

// changePrimary replaces the primary of a group and retries until it succeeds or the
// leadership in which the change began ends, also if it comes back: another leader may have
// ended the change, after which the group has acknowledged more than the servers answered.
// It also ends when the group is withdrawn; checkGroups resumes it if the group comes back.
//
// An attempt that may have promoted a server is followed by one with a new term. One that has
// not is repeated: with an entry for each try, a group whose servers are away added 20 entries a
// second to the log.
func (l *Leader) changePrimary(group string, term uint64, reason string) {
	ctx := context.Background()
	reason = boundReason(reason)
	started := l.clock.Now()
	l.log.Info("change of primary begins", "group", group, "term", term, "reason", reason)
	defer l.forgetWait(group)
	var lastLog time.Time
	var begun uint64 // the term of the leadership in which the change began
	var evidence *Evidence
	var attempt gwstate.Group // the attempt to repeat, zero if there is none
	wait := changeRetryDelay
	for {
		lead, leading := l.consensus.Leadership()
		if !leading || begun != 0 && lead.Term != begun || !l.inForce(group) {
			return
		}
		l.awaitCalls(group, term)
		g, err := l.beginAttempt(ctx, lead, attempt, gwstate.BeginChange{Group: group, FromTerm: term, Reason: reason})
		if IsRefused(err) {
			return
		}
		if err != nil {
			l.clock.Sleep(changeRetryDelay)
			continue
		}
		begun, attempt = lead.Term, g
		if !l.awaitLeaseEnd(group) {
			continue // Leading may be true again if the voter stood still for a moment
		}
		if evidence == nil {
			evidence = NewEvidence(g)
			evidence.term = lead.Term
		}
		evidence.try++
		promoting, err := l.attemptChange(ctx, g, evidence)
		if err == nil {
			took := l.clock.Since(started)
			l.log.Info("change of primary done", "group", group, "term", g.NextTerm, "took", took.String())
			l.onChanged(group, took)
			return
		}
		retry := changeRetryDelay
		if promoting {
			attempt = gwstate.Group{}
			retry, wait = wait, min(2*wait, maxPromoteRetryDelay)
		}
		w := l.recordWait(ctx, g, evidence, err)
		if now := l.clock.Now(); now.Sub(lastLog) > waitLogInterval {
			lastLog = now
			l.log.Warn("change of primary not possible yet; retrying", "group", group, "term", term, "reason", err,
				"missing", strings.Join(w.Missing, "; "), "endedBy", w.EndedBy, "final", w.Final)
		}
		l.clock.Sleep(retry)
	}
}

// awaitLeaseEnd waits until the old lease has been returned or has expired, and returns false
// if this voter no longer leads before that.
func (l *Leader) awaitLeaseEnd(group string) bool {
	for l.consensus.Leading() {
		if _, expired := l.state.Clock().Expired(group, l.clock.Now()); expired {
			return true
		}
		l.clock.Sleep(5 * time.Millisecond)
	}
	return false
}

// attemptChange fences the servers of a group, promotes one of them and commits it as
// the primary. What the servers answer is added to the evidence. After an error, promoting
// means that the attempt has gone on to promote a server.
func (l *Leader) attemptChange(ctx context.Context, g gwstate.Group, e *Evidence) (promoting bool, err error) {
	choice, err := l.choosePromotion(ctx, g, e)
	if err != nil {
		return false, err
	}
	return true, l.promote(ctx, g, e, choice)
}

// promote makes a server the primary and commits it. A server that leads with less than it was chosen
// for is not committed, so that no instance gets the lease of its term.
func (l *Leader) promote(ctx context.Context, g gwstate.Group, e *Evidence, choice promotionChoice) error {
	if l.promoter != nil && !choice.leads {
		if err := l.callPlatform(ctx, g, choice); err != nil {
			return err
		}
	}
	// The wait for the server has a time of its own, as the platform may have taken long.
	pctx, cancelWait := context.WithTimeout(ctx, promoteTimeout)
	defer cancelWait()
	start, err := l.owners.PromoteAt(pctx, PromoteRequest{Server: choice.server, Term: g.NextTerm, Attempt: g.Attempt, Try: e.try})
	if err == nil {
		err = choice.check(start)
	}
	if err != nil {
		return err
	}
	seq, expired := l.state.Clock().Expired(g.Name, l.clock.Now())
	if !expired {
		return &Error{Op: "finish change of primary", Kind: Unavailable, Detail: "the lease of the old primary has not ended"}
	}
	return l.proposeForGroup(pctx, e.term, "finish change of primary", gwstate.FinishChange{
		Group: g.Name, FromTerm: g.Term, Term: start.Term, Attempt: g.NextTerm, Primary: choice.server, Start: start, Previous: seq,
		Copies: copyRefs(l.owners.Servers(g.Name)),
	})
}

// proposeForGroup commits a command about a group and returns an error unless it was accepted.
// The term is that of the leadership in which the command was decided on, 0 for any: a later one
// may follow another leader's commands, of which the decision knows nothing.
func (l *Leader) proposeForGroup(ctx context.Context, term uint64, op string, cmd gwstate.Command) error {
	res, err := l.consensus.ProposeInTerm(ctx, term, cmd)
	if err != nil {
		return err
	}
	if gr, ok := res.(gwstate.GroupResult); !ok || gr.Refusal != gwstate.Accepted {
		return &Error{Op: op, Kind: Refused, Detail: gr.Refusal.String()}
	}
	return nil
}

func utoa(n uint64) string { return strconv.FormatUint(n, 10) }
