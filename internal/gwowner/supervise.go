package gwowner

import (
	"context"
	"errors"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
)

// Timeouts of supervision.
const (
	// primaryTimeout is how long a primary may leave position queries, which are 200 ms
	// apart, unanswered before a change of primary is requested.
	primaryTimeout = 250 * time.Millisecond
	// pollMargin is added to the interval between position queries; the sum replaces
	// primaryTimeout where it is longer.
	pollMargin     = 50 * time.Millisecond
	requestTimeout = time.Second
	// pingTimeout bounds the wait for the answer to a new connection, which needs no slot.
	pingTimeout   = 200 * time.Millisecond
	followTimeout = 3 * time.Second
)

// superviseAll starts a check of every owned server whose previous check has ended, each
// in its own goroutine.
func (o *Owner) superviseAll(ctx context.Context) {
	o.standstill.record(o.clock.Now())
	for _, s := range o.ownedServers() {
		if s.beginCheck() {
			go func() {
				defer s.endCheck()
				s.supervise(ctx)
			}()
		}
	}
}

func (s *server) beginCheck() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checking {
		return false
	}
	s.checking = true
	return true
}

func (s *server) endCheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checking = false
}

func (s *server) supervise(ctx context.Context) {
	g := s.group()
	if r, at, err := s.backend.Report(); err == nil && !at.IsZero() {
		s.received.record(r)
	}
	switch {
	case g.Term == 0:
		s.startGroup(ctx)
	case g.Changing:
	case g.Primary == s.facts().Server:
		s.supervisePrimary(ctx, g)
	default:
		s.superviseReplica(ctx, g)
	}
}

// startGroup reports a server that runs as the primary of a group for which the
// replicated log has no primary yet.
func (s *server) startGroup(ctx context.Context) {
	r, _, err := s.backend.Report()
	if s.owner.startGroup == nil || err != nil || r.Role != gwbackend.RolePrimary || r.Term == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a := gwcontrol.Announcement{ServerFacts: s.facts(), Role: string(r.Role), Term: r.Term, Offset: r.Position.Offset}
	if err := s.owner.startGroup(ctx, a); err != nil {
		s.owner.log.Warn("group not started with its first primary", "group", s.facts().Group, "primary", s.facts().Server, "error", err)
	}
}

// supervisePrimary requests a change of primary if the server does not answer, is
// leaving, or runs as a replica in the current or an earlier term.
func (s *server) supervisePrimary(ctx context.Context, g gwcontrol.GroupView) {
	r, reportedAt, err := s.backend.Report()
	now := s.owner.clock.Now()
	s.mu.Lock()
	if s.supervisedSince.IsZero() {
		s.supervisedSince = now
	}
	silence := s.silence(laterOf(reportedAt, s.supervisedSince), now)
	leaving := s.facts().Leaving
	s.mu.Unlock()
	if gwbackend.ServerError(err) != nil {
		// The server refuses connections of this instance, as it does while those of
		// an earlier owner are still open, and so is alive.
		err, silence = nil, 0
	}
	limit := max(primaryTimeout, s.owner.pollInterval+pollMargin)
	lost := s.lostLead(g, r, silence < limit)
	switch {
	case leaving:
		s.requestChange(ctx, g, "the primary is leaving")
	case err != nil && silence > limit:
		s.requestChange(ctx, g, "the primary does not answer: "+err.Error())
	case silence > limit && !s.alive(ctx):
		s.requestChange(ctx, g, "the primary does not answer a new connection")
	case err == nil && !reportedAt.IsZero() && r.Term > g.Term:
		// Another server was promoted without this system's decision, or by a call that
		// took effect late. Nothing may be acknowledged by this one any more.
		s.owner.log.Warn("primary reports a later term", "server", s.facts().Server, "group", g.Group, "term", g.Term, "reported", r.Term)
		s.requestChange(ctx, g, "the primary follows a later term")
	case err == nil && lost != "":
		s.requestChange(ctx, g, lost)
	default:
		_, _ = s.staleness(g) // updates leaseSeenAt
		if s.guardsAcks() {
			s.recordPresent(g.Term)
			s.groupBackup().review()
		}
		s.sweepKeys(ctx, g)
	}
}

// lostLead returns why a report shows that the server is not the primary with the data of the term, or
// nothing. Its role counts if the report is recent.
func (s *server) lostLead(g gwcontrol.GroupView, r gwbackend.Report, recent bool) string {
	switch {
	case r.Role == gwbackend.RoleReplica && r.Term <= g.Term && recent:
		return "the primary runs as a replica"
	case lostData(s.received.latest(), r):
		return "the primary has lost data"
	}
	return ""
}

