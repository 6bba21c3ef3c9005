package gwsoak

import (
	"context"
	"fmt"
	"os/exec"
	"time"
)

// promptSync is the longest time of a sync with which the bounds of calm times apply while
// other faults may end.
const promptSync = 150 * time.Millisecond

// setDisks sets the faults of the disks of some control instances.
func (r *Run) setDisks(all []*process, faults string) {
	for _, p := range all {
		if err := p.setDisk(faults); err != nil {
			r.check.violate(RuleFault, "", "the disk of %s cannot be changed: %v", p.settings.Name, err)
		}
	}
}

// slowDisks makes the syncs of some control instances slow. The bounds of calm times do not
// apply if they take longer than prompt.
func (r *Run) slowDisks(ctx context.Context, all []*process, by, prompt, d time.Duration) {
	what := fmt.Sprintf("slow the disks of %d control instances by %s", len(all), by.Round(time.Millisecond))
	begin, end := func() { r.setDisks(all, by.String()) }, func() { r.setDisks(all, r.calmDisk) }
	if by > prompt {
		r.check.suspend(1)
		defer r.check.suspend(-1)
	}
	r.check.logf("%s for %s", what, d.Round(time.Millisecond))
	begin()
	sleep(ctx, d)
	end()
	r.check.logf("%s ends", what)
}

func (r *Run) stallDisk(ctx context.Context, p *process, d time.Duration) {
	all := []*process{p}
	r.during(ctx, d, "stall the disk of "+p.settings.Name, func() { r.setDisks(all, diskStalled) }, func() { r.setDisks(all, r.calmDisk) })
}

// maxLoops bounds the processes that keep the machine busy.
const maxLoops = 16

func (r *Run) countBusy(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.redundancy.busy += change
}

// busy keeps some processors busy.
func (r *Run) busy(ctx context.Context, loops int, d time.Duration) {
	var started []*exec.Cmd
	r.countBusy(1)
	defer r.countBusy(-1)
	r.during(ctx, d, fmt.Sprintf("%d busy loops", loops), func() {
		for range min(loops, maxLoops) {
			cmd := exec.Command(r.o.Program, "busy", "-for", d.String())
			if err := cmd.Start(); err != nil {
				r.check.logf("no busy loop: %v", err)
				continue
			}
			started = append(started, cmd)
		}
	}, func() {
		for _, cmd := range started {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	})
}
