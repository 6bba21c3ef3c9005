package gwcontrol

import (
	"context"
	"slices"
	"sync"

	"gentianward.example/gentianward/internal/gwstate"
)

// fenceAll fences the servers of a group and returns those that may be promoted, the best
// first.
//
// A primary that is leaving is fenced first, and the others get time to receive its
// last writes, because they accept none from it once they are fenced. Then all are
// fenced at once. fenceAll returns as soon as the answers suffice, as a server that does
// not answer must not delay the change.
func (l *Leader) fenceAll(ctx context.Context, g gwstate.Group, e *Evidence) ([]Copy, error) {
	servers := l.owners.Servers(g.Name)
	e.AddServers(servers)
	e.exhausted = false
	try := e.try // a question may still be under way when the next try begins
	answers := l.identifyAnswers(ctx, e, servers)
	if i := slices.IndexFunc(servers, func(f ServerFacts) bool { return f.Server == g.Primary && f.Leaving }); i >= 0 {
		fctx, cancel := context.WithTimeout(ctx, fenceTimeout)
		old, err := l.owners.FenceAt(fctx, FenceRequest{Server: g.Primary, Term: g.NextTerm, Attempt: g.Attempt, Try: try})
		cancel()
		if err == nil {
			answers.add(old)
			l.awaitCatchUp(ctx, servers, old)
		}
	}
	return l.gather(ctx, g, e, answers, servers, l.owners.FenceAt)
}

// gather asks the servers for their copies and returns those that may be promoted, the best first.
func (l *Leader) gather(ctx context.Context, g gwstate.Group, e *Evidence, answers *answerCollector, servers []ServerFacts,
	ask func(context.Context, FenceRequest) (Copy, error),
) ([]Copy, error) {
	need, allowLoss := l.owners.DurabilityRules(g.Name)
	try := e.try // a question may still be under way when the next try begins
	actx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	answered := make(chan Copy, len(servers))
	var wg sync.WaitGroup
	for _, f := range servers {
		wg.Go(func() {
			if c, err := ask(actx, FenceRequest{Server: f.Server, Term: g.NextTerm, Attempt: g.Attempt, Try: try}); err == nil {
				answered <- c
			}
		})
	}
	go func() {
		wg.Wait()
		close(answered)
	}()
	answers.fenced = answered
	var copies []Copy
	for answers.next(&copies) {
		if candidates, err := e.Candidates(copies, need, false, l.promoter == nil); err == nil && candidates[0].Server != g.Primary {
			return candidates, l.recordProof(ctx, g, e, need)
		}
	}
	answers.giveUp()
	e.exhausted = true
	candidates, err := e.Candidates(copies, need, allowLoss, l.promoter == nil)
	if err != nil {
		return nil, err
	}
	return candidates, l.recordProof(ctx, g, e, need)
}

// recordProof makes the proof known to later leaders before a server is promoted. Without it,
// a leader that follows would ask again, when servers that were rolled back or have followed
// the promoted one prove nothing any more.
func (l *Leader) recordProof(ctx context.Context, g gwstate.Group, e *Evidence, need int) error {
	if !e.proven(need) || g.Proof.Term > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	return l.proposeForGroup(ctx, e.term, "set proof", gwstate.SetProof{Group: g.Name, Term: g.Term, Proof: e.required(e.oldPrimaryAnswered(), false)})
}

// awaitCatchUp waits, up to catchUpTimeout, until one replica has reached the position
// of the old primary.
func (l *Leader) awaitCatchUp(ctx context.Context, servers []ServerFacts, old Copy) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	l.awaitAny(ctx, servers, old.Server, old.Position)
}
