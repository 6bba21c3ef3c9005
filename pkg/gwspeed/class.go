package gwspeed

import (
	"math"
	"time"
)

const (
	// maxSamples bounds the recent times of a class.
	maxSamples = 32
	// sampleWindow is the age up to which a time is recent. A slowdown must be found within
	// 1 s at 50 statements a second.
	sampleWindow = time.Second
	// minSamples is the least number of recent times from which a factor is derived.
	minSamples = 4
	// learningSamples is the number of statements after which the usual time of a class is known.
	learningSamples = 16
	// settledSamples is the number of statements after which the usual time does not follow a
	// slowdown. The mean of fewer exponentially distributed times is off by more than a sixth.
	settledSamples = 64
	// usualTime, slowTime and fastTime are the time constants with which the usual time follows
	// the times of a server at its usual speed, of one that is slow, and of one that has become
	// faster than usual, as after a cold start. A slowdown must not become usual while it lasts.
	usualTime = 30 * time.Second
	slowTime  = 10 * time.Minute
	fastTime  = 2 * time.Second
	// maxDeviation bounds the effect of one statement, as a logarithm: a tenth or ten times the
	// usual time.
	maxDeviation = 2.3
)

// sample is the logarithm of how long a statement took relative to the usual time of its class.
type sample struct {
	log float64
	at  time.Time
}

// classTimes holds the usual time and the recent times of a class at a server.
type classTimes struct {
	// logUsual is the mean logarithm of the time in seconds.
	logUsual float64
	// learned is the number of statements that logUsual is derived from.
	learned float64
	at      time.Time
	recent  []sample // in the order of their ends
}

// known reports whether the usual time is known.
func (c *classTimes) known() bool { return c.learned >= learningSamples }

// usual returns the usual time.
func (c *classTimes) usual() time.Duration {
	return time.Duration(math.Exp(c.logUsual) * float64(time.Second))
}

// logRatio returns the logarithm of a time relative to the usual one.
func (c *classTimes) logRatio(took time.Duration) float64 {
	return math.Log(max(took, time.Microsecond).Seconds()) - c.logUsual
}

// record adds the time of an answered statement; factor is the current factor of the server.
func (c *classTimes) record(took time.Duration, factor float64, now time.Time) {
	if c.known() {
		c.recent = append(c.recent, sample{c.logRatio(took), now})
		if len(c.recent) > maxSamples {
			c.recent = c.recent[1:]
		}
	}
	c.learn(took, factor, now)
}

// learn updates the usual time.
func (c *classTimes) learn(took time.Duration, factor float64, now time.Time) {
	since := now.Sub(c.at)
	c.at = now
	follow := usualTime
	switch {
	case !c.known():
	case factor >= normalFactor:
		follow = slowTime
	case factor <= fastFactor:
		follow = fastTime
	}
	gain := 1 - math.Exp(-float64(since)/float64(follow))
	if factor < normalFactor || c.learned < settledSamples {
		c.learned++
		gain = max(gain, 1/c.learned)
	}
	if c.known() {
		gain = min(gain, 1/float64(learningSamples))
	}
	d := c.logRatio(took)
	if c.known() {
		d = clampDeviation(d)
	}
	c.logUsual += gain * d
}

func clampDeviation(log float64) float64 { return min(maxDeviation, max(-maxDeviation, log)) }

// recentLogs appends the logarithms of the times within sampleWindow.
func (c *classTimes) recentLogs(out []float64, now time.Time) []float64 {
	for _, s := range c.recent {
		if now.Sub(s.at) <= sampleWindow {
			out = append(out, s.log)
		}
	}
	return out
}
