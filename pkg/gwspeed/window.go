package gwspeed

import (
	"math"
	"time"
)

const (
	// settling is the number of answers, as a multiple of the limit, that are not measured after the
	// limit has changed: their statements began before.
	settling = 1
	// windowAnswers is the number of answers over which the work is measured. With service times
	// that vary by a third around their mean, the error is 0.05.
	windowAnswers = 32
	// slowedFactor is the factor from which a lower limit is tried without waiting for the pause
	// after an earlier try.
	slowedFactor = 1.5
	// lowerGain is the gain in work for which a lower limit is kept, and raiseLoss the loss
	// with which a higher one is kept.
	lowerGain = 1.05
	raiseLoss = 0.97
	// clearLoss is the part of the work from which on a trial ends after one measurement.
	clearLoss = 0.9
	// earlyAnswers is the number of answers after which a trial ends if its work is below earlyLoss: the
	// usual result at a server whose times do not depend on their number.
	earlyAnswers = 12
	earlyLoss    = 0.75
	// sustained is the time for which requests must have waited before a lower limit is tried at a
	// server that is not slowed. At nine tenths of the capacity, requests often wait for shorter times,
	// and trials made the mean time of reads a tenth longer.
	sustained = 4 * time.Second
	// firstPause and maxPause bound the pause after a failed try, which grows by pauseGrowth.
	firstPause  = 4 * time.Second
	maxPause    = time.Minute
	pauseGrowth = 4
	// idleReset is the time without a queue after which all slots are used again.
	idleReset = 5 * time.Second
)

// Window finds the number of statements at once with which a server does most work. It is all
// slots until a lower number has done more work in the same time.
//
// Load pattern: statements take the longer the more of them run, so that a server with five
// slots in use does half of the work that it does with three.
//
// A window that follows the gradient of times alone sends one statement at a time to a server
// that is slow for all of them, which costs four fifths of its work. Only the work counts here.
type Window struct {
	slots, limit int
	// try is the change of the limit under trial, 0 if there is none.
	try int
	// first is the work per second in the first measurement of a trial, 0 before its end. A second
	// one follows unless the first shows a loss: with exponential times, one in ten finds a gain by
	// chance.
	first float64
	// slowed means that statements took slowedFactor times as long as usual.
	slowed bool
	// base is the work per second at the current limit, 0 if it has not been measured.
	base float64
	skip int
	// answers and work were measured since the time since.
	answers  int
	work     float64
	since    time.Time
	lower    pause // until the next try of a lower limit
	raise    pause // until the next try of a higher limit
	queuedAt time.Time
	// queuedSince is since when requests have waited without a break.
	queuedSince time.Time
	// Crowded means that statements may take longer the more of them run. Otherwise no lower limit is
	// tried.
	Crowded bool
}

// pause is a time until which something is not tried again. It grows with each failure.
type pause struct {
	until  time.Time
	length time.Duration
}

func (p *pause) failed(now time.Time) {
	p.length = min(maxPause, max(firstPause, pauseGrowth*p.length))
	p.until = now.Add(p.length)
}

// crowding compares the times of statements that are sent to a server with few others and with as many as
// it may run.
type crowding struct{ few, many average }

// average is a moving average of logarithms of times relative to the usual ones.
type average struct {
	log float64
	n   float64 // up to averageOver
}

const (
	// averageOver is the number of statements over which times are averaged. With exponentially
	// distributed times, the average is off by a sixth.
	averageOver = 64
	// minAverage is the number of statements from which on an average counts.
	minAverage = 16
	// crowdedFactor is the factor on the times from which a server may be crowded.
	crowdedFactor = 1.2
)

func (a *average) add(log float64) {
	a.n = min(averageOver, a.n+1)
	a.log += (clampDeviation(log) - a.log) / a.n
}

// record adds the time of a statement that was sent as one of the given number at once.
func (c *crowding) record(log float64, beside, limit int) {
	switch {
	case beside <= limit*2/3:
		c.few.add(log)
	case beside >= limit:
		c.many.add(log)
	}
}

// possible reports whether statements take longer the more of them run, or too little is known.
func (c *crowding) possible() bool {
	return c.few.n < minAverage || c.many.n < minAverage || c.many.log-c.few.log >= math.Log(crowdedFactor)
}

// NewWindow returns a Window for a server with the given number of slots.
func NewWindow(slots int) *Window {
	return &Window{slots: max(1, slots), limit: max(1, slots), Crowded: true}
}

// SetSlots changes the number of slots. The limit starts at all of them if it changes.
func (w *Window) SetSlots(n int) {
	if n = max(1, n); n != w.slots {
		*w = *NewWindow(n)
	}
}

// Limit returns the number of statements that should run at once.
func (w *Window) Limit() int { return min(w.slots, max(1, w.limit+w.try)) }

// Kept returns the limit without the trial that is under way.
func (w *Window) Kept() int { return w.limit }

// Served records an answer: its work, in the same unit for all statements, whether requests
// wait, and how long statements take relative to the usual time.
func (w *Window) Served(work float64, queued bool, factor float64, now time.Time) {
	if !queued {
		w.idle(now)
		return
	}
	w.queuedAt = now
	if w.queuedSince.IsZero() {
		w.queuedSince = now
	}
	if w.skip > 0 || w.since.IsZero() {
		w.skip = max(0, w.skip-1)
		w.restart(now)
		return
	}
	w.answers++
	w.work += work
	rate := w.work / max(now.Sub(w.since), time.Microsecond).Seconds()
	early := w.try < 0 && w.answers >= earlyAnswers && rate < earlyLoss*w.base
	if w.answers < windowAnswers && !early {
		return
	}
	if w.try == 0 {
		if w.base == 0 {
			w.base = rate
		}
		w.base += (rate - w.base) / 2
		w.begin(factor, now)
	} else {
		w.finish(rate, now)
	}
	w.restart(now)
}

// restart begins a new measurement.
func (w *Window) restart(now time.Time) { w.answers, w.work, w.since = 0, 0, now }

// idle ends a measurement, as a server with a free slot does no less work than it can.
func (w *Window) idle(now time.Time) {
	w.try, w.base, w.queuedSince = 0, 0, time.Time{}
	w.restart(now)
	if now.Sub(w.queuedAt) > idleReset {
		w.limit, w.lower, w.raise = w.slots, pause{}, pause{}
	}
}

// begin begins a trial if one is due.
func (w *Window) begin(factor float64, now time.Time) {
	if slowed := factor >= slowedFactor; slowed != w.slowed {
		w.slowed, w.lower, w.base = slowed, pause{}, 0
		return
	}
	switch {
	case w.limit < w.slots && !now.Before(w.raise.until):
		w.try = 1
	case w.limit > 1 && w.Crowded && !now.Before(w.lower.until) && (w.slowed || now.Sub(w.queuedSince) >= sustained):
		w.try = -(w.limit / 2)
	default:
		return
	}
	w.first = 0
	w.skip = settling * w.limit
}

// finish keeps or ends a trial.
func (w *Window) finish(rate float64, now time.Time) {
	least, p := lowerGain*w.base, &w.lower
	if w.try > 0 {
		least, p = raiseLoss*w.base, &w.raise
	}
	if w.first == 0 && rate >= clearLoss*w.base {
		w.first = rate
		return
	}
	if rate = (rate + w.first) / 2; rate >= least {
		w.limit += w.try
		w.base = rate
		*p = pause{}
		if w.try < 0 {
			w.raise.failed(now)
		}
	} else {
		p.failed(now)
	}
	w.try = 0
	w.skip = settling * w.limit
}
