package gwroute

import (
	"math"
	"time"
)

// Speed is what the owner of a server has reported about a server that is not at its usual speed.
// The zero value stands for the usual speed.
type Speed struct {
	// Factor is how long statements take, as a multiple of the usual time; 0 stands for 1.
	Factor float64
	// SlotShare is the share of the slots that the server handles well; 0 stands for all.
	SlotShare float64
	// Errors is the share of statements that are not answered.
	Errors float64
	// Confidence is between 0 and 1, and Age how old Factor was at the time of the report.
	Confidence float64
	Age        time.Duration
	// Retest is the time without a report after which the server is expected to recover, so that it
	// gets a request that shows whether it has; see RetestAfter.
	Retest time.Duration
}

const (
	// maxReportedErrors bounds the share of unanswered statements in costs: at a server that answers
	// next to none, the retry budget and the ejection decide.
	maxReportedErrors = 0.9
	// maxDrainFactor bounds the factor by which a queue of a slow server drains more slowly.
	maxDrainFactor = 8
	// comparableFactor is the multiple of the service time of other replicas up to which a longer one is
	// put down to what the server is asked. Even groups are not affected.
	comparableFactor = 1.5
	// retestEach, minRetest and maxRetest determine RetestAfter.
	retestEach    = 100 * time.Millisecond
	minRetest     = 500 * time.Millisecond
	maxRetest     = 5 * time.Second
	defaultRetest = 2 * time.Second
)

// RetestAfter returns the time without a report after which each of n entry instances sends a request
// to a server that it has avoided. All instances together send about 10 requests a second, so that a
// recovery shows within 3 s also if two thirds of them have another server nearer. A server that is slow
// by 8 with five slots and statements of 24 ms serves 26; with 20 tries, reads took 0.12 longer than if it was not tried at all.
func RetestAfter(n int) time.Duration {
	return min(maxRetest, max(minRetest, time.Duration(n)*retestEach))
}

// trust returns how much a reported service time counts at now: fully until Retest, and half as much
// with each half of Retest after it.
func (s Server) trust(now time.Time) float64 {
	trust := 1.0
	if s.Speed.Factor > 1 {
		trust = s.Speed.Confidence
	}
	retest := s.Speed.Retest
	if retest <= 0 {
		retest = defaultRetest
	}
	if over := now.Sub(s.ReportedAt) - retest; over > 0 {
		trust *= math.Exp2(-2 * float64(over) / float64(retest))
	}
	return trust
}

// service returns the expected time of a statement at the server at now. A time that is longer than
// usual, or much longer than that of other servers, is expected to end: nothing but answers of the
// server itself show that it has recovered. usual is the least time of comparable servers, 0 if
// unknown.
func (s Server) service(usual time.Duration, now time.Time) time.Duration {
	service := s.reportedService()
	ended := service
	if s.Speed.Factor > 1 {
		ended = time.Duration(float64(service) / s.Speed.Factor)
	}
	if bound := time.Duration(comparableFactor * float64(usual)); usual > 0 && ended > bound {
		ended = bound
	}
	if ended == service {
		return service
	}
	return time.Duration(float64(ended) * math.Pow(float64(service)/float64(ended), s.trust(now)))
}

// reportedService returns the reported service time or its default.
func (s Server) reportedService() time.Duration {
	if s.ServiceTime <= 0 {
		return defaultServiceTime
	}
	return s.ServiceTime
}

// usualService returns the least reported service time among the replicas. The primary's is shorter
// where writes are.
func usualService(servers []Server) time.Duration {
	least := time.Duration(0)
	for _, s := range servers {
		if s.Primary || s.Unusable || s.ServiceTime <= 0 {
			continue
		}
		if least == 0 || s.ServiceTime < least {
			least = s.ServiceTime
		}
	}
	return least
}

// attempts returns how many statements it takes until one is answered.
func (s Server) attempts() float64 {
	return 1 / (1 - min(maxReportedErrors, max(0, s.Speed.Errors)))
}

// queue returns the requests in front of a new one and itself, per slot that the server uses well.
func (s Server) queue(now time.Time) float64 {
	ahead := max(s.decayedLoad(now), s.Pending)
	if share := s.Speed.SlotShare; share > 0 && share < 1 {
		ahead /= share
	}
	return 1 + ahead
}

// loadHalving returns the time in which a reported load is expected to halve.
func (s Server) loadHalving() time.Duration {
	return time.Duration(float64(loadHalfLife) * min(maxDrainFactor, max(1, s.Speed.Factor)))
}
