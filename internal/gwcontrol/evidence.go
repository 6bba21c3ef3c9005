package gwcontrol

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Evidence holds what proves, during one change of primary, that a copy of the group's data
// has every acknowledged write. It is kept over all attempts of the change.
//
// A write is acknowledged once one replica has received it, and none is acknowledged any more
// once the lease has ended, before the first server is asked. So the answers of the servers
// include every acknowledged write as soon as either
//
//   - the old primary is among them, with its data, or
//   - every other server is among them that may have confirmed a write of the term: those
//     that are known now and those that the replicated log names (gwstate.Group.Copies),
//     which may have ended since.
//
// A server of which nobody has heard may have confirmed writes as well. Where servers do not tell which
// of them has confirmed a write, the log therefore names instances that keep the position up to
// which writes were acknowledged (gwstate.AckKeepers). The second case holds only with the answer of one
// of these, and a copy must have that position too. What the holder of the lease answers is exact: if
// nothing more can be asked, a copy that has that position may be promoted whoever has not answered.
//
// An answer counts for the run that gave it, which only a heartbeat tells, see AddUnidentified. It
// counts also after its server has ended. A later run at the address of a server
// that crashed may answer for it, see returnedPrimary and covered. A copy may be promoted if
// it is at or past the greatest position among all answers and the start of the term.
type Evidence struct {
	group gwstate.Group
	// term is that of the leadership which collects the answers; what follows from them is
	// committed in no other. 0 means any.
	term uint64
	// try counts how often the servers were asked, see FenceRequest.
	try uint64
	// primary is the run of the old primary; without a start if the log does not name it.
	primary gwstate.CopyRef
	// copies holds the servers that may have confirmed a write, without the old primary.
	copies map[run]gwstate.CopyRef
	// servers holds the servers that can be asked, by name.
	servers map[string]ServerFacts
	answers map[run]answer
	acked   ackedPosition
	// exhausted means that all that can be asked in the present attempt have answered or had their time.
	exhausted bool
	// unidentified holds the servers that have answered since AddServers and whose run is unknown.
	unidentified map[string]bool
}

// opChoose is the operation of the errors of Candidates.
const opChoose = "choose primary"

// run identifies one run of a server.
type run struct {
	server string
	born   uint64
}

func runOf(c gwstate.CopyRef) run { return run{server: c.Server, born: c.Born} }

// answer is what one run of a server has answered.
type answer struct {
	copy gwstate.CopyRef
	// first is the first answer. Later ones may include what the server has received since.
	first Copy
	// position is up to where the server may have confirmed writes.
	position gwsession.Position
}

// ackedPosition is what is known of the position up to which writes of the term were acknowledged.
type ackedPosition struct {
	known    bool
	position gwsession.Position
	// exact means that no write past the position was acknowledged, by nobody.
	exact bool
	// lost holds the keepers of the position that have lost it.
	lost map[string]bool
}

// NewEvidence returns the evidence for a change of g's primary that has just begun.
func NewEvidence(g gwstate.Group) *Evidence {
	e := &Evidence{
		group: g, primary: gwstate.CopyRef{Server: g.Primary}, copies: make(map[run]gwstate.CopyRef),
		servers: make(map[string]ServerFacts), answers: make(map[run]answer), unidentified: make(map[string]bool),
		acked: ackedPosition{lost: make(map[string]bool)},
	}
	if i := primaryRun(g); i >= 0 {
		e.primary = g.Copies[i]
	}
	for _, c := range g.Copies {
		e.addCopy(c)
	}
	return e
}

// primaryRun returns the index among g's copies of the run that leads the term, or -1. A
// later run under the same name has started again without data.
func primaryRun(g gwstate.Group) int {
	first := -1
	for i, c := range g.Copies {
		if c.Server == g.Primary && (first < 0 || c.Born < g.Copies[first].Born) {
			first = i
		}
	}
	return first
}

// isPrimary reports whether c is the run that led the term.
func (e *Evidence) isPrimary(c gwstate.CopyRef) bool {
	return c.Server == e.primary.Server && (e.primary.Born == 0 || c.Born == e.primary.Born)
}

func (e *Evidence) addCopy(c gwstate.CopyRef) {
	if !e.isPrimary(c) {
		e.copies[runOf(c)] = c
	}
}

// AddServers records the servers that are known now.
func (e *Evidence) AddServers(servers []ServerFacts) {
	clear(e.servers)
	clear(e.unidentified)
	for _, f := range servers {
		e.servers[f.Server] = f
		e.addCopy(copyRef(f))
	}
}

