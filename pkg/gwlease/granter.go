package gwlease

import (
	"cmp"
	"slices"
	"time"
)

// Lease is one row of the granter's table. Released rows are kept to recognize reordered
// messages.
type Lease struct {
	Group    string `json:"group" cbor:"1,keyasint"`
	Term     uint64 `json:"term" cbor:"2,keyasint"`
	Holder   string `json:"holder" cbor:"3,keyasint"`
	Epoch    uint64 `json:"epoch" cbor:"4,keyasint"`
	Sequence uint64 `json:"sequence" cbor:"5,keyasint"`
	Held     bool   `json:"held" cbor:"6,keyasint"`
	// Floor is the lowest term that may be granted.
	Floor uint64 `json:"floor" cbor:"7,keyasint"`
}

// Table is a copy of a granter's table.
type Table struct {
	// Leases is ordered by group.
	Leases []Lease `json:"leases" cbor:"1,keyasint"`
	// Incomplete means that the table was copied during the wait after Suspend.
	Incomplete bool `json:"incomplete,omitempty" cbor:"2,keyasint,omitempty"`
}

// Granter is the table of write leases. It is not safe for concurrent use.
//
// Grant, Return, Release and RaiseFloor change the table independently of the time, so
// that copies that apply the same calls in the same order are equal; only the deadlines
// that Expired uses are local. To replicate the table, log the leader's result of Expired
// and apply it at every copy with Release. Without replication, call Expire.
type Granter struct {
	cfg    Config
	leases map[string]*grant
	// suspendedUntil is the end of the wait after Suspend.
	suspendedUntil time.Time
}

// grant is a lease with the local time until which other holders are refused.
type grant struct {
	Lease
	deadline time.Time
}

// NewGranter returns an empty table.
func NewGranter(cfg Config) *Granter {
	return &Granter{cfg: cfg.withDefaults(), leases: make(map[string]*grant)}
}

// Suspend refuses every request for one lease duration. It must be called after a restart
// that lost the table.
func (g *Granter) Suspend(now time.Time) {
	g.suspendedUntil = now.Add(g.cfg.granterDuration())
}

// Grant grants or renews the leases of a request, independently for each group.
func (g *Granter) Grant(req Request, now time.Time) Answer {
	answer := Answer{Epoch: req.Epoch, Sequence: req.Sequence}
	for _, gt := range req.Groups {
		if reason := g.check(req, gt, now); reason != 0 {
			r := Refusal{Group: gt.Group, Reason: reason}
			if old, ok := g.leases[gt.Group]; ok {
				r.Term = max(old.Term, old.Floor)
			}
			answer.Refused = append(answer.Refused, r)
			continue
		}
		g.record(req, gt, now)
	}
	return answer
}

// check returns the reason to refuse the lease of a group, or 0 to grant it.
func (g *Granter) check(req Request, gt GroupTerm, now time.Time) Reason {
	if now.Before(g.suspendedUntil) {
		return ReasonStarting
	}
	old, ok := g.leases[gt.Group]
	if !ok {
		return 0
	}
	sameHolder := old.Holder == req.Holder && old.Epoch == req.Epoch
	switch {
	case gt.Term < max(old.Term, old.Floor):
		return ReasonOldTerm
	case old.Held && !sameHolder:
		return ReasonHeld
	case !old.Held && sameHolder && req.Sequence < old.Sequence:
		return ReasonReordered
	}
	return 0
}

// record stores a grant whose deadline counts from now.
func (g *Granter) record(req Request, gt GroupTerm, now time.Time) {
	l := Lease{
		Group: gt.Group, Term: gt.Term, Holder: req.Holder,
		Epoch: req.Epoch, Sequence: req.Sequence, Held: true,
	}
	if old, ok := g.leases[gt.Group]; ok {
		l.Floor = old.Floor
		if old.Holder == l.Holder && old.Epoch == l.Epoch {
			l.Sequence = max(l.Sequence, old.Sequence)
		}
	}
	g.leases[gt.Group] = &grant{Lease: l, deadline: now.Add(g.cfg.granterDuration())}
}

// Return frees leases that their holder returned. It ignores a return that arrives after
// a later request of the same holder.
func (g *Granter) Return(r Return) {
	for _, gt := range r.Groups {
		old, ok := g.leases[gt.Group]
		if !ok || !old.Held || old.Holder != r.Holder || old.Epoch != r.Epoch {
			continue
		}
		if r.Sequence > old.Sequence {
			old.Held = false
			old.Sequence = r.Sequence
		}
	}
}

// Expired returns the held leases whose deadline has passed on the local
// clock. It changes nothing.
func (g *Granter) Expired(now time.Time) []Lease {
	var expired []Lease
	for _, l := range g.leases {
		if l.Held && !now.Before(l.deadline) {
			expired = append(expired, l.Lease)
		}
	}
	sortLeases(expired)
	return expired
}

// Release frees those of the leases that have not been renewed since Expired listed them.
func (g *Granter) Release(leases []Lease) {
	for _, l := range leases {
		old, ok := g.leases[l.Group]
		if ok && old.Holder == l.Holder && old.Epoch == l.Epoch && old.Sequence == l.Sequence {
			old.Held = false
		}
	}
}

// Expire releases and returns the expired leases. It is for a table that is not
// replicated.
func (g *Granter) Expire(now time.Time) []Lease {
	expired := g.Expired(now)
	g.Release(expired)
	return expired
}

// RaiseFloor makes the granter refuse grants and renewals of a group at terms before term.
// A lease that is held stays so until its return or deadline.
func (g *Granter) RaiseFloor(group string, term uint64) {
	old, ok := g.leases[group]
	if !ok {
		g.leases[group] = &grant{Lease: Lease{Group: group, Floor: term}}
		return
	}
	old.Floor = max(old.Floor, term)
}

// Holder returns the lease of a group, and false if it is not held.
func (g *Granter) Holder(group string) (Lease, bool) {
	l, ok := g.leases[group]
	if !ok || !l.Held {
		return Lease{}, false
	}
	return l.Lease, true
}

// Table returns a copy of the table for snapshots.
func (g *Granter) Table(now time.Time) Table {
	all := make([]Lease, 0, len(g.leases))
	for _, l := range g.leases {
		all = append(all, l.Lease)
	}
	sortLeases(all)
	return Table{Leases: all, Incomplete: now.Before(g.suspendedUntil)}
}

// Restore replaces the table. The deadline of every held lease counts from now, because
// the time of its grant is not known on this clock. An incomplete table has the effect of
// Suspend.
func (g *Granter) Restore(table Table, now time.Time) {
	g.leases = make(map[string]*grant, len(table.Leases))
	g.suspendedUntil = time.Time{}
	if table.Incomplete {
		g.Suspend(now)
	}
	for _, l := range table.Leases {
		g.leases[l.Group] = &grant{Lease: l, deadline: now.Add(g.cfg.granterDuration())}
	}
}

// sortLeases orders leases by group.
func sortLeases(leases []Lease) {
	slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.Group, b.Group) })
}
