package gwsoak

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Bounds of the histories: hundreds of entries and tens of megabytes, within the 1,024 entries
// that a leader kept in memory whatever their size (issue 42).
const (
	minHistory     = 200
	moreHistory    = 200
	minEntryBytes  = 100_000
	moreEntryBytes = 150_000
	// historyLimit bounds the time in which a history is published.
	historyLimit = 40 * time.Second
	// steadyInterval is the pause between two configurations while they are published steadily.
	steadyInterval = 50 * time.Millisecond
)

// publishHistory publishes large configurations one after another until n are acknowledged.
func (r *Run) publishHistory(ctx context.Context, n, bytes int) {
	ctx, cancel := context.WithTimeout(ctx, historyLimit)
	defer cancel()
	start := time.Now()
	r.operator.setSize(bytes)
	r.operator.setInterval(time.Millisecond)
	defer r.operator.setInterval(publishInterval)
	before, done := r.check.counted("configurations"), 0
	for done < n && sleep(ctx, statsInterval) {
		done = r.check.counted("configurations") - before
	}
	r.check.logf("a history of %d configurations of %d bytes at least, published in %s", done, bytes, time.Since(start).Round(time.Millisecond))
}

// historyRound is what happens while a newcomer gets the state.
type historyRound uint8

const (
	nothingElse historyRound = iota
	powerAfterAck
	steadyWrites
	leaderAway
	slowSyncs
	historyRounds
)

// roundsPerRun is the number of rounds of a run, of different kinds.
const roundsPerRun = 3

// longHistory publishes a long history of large configurations. Then one control instance after
// another is lost, each as soon as the pages allow it.
func longHistory(ctx context.Context, r *Run) {
	var wg sync.WaitGroup
	defer wg.Wait()
	sync := r.calmDisk
	r.publishHistory(ctx, minHistory+r.rand.IntN(moreHistory), minEntryBytes+r.rand.IntN(moreEntryBytes))
	// The first one leaves the others their logs in memory. Then the leader is lost.
	rounds := r.rand.Perm(int(historyRounds))
	if rounds[0] == int(powerAfterAck) {
		rounds[0], rounds[1] = rounds[1], rounds[0]
	}
	next := r.victim(false)
	for _, round := range rounds[:roundsPerRun] {
		next = r.historyRound(ctx, &wg, historyRound(round), next, sync)
	}
	r.loseLast(ctx, next, r.rand.IntN(2) == 0)
	r.operator.setSize(0)
}

// victim returns a control instance that counts and has no successor: the leader, if there is
// such a one, or another.
func (r *Run) victim(leader bool) *process {
	l := r.leader()
	of := slices.DeleteFunc(r.replaceable(), func(p *process) bool { return (p == l) != leader })
	if len(of) == 0 {
		of = r.replaceable()
	}
	return of[r.rand.IntN(len(of))]
}

// historyRound loses p and returns the instance that is lost next, when the pages allow it.
func (r *Run) historyRound(ctx context.Context, wg *sync.WaitGroup, round historyRound, p *process, sync string) (next *process) {
	switch round {
	case steadyWrites:
		r.operator.setInterval(steadyInterval)
		defer r.operator.setInterval(publishInterval)
	case slowSyncs:
		r.setCalmDisk(promptSync.String())
		defer r.setCalmDisk(sync)
	}
	r.loseForNewcomer(ctx, wg, p, round == powerAfterAck)
	if round == leaderAway {
		sleep(ctx, randomTime(r.rand, time.Second))
		l, d := r.leader(), shortestOutage+randomTime(r.rand, moreOutage)
		if r.rand.IntN(2) == 0 {
			r.pause(ctx, l, d)
		} else {
			r.kill(ctx, l, d)
		}
	}
	next = r.victim(true)
	// The conditions of the round last until the newcomer counts.
	r.await(ctx, next, lossWait, func(d *redundancy) bool { return len(d.restoring) == 0 })
	return next
}

// loseForNewcomer replaces or wipes a control instance, or starts a successor beside it, as soon
// as the pages allow it.
func (r *Run) loseForNewcomer(ctx context.Context, wg *sync.WaitGroup, p *process, power bool) {
	how := r.rand.IntN(3)
	if power || how > 0 {
		r.loseAnyhow(ctx, p, how == 1, power)
		return
	}
	e := Ending{After: catchUpLimit, Kill: r.rand.IntN(2) == 0, Silent: r.rand.IntN(2) == 0, Never: r.rand.IntN(5) == 0}
	r.await(ctx, p, lossWait, func(d *redundancy) bool { return len(d.restoring) == 0 })
	if n := r.startBeside(p, SeedsOf(r.rand.IntN(3))); n != nil {
		start := n.startTime()
		wg.Go(func() { r.remove(ctx, p, start, e) })
	}
}

// setCalmDisk sets the faults of all disks beside other faults.
func (r *Run) setCalmDisk(faults string) {
	r.calmDisk = faults
	r.setDisks(r.controls(), faults)
	r.check.logf("all syncs of control instances take %s more", faults)
}
