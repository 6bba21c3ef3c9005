package gwowner

import (
	"context"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
)

// Timing of supervision.
const (
	// primaryTimeout is how long a primary may fail to answer before a change is asked for.
	// Position queries are 200 ms apart.
	primaryTimeout = 250 * time.Millisecond
	// pollSlack is added to the time between position queries where they are further
	// apart than primaryTimeout.
	pollSlack  = 50 * time.Millisecond
	askTimeout = time.Second
	// aliveTimeout bounds the answer to a new connection, which takes no slot.
	aliveTimeout  = 200 * time.Millisecond
	followTimeout = 3 * time.Second
)

// superviseAll checks every owned server in its own goroutine, unless the
// previous check is still running.
func (o *Owner) superviseAll(ctx context.Context) {
	for _, s := range o.all() {
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
	switch {
	case g.Term == 0:
		s.startGroup(ctx)
	case g.Changing:
	case g.Primary == s.facts.Server:
		s.supervisePrimary(ctx, g)
	default:
		s.superviseReplica(ctx, g)
	}
}

// startGroup reports a server that leads a group whose primary is not agreed yet.
func (s *server) startGroup(ctx context.Context) {
	r, _, err := s.backend.Report()
	if s.owner.start == nil || err != nil || r.Role != gwbackend.RolePrimary || r.Term == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a := gwcontrol.Announcement{ServerFacts: s.facts, Role: string(r.Role), Term: r.Term, Offset: r.Position.Offset}
	if err := s.owner.start(ctx, a); err != nil {
		s.owner.log.Warn("group not started", "group", s.facts.Group, "primary", s.facts.Server, "error", err)
	}
}

// supervisePrimary asks for a change of primary when the server does not
// answer, is leaving, or is not the primary of the agreed term.
func (s *server) supervisePrimary(ctx context.Context, g gwcontrol.GroupView) {
	r, at, err := s.backend.Report()
	now := s.owner.clock.Now()
	s.mu.Lock()
	if s.openedAt.IsZero() {
		s.openedAt = now
	}
	silent := now.Sub(later(at, s.openedAt))
	leaving := s.facts.Leaving
	s.mu.Unlock()
	if gwbackend.ServerError(err) != nil {
		// It refuses connections of this instance, as while those of an earlier
		// owner are still open: it is alive.
		err, silent = nil, 0
	}
	limit := max(primaryTimeout, s.owner.poll+pollSlack)
	switch {
	case leaving:
		s.requestChange(ctx, g, "the primary is leaving")
	case err != nil && silent > limit:
		s.requestChange(ctx, g, "the primary does not answer: "+err.Error())
	case silent > limit && !s.alive(ctx):
		s.requestChange(ctx, g, "the primary does not answer a new connection")
	case err == nil && !at.IsZero() && r.Term > g.Term:
		s.owner.log.Warn("primary reports a later term", "server", s.facts.Server, "group", g.Group, "term", g.Term, "reported", r.Term)
	case err == nil && r.Role == gwbackend.RoleReplica && r.Term <= g.Term && silent < limit:
		s.requestChange(ctx, g, "the primary runs as a replica")
	default:
		_, _ = s.staleness(g) // records that the lease is seen valid
		s.sweepKeys(ctx, g)
	}
}

// alive reports whether the server answers a new connection. Position queries
// wait for a slot, so that their silence may only mean that the server is busy.
func (s *server) alive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	return s.backend.Ping(ctx) == nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// requestChange gives the lease up and asks for a change of primary at the same
// time, which saves a round trip between regions. The leader waits for the lease
// to be returned before it fences anything.
func (s *server) requestChange(ctx context.Context, g gwcontrol.GroupView, reason string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { s.owner.leases.GiveUp(ctx, g.Group) })
	s.owner.suspected(ctx, g.Group, g.Term, reason)
	wg.Wait()
}

// suspect looks at a server again at once after its ejection.
func (o *Owner) suspect(s *server) {
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, primaryTimeout)
		defer cancel()
		if _, err := s.backend.Refresh(ctx); err == nil || gwbackend.ServerError(err) != nil {
			return // it answers, if only that it has no room
		}
		if g := s.group(); g.Primary == s.facts.Server && !g.Changing {
			s.requestChange(o.ctx, g, "the primary refuses connections")
		}
	}()
}

// superviseReplica makes the server follow the agreed primary and keeps its
// freshness known.
func (s *server) superviseReplica(ctx context.Context, g gwcontrol.GroupView) {
	r, _, err := s.backend.Report()
	if err == nil && (r.Role == gwbackend.RolePrimary || r.Paused || r.Term < g.Term) {
		s.follow(ctx, g, r)
	}
	if s.freshnessDue() {
		s.askFreshness(ctx, g)
	}
}

// freshnessDue reports whether it is time to ask for the primary's position again.
func (s *server) freshnessDue() bool {
	now := s.owner.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.askedAt) < s.owner.freshness {
		return false
	}
	s.askedAt = now
	return true
}

// follow makes the server a replica of the agreed primary. What it has beyond
// the start of the term was never acknowledged and is dropped.
func (s *server) follow(ctx context.Context, g gwcontrol.GroupView, r gwbackend.Report) {
	s.mu.Lock()
	done := s.followed == g.Term && r.Role == gwbackend.RoleReplica && !r.Paused
	s.mu.Unlock()
	f, ok := s.owner.directory.Server(g.Primary)
	if done || !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	dropped, err := s.backend.Follow(ctx, g.Term, f.Address)
	if err != nil {
		s.owner.log.Warn("backend server does not follow", "server", s.facts.Server, "group", g.Group, "term", g.Term, "error", err)
		return
	}
	s.mu.Lock()
	s.followed = g.Term
	s.mu.Unlock()
	s.owner.log.Info("backend server follows", "server", s.facts.Server, "group", g.Group, "term", g.Term, "primary", g.Primary, "dropped", dropped)
}

func (s *server) askFreshness(ctx context.Context, g gwcontrol.GroupView) {
	sent := s.owner.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := s.owner.askPrimary(ctx, barrier{Group: g.Group, Earlier: s.owner.freshness})
	if err != nil {
		return
	}
	s.answered(g.Term, sent, a.Position, a.Earlier)
}
