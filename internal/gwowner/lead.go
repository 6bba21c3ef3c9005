package gwowner

import (
	"context"
	"errors"
	"fmt"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// checkLead makes a read at the primary under its lease require every write that was acknowledged
// before: the lease shows that no other server leads, and not that this one still has its data, as it
// may have started again under its name.
func (s *server) checkLead(ctx context.Context, req *Request, g gwcontrol.GroupView) (Result, bool) {
	p, err := s.barrier(ctx)
	if err != nil {
		if errors.Is(err, errNotLeading) {
			s.endLead(g, "the primary has lost its data or the lead")
		}
		return failed(gwoutcome.NoLease, err.Error()), false
	}
	if req.Statement != nil {
		req.requireAfter(p)
	}
	return Result{}, true
}

// barrier returns a position that covers every write acknowledged before the call, and that the
// present run of the primary has shown. It fails with errNoLease unless the same lease period lasts
// until it returns.
func (s *server) barrier(ctx context.Context) (gwsession.Position, error) {
	g := s.group()
	if g.Primary != s.facts().Server || g.Changing || !s.holdsLease(g.Term) {
		return gwsession.Position{}, errNoLease
	}
	period := leasePeriod{term: g.Term, grant: s.owner.leases.Grant(g.Group)}
	p, known := s.shownPosition(period)
	if !known {
		var err error
		if p, err = s.queryLead(ctx, g, period); err != nil {
			return gwsession.Position{}, err
		}
	}
	if !s.holdsLease(g.Term) || s.owner.leases.Grant(g.Group) != period.grant {
		return gwsession.Position{}, errNoLease
	}
	return p, nil
}

// queryLead asks the primary for its position, which covers every write that earlier owners have
// acknowledged. Callers in the same lease period share the answer.
func (s *server) queryLead(ctx context.Context, g gwcontrol.GroupView, period leasePeriod) (gwsession.Position, error) {
	answer := s.leadQuery.DoChan(fmt.Sprint(period), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		defer cancel()
		s.mu.Lock()
		before, sameTerm := s.committed, s.basePeriod.term == period.term
		s.mu.Unlock()
		r, err := s.backend.Query(ctx)
		if err != nil {
			return gwsession.Position{}, err
		}
		if r.Role != gwbackend.RolePrimary || r.Position.Offset < g.Start.Offset || sameTerm && !r.Position.AtLeast(before) {
			return gwsession.Position{}, errNotLeading
		}
		p := s.setBasePosition(period, r.Position)
		since, _ := s.backend.PresentRun()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.baseRun = since
		return p, nil
	})
	select {
	case a := <-answer:
		if a.Err != nil {
			return gwsession.Position{}, a.Err
		}
		return a.Val.(gwsession.Position), nil
	case <-ctx.Done():
		return gwsession.Position{}, context.Cause(ctx)
	}
}

var errNoLease = errors.New("the owner does not hold the write lease of the group")

// errNotLeading means that the server has lost its data or the lead, so that its position does not
// cover what was acknowledged.
var errNotLeading = errors.New("the server is not the primary with the data of its term")

// leasePeriod is one term of a primary under one grant of the write lease. The term
// alone does not suffice: an instance that was partitioned off may get the lease of the
// same term back after another instance has acknowledged writes under it.
type leasePeriod struct{ term, grant uint64 }

// barrierPosition returns the position of the last acknowledged write and whether it
// covers those of earlier owners, too.
func (s *server) barrierPosition(period leasePeriod) (gwsession.Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committed, s.basePeriod == period
}

// shownPosition returns what barrierPosition does, and whether the run of the server that showed it is
// known not to have ended: connections to it may have been opened to a later run, without its data.
func (s *server) shownPosition(period leasePeriod) (gwsession.Position, bool) {
	p, known := s.barrierPosition(period)
	since, shown := s.backend.PresentRun()
	s.mu.Lock()
	defer s.mu.Unlock()
	return p, known && shown && s.baseRun.Equal(since)
}

// setBasePosition records that p, which was read from the primary in the given lease
// period, covers every write that earlier owners acknowledged. It returns the
// resulting value of committed.
func (s *server) setBasePosition(period leasePeriod, p gwsession.Position) gwsession.Position {
	if p, known := s.barrierPosition(period); known {
		return p // it covers earlier holders, and own commits are recorded as they are acknowledged
	}
	if s.guardsAcks() {
		s.groupBackup().prime(p) // before the log may be told that p covers earlier holders
		s.storeAcked(period.term, p, true)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// What an earlier term left at this server may have been rolled back since.
	earlier := s.basePeriod.term != period.term && s.committed.Term < period.term
	if earlier || p.AtLeast(s.committed) {
		s.committed = p
	}
	if s.basePeriod != period {
		s.ackHistory.Reset()
	}
	s.basePeriod = period
	return s.committed
}
