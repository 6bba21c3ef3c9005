package gwcontrol

import (
	"context"
	"errors"
	"time"

	"gentianward.example/gentianward/internal/gwstate"
)

// Promotion is a call to the platform that makes a server the primary of its group.
type Promotion struct {
	Group  string
	Server string
	// Fence increases with every new leader of the replicated log.
	Fence uint64
	// Until is when the call must have been sent, by the leader's clock. Later, another
	// leader may call.
	Until time.Time
}

// Promoter asks the platform that runs the backend servers to make one of them the
// primary. Promote may be called repeatedly. It returns when the call was sent, which is zero
// if it was not. After an error for which IsRefused is false, the call may still take
// effect, even later.
type Promoter interface {
	Promote(ctx context.Context, p Promotion) (sent time.Time, err error)
}

// UsePromoter makes changes of primary call p, unless p is nil, and observe with the outcome
// of each call. It must be called before Run.
func (l *Leader) UsePromoter(p Promoter, observe func(outcome string)) {
	l.promoter, l.observeCall = p, observe
}

const (
	// promoteSendLimit is how long after the proposal of its record a call may be sent. It
	// covers a commit between regions and a slow disk.
	promoteSendLimit = time.Second
	// promoteCallLimit is how long a call to the platform may take effect. The platform
	// names no limit.
	promoteCallLimit = 30 * time.Second
	// promoteErrorLimit is how long a call may still take effect whose connection broke
	// before the answer. The platform acts some hundred milliseconds after a call.
	promoteErrorLimit = 3 * time.Second
	// earlierCallLimit is how long after the start of the next leadership a call may take
	// effect: its record was proposed before, and its connection ends by the time at which it
	// must have been sent.
	earlierCallLimit = promoteSendLimit + promoteErrorLimit
	// leadershipCheckInterval is the time between two checks that the caller still leads.
	leadershipCheckInterval = 20 * time.Millisecond
)

// choosePromotion returns the server to promote in this attempt. If the platform was asked
// before and has not answered, that server is named again, and not fenced: it may lead already.
func (l *Leader) choosePromotion(ctx context.Context, g gwstate.Group, e *Evidence) (string, error) {
	if g.Promoting != "" {
		return g.Promoting, nil
	}
	candidates, err := l.fenceAll(ctx, g, e)
	if err != nil {
		return "", err
	}
	return candidates[0].Server, nil
}

// leadsAlready reports whether a server that the platform was asked for before, without a known
// answer, leads. Another call would change nothing, and its record costs a commit. A call that
// may conflict is left to callPlatform to refuse.
func (l *Leader) leadsAlready(ctx context.Context, g gwstate.Group, e *Evidence, server string) bool {
	lead, leading := l.consensus.Leadership()
	present, _ := l.state.Group(g.Name)
	if !leading || g.Promoting != server || l.checkCalls(present, server, lead) != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	_, err := l.owners.PromoteAt(ctx, PromoteRequest{Server: server, Term: g.NextTerm, Attempt: g.Attempt, Try: e.try})
	return err == nil
}

// checkCalls returns an error if a call about the group for another server, or one of an earlier
// leader, may take effect.
func (l *Leader) checkCalls(g gwstate.Group, server string, lead Leadership) error {
	const op = "check calls"
	if other, ok := l.calls.open(g.Name, server); ok {
		return &Error{Op: op, Kind: Unavailable, Detail: "the platform has not answered the call for " + other}
	}
	if wait := l.earlierCallWait(g.Call, lead); wait > 0 {
		return &Error{Op: op, Kind: Unavailable, Detail: "a call of an earlier leader may take effect for " + wait.String()}
	}
	return nil
}

// platformCall is a call to the platform whose record has been committed.
type platformCall struct {
	Promotion
	attempt  uint64
	recorded time.Time // when the record was proposed
	sequence uint64    // see gwstate.PromotionCall
}

