package gwsoak

import (
	"context"
	"time"

	"gentianward.example/gentianward/platform/platformtest"
)

// during begins a fault, waits and ends it.
func (r *Run) during(ctx context.Context, d time.Duration, what string, begin, end func()) {
	r.check.fault(1, "%s for %s", what, d.Round(time.Millisecond))
	begin()
	sleep(ctx, d)
	end()
	r.check.fault(-1, "%s ends", what)
}

func (r *Run) pause(ctx context.Context, p *process, d time.Duration) {
	r.during(ctx, d, "pause "+p.settings.Name, p.pause, p.resume)
}

// kill ends a process and starts it again after a while.
func (r *Run) kill(ctx context.Context, p *process, d time.Duration) {
	r.during(ctx, d, "kill "+p.settings.Name, p.kill, func() { r.restart(p) })
}

// terminate asks a process to stop, kills it after the grace time and starts it again.
func (r *Run) terminate(ctx context.Context, p *process) {
	r.during(ctx, platformtest.Grace, "terminate "+p.settings.Name, p.terminate, func() {
		p.kill()
		r.restart(p)
	})
}

// restart starts a process if it does not run, while there is power.
func (r *Run) restart(p *process) {
	r.power.RLock()
	defer r.power.RUnlock()
	if err := p.start(); err != nil {
		r.check.violate(RuleFault, "", "%s does not start: %v", p.settings.Name, err)
	}
}

// killControl kills all control instances and starts them again after a while.
func (r *Run) killControl(ctx context.Context, d time.Duration) {
	control := r.controls()
	each := func(f func(*process)) func() {
		return func() {
			for _, p := range control {
				f(p)
			}
		}
	}
	r.during(ctx, d, "kill all control instances", each((*process).kill), each(r.restart))
}

// cut silences what a sends to b, and the other direction too unless oneWay is set.
func (r *Run) cut(ctx context.Context, a, b *process, oneWay bool, d time.Duration) {
	what := "cut " + a.settings.Name + " to " + b.settings.Name
	if !oneWay {
		what += " both ways"
	}
	each := func(f func(from, to *process)) func() {
		return func() {
			f(a, b)
			if !oneWay {
				f(b, a)
			}
		}
	}
	r.during(ctx, d, what, each(r.cutPath), each(r.healPath))
}

func (r *Run) cutPath(from, to *process) { r.network.cut(from.settings.IP, to.settings.IP) }

func (r *Run) healPath(from, to *process) { r.network.heal(from.settings.IP, to.settings.IP) }

// isolate cuts a control instance from the other two; end heals the links.
func (r *Run) isolate(p *process) (end func()) {
	r.check.fault(1, "cut %s from the other control instances", p.settings.Name)
	control := r.controls()
	each := func(f func(from, to *process)) {
		for _, o := range control {
			if o != p {
				f(o, p)
				f(p, o)
			}
		}
	}
	each(r.cutPath)
	return func() {
		each(r.healPath)
		r.check.fault(-1, "%s is connected again", p.settings.Name)
	}
}

// cutZone cuts the instances of a data centre from all others.
func (r *Run) cutZone(ctx context.Context, zone string, d time.Duration) {
	all := r.processes()
	each := func(f func(from, to *process)) func() {
		return func() {
			for _, a := range all {
				for _, b := range all {
					if a.settings.DataCentre == zone && b.settings.DataCentre != zone {
						f(a, b)
						f(b, a)
					}
				}
			}
		}
	}
	r.during(ctx, d, "cut data centre "+zone, each(r.cutPath), each(r.healPath))
}

// delayLinks delays everything between two instances.
func (r *Run) delayLinks(ctx context.Context, a, b *process, by, d time.Duration) {
	set := func(by time.Duration) func() {
		return func() {
			r.network.path(a.settings.IP, b.settings.IP).setDelay(by)
			r.network.path(b.settings.IP, a.settings.IP).setDelay(by)
		}
	}
	r.during(ctx, d, "delay "+a.settings.Name+" and "+b.settings.Name+" by "+by.Round(time.Millisecond).String(), set(by), set(0))
}

func (r *Run) resetLinks(a, b *process) {
	r.check.fault(0, "reset the connections between %s and %s", a.settings.Name, b.settings.Name)
	r.network.path(a.settings.IP, b.settings.IP).reset()
	r.network.path(b.settings.IP, a.settings.IP).reset()
}

// silenceLinks silences the open connections from one instance to another for good.
func (r *Run) silenceLinks(from, to *process) {
	r.check.fault(0, "silence the connections from %s to %s", from.settings.Name, to.settings.Name)
	r.network.path(from.settings.IP, to.settings.IP).silence()
}

// holdCalls holds what an instance sends to the platform and delivers it later.
func (r *Run) holdCalls(ctx context.Context, p *process, silent bool, d time.Duration) {
	calls := r.network.path(p.settings.IP, r.platform.Addr())
	what := "hold the calls of " + p.settings.Name
	if silent {
		what = "cut the calls of " + p.settings.Name
	}
	r.during(ctx, d, what, func() { calls.hold(silent) }, calls.release)
}

// pauseCaller pauses the control instance that opens the next connection to the platform
// within a time. Its calls are cut for half of the pause, so that the platform gets them while
// it is still paused.
func (r *Run) pauseCaller(ctx context.Context, d time.Duration) {
	calls := func(p *process) *path { return r.network.path(p.settings.IP, r.platform.Addr()) }
	control := r.controls()
	for _, p := range control {
		calls(p).hold(true)
	}
	caller := r.firstCaller((*process).pause)
	var p *process
	select {
	case p = <-caller:
	case <-time.After(d):
	case <-ctx.Done():
	}
	r.setOnPromote(nil)
	for _, o := range control {
		if o != p {
			calls(o).release()
		}
	}
	if p == nil {
		return
	}
	r.during(ctx, d/2, "pause "+p.settings.Name+", which calls the platform, and cut its call", func() {}, calls(p).release)
	r.during(ctx, d/2, "pause "+p.settings.Name+" after its call is let through", p.pause, p.resume)
}

// slowPlatform makes the platform act on calls after a delay.
func (r *Run) slowPlatform(ctx context.Context, by, d time.Duration) {
	r.during(ctx, d, "slow the platform by "+by.Round(time.Millisecond).String(), func() { r.api.SetDelay(by) }, func() { r.api.SetDelay(0) })
}

// crash crashes a server, which returns with its log under a new id after a while. It does
// nothing if another server of the group is down.
func (r *Run) crash(ctx context.Context, g *platformtest.Group, s *platformtest.Server, d time.Duration) {
	if s == nil || g.AnyDown() {
		return
	}
	r.during(ctx, d, "crash "+g.Name()+" "+s.ID(), s.Crash, func() {
		if err := s.Return(); err != nil {
			r.check.logf("%s does not return: %v", s.ID(), err)
		}
	})
}
