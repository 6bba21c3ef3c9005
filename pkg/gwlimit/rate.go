package gwlimit

import (
	"math"
	"time"
)

// rateTime is the time constant of a rate. With half of it, chance makes an overload of a
// fifth look like a load that can be served, now and then.
const rateTime = 400 * time.Millisecond

// rate is an exponentially weighted rate of amounts over time.
type rate struct {
	sum float64
	at  time.Time
}

// add counts an amount.
func (r *rate) add(amount float64, now time.Time) {
	r.sum = r.decayed(now) + amount
	r.at = now
}

// perSecond returns the rate.
func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) / rateTime.Seconds() }

func (r *rate) decayed(now time.Time) float64 {
	return r.sum * math.Exp(-float64(now.Sub(r.at))/float64(rateTime))
}
