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
	// gets a request that shows whether it has.
	Retest time.Duration
}

const (
	// maxReportedErrors bounds the share of unanswered statements in costs: at a server that answers
	// next to none, the retry budget and the ejection decide.
	maxReportedErrors = 0.9
	// maxDrainFactor bounds the factor by which a queue of a slow server drains more slowly.
	maxDrainFactor = 8
)

// excess returns by which factor statements are expected to take longer than usual at now. What was
// reported counts until Retest and halves, as a logarithm, with each half of Retest after it.
func (s Speed) excess(reportedAt, now time.Time) float64 {
	if s.Factor <= 1 {
		return 1
	}
	trust := s.Confidence
	if over := now.Sub(reportedAt) - s.Retest; over > 0 && s.Retest > 0 {
		trust *= math.Exp2(-2 * float64(over) / float64(s.Retest))
	}
	return math.Pow(s.Factor, trust)
}

// service returns the expected time of a statement at the server at now. ServiceTime was measured
// while the server was slow by Speed.Factor.
func (s Server) service(now time.Time) time.Duration {
	service := s.ServiceTime
	if service <= 0 {
		service = defaultServiceTime
	}
	if s.Speed.Factor <= 1 {
		return service
	}
	return time.Duration(float64(service) * s.Speed.excess(s.ReportedAt, now) / s.Speed.Factor)
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
