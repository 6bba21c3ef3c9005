package gwsoak

import (
	"context"
	"slices"
	"time"
)

// catchUpLimit is the users' bound catch_up_s: for this time a machine still counts as lost
// after it is back or, if it is new, after its process started.
const catchUpLimit = 4 * time.Second

// redundancy says which control instance may lose its disk by the users' pages: one at a time,
// where a machine without its disk is lost until it and all others that count have had
// catchUpLimit. Run.mu guards it.
type redundancy struct {
	// restoring has the control instances without their disk, or that started with an empty one;
	// true stands for a disk that is lost.
	restoring map[*process]bool
	// since is when a control instance started or was last seen to be lost.
	since map[*process]time.Time
	// successors has the successors of the control instances that are replaced.
	successors map[*process]*process
	// done has those that do not count any more, as their successors have had their time.
	done map[*process]bool
	// removed is when a control instance that has no successor was last removed, or will be.
	removed time.Time
	// busy is the number of faults that keep the processors busy, which slow every instance.
	busy int
	// due has when each newcomer and all others had had their time, so that the next disk may be
	// lost. That a predecessor does not count any more needs no vote, as it loses one disk only.
	due []dueVote
}

func newRedundancy() redundancy {
	return redundancy{restoring: make(map[*process]bool), since: make(map[*process]time.Time), successors: make(map[*process]*process), done: make(map[*process]bool)}
}

// counting returns the control instances that count.
func (r *Run) counting() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.countingNow()
}

// countingNow is counting; r.mu is held.
func (r *Run) countingNow() []*process {
	return slices.DeleteFunc(slices.Clone(r.control), func(p *process) bool { return r.redundancy.done[p] })
}

// replaceable returns the control instances that count and have no successor.
func (r *Run) replaceable() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.control), func(p *process) bool { return r.redundancy.successors[p] != nil })
}

// watchRedundancy notes which control instances are lost.
func (r *Run) watchRedundancy(ctx context.Context) {
	for sleep(ctx, statsInterval) {
		r.observe()
	}
}

// observe notes which control instances are lost, and which have had their time.
func (r *Run) observe() {
	control := r.counting()
	since := make(map[*process]time.Time)
	for _, p := range control {
		if since[p] = p.startTime(); r.lost(p, control) {
			since[p] = time.Now()
		}
	}
	r.advance(control, since)
}

// advance notes since when the given control instances are not lost, unless others count by now:
// an instance that has started meanwhile has had no time of its own.
func (r *Run) advance(control []*process, since map[*process]time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(control, r.countingNow()) {
		return
	}
	now := time.Now()
	for p := range since {
		if r.redundancy.busy > 0 {
			since[p] = now
		}
	}
	r.redundancy.advance(since, now)
}

// lost reports whether a control instance is down, paused, slowed or cut off from others.
func (r *Run) lost(p *process, control []*process) bool {
	return !p.whole() || slices.ContainsFunc(control, func(o *process) bool {
		return o != p && !r.network.undisturbed(p.settings.IP, o.settings.IP)
	})
}

// advance takes since when the control instances that count are not lost.
func (d *redundancy) advance(since map[*process]time.Time, now time.Time) {
	for p, at := range since {
		d.since[p] = latest(d.since[p], at)
	}
	had := func(p *process) bool { return now.Sub(d.since[p]) >= catchUpLimit }
	d.release(since, had)
	for p := range since {
		if !d.done[p] && !had(p) {
			return
		}
	}
	if now.Sub(d.removed) >= catchUpLimit {
		for p := range since {
			if _, ok := d.restoring[p]; ok {
				d.due = append(d.due, dueVote{p: p, at: now, spare: d.spare(p, since)})
			}
		}
		clear(d.restoring)
		d.release(since, had)
	}
}

// release notes which control instances do not count any more.
func (d *redundancy) release(since map[*process]time.Time, had func(p *process) bool) {
	for p := range since {
		if n := d.successors[p]; n != nil && since[n] != (time.Time{}) && had(n) && d.only(p, true) {
			d.done[p] = true
		}
	}
}

// spare reports whether a control instance may stay without a vote: by design the one that joined
// last has the seat of its data centre, so that an older one beside it stays a learner. That is so
// while an added instance or a successor runs.
func (d *redundancy) spare(p *process, since map[*process]time.Time) bool {
	for o := range since {
		if !d.done[o] && o.settings.DataCentre == p.settings.DataCentre && o.joined > p.joined {
			return true
		}
	}
	return false
}

// only reports whether none is restoring but p, its successor or its predecessor; with lost set,
// none whose disk is lost.
func (d *redundancy) only(p *process, lost bool) bool {
	for o, disk := range d.restoring {
		if (disk || !lost) && o != p && d.successors[p] != o && d.successors[o] != p {
			return false
		}
	}
	return true
}

// take reports whether p may lose its disk, and be succeeded by n if n is not nil.
func (d *redundancy) take(p, n *process, now time.Time) bool {
	if d.restoring[p] || !d.only(p, false) || n != nil && d.successors[p] != nil {
		return false
	}
	d.restoring[p], d.since[p] = true, now
	if n != nil {
		d.successors[p] = n
	}
	return true
}

// await reports whether the control instance p is there and ok for it, and waits for that for
// a time.
func (r *Run) await(ctx context.Context, p *process, wait time.Duration, ok func(d *redundancy) bool) bool {
	for end := time.Now().Add(wait); ; {
		r.observe()
		r.mu.Lock()
		there := slices.Contains(r.control, p)
		may := there && ok(&r.redundancy)
		r.mu.Unlock()
		if may || !there {
			return may
		}
		if time.Now().After(end) || !sleep(ctx, pollInterval) {
			return false
		}
	}
}

// remove reports whether p may end for good, for which it has a grace time.
func (d *redundancy) remove(p *process, now time.Time, grace time.Duration) bool {
	if !d.done[p] && !d.take(p, nil, now) {
		return false
	}
	if d.successors[p] == nil {
		d.removed = now.Add(grace)
	}
	return true
}

// takeDisk reports whether p may lose its disk, and be succeeded by n if n is not nil.
func (r *Run) takeDisk(ctx context.Context, p, n *process, wait time.Duration) bool {
	return r.await(ctx, p, wait, func(d *redundancy) bool { return !d.done[p] && d.take(p, n, time.Now()) })
}
