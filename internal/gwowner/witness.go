package gwowner

import (
	"context"
	"errors"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwsession"
)

// witness is what the owner of a replica tells the owner of the primary that holds no lease:
// after the moment for which it asks, the replica answered that it receives in Term.
//
// Two of three copies that have not followed a later term show that no write of a later
// term has been acknowledged: such a write has a primary and a replica that confirmed it,
// and both have held that term before. What the primary answers afterwards then covers every
// write that was acknowledged before the replica was asked, so that a replica which has
// reached it is fresh as of that moment. This serves no strict read: it tells about a moment
// in the past only.
type witness struct {
	Server string `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
}

// errNotProven means that the primary's position may not cover every acknowledged write.
var errNotProven = errors.New("later primaries cannot be ruled out without the lease")

// witnessReplica asks the server whether it still receives in the group's term. Once it was
// found paused or at a later term, it is no witness until the leader has been in contact
// again: a change of primary may be under way or done.
func (s *server) witnessReplica(ctx context.Context, g gwcontrol.GroupView) (*witness, error) {
	r, err := s.backend.Query(ctx)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Role != gwbackend.RoleReplica || r.Term != g.Term || r.Paused {
		s.changeSeen = true
	}
	if s.changeSeen {
		return nil, errNotProven
	}
	return &witness{Server: s.facts().Server, Term: r.Term}, nil
}

// resetWitness is called while the leader can be reached.
func (s *server) resetWitness() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeSeen = false
}

// provenPosition returns the primary's position if it covers every write that was
// acknowledged before the witness was asked.
func (s *server) provenPosition(ctx context.Context, w witness) (gwsession.Position, error) {
	g := s.group()
	if g.Primary != s.facts().Server || g.Changing || g.Term != w.Term || !s.owner.twoCopiesSuffice(g, w.Server) {
		return gwsession.Position{}, errNotProven
	}
	r, err := s.backend.Query(ctx)
	if err != nil {
		return gwsession.Position{}, err
	}
	if r.Role != gwbackend.RolePrimary || r.Paused || r.Term != g.Term || r.Position.Offset < g.Start.Offset {
		return gwsession.Position{}, errNotProven
	}
	return r.Position, nil
}

// provenCopies is the number of copies of a group of which the primary and one replica are
// all but one.
const provenCopies = 3

// twoCopiesSuffice reports whether the primary and the replica are all but one of the group's
// copies.
func (o *Owner) twoCopiesSuffice(g gwcontrol.GroupView, replica string) bool {
	servers := o.Servers(g.Group)
	copies, allowLoss := o.DurabilityRules(g.Group)
	if allowLoss || max(copies, len(servers)) > provenCopies || replica == g.Primary || o.unconfirmed(g.Group) {
		return false
	}
	for _, f := range servers {
		if f.Server == replica {
			return true
		}
	}
	return false
}

// unconfirmed reports whether the primary of a group answers writes that no replica has.
func (o *Owner) unconfirmed(group string) bool {
	m := o.views.Current().Manifest
	if m == nil {
		return true
	}
	ref, _ := m.GroupByName(group)
	return ref.Unconfirmed
}

// isNoLease reports whether the owner of the primary refused because it holds no lease.
func isNoLease(err error) bool {
	code, remote := gwpeer.RemoteCode(err)
	return errors.Is(err, errNoLease) || remote && code == codeNoLease
}

// updateWithoutLease updates the freshness of a replica while nobody that can be reached
// holds the lease of its primary, as on the side of a partition without the leader.
func (s *server) updateWithoutLease(ctx context.Context, g gwcontrol.GroupView) {
	sent := s.owner.clock.Now()
	w, err := s.witnessReplica(ctx, g)
	if err != nil {
		s.owner.log.Debug("replica is no witness", "server", s.facts().Server, "group", g.Group, "term", g.Term, "error", err)
		return
	}
	a, err := s.owner.askPrimary(ctx, barrierRequest{Group: g.Group, Witness: w})
	if err != nil {
		s.owner.log.Debug("position without the lease not proven", "server", s.facts().Server, "group", g.Group, "term", g.Term, "error", err)
		return
	}
	s.recordPrimaryPosition(g.Term, sent, a.Position, nil)
}
