package gwsoak

import (
	"context"
	"sync"
	"time"

	"gentianward.example/gentianward/platform/platformtest"
)

const (
	// stableTime is how long every group is served without a pause of servedPause before a
	// run ends.
	stableTime  = 3 * time.Second
	servedPause = time.Second
	// judgeTime is how long a group must have had no acknowledged write, after the limit of
	// the recovery, to be called not served.
	judgeTime = 4 * time.Second
)

// settle ends all faults, waits until service is back and checks what was promised for the
// time after the last fault.
func (r *Run) settle(ctx context.Context) {
	r.enter("recovery", recoveryLimit+judgeTime)
	r.endFaults()
	ended := time.Now()
	stable := ended
	for time.Since(ended) < recoveryLimit+judgeTime && sleep(ctx, statsInterval) {
		if !r.served(servedPause) {
			stable = time.Now()
		}
		if time.Since(stable) < stableTime {
			continue
		}
		if r.operator.end(); r.operator.inForce() && r.operator.lastRead().After(ended) {
			break
		}
	}
	r.check.count("runs")
	for name, at := range r.check.worked() {
		if time.Since(at) > judgeTime {
			r.check.violate(RuleRecover, name, "no write is acknowledged since %s, all faults ended %s ago",
				time.Since(at).Round(time.Millisecond), time.Since(ended).Round(time.Millisecond))
		}
	}
	r.judgeReady(ended)
	r.operator.readAtEnd(ctx)
}

// judgeReady checks that every entry instance is ready after the limit of the recovery. Callers
// turn to the ready ones only, so that no other check sees it.
func (r *Run) judgeReady(ended time.Time) {
	if time.Since(ended) < recoveryLimit+judgeTime {
		return
	}
	client := platformtest.NewClient()
	for _, p := range r.entries {
		r.mu.Lock()
		last := latest(r.lastReady[p], ended)
		r.mu.Unlock()
		if time.Since(last) > judgeTime && !client.Ready(p.settings.ReadyAddress) {
			r.check.violate(RuleRecover, "", "%s is not ready since %s, all faults ended %s ago",
				p.settings.Name, time.Since(last).Round(time.Millisecond), time.Since(ended).Round(time.Millisecond))
		}
	}
}

func (r *Run) endFaults() {
	r.setOnPromote(nil)
	r.setOnPause(nil)
	r.api.SetDelay(0)
	r.setDisks(r.controls(), r.calmDisk)
	r.network.healAll()
	for _, p := range r.processes() {
		p.resume()
		r.restart(p)
	}
	for _, g := range r.groups {
		for _, s := range g.Servers() {
			if err := s.Return(); err != nil {
				r.check.logf("%s does not return: %v", s.ID(), err)
			}
		}
	}
	r.check.fault(0, "all faults have ended")
}

// served reports whether each group has acknowledged a write within a time.
func (r *Run) served(within time.Duration) bool {
	for _, at := range r.check.worked() {
		if time.Since(at) > within {
			return false
		}
	}
	return true
}

// inForce reports whether the newest acknowledged configuration is in force at all entry
// instances and none is pending.
func (o *operator) inForce() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.r.entries {
		if o.obeyed[p] < o.acked {
			return false
		}
	}
	return o.sent.IsZero()
}

// readAtEnd reads the configuration at each control instance until it answers.
func (o *operator) readAtEnd(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	deadline := time.Now().Add(contactLimit)
	for _, p := range o.r.controls() {
		wg.Go(func() {
			version := 0
			for version == 0 && time.Now().Before(deadline) && sleep(ctx, statsInterval) {
				version = o.readAt(p)
			}
			if version == 0 {
				o.r.check.violate(RuleConfig, "", "%s does not answer reads of the configuration at the end", p.settings.Name)
			}
		})
	}
}
