package gwcontrol

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Wait says why a change of primary cannot go on, and what would let it.
type Wait struct {
	// Missing names the servers whose answer is missing, and what has become of each.
	Missing []string
	// EndedBy names what would end the wait.
	EndedBy string
	// Final means that nothing that is left can end the wait, only an operator.
	Final bool
}

// fate is what has become of a run of a server.
type fate struct {
	text string
	// lost means that the run and its data cannot come back.
	lost bool
}

// Wait returns why the copies that have answered do not suffice.
func (e *Evidence) Wait(need int) Wait {
	if !e.proven(need) {
		return e.waitForProof(e.missing())
	}
	return e.waitForCopy(e.required(e.oldPrimaryAnswered(), false))
}

// waitForProof is the wait while the answers do not include every acknowledged write.
func (e *Evidence) waitForProof(missing []gwstate.CopyRef) Wait {
	primary := e.fate(e.primary)
	w := Wait{Missing: []string{describe(e.primary, primary)}}
	var others []string
	lost := false
	for _, c := range missing {
		f := e.fate(c)
		w.Missing = append(w.Missing, describe(c, f))
		others = append(others, c.Server)
		lost = lost || f.lost
	}
	if e.needsAcked() {
		keepers, known := e.describeKeepers()
		w.Missing = append(w.Missing, known...)
		if len(keepers) > 0 {
			others = append(others, strings.Join(keepers, " or "))
		}
		lost = lost || len(keepers) == 0
	}
	var ends []string
	if !primary.lost {
		ends = append(ends, "the return of "+e.primary.Server+" with its log")
	}
	switch {
	case lost:
	case len(others) == 0:
		ends = append(ends, "the answer of a further server")
	default:
		ends = append(ends, "answers of "+strings.Join(others, ", "))
	}
	w.Final, w.EndedBy = len(ends) == 0, endedBy(ends)
	return w
}

// describeKeepers returns the instances that may still tell the acknowledged position, and what is
// known of each.
func (e *Evidence) describeKeepers() (left, known []string) {
	acks := e.group.Acks
	for _, instance := range []string{acks.Holder, acks.Backup} {
		switch {
		case instance == "":
		case e.acked.lost[instance]:
			known = append(known, "instance "+instance+" has lost the acknowledged position")
		default:
			left = append(left, instance)
			known = append(known, "instance "+instance+" does not tell the acknowledged position")
		}
	}
	return left, known
}

// waitForCopy is the wait while no copy that stays has every write up to required: for those
// that have it, and for those that have not answered and may have it.
func (e *Evidence) waitForCopy(required gwsession.Position) Wait {
	var w Wait
	var ends []string
	missing, returning := e.holders(required)
	for _, c := range missing {
		w.Missing = append(w.Missing, describe(c, e.fate(c)))
	}
	for _, c := range returning {
		ends = append(ends, "the return of "+c.Server)
	}
	slices.Sort(w.Missing)
	slices.Sort(ends)
	if e.acked.known && len(e.missing()) == 0 && len(ends) == 0 {
		// Some server has confirmed what none of those that are known has.
		ends = append(ends, "a server of which nobody has heard")
	}
	w.Final, w.EndedBy = len(ends) == 0, endedBy(ends)
	return w
}

// holders returns the runs that have every write up to required, or have not answered and may have them,
// and those among them that may be promoted once they are back.
func (e *Evidence) holders(required gwsession.Position) (all, returning []gwstate.CopyRef) {
	runs := maps.Clone(e.copies)
	runs[runOf(e.primary)] = e.primary
	for r, c := range runs {
		f := e.fate(c)
		a, answered := e.answers[r]
		if answered && !a.position.AtLeast(required) || !answered && f.lost {
			continue
		}
		all = append(all, c)
		if !f.lost && !e.servers[c.Server].Leaving {
			returning = append(returning, c)
		}
	}
	return all, returning
}

func endedBy(ends []string) string {
	if len(ends) == 0 {
		return "an operator who allows loss (allowLoss)"
	}
	return strings.Join(ends, ", or ")
}

func describe(c gwstate.CopyRef, f fate) string {
	if c.Address == "" {
		return c.Server + " " + f.text
	}
	return fmt.Sprintf("%s at %s %s", c.Server, c.Address, f.text)
}

// fate returns what is known of a run that would prove something if it answered.
func (e *Evidence) fate(c gwstate.CopyRef) fate {
	f, known := e.servers[c.Server]
	switch {
	case known && f.Born > c.Born && c.Born != 0:
		return fate{text: "has started again without its data", lost: true}
	case known:
		if _, ok := e.answers[runOf(copyRef(f))]; !ok {
			if e.unidentified[c.Server] {
				return fate{text: "answers, but has not been heard from since it may have started again"}
			}
			return fate{text: "does not answer"}
		}
		if e.isPrimary(copyRef(f)) && !e.oldPrimaryAnswered() {
			return fate{text: "has lost data", lost: true}
		}
		if f.Leaving {
			return fate{text: "has answered, but is leaving"}
		}
		return fate{text: "has answered"}
	case c.Leaving:
		return fate{text: "has left with its data", lost: true}
	}
	for _, later := range e.servers {
		if !c.Returned(copyRef(later)) {
			continue
		}
		if _, ok := e.answers[runOf(copyRef(later))]; !ok {
			return fate{text: fmt.Sprintf("has come back as %s, which does not answer", later.Server)}
		}
		return fate{text: fmt.Sprintf("has come back as %s, whose answer does not show the log", later.Server), lost: true}
	}
	return fate{text: "has ended and is not back"}
}

// changeWaits holds the waits of the changes of primary that this leader runs.
type changeWaits map[string]Wait

// count returns the number of groups that wait, for good or not.
func (w changeWaits) count(final bool) int {
	n := 0
	for _, wait := range w {
		if wait.Final == final {
			n++
		}
	}
	return n
}

// Waiting returns the number of groups whose change of primary waits for servers: for good,
// or for some that may come back.
func (l *Leader) Waiting(final bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waits.count(final)
}

// recordWait keeps why an attempt failed with err if that is for want of proof, and makes
// known to all instances whether the wait is final, so that they refuse requests at once.
func (l *Leader) recordWait(ctx context.Context, g gwstate.Group, e *Evidence, err error) Wait {
	var w Wait
	var failure *Error
	if errors.As(err, &failure) && failure.Op == opChoose {
		need, allowLoss := l.owners.DurabilityRules(g.Name)
		w = e.Wait(need)
		w.Final = w.Final && !allowLoss
	}
	l.mu.Lock()
	l.waits[g.Name] = w
	l.mu.Unlock()
	var reason string
	if w.Final {
		reason = strings.Join(w.Missing, "; ")
	}
	if current, ok := l.state.Group(g.Name); !ok || current.Wait == reason {
		return w
	}
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	// Tried again with the next attempt if it fails.
	_ = l.proposeForGroup(ctx, e.term, "set wait", gwstate.SetWait{Group: g.Name, Term: g.Term, Reason: reason})
	return w
}

func (l *Leader) forgetWait(group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waits, group)
}
