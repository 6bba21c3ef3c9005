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
	// Position is the last one reported, and ReportedAt when it arrived.
	Position   gwsession.Position
	ReportedAt time.Time
	// FreshAsOf is the time as of which the replica is known to be fresh; zero when unknown.
	FreshAsOf time.Time
	// Lag is the expected time until the replica has a write of the primary.
	// LagKnown means that the replica's log was seen to be that old; otherwise it is
	// a guess from refusals.
	Lag      time.Duration
	LagKnown bool
	// Load is the number of requests waiting and running per slot, as reported.
	Load float64
	// Pending is the number of unanswered requests of this instance per slot.
	Pending float64
	// Service is the average time for which a request holds a slot, 0 if unknown.
	ServiceTime time.Duration
	// Latency is the recent duration of requests at the server.
	Latency time.Duration
}

// Policy selects how reads are routed.
type Policy int

// Policies. All but Session are baselines for comparison.
const (
	// Session serves reads by replicas that satisfy the session and the class.
	Session Policy = iota
	// PrimaryOnly serves every read by the primary.
	PrimaryOnly
	// RoundRobin serves reads by any replica in turn, without consistency.
	RoundRobin
)

// Need is what a request requires of a server.
type Need struct {
	Write  bool
	Policy Policy
	// Position is the one that the server must have reached; RequiredAt is when
	// it became required, the time of the write or of the barrier.
	Position   gwsession.Position
	RequiredAt time.Time
	// Staleness is the greatest accepted; 0 means that Position alone decides.
	Staleness time.Duration
	// WaitBudget bounds the wait for a replica that is behind.
	WaitBudget time.Duration
	// Excluded names servers that have refused the request.
	Excluded map[string]bool
	// Turn numbers the requests of a RoundRobin policy.
	Turn uint64
}

// Choice is the result of Choose: Serve or Reject.
type Choice interface{ choice() }

// Serve names the server to use and how long its owner may wait for the
// required position.
type Serve struct {
	Server  Server
	MaxWait time.Duration
}

// Reject says why no server can serve the request now.
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
// Reads go to the server that is expected to answer first, with a price on links
// that are slow and charged by volume: in an idle system a replica of the own
// data centre, then one of the region, then the region's primary, and servers of
// other regions last.
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

func choosePrimary(need Need, servers []Server) Choice {
	for _, s := range servers {
		if s.Primary && !s.Unusable && !need.Excluded[s.Name] {
			return Serve{Server: s}
		}
	}
	return Reject{Reason: ReasonNoPrimary}
}

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

// Costs of a place, as the time for which a caller would accept to wait instead.
const (
	// costSameRegion is a round trip between data centres of a region, and the
	// bytes on a link that is charged by volume.
	costSameRegion = 6 * time.Millisecond
	// costOtherRegion is the round trip of 60 ms between regions, and the bytes.
	costOtherRegion = 80 * time.Millisecond
	// costPrimary keeps the primary's slots for what only the primary can do:
	// about the time of one statement.
	costPrimary = 12 * time.Millisecond
	// defaultService is the time that a statement is expected to take at a server
	// that has not told.
	defaultServiceTime = 10 * time.Millisecond
	// loadHalfLife is the time in which a reported queue is expected to halve.
	loadHalfLife = 250 * time.Millisecond
	// costSpread is the part by which costs are varied, so that instances that
	// know the same do not all choose the same server.
	costSpread = 0.1
)

// cheapest returns the server with the lowest cost among those that can serve.
//
// The near replica wins until its queue is longer than the way to another one.
// Load pattern: a burst in one data centre, or one replica that is slow or far
// behind, while the others have slots free.
func cheapest(need Need, servers []Server, now time.Time, rng *rand.Rand) (Server, bool) {
	var best Server
	var lowest time.Duration
	found := false
	for _, s := range servers {
		if s.Unusable || need.Excluded[s.Name] {
			continue
		}
		wait := s.ExpectedWait(need, now)
		if wait > need.WaitBudget {
			continue
		}
		c := s.cost(wait, now)
		c += time.Duration(costSpread * rng.Float64() * float64(c))
		if !found || c < lowest {
			best, lowest, found = s, c, true
		}
	}
	return best, found
}

// cost is the expected time until the server has answered a read, leaving out
// what is the same for all servers.
func (s Server) cost(wait time.Duration, now time.Time) time.Duration {
	c := wait
	switch s.Distance {
	case SameDataCentre:
	case SameRegion:
		c += costSameRegion
	case OtherRegion:
		c += costOtherRegion
	}
	service := s.ServiceTime
	if service <= 0 {
		service = defaultServiceTime
	}
	queue := 1 + max(s.decayedLoad(now), s.Pending)
	if s.Primary {
		// What waits behind the read has no other server: the read pays for it, too.
		return c + costPrimary + time.Duration(float64(service)*queue*queue)
	}
	return c + time.Duration(float64(service)*queue)
}

// loadNow is the load that is left of the last report.
func (s Server) decayedLoad(now time.Time) float64 {
	return s.Load * math.Exp2(-float64(now.Sub(s.ReportedAt))/float64(loadHalfLife))
}

// ExpectedWait estimates how long the server needs until it satisfies need.
//
// What a server reported longer ago than reportLifetime says nothing about now:
// it is expected to have caught up, and its owner is asked again.
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

// lagWait estimates the wait for a replica whose lag is known: until it has the
// required write, and until its log is as young as the class accepts.
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
	unboundedWait = time.Duration(1<<63 - 1)
	// reportLifetime is how long a report is taken as current.
	reportLifetime = time.Second
)