// Add records the answer of a server. A position of a later term comes from an earlier attempt
// of the change, under which nothing was acknowledged; it says only that the server may have
// confirmed writes up to its offset before.
func (e *Evidence) Add(c Copy) {
	ref := copyRef(e.servers[c.Server])
	ref.Server = c.Server
	a, answered := e.answers[runOf(ref)]
	if !answered {
		a = answer{copy: ref, first: c}
	}
	p := e.normalize(c.Position)
	if p.Term > e.group.Term {
		if answered {
			return
		}
		p.Term = e.group.Term
	}
	if !answered || p.AtLeast(a.position) {
		a.position = p
	}
	e.answers[runOf(ref)] = a
}

// AddUnidentified records an answer of which it is unknown whether the run that the directory knows
// gave it: the server may have started again under its name, without data. It proves nothing, but
// that of the old primary counts if it has held the term, which no other server led: a run that
// began without data cannot have received it.
func (e *Evidence) AddUnidentified(c Copy) {
	if e.isPrimary(copyRef(e.servers[c.Server])) && c.Held == e.group.Term && c.Position.Term <= e.group.Term {
		e.Add(c)
		return
	}
	e.unidentified[c.Server] = true
}

// addAcked records the answer of a keeper of the acknowledged position. That of the holder replaces
// that of the backup, which also covers writes that were not acknowledged in the end.
func (e *Evidence) addAcked(a ackAnswer) {
	holder := a.instance == e.group.Acks.Holder
	switch {
	case !a.Known:
		e.acked.lost[a.instance] = true
		return
	case e.acked.known && !holder:
		return
	}
	e.acked.known, e.acked.position = true, e.normalize(a.Position)
	e.acked.exact = holder && a.Complete && !e.group.Acks.Superseded
}

// needsAcked reports whether the keepers of the acknowledged position have yet to answer.
func (e *Evidence) needsAcked() bool { return e.group.Acks.Claimed && !e.acked.known }

// exactSuffices reports whether a copy with the acknowledged position may be promoted whoever has not
// answered.
func (e *Evidence) exactSuffices() bool { return e.exhausted && e.acked.exact }

// normalize returns the start of the term for a position of an earlier term that is past its
// offset: up to there the logs are equal, and a server keeps the earlier position until it
// receives the first write of the term.
func (e *Evidence) normalize(p gwsession.Position) gwsession.Position {
	if start := e.group.Start; p.Term < start.Term && p.Offset >= start.Offset {
		return start
	}
	return p
}

// returnedPrimary reports whether an answer shows that its run has the log of the old
// primary, which crashed. The run holds the term: only the old primary's own log can have
// brought it there, as no server led the term beside the old primary, whose address the run
// has taken. A run that holds a later term may have received from a server that an earlier
// attempt promoted, and proves nothing.
func (e *Evidence) returnedPrimary(a answer) bool {
	return e.primary.Returned(a.copy) && a.first.Held == e.group.Term && a.first.Position.Term <= e.group.Term
}

// covered reports whether a later run at the address of c shows that c confirmed no write of
// the term: the log that it came back with reaches the start of the term, and it has not held
// the term. A server that receives from a primary holds its term before its first write, so
// that a run which came back without its log would hold either no term or this one.
func (e *Evidence) covered(c gwstate.CopyRef) bool {
	for _, a := range e.answers {
		if held := a.first.Held; c.Returned(a.copy) && held > 0 && held < e.group.Term && a.first.Position.Offset >= e.group.Start.Offset {
			return true
		}
	}
	return false
}

// greatest returns the greatest position among the answers of the old primary, or of all
// others.
func (e *Evidence) greatest(ofOld bool) (greatest gwsession.Position, answered bool) {
	for _, a := range e.answers {
		if (e.isPrimary(a.copy) || e.returnedPrimary(a)) == ofOld {
			answered = true
			if a.position.AtLeast(greatest) {
				greatest = a.position
			}
		}
	}
	return greatest, answered
}

// oldPrimaryAnswered reports whether the old primary has answered with its data. One that is
// behind another copy, or behind the start of its own term, has lost data and proves nothing.
func (e *Evidence) oldPrimaryAnswered() bool {
	old, answered := e.greatest(true)
	others, _ := e.greatest(false)
	return answered && old.Offset >= e.group.Start.Offset && old.AtLeast(others) && (!e.acked.known || old.AtLeast(e.acked.position))
}

// missing returns the runs that may have confirmed a write and have not answered, ordered by
// name.
func (e *Evidence) missing() []gwstate.CopyRef {
	var out []gwstate.CopyRef
	for r, c := range e.copies {
		if _, ok := e.answers[r]; !ok && !e.covered(c) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b gwstate.CopyRef) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Born, b.Born))
	})
	return out
}

