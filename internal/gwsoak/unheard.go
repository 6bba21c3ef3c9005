package gwsoak

import (
	"context"
	"time"

	"gentianward.example/gentianward/platform/platformtest"
)

const (
	// unheardAddress is the first address of the servers that join.
	unheardAddress = 50
	maxJoined      = 10
	// confirmTime is how long a server of which nobody has heard confirms writes alone.
	confirmTime = time.Second
	// apartTime is how long it is not heard from after that, and primaryAway how much longer the
	// primary stays away.
	apartTime, primaryAway = 4500 * time.Millisecond, 2500 * time.Millisecond
	// unheardRounds is the number of servers that join in a run.
	unheardRounds = 3
)

// keepersFault is what happens to the instances that keep the acknowledged position of a group.
type keepersFault uint8

const (
	keepersStay keepersFault = iota
	holderKilled
	holderKilledBackupPaused
	allLosePower
	keepersFaults
)

// unheardCopy plays servers that receive from the primary, and confirm writes that no other replica
// receives, while nobody has heard of them. Then the primary crashes, with the instances that know
// most of it. A server without these writes must not be promoted, whatever the others answer.
func unheardCopy(ctx context.Context, r *Run) {
	for i := range unheardRounds {
		r.playUnheard(ctx, r.groups[i%len(r.groups)], keepersFault((r.o.Seed+uint64(i))%uint64(keepersFaults)))
		if !sleep(ctx, 3*time.Second) {
			return
		}
	}
}

func (r *Run) playUnheard(ctx context.Context, g *platformtest.Group, keepers keepersFault) {
	primary := g.Primary()
	replicas := g.Servers()
	r.mu.Lock()
	r.joined++
	number := r.joined
	r.mu.Unlock()
	if number > maxJoined || g.AnyDown() {
		return
	}
	fresh, err := g.Join(zones[r.rand.IntN(len(zones))], r.address(unheardAddress+number-1).String(), true)
	if err != nil {
		r.check.logf("no server joins %s: %v", g.Name(), err)
		return
	}
	r.check.fault(1, "%s joins %s and is heard by nobody", fresh.ID(), g.Name())
	setDeaf := func(deaf bool) {
		for _, s := range replicas {
			if s != primary {
				s.SetDeaf(deaf)
			}
		}
	}
	sleep(ctx, confirmTime/4)
	setDeaf(true)
	sleep(ctx, confirmTime)
	r.check.logf("%s crashes; keepers: %d", primary.ID(), keepers)
	primary.Crash()
	back := r.disturbKeepers(primary.Zone(), keepers)
	sleep(ctx, apartTime)
	setDeaf(false)
	fresh.SetHidden(false)
	back()
	r.check.logf("%s is heard, and all others receive", fresh.ID())
	sleep(ctx, primaryAway)
	if err := primary.Return(); err != nil {
		r.check.logf("the primary does not return: %v", err)
	}
	r.check.fault(-1, "the old primary of %s is back", g.Name())
}

// disturbKeepers disturbs the instances near the primary, of which one holds its lease, and returns
// what ends that.
func (r *Run) disturbKeepers(zone string, keepers keepersFault) (back func()) {
	if keepers == allLosePower {
		all := r.everyProcess()
		r.power.Lock()
		for _, p := range all {
			p.kill()
		}
		return func() {
			r.power.Unlock()
			for _, p := range all {
				r.restart(p)
			}
		}
	}
	var killed, paused []*process
	for _, p := range r.processes() {
		switch near := p.settings.DataCentre == zone; {
		case near && p.settings.ServesCallers && keepers != keepersStay:
			p.kill()
			killed = append(killed, p)
		case near && p.settings.ServesControl && keepers == holderKilledBackupPaused:
			p.pause()
			paused = append(paused, p)
		}
	}
	return func() {
		for _, p := range killed {
			r.restart(p)
		}
		for _, p := range paused {
			p.resume()
		}
	}
}