// alive reports whether the server answers a new connection. Unanswered position queries
// alone do not show that it is down: they wait for a slot, and the server may be busy. A wait
// during which this process stood still shows nothing either; the next check asks again.
func (s *server) alive(ctx context.Context) bool {
	started := s.owner.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return s.backend.Ping(ctx) == nil || s.owner.clock.Since(started) > pingTimeout+standstillMargin
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// requestChange returns the lease and requests a change of primary concurrently, which
// saves a round trip between regions. The leader waits for the return of the lease before
// it fences any server.
func (s *server) requestChange(ctx context.Context, g gwcontrol.GroupView, reason string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { s.owner.leases.GiveUp(ctx, g.Group) })
	s.owner.reportSuspect(ctx, g.Group, g.Term, reason)
	wg.Wait()
}

// endLead gives up the lease of a primary that is known to have lost it or its data, and requests a
// change of primary.
func (s *server) endLead(g gwcontrol.GroupView, reason string) {
	s.owner.log.Warn("lease given up", "server", s.facts().Server, "group", g.Group, "term", g.Term, "reason", reason)
	go s.requestChange(s.owner.ctx, g, reason)
}

// recheck queries a server that was ejected or refused a write, and requests a change of
// primary if it is its group's primary and does not answer.
func (o *Owner) recheck(s *server) {
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, primaryTimeout)
		defer cancel()
		if _, err := s.backend.Refresh(ctx); err == nil || gwbackend.ServerError(err) != nil {
			return // the server answers, if only with an error
		}
		if g := s.group(); g.Primary == s.facts().Server && !g.Changing {
			s.requestChange(o.ctx, g, "the primary refuses connections")
		}
	}()
}

// superviseReplica makes the server follow the group's primary and keeps its freshness up
// to date.
func (s *server) superviseReplica(ctx context.Context, g gwcontrol.GroupView) {
	if s.owner.viewIsCurrent() {
		s.resetWitness()
	}
	r, _, err := s.backend.Report()
	if err == nil && (r.Role == gwbackend.RolePrimary || r.Paused || r.Term < g.Term) && s.owner.viewIsCurrent() {
		s.follow(ctx, g, r)
	}
	if s.freshnessDue() {
		s.updateFreshness(ctx, g)
	}
}

// viewIsCurrent reports whether this instance would know of a change of primary. During a
// partition both sides may reach a server. The side without contact must not order it to
// follow: it would resume a replica that the leader has paused to choose the next primary.
func (o *Owner) viewIsCurrent() bool { return o.inContact == nil || o.inContact() }

// freshnessDue reports whether it is time to ask for the primary's position again.
func (s *server) freshnessDue() bool {
	now := s.owner.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.freshnessAskedAt) < s.owner.freshnessInterval {
		return false
	}
	s.freshnessAskedAt = now
	return true
}

// follow makes the server a replica of the group's primary. Writes that the server holds
// beyond the start of the term were never acknowledged and are dropped.
func (s *server) follow(ctx context.Context, g gwcontrol.GroupView, r gwbackend.Report) {
	s.mu.Lock()
	done := s.followedTerm == g.Term && r.Role == gwbackend.RoleReplica && !r.Paused
	s.mu.Unlock()
	f, ok := s.owner.directory.Server(g.Primary)
	if done || !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	dropped, err := s.backend.Follow(ctx, g.Term, f.Address)
	if err != nil {
		s.owner.log.Warn("backend server cannot follow the primary", "server", s.facts().Server, "group", g.Group, "term", g.Term, "error", err)
		return
	}
	s.received.reset()
	s.mu.Lock()
	s.followedTerm = g.Term
	s.mu.Unlock()
	s.owner.log.Info("backend server follows the primary", "server", s.facts().Server, "group", g.Group, "term", g.Term, "primary", g.Primary, "dropped", dropped)
}

// updateFreshness asks the primary's owner for the primary's position and records it. An
// error leaves the freshness as it was. If the owner is not known yet, the next check asks
// again without waiting for the interval: until the first answer the replica serves no read
// with a staleness bound.
func (s *server) updateFreshness(ctx context.Context, g gwcontrol.GroupView) {
	sent := s.owner.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a, err := s.owner.askPrimary(ctx, barrierRequest{Group: g.Group, Earlier: s.owner.freshnessInterval})
	var unasked *gwcontrol.Error
	if errors.As(err, &unasked) && unasked.Kind == gwcontrol.UnknownServer {
		s.mu.Lock()
		s.freshnessAskedAt = time.Time{}
		s.mu.Unlock()
	}
	if s.owner.freshWithoutLease && isNoLease(err) {
		s.updateWithoutLease(ctx, g)
	}
	if err != nil {
		return
	}
	s.recordPrimaryPosition(g.Term, sent, a.Position, a.Earlier)
}