// answered returns the number of servers that have answered, without the old primary.
func (e *Evidence) answered() int {
	n := 0
	for r := range e.copies {
		if _, ok := e.answers[r]; ok {
			n++
		}
	}
	return n
}

// Candidates returns the servers among the copies, which have answered in the present
// attempt, that may be promoted, the best first. need is the number of copies of the group's
// data: with fewer others than need-1, there may be one that nobody knows of.
//
// With preferOld, the old primary is the first choice. Without, it is the last: a change
// costs a call to the promoter and a gap, so that it is requested only when the primary
// should be replaced.
func (e *Evidence) Candidates(copies []Copy, need int, allowLoss, preferOld bool) ([]Copy, error) {
	old := e.oldPrimaryAnswered()
	missing := e.missing()
	if !e.proven(need) && !allowLoss {
		detail := fmt.Sprintf("%d of %d copies can be read, without [%s]; an acknowledged write may be missing from them", e.answered(), need, serverNames(missing))
		if e.needsAcked() {
			detail += ", as no instance that can be asked knows up to where writes were acknowledged"
		}
		return nil, &Error{Op: opChoose, Kind: Unavailable, Detail: detail}
	}
	required := e.required(old, allowLoss)
	var out []Copy
	for _, c := range copies {
		f := e.servers[c.Server]
		if f.Leaving || !e.normalize(c.Position).AtLeast(required) || c.Position.Offset < required.Offset || e.isPrimary(copyRef(f)) && !old {
			continue
		}
		out = append(out, c)
	}
	slices.SortStableFunc(out, func(a, b Copy) int {
		return cmp.Or(e.rank(a, preferOld)-e.rank(b, preferOld), e.normalize(b.Position).Compare(e.normalize(a.Position)))
	})
	if len(out) == 0 && allowLoss {
		out = e.remaining(copies, required)
	}
	if len(out) == 0 {
		return nil, &Error{Op: opChoose, Kind: Unavailable, Detail: fmt.Sprintf("no copy that stays has every write up to %s", required)}
	}
	return out, nil
}

// remaining returns the copies, those with most of the data first, if no server that is known now
// may have every write up to required.
func (e *Evidence) remaining(copies []Copy, required gwsession.Position) []Copy {
	_, returning := e.holders(required)
	if slices.ContainsFunc(returning, func(c gwstate.CopyRef) bool { _, known := e.servers[c.Server]; return known }) {
		return nil
	}
	stay := slices.DeleteFunc(slices.Clone(copies), func(c Copy) bool { return e.servers[c.Server].Leaving })
	slices.SortStableFunc(stay, func(a, b Copy) int { return cmp.Compare(b.Position.Offset, a.Position.Offset) })
	return stay
}

func serverNames(copies []gwstate.CopyRef) string {
	names := make([]string, len(copies))
	for i, c := range copies {
		names[i] = c.Server
	}
	return strings.Join(names, " ")
}

// proven reports whether the answers, or those that an earlier attempt had, include every
// acknowledged write.
func (e *Evidence) proven(need int) bool {
	complete := len(e.missing()) == 0 && e.answered() >= need-1 && !e.needsAcked()
	return e.group.Proof.Term > 0 || e.oldPrimaryAnswered() || complete || e.exactSuffices()
}

// required returns the position that a copy must have to be promoted.
func (e *Evidence) required(old, allowLoss bool) gwsession.Position {
	if e.group.Proof.Term > 0 {
		return e.group.Proof
	}
	var required gwsession.Position
	if allowLoss || !e.exactSuffices() {
		required, _ = e.greatest(false)
		if p, _ := e.greatest(true); old && p.AtLeast(required) {
			required = p
		}
	}
	if !allowLoss && e.acked.known && e.acked.position.AtLeast(required) {
		required = e.acked.position
	}
	if !allowLoss && e.group.Start.AtLeast(required) {
		required = e.group.Start // earlier writes may be at the old primary only
	}
	return required
}

// rank orders candidates: the old primary first if it is preferred, last otherwise.
func (e *Evidence) rank(c Copy, preferOld bool) int {
	switch {
	case c.Server != e.group.Primary:
		return 0
	case preferOld:
		return -1
	default:
		return 1
	}
}

func copyRef(f ServerFacts) gwstate.CopyRef {
	return gwstate.CopyRef{Server: f.Server, Born: f.Born, Address: f.Address, Leaving: f.Leaving}
}

// copyRefs returns the copies that the servers hold, ordered by name.
func copyRefs(servers []ServerFacts) []gwstate.CopyRef {
	out := make([]gwstate.CopyRef, 0, len(servers))
	for _, f := range servers {
		out = append(out, copyRef(f))
	}
	return out
}