// recordCall commits the record of a call and counts the call as open. That the log has
// accepted the record in this term is the quorum's confirmation: the leader that follows
// either finds the record and waits for the call, or the record is never committed.
func (l *Leader) recordCall(ctx context.Context, g gwstate.Group, server string) (platformCall, error) {
	const op = "record call"
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	lead, leading := l.consensus.Leadership()
	if !leading {
		return platformCall{}, &Error{Op: op, Kind: NotLeader}
	}
	present, _ := l.state.Group(g.Name)
	if err := l.checkCalls(present, server, lead); err != nil {
		return platformCall{}, err
	}
	l.calls.add(g.Name, server, 1)
	began := l.clock.Now()
	res, err := l.consensus.ProposeInTerm(ctx, lead.Term, gwstate.NamePromotion{
		Group: g.Name, Attempt: g.NextTerm, Server: server, Fence: lead.Term, Holder: l.Instance(), Previous: present.Call.Sequence,
	})
	gr, _ := res.(gwstate.GroupResult)
	if err == nil && gr.Refusal != gwstate.Accepted {
		err = &Error{Op: op, Kind: Refused, Detail: gr.Refusal.String()}
	}
	if err != nil {
		l.calls.add(g.Name, server, -1)
		return platformCall{}, err
	}
	return platformCall{
		Promotion: Promotion{Group: g.Name, Server: server, Fence: lead.Term, Until: began.Add(promoteSendLimit)},
		attempt:   g.NextTerm, recorded: began, sequence: gr.Group.Call.Sequence,
	}, nil
}

// callPlatform asks the platform to promote a server and waits up to promoteTimeout for the
// answer; the call goes on without it. Once it is answered, another server may be named.
func (l *Leader) callPlatform(ctx context.Context, g gwstate.Group, server string) error {
	c, err := l.recordCall(ctx, g, server)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go l.runCall(context.WithoutCancel(ctx), c, done)
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		l.log.Warn("the platform has not answered a call to promote a server", "group", g.Name, "server", server, "after", promoteTimeout.String())
		return &Error{Op: "promote server", Kind: Unavailable, Detail: "no answer of the platform for " + server, Err: ctx.Err()}
	}
}

// runCall makes a call and reports its outcome to done once the call is closed, that is, can
// take no effect any more, or has taken it.
func (l *Leader) runCall(ctx context.Context, c platformCall, done chan<- error) {
	call, cancel := context.WithTimeout(ctx, promoteCallLimit)
	defer cancel()
	go l.whileLeading(call, c.Fence, cancel)
	sent, err := l.promoter.Promote(call, c.Promotion)
	l.recordOutcome(c, sent, err)
	switch {
	case err == nil:
		done <- nil // the change goes on while the record is ended
		l.endCall(ctx, c, c.attempt)
	case IsRefused(err):
		l.endCall(ctx, c, c.attempt)
		done <- err
	case errors.Is(call.Err(), context.Canceled):
		// This voter has stopped leading, perhaps for a moment: the reset may have come too late.
		done <- err
		l.clock.Sleep(promoteErrorLimit)
		l.endCall(ctx, c, 0)
	default:
		if call.Err() == nil {
			l.clock.Sleep(promoteErrorLimit)
		}
		l.endCall(ctx, c, 0)
		done <- err
	}
}

// endCall counts a call as closed and, if it was the last one of its record, ends the record.
// In the given attempt, unless that is 0 or has ended, another server may then be named.
func (l *Leader) endCall(ctx context.Context, c platformCall, attempt uint64) {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	cmd := gwstate.NamePromotion{Group: c.Group, Attempt: attempt}
	if l.calls.add(c.Group, c.Server, -1) == 0 {
		cmd.Fence, cmd.Previous = c.Fence, c.sequence
	}
	if cmd.Fence != 0 || attempt != 0 {
		// Refused if both the record and the attempt have ended. After an error the record
		// is ended by endRecords.
		_, _ = l.consensus.ProposeInTerm(ctx, c.Fence, cmd)
	}
}

// whileLeading cancels a call when this voter no longer leads in term, as its fence is
// outdated then. A voter that only stands still may find that it still leads; when its call
// may be sent does not depend on that.
func (l *Leader) whileLeading(ctx context.Context, term uint64, cancel context.CancelFunc) {
	ticker := l.clock.NewTicker(leadershipCheckInterval)
	defer ticker.Stop()
	for {
		if st := l.consensus.Status(); !st.LeaderReady || st.Term != term {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}
