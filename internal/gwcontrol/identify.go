package gwcontrol

import (
	"context"
	"slices"
	"time"
)

// answerCollector adds the answers of one try of a change of primary to its evidence, each once the
// run that gave it is known.
type answerCollector struct {
	ctx     context.Context
	leader  *Leader
	e       *Evidence
	servers []string
	// fenced has the answers of the servers; nil once all have answered or had their time.
	fenced <-chan Copy
	// acked has the answers of the keepers of the acknowledged position; nil without any left.
	acked <-chan ackAnswer
	// told is signaled with what instances tell of the runs of servers; nil while none is asked.
	told <-chan struct{}
	// asked counts the questions to the instances in this try.
	asked   int
	pending []pendingAnswer
}

type pendingAnswer struct {
	copy Copy
	at   time.Time
}

// maxRunQuestions is the number of questions in one try: the first may be sent before a server is
// known to have a connection that is younger than its last heartbeats.
const maxRunQuestions = 2

// identifyAnswers returns the collector of a try. It asks the instances at once for runs that they
// have not told of yet, so that the answers of the servers wait for nothing.
func (l *Leader) identifyAnswers(ctx context.Context, e *Evidence, servers []ServerFacts) *answerCollector {
	a := &answerCollector{ctx: ctx, leader: l, e: e}
	unknown := false
	for _, f := range servers {
		a.servers = append(a.servers, f.Server)
		unknown = unknown || !l.runs.knows(f)
	}
	if unknown {
		a.ask()
	}
	if e.needsAcked() && l.askAck != nil {
		a.acked = l.askAckKeepers(ctx, e.group)
	}
	return a
}

func (a *answerCollector) ask() {
	a.asked++
	a.told = a.leader.runs.ask(a.ctx, a.servers)
}

// add takes an answer, which counts from when its run is known.
func (a *answerCollector) add(c Copy) {
	a.pending = append(a.pending, pendingAnswer{copy: c, at: a.leader.clock.Now()})
	a.identify()
	if len(a.pending) > 0 && a.told == nil && a.asked < maxRunQuestions {
		a.ask()
	}
}

// identify adds the answers whose runs are known to the evidence.
func (a *answerCollector) identify() {
	a.pending = slices.DeleteFunc(a.pending, func(p pendingAnswer) bool {
		if !a.leader.runs.identifies(a.e.servers[p.copy.Server], p.copy, p.at) {
			return false
		}
		a.e.Add(p.copy)
		return true
	})
}

// next waits until a server or a keeper of the acknowledged position has answered or an instance has
// told of the runs, and returns false once none of them can add anything. An answer is appended to
// copies also if its run is unknown: the server has what it says.
func (a *answerCollector) next(copies *[]Copy) bool {
	for {
		told := a.told
		if len(a.pending) == 0 {
			told = nil
		}
		if a.fenced == nil && a.acked == nil && told == nil {
			return false
		}
		select {
		case c, ok := <-a.fenced:
			if ok {
				*copies = append(*copies, c)
				a.add(c)
				return true
			}
			a.fenced = nil
		case answer, ok := <-a.acked:
			if ok {
				a.e.addAcked(answer)
				return true
			}
			a.acked = nil
		case _, more := <-told:
			a.hear(more)
			return true
		}
	}
}

// hear takes what the instances have told; more is false if this was the last answer.
func (a *answerCollector) hear(more bool) {
	a.identify()
	if more {
		return
	}
	a.told = nil
	if len(a.pending) > 0 && a.asked < maxRunQuestions {
		a.ask()
	}
}

// giveUp ends the wait for the runs of the answers that are left.
func (a *answerCollector) giveUp() {
	for _, p := range a.pending {
		a.e.AddUnidentified(p.copy)
	}
}
