package gwquota

import "time"

// Parts is a fraction of a limit in units of 1/Whole.
type Parts uint32

// Whole is the sum of the shares of one customer. Smaller ones take at most two bytes.
const Whole Parts = 1 << 14

// Timing of shares.
const (
	// Validity is how long a share may be used after its agent sent the report that the leader
	// answered. It bridges partitions of 7 s, as reports are up to 1 s apart; such have been seen.
	Validity = 8 * time.Second
	// CountedValidity is how long the leader counts a share after its answer. It exceeds
	// Validity by three times the permitted difference between the speeds of two clocks (1%).
	CountedValidity = 8240 * time.Millisecond
	// MaxAnswerAge is the age of a report from which on its answer is discarded. It bounds how
	// long a leader that has been replaced may change shares.
	MaxAnswerAge = time.Second
	// ReportInterval is the time between two reports while something changes; an unchanged
	// report follows after RenewInterval.
	ReportInterval = 500 * time.Millisecond
	RenewInterval  = time.Second
	// urgentRate is the change of a share, in operations per second, that is not left to the
	// next interval.
	urgentRate = 2
)

// drift is the allowance for agents whose clocks are fast.
const drift = 0.02

// leastCapacity is the capacity in operations that is not given up for a higher rate. A customer
// without a burst could otherwise have one operation at a time, with which five of six data centres
// have no agent that may admit one.
const leastCapacity = 16

// Rules describe how limits are checked: in each sliding Window, the operations of a customer
// may exceed what its rate and burst allow by the fraction Overage and by Slack operations.
type Rules struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Limit is the limit of one customer over all instances. A zero Limit admits nothing.
type Limit struct {
	Rate     float64 // operations per second
	Capacity float64 // operations at once after a pause
}

// NewLimit returns the limit of a customer with a rate in operations per second and a burst in
// operations. What the rules allow beyond these goes to the rate, up to the overage, and the rest
// to the capacity, which is never smaller than the burst, nor than one operation: with a rate
// that is not raised, a customer above its limit is served less than its limit, as agents hold
// their parts of the capacity in vain at times.
//
// An operation counts in a window only if it is both sent and run in it. As it is admitted in
// between, delays after the admission need no reserve.
func NewLimit(rate, burst float64, r Rules) Limit {
	window := r.Window.Seconds()
	extra := max(0, r.Overage*(rate*window+burst)+r.Slack-drift*rate*(1+r.Overage)*window)
	raise := r.Overage * rate
	if window > 0 {
		raise = min(raise, max(0, burst+extra-leastCapacity)/window, extra/window)
	}
	return Limit{Rate: rate + raise, Capacity: max(burst+extra-raise*window, burst, 1)}
}

// Bound returns how many operations may run in a window of the rules.
func (r Rules) Bound(rate, burst float64) float64 {
	return (rate*r.Window.Seconds()+burst)*(1+r.Overage) + r.Slack
}

// of returns a fraction of x.
func (p Parts) of(x float64) float64 { return x * float64(p) / float64(Whole) }
