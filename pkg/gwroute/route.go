package gwroute

import (
	"math"
	"math/rand/v2"
	"time"

	"gentianward.example/gentianward/pkg/gwsession"
)

// Distance is how far a server is from the entry instance.
type Distance int

// Distances in increasing order.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Server is what an entry instance knows about one backend server of a group.
type Server struct {
	Name     string
	Distance Distance
	Primary  bool
	// Unusable means that the server is leaving, ejected, diverged or without an owner.
	Unusable bool
	// Position is the last reported position and ReportedAt the time at which it arrived.
	Position   gwsession.Position
	ReportedAt time.Time
	// FreshAsOf is the time as of which the replica is known to be fresh; zero if unknown.
	FreshAsOf time.Time
	// Lag is the expected time until a write at the primary has reached the replica.
	// LagKnown means that it was derived from the position of the replica's log;
	// otherwise it is estimated from refusals.
	Lag      time.Duration
	LagKnown bool
	// Load is the number of requests waiting and running per slot, as reported.
	Load float64
	// Pending is the number of unanswered requests of this instance per slot.
	Pending float64
	// ServiceTime is the average time for which a request occupies a slot, 0 if unknown.
	ServiceTime time.Duration
	// Speed is set if the server is not at its usual speed.
	Speed Speed
	// Latency is the recent duration of requests at the server.
	Latency time.Duration
}

// Policy selects how reads are routed.
type Policy int

// Policies; all but Session are baselines for comparison.
const (
	// Session allows any server that satisfies the session and the class.
	Session Policy = iota
	// PrimaryOnly sends every read to the primary.
	PrimaryOnly
	// RoundRobin sends reads to the replicas in turn, without session consistency.
	RoundRobin
)

// Need is what a request requires of a server.
type Need struct {
	Write  bool
	Policy Policy
	// Position is the position that the server must have reached. RequiredAt is the
	// time of the write or of the barrier that requires it.
	Position   gwsession.Position
	RequiredAt time.Time
	// Staleness is the greatest accepted staleness; 0 means that Position alone decides.
	Staleness time.Duration
	// WaitBudget bounds the wait for a lagging replica.
	WaitBudget time.Duration
	// Excluded names servers that have refused the request.
	Excluded map[string]bool
	// Turn is the sequence number of the request under the RoundRobin policy.
	Turn uint64
}

// Choice is the result of Choose: Serve or Reject.
type Choice interface{ choice() }

// Serve is the server to use and the time that its owner may wait for the required
// position.
type Serve struct {
	Server  Server
	MaxWait time.Duration
}

// Reject is the reason why no server can serve the request now.
type Reject struct{ Reason string }

func (Serve) choice()  {}
func (Reject) choice() {}

// Reasons for a Reject.
const (
	ReasonNoPrimary = "the group has no reachable primary"
	ReasonNoServer  = "no reachable server is fresh enough"
)

// Choose returns the server for a request.
//
// Writes go to the primary. Reads go to the server with the lowest expected time to
// answer, plus a penalty for links that are slow and charged by volume. In an idle system
// the order is: replicas of the own data centre, replicas of the own region, the primary
// of the own region, servers of other regions.
func Choose(need Need, servers []Server, now time.Time, rng *rand.Rand) Choice {
	if need.Write || need.Policy == PrimaryOnly {
		return choosePrimary(need, servers)
	}
	if need.Policy == RoundRobin {
		return chooseRoundRobin(need, servers)
	}
	if s, ok := cheapest(need, servers, now, rng); ok {
		return Serve{Server: s, MaxWait: need.WaitBudget}
	}
	return Reject{Reason: ReasonNoServer}
}

// choosePrimary returns the primary if it is usable.
func choosePrimary(need Need, servers []Server) Choice {
	for _, s := range servers {
		if s.Primary && !s.Unusable && !need.Excluded[s.Name] {
			return Serve{Server: s}
		}
	}
	return Reject{Reason: ReasonNoPrimary}
}

// chooseRoundRobin returns the usable replicas in turn, or the primary if there are none.
func chooseRoundRobin(need Need, servers []Server) Choice {
	var replicas []Server
	for _, s := range servers {
		if !s.Primary && !s.Unusable && !need.Excluded[s.Name] {
			replicas = append(replicas, s)
		}
	}
	if len(replicas) == 0 {
		return choosePrimary(need, servers)
	}
	return Serve{Server: replicas[need.Turn%uint64(len(replicas))]}
}

