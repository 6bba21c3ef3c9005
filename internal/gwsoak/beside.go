package gwsoak

import (
	"context"
	"slices"
	"sync"
	"time"

	"gentianward.example/gentianward/platform/platformtest"
)

// Ending is how a control instance ends for good.
type Ending struct {
	After  time.Duration // from the start of its successor, or from its own if it has none
	Kill   bool          // by SIGKILL rather than SIGTERM
	Silent bool          // its address is silent, rather than refusing connections
	Never  bool          // it runs to the end
}

// startBeside starts a successor of p while p runs.
func (r *Run) startBeside(p *process, seeds SeedsOf) *process {
	n, err := r.describeControl(p.settings.DataCentre)
	if err != nil {
		r.check.logf("no successor: %v", err)
		return nil
	}
	r.mu.Lock()
	ok := slices.Contains(r.control, p) && r.redundancy.successors[p] == nil && !r.redundancy.restoring[p]
	if ok {
		r.redundancy.successors[p] = n
	}
	r.mu.Unlock()
	if !ok {
		r.check.logf("no successor, as %s is lost or has one", p.settings.Name)
		return nil
	}
	r.check.fault(0, "start %s beside %s, which it replaces", n.settings.Name, p.settings.Name)
	r.changeControl(n, nil, seeds)
	r.restart(n)
	return n
}

// replaceBeside starts a successor of p while p runs, and ends p later.
func (r *Run) replaceBeside(ctx context.Context, p *process, e Ending, seeds SeedsOf) {
	if n := r.startBeside(p, seeds); n != nil {
		r.remove(ctx, p, n.startTime(), e)
	}
}

// addControl starts an additional control instance and ends it later.
func (r *Run) addControl(ctx context.Context, dataCentre string, e Ending, seeds SeedsOf) {
	n, err := r.describeControl(dataCentre)
	if err != nil {
		r.check.logf("no additional instance: %v", err)
		return
	}
	r.check.fault(0, "add %s", n.settings.Name)
	r.changeControl(n, nil, seeds)
	r.restart(n)
	r.remove(ctx, n, n.startTime(), e)
}

// remove ends a control instance for good, some time after start and once the pages allow it.
func (r *Run) remove(ctx context.Context, p *process, start time.Time, e Ending) {
	if e.Never || !sleep(ctx, time.Until(start.Add(e.After))) {
		return
	}
	if !r.await(ctx, p, lossWait, func(d *redundancy) bool { return d.remove(p, time.Now(), platformtest.Grace) }) {
		r.check.logf("not done, as it is gone or another disk is lost: remove %s", p.settings.Name)
		return
	}
	if !r.changeControl(nil, p, SeedsPresent) {
		return // another step has removed it
	}
	signal := "SIGTERM"
	if e.Kill {
		signal = "SIGKILL"
	}
	r.check.fault(1, "remove %s by %s, %s", p.settings.Name, signal, addressText(e.Silent))
	if !e.Kill {
		p.terminateForGood(platformtest.Grace)
	}
	r.vanish(p, e.Silent)
	r.mu.Lock()
	if r.redundancy.successors[p] == nil {
		r.redundancy.removed = time.Now()
	}
	r.mu.Unlock()
	r.check.fault(-1, "%s is removed", p.settings.Name)
}

// besideControl starts a successor beside its predecessor in each round, which ends as soon as
// it does not count any more, and loses the disk of another control instance then.
func besideControl(ctx context.Context, r *Run) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for end := time.Now().Add(r.o.For); ; {
		r.besideRound(ctx, &wg)
		if !sleep(ctx, 3*time.Second+randomTime(r.rand, 3*time.Second)) || time.Now().After(end) {
			return
		}
	}
}

func (r *Run) besideRound(ctx context.Context, wg *sync.WaitGroup) {
	control := r.replaceable()
	p := control[r.rand.IntN(len(control))]
	e := Ending{After: catchUpLimit, Kill: r.rand.IntN(2) == 0, Silent: r.rand.IntN(2) == 0, Never: r.rand.IntN(5) == 0}
	delay := time.Duration(r.rand.IntN(2)) * randomTime(r.rand, time.Second)
	n := r.startBeside(p, SeedsOf(r.rand.IntN(3)))
	if n == nil {
		return
	}
	start := n.startTime()
	wg.Go(func() { r.remove(ctx, p, start, e) })
	sleep(ctx, time.Until(start.Add(catchUpLimit+delay)))
	others := slices.DeleteFunc(r.counting(), func(o *process) bool { return o == p || o == n })
	r.loseAnyhow(ctx, others[r.rand.IntN(len(others))], r.rand.IntN(2) == 0, false)
}
