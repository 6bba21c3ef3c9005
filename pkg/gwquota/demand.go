package gwquota

import (
	"math"
	"time"
)

// Demand is the operations per second that an agent was asked for, as an exponent that fits into
// a byte or two: the steps of small demands are 0.02 per second, those of large ones 9%.
type Demand uint32

const (
	stepsPerDoubling = 8
	demandUnit       = 0.25 // operations per second
	maxDemand        = 32 * stepsPerDoubling
)

func demandOf(perSecond float64) Demand {
	if !(perSecond > 0) {
		return 0
	}
	return Demand(min(math.Round(stepsPerDoubling*math.Log2(1+perSecond/demandUnit)), maxDemand))
}

func (d Demand) perSecond() float64 {
	return demandUnit * (math.Exp2(float64(min(d, maxDemand))/stepsPerDoubling) - 1)
}

// Weights of the newest interval in the mean demand: leastWeight for an interval in which one
// operation or none is expected, up to mostWeight for fullCount operations and more. A few
// operations at random times say little.
const (
	leastWeight = 0.1
	mostWeight  = 0.5
	fullCount   = 16
	// riseCount is the number of operations in an interval from which on a rise gets mostWeight,
	// as it does when operations are refused.
	riseCount = 4
)

// Steps of Demand that are worth a report: while operations are refused, while the demand takes
// most of the share, and otherwise. With 4 steps always, an agent of 78 customers sent 230 bytes
// per second.
const (
	refusingSteps = 1
	nearSteps     = 3
	calmSteps     = 8
	nearPart      = 0.75
)

// meter measures the demand for one customer.
type meter struct {
	requests, refusals int // since at
	at                 time.Time
	mean               float64
	refusing           bool
	sent               Demand
}

func (m *meter) count(granted bool) {
	m.requests++
	if !granted {
		m.refusals++
	}
}

// measure ends an interval.
func (m *meter) measure(now time.Time) {
	elapsed := now.Sub(m.at).Seconds()
	if m.at.IsZero() || elapsed <= 0 {
		m.at = now
		return
	}
	perSecond := float64(m.requests) / elapsed
	weight := min(max(leastWeight, mostWeight*m.mean*elapsed/fullCount), mostWeight)
	if perSecond > m.mean && (m.requests >= riseCount || m.refusals > 0) {
		weight = mostWeight
	}
	m.mean += weight * (perSecond - m.mean)
	m.refusing = m.refusals > 0
	m.requests, m.refusals, m.at = 0, 0, now
}

// changed returns the demand, and whether it is worth a report. rate is that of the share.
func (m *meter) changed(rate float64, wanted bool) (Demand, bool) {
	d := demandOf(m.mean)
	steps := calmSteps
	switch {
	case m.refusing:
		steps = refusingSteps
	case m.mean > nearPart*rate:
		steps = nearSteps
	}
	diff := int(d) - int(m.sent)
	return d, diff >= steps || -diff >= steps || d == 0 && m.sent != 0 && !wanted
}
