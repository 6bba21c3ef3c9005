package gwsoak

import (
	"context"
	"time"
)

const (
	// shortestOutage and moreOutage bound how long a machine is down in these scenarios.
	shortestOutage = 500 * time.Millisecond
	moreOutage     = 2 * time.Second
	// lossWait is how long these scenarios wait until another disk may be lost.
	lossWait = 20 * time.Second
)

// replacedControl replaces a control instance in each round, and after a while replaces or
// wipes another one, in one of the rounds while all instances lose power.
func replacedControl(ctx context.Context, r *Run) {
	const rounds = 4
	pause := func() { sleep(ctx, 3*time.Second+randomTime(r.rand, 3*time.Second)) }
	withPower := r.rand.IntN(rounds)
	for i := range rounds {
		first := r.rand.IntN(len(zones))
		r.loseAnyhow(ctx, r.controls()[first], true, false)
		pause()
		r.loseAnyhow(ctx, r.controls()[(first+1+r.rand.IntN(2))%len(zones)], r.rand.IntN(2) == 0, i == withPower)
		pause()
	}
}

// replacedSlow is replacedControl with syncs that take the longest time with which all bounds
// apply beside other faults.
func replacedSlow(ctx context.Context, r *Run) {
	r.setCalmDisk(promptSync.String())
	replacedControl(ctx, r)
}

// loseAnyhow replaces or wipes a control instance, with power set right after an acknowledgement
// and while all others lose their power.
func (r *Run) loseAnyhow(ctx context.Context, p *process, replace, power bool) {
	if l, ok := r.anyLoss(p, replace); ok {
		l.afterAck = power
		r.lose(ctx, l, power, shortestOutage+randomTime(r.rand, moreOutage), lossWait)
	}
}

// loseLast is loseAnyhow with a loss of power that spares the instances that do not count in one of
// three runs.
func (r *Run) loseLast(ctx context.Context, p *process, replace bool) {
	if l, ok := r.anyLoss(p, replace); ok {
		l.afterAck, l.countingOnly = true, r.rand.IntN(3) == 0
		r.lose(ctx, l, true, shortestOutage+randomTime(r.rand, moreOutage), lossWait)
	}
}

// anyLoss is the replacement or the loss of the disk of a control instance.
func (r *Run) anyLoss(p *process, replace bool) (l loss, ok bool) {
	if !replace {
		return r.wiping(p), true
	}
	l, err := r.replacing(p, r.rand.IntN(2) == 0, SeedsOf(r.rand.IntN(3)))
	if err != nil {
		r.check.logf("no replacement: %v", err)
	}
	return l, err == nil
}

// slowDisks makes all disks slower step by step. Nothing else happens, so that the bounds of
// calm times apply up to slower syncs than beside other faults.
func slowDisks(ctx context.Context, r *Run) {
	const (
		longestSync = 200 * time.Millisecond
		step        = 8 * time.Second // longer than the bound of an acknowledgement
	)
	for _, by := range []time.Duration{60, 120, 200, 300} {
		r.slowDisks(ctx, r.controls(), by*time.Millisecond, longestSync, step)
	}
	sleep(ctx, step)
}

// lastDisk loses the power of all instances and the disk of a control instance right after an
// acknowledgement: beside nothing else, beside a successor in its first seconds, whose predecessor
// or own disk is lost, or beside a predecessor that still runs and does not count.
func lastDisk(ctx context.Context, r *Run) {
	sleep(ctx, randomTime(r.rand, 3*time.Second))
	control := r.controls()
	at, replace := r.rand.IntN(len(control)), r.rand.IntN(2) == 0
	p, lost := control[at], control[(at+1+r.rand.IntN(2))%len(control)]
	switch r.rand.IntN(3) {
	case 1:
		if n := r.startBeside(p, SeedsPresent); n != nil {
			sleep(ctx, randomTime(r.rand, catchUpLimit))
			lost, replace = []*process{p, n}[r.rand.IntN(2)], false
		}
	case 2:
		if n := r.startBeside(p, SeedsPresent); n != nil {
			sleep(ctx, time.Until(n.startTime().Add(catchUpLimit)))
			lost = []*process{lost, n}[r.rand.IntN(2)]
		}
	}
	r.loseLast(ctx, lost, replace)
}
