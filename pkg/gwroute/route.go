package gwroute

import (
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
	Lag time.Duration
	// Load is the number of requests waiting and running per slot.
	Load float64
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
// Replicas of the own data centre come first, then those of the region, then
// the region's primary, and servers of other regions last: the link between
// regions is slow and charged by volume. Within a tier the cheaper of two
// random servers wins.
func Choose(need Need, servers []Server, now time.Time, rng *rand.Rand) Choice {
	if need.Write || need.Policy == PrimaryOnly {
		return choosePrimary(need, servers)
	}
	if need.Policy == RoundRobin {
		return chooseInTurn(need, servers)
	}
	for t := tier(0); t < tiers; t++ {
		if s, ok := chooseInTier(need, servers, t, now, rng); ok {
			return Serve{Server: s, MaxWait: need.WaitBudget}
		}
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

func chooseInTurn(need Need, servers []Server) Choice {
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

type tier int

// Tiers in order of preference.
const (
	replicaSameDataCentre tier = iota
	replicaSameRegion
	primarySameRegion
	replicaOtherRegion
	primaryOtherRegion
	tiers
)

func (s Server) tier() tier {
	switch {
	case s.Primary && s.Distance == OtherRegion:
		return primaryOtherRegion
	case s.Primary:
		return primarySameRegion
	case s.Distance == SameDataCentre:
		return replicaSameDataCentre
	case s.Distance == SameRegion:
		return replicaSameRegion
	default:
		return replicaOtherRegion
	}
}

func chooseInTier(need Need, servers []Server, t tier, now time.Time, rng *rand.Rand) (Server, bool) {
	var fit []candidate
	for _, s := range servers {
		if s.tier() != t || s.Unusable || need.Excluded[s.Name] {
			continue
		}
		wait := s.ExpectedWait(need, now)
		if wait > need.WaitBudget {
			continue
		}
		fit = append(fit, candidate{server: s, cost: s.cost(wait)})
	}
	switch len(fit) {
	case 0:
		return Server{}, false
	case 1:
		return fit[0].server, true
	}
	i := rng.IntN(len(fit))
	j := rng.IntN(len(fit) - 1)
	if j >= i {
		j++
	}
	if fit[j].cost < fit[i].cost {
		i = j
	}
	return fit[i].server, true
}

type candidate struct {
	server Server
	cost   time.Duration
}

// minLatency keeps the load in the cost of servers whose latency is not known yet.
const minLatency = 100 * time.Microsecond

func (s Server) cost(wait time.Duration) time.Duration {
	latency := max(s.Latency, minLatency)
	return wait + time.Duration(float64(latency)*(1+s.Load))
}

// ExpectedWait estimates how long the server needs until it satisfies need.
//
// What a server reported longer ago than reportLifetime says nothing about now:
// it is expected to have caught up, and its owner is asked again.
func (s Server) ExpectedWait(need Need, now time.Time) time.Duration {
	if s.Primary || now.Sub(s.ReportedAt) >= reportLifetime {
		return 0
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

// staleWait estimates the wait until a replica is known to be fresh enough.
func (s Server) staleWait(need Need, now time.Time) time.Duration {
	if s.FreshAsOf.IsZero() {
		return never
	}
	return max(0, now.Sub(s.FreshAsOf)-need.Staleness)
}

const (
	never = time.Duration(1<<63 - 1)
	// reportLifetime is how long a report is taken as current.
	reportLifetime = time.Second
)
