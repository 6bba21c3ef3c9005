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
	r.calmDisk = promptSync.String()
	r.setDisks(r.controls(), r.calmDisk)
	r.check.logf("all syncs of control instances take %s more", promptSync)
	replacedControl(ctx, r)
}

// loseAnyhow replaces or wipes a control instance.
func (r *Run) loseAnyhow(ctx context.Context, p *process, replace, power bool) {
	l := r.wiping(p)
	if replace {
		var err error
		if l, err = r.replacing(p, r.rand.IntN(2) == 0, SeedsOf(r.rand.IntN(3))); err != nil {
			r.check.logf("no replacement: %v", err)
			return
		}
	}
	r.lose(ctx, l, power, shortestOutage+randomTime(r.rand, moreOutage), lossWait)
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
// acknowledgement.
func lastDisk(ctx context.Context, r *Run) {
	sleep(ctx, randomTime(r.rand, 3*time.Second))
	select {
	case p := <-r.operator.nextAck():
		r.check.logf("%s has acknowledged", p.settings.Name)
		r.loseAnyhow(ctx, r.controls()[r.rand.IntN(len(zones))], r.rand.IntN(2) == 0, true)
	case <-time.After(recoveryLimit):
		r.check.logf("nothing is acknowledged")
	case <-ctx.Done():
	}
}