// Costs of a server's distance and role, as the equivalent waiting time.
const (
	// costSameRegion covers a round trip between data centres of a region and the
	// bytes on a link that is charged by volume.
	costSameRegion = 6 * time.Millisecond
	// costOtherRegion covers the round trip of 60 ms between regions and the bytes.
	costOtherRegion = 80 * time.Millisecond
	// costPrimary is about the time of one statement. It keeps the primary's slots for
	// requests that only the primary can serve.
	costPrimary = 12 * time.Millisecond
	// defaultServiceTime is the expected time of a statement at a server that has not
	// reported its own.
	defaultServiceTime = 10 * time.Millisecond
	// loadHalfLife is the time in which a reported load is expected to halve.
	loadHalfLife = 250 * time.Millisecond
	// costSpread is the fraction by which costs are randomly increased, so that
	// instances with the same state do not all choose the same server.
	costSpread = 0.1
)

// cheapest returns the server with the lowest cost among those that can serve.
//
// The nearest replica is chosen until its queueing delay exceeds the cost of reaching
// another one. Load pattern: a burst in one data centre, or one replica that is slow or
// lags far behind, while other servers have free slots.
func cheapest(need Need, servers []Server, now time.Time, rng *rand.Rand) (Server, bool) {
	var best Server
	var lowest time.Duration
	found := false
	usual := usualService(servers)
	for _, s := range servers {
		if s.Unusable || need.Excluded[s.Name] {
			continue
		}
		wait := s.ExpectedWait(need, now)
		if wait > need.WaitBudget {
			continue
		}
		c := s.cost(wait, usual, now)
		c += time.Duration(costSpread * rng.Float64() * float64(c))
		if !found || c < lowest {
			best, lowest, found = s, c, true
		}
	}
	return best, found
}

// cost returns the expected time until the server has answered a read, without the parts
// that are the same for all servers.
func (s Server) cost(wait, usual time.Duration, now time.Time) time.Duration {
	c := wait + s.distanceCost() + s.roleCost()
	service := float64(s.service(usual, now)) * s.attempts()
	queue := s.queue(now)
	if s.Primary {
		// Writes that queue behind the read have no other server: their delay counts, too.
		return c + time.Duration(service*queue*queue)
	}
	return c + time.Duration(service*queue)
}

// distanceCost returns the cost of the way to the server.
func (s Server) distanceCost() time.Duration {
	switch s.Distance {
	case SameRegion:
		return costSameRegion
	case OtherRegion:
		return costOtherRegion
	}
	return 0
}

// roleCost returns the cost of a read at the primary.
func (s Server) roleCost() time.Duration {
	if s.Primary {
		return costPrimary
	}
	return 0
}

// decayedLoad returns the last reported load, decayed since the report.
func (s Server) decayedLoad(now time.Time) float64 {
	return s.Load * math.Exp2(-float64(now.Sub(s.ReportedAt))/float64(s.loadHalving()))
}

// ExpectedWait estimates how long the server needs until it satisfies need.
//
// A report older than reportLifetime says nothing about the current state: the server is
// assumed to have caught up, and its owner checks again.
func (s Server) ExpectedWait(need Need, now time.Time) time.Duration {
	if s.Primary || now.Sub(s.ReportedAt) >= reportLifetime {
		return 0
	}
	if s.LagKnown {
		return s.lagWait(need, now)
	}
	wait := time.Duration(0)
	if !s.Position.AtLeast(need.Position) {
		wait = max(0, s.Lag-now.Sub(need.RequiredAt))
	}
	if need.Staleness > 0 {
		wait = max(wait, s.staleWait(need, now))
	}
	return wait
}

// lagWait estimates the wait for a replica whose lag is known: until it has the required
// write, and until its log is as recent as the class requires.
func (s Server) lagWait(need Need, now time.Time) time.Duration {
	wait := time.Duration(0)
	if !need.Position.IsZero() {
		wait = max(0, s.Lag-now.Sub(need.RequiredAt))
	}
	if need.Staleness > 0 {
		wait = max(wait, s.Lag-need.Staleness)
	}
	return wait
}

// staleWait estimates the wait until a replica is known to be fresh enough.
func (s Server) staleWait(need Need, now time.Time) time.Duration {
	if s.FreshAsOf.IsZero() {
		return unboundedWait
	}
	return max(0, now.Sub(s.FreshAsOf)-need.Staleness)
}

const (
	// unboundedWait exceeds every wait budget.
	unboundedWait = time.Duration(1<<63 - 1)
	// reportLifetime is the time for which a report counts as current.
	reportLifetime = time.Second
)
