package gwpool

import (
	"math"
	"time"
)

const (
	// needWeight is the weight of the newest interval between two needs, so that the last
	// ones of about twice its inverse determine the estimate.
	needWeight = 0.05
	// unknownInterval is the interval that is assumed before the first one is known.
	unknownInterval = 2 * time.Second
	// Squared coefficients of variation of the intervals: up to regularBelow they are taken
	// as regular, from randomAbove on as random. Random intervals of independent callers
	// have 1, and estimates from few of them rarely less than 0.3.
	regularBelow = 0.1
	randomAbove  = 0.3
	// minRegular is the number of intervals from which regularity is recognized.
	minRegular = 4
	// overdueFactor: regular needs that are late by half an interval have stopped.
	overdueFactor = 1.5
)

// need estimates when a user next needs its n-th connection at once. The connections of a user
// are interchangeable, so that closing one makes the highest of these levels unavailable.
type need struct {
	last      time.Time
	intervals int
	mean      float64 // seconds
	square    float64 // mean square deviation
}

// record records that the level was needed.
func (n *need) record(now time.Time) {
	if n.last.IsZero() {
		n.last = now
		return
	}
	interval := now.Sub(n.last).Seconds()
	n.last = now
	n.intervals++
	w := max(needWeight, 1/float64(n.intervals))
	d := interval - n.mean
	n.mean += w * d
	n.square += w * (d*(interval-n.mean) - n.square)
}

// wait returns the expected time in seconds until the level is next needed.
func (n *need) wait(now time.Time) float64 {
	if n.last.IsZero() {
		return math.Inf(1)
	}
	age := now.Sub(n.last).Seconds()
	known := min(float64(n.intervals), 1/needWeight)
	random := (known*n.mean + unknownInterval.Seconds() + age) / (known + 1)
	if n.intervals < minRegular {
		return random
	}
	share := (n.square/(n.mean*n.mean) - regularBelow) / (randomAbove - regularBelow)
	share = min(max(share, 0), 1)
	if share == 1 || age > overdueFactor*n.mean {
		return random
	}
	return share*random + (1-share)*max(n.mean-age, 0)
}

// recordNeed records that the user uses n connections at once.
func (u *user) recordNeed(n int, now time.Time) {
	for len(u.levels) < n {
		u.levels = append(u.levels, need{})
	}
	u.levels[n-1].record(now)
}

// levelWait returns the expected time in seconds until the user next needs n connections.
func (u *user) levelWait(n int, now time.Time) float64 {
	if n > len(u.levels) || n < 1 {
		return math.Inf(1)
	}
	return u.levels[n-1].wait(now)
}

// lastNeed returns when the user last needed a connection.
func (u *user) lastNeed() time.Time {
	if len(u.levels) == 0 {
		return time.Time{}
	}
	return u.levels[0].last
}
