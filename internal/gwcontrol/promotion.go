package gwcontrol

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwsession"
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

// promotionChoice is the server to promote in an attempt, and what that rests on.
type promotionChoice struct {
	server string
	// born is the start of the run that was chosen; 0 if it is unknown.
	born uint64
	// offset is what the server must lead with.
	offset uint64
	// leads means that the server leads after an earlier call.
	leads bool
}

// check returns an error if the server leads with less than it was chosen for: another run of it,
// which holds nothing of before, was promoted.
func (c promotionChoice) check(start gwsession.Position) error {
	if start.Offset >= c.offset {
		return nil
	}
	return &Error{
		Op: "check new primary", Kind: Unavailable,
		Detail: fmt.Sprintf("%s leads with %s and lacks acknowledged writes up to offset %d", c.server, start, c.offset),
	}
}

// choosePromotion returns the server to promote in this attempt.
//
// While the platform may act on an earlier call, only the server of that call can be named, which
// must show again that it may be promoted: it may have started again without its data since. It is
// not fenced, as it may lead already. Afterwards all servers are asked anew.
func (l *Leader) choosePromotion(ctx context.Context, g gwstate.Group, e *Evidence) (promotionChoice, error) {
	if g.Promoting == "" {
		return l.chooseAmongAll(ctx, g, e)
	}
	lead, leading := l.consensus.Leadership()
	if !leading {
		return promotionChoice{}, &Error{Op: "choose primary", Kind: NotLeader}
	}
	present, _ := l.state.Group(g.Name)
	if err := l.checkCalls(present, g.Promoting, lead); err != nil {
		return promotionChoice{}, err
	}
	if choice, ok := l.leadsAlready(ctx, present, e); ok {
		return choice, nil
	}
	if _, open := l.calls.open(g.Name, ""); !open {
		return l.chooseAmongAll(ctx, g, e)
	}
	return l.askAgain(ctx, g, e)
}

// chooseAmongAll fences all servers and returns the best one.
func (l *Leader) chooseAmongAll(ctx context.Context, g gwstate.Group, e *Evidence) (promotionChoice, error) {
	candidates, err := l.fenceAll(ctx, g, e)
	if err != nil {
		return promotionChoice{}, err
	}
	return l.choice(g, e, candidates[0]), nil
}

// choice returns the choice of a copy that may be promoted.
func (l *Leader) choice(g gwstate.Group, e *Evidence, c Copy) promotionChoice {
	_, allowLoss := l.owners.DurabilityRules(g.Name)
	required := e.required(e.oldPrimaryAnswered(), allowLoss)
	return promotionChoice{server: c.Server, born: e.servers[c.Server].Born, offset: min(required.Offset, c.Position.Offset)}
}

// leadsAlready returns the server that the platform was asked for before, without a known answer, if
// it leads with all that the proof requires. Another call would change nothing, and its record costs
// a commit.
func (l *Leader) leadsAlready(ctx context.Context, g gwstate.Group, e *Evidence) (promotionChoice, bool) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	choice := promotionChoice{server: g.Promoting, offset: g.Proof.Offset, leads: true}
	start, err := l.owners.PromoteAt(ctx, PromoteRequest{Server: g.Promoting, Term: g.NextTerm, Attempt: g.Attempt, Try: e.try})
	if err != nil {
		return promotionChoice{}, false
	}
	if err := choice.check(start); err != nil {
		l.log.Warn("a server that was promoted is not made the primary", "group", g.Name, "server", g.Promoting, "reason", err)
		return promotionChoice{}, false
	}
	return choice, true
}

// askAgain returns the server of an earlier call if it shows once more that it may be promoted.
func (l *Leader) askAgain(ctx context.Context, g gwstate.Group, e *Evidence) (promotionChoice, error) {
	servers := l.owners.Servers(g.Name)
	e.AddServers(servers)
	servers = slices.DeleteFunc(slices.Clone(servers), func(f ServerFacts) bool { return f.Server != g.Promoting })
	candidates, err := l.gather(ctx, g, e, l.identifyAnswers(ctx, e, servers), servers, l.owners.AskAt)
	if err != nil {
		return promotionChoice{}, &Error{
			Op: "repeat call", Kind: Unavailable, Detail: "the platform may act on the call for " + g.Promoting + ", which does not show that it may be promoted", Err: err,
		}
	}
	return l.choice(g, e, candidates[0]), nil
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
	born     uint64    // the run that is to be promoted, 0 if it is unknown
}

// recordCall commits the record of a call and counts the call as open. That the log has
// accepted the record in this term is the quorum's confirmation: the leader that follows
// either finds the record and waits for the call, or the record is never committed.
func (l *Leader) recordCall(ctx context.Context, g gwstate.Group, choice promotionChoice) (platformCall, error) {
	const op = "record call"
	server := choice.server
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
		Group: g.Name, Attempt: g.NextTerm, Server: server, Fence: lead.Term, Holder: l.Instance(), Previous: present.Call.Sequence, Born: choice.born,
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
		attempt:   g.NextTerm, recorded: began, sequence: gr.Group.Call.Sequence, born: choice.born,
	}, nil
}

// callPlatform asks the platform to promote a server and waits up to promoteTimeout for the
// answer; the call goes on without it. Once it is answered, another server may be named.
func (l *Leader) callPlatform(ctx context.Context, g gwstate.Group, choice promotionChoice) error {
	c, err := l.recordCall(ctx, g, choice)
	if err != nil {
		return err
	}
	if l.runEnded(c) {
		l.endCall(ctx, c, c.attempt)
		return &Error{Op: "promote server", Kind: Unavailable, Detail: c.Server + " has started again"}
	}
	done := make(chan error, 1)
	go l.runCall(context.WithoutCancel(ctx), c, done)
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		l.log.Warn("the platform has not answered a call to promote a server", "group", g.Name, "server", c.Server, "after", promoteTimeout.String())
		return &Error{Op: "promote server", Kind: Unavailable, Detail: "no answer of the platform for " + c.Server, Err: ctx.Err()}
	}
}

// runCall makes a call and reports its outcome to done once the call is closed, that is, can
// take no effect any more, or has taken it.
func (l *Leader) runCall(ctx context.Context, c platformCall, done chan<- error) {
	call, cancel := context.WithTimeout(ctx, promoteCallLimit)
	defer cancel()
	go l.whileInForce(call, c, cancel)
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
		// The call is no longer in force, perhaps for a moment: the reset may have come too late.
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

// whileInForce cancels a call when this voter no longer leads in its term, as its fence is outdated
// then, or when the run that it is for has ended: the platform may not have acted yet. A voter that
// only stands still may find that it still leads; when its call may be sent does not depend on that.
func (l *Leader) whileInForce(ctx context.Context, c platformCall, cancel context.CancelFunc) {
	ticker := l.clock.NewTicker(leadershipCheckInterval)
	defer ticker.Stop()
	for {
		st := l.consensus.Status()
		ended := l.runEnded(c)
		if ended {
			l.log.Warn("call to the platform given up, as the server has started again", "group", c.Group, "server", c.Server, "born", c.born)
		}
		if ended || !st.LeaderReady || st.Term != c.Fence {
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

// runEnded reports whether the server of a call is known to have started again.
func (l *Leader) runEnded(c platformCall) bool {
	return c.born != 0 && slices.ContainsFunc(l.owners.Servers(c.Group), func(f ServerFacts) bool { return f.Server == c.Server && f.Born > c.born })
}
