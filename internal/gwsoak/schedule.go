package gwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Step is one fault of a schedule.
type Step struct {
	At     time.Duration // from the start of the faults
	For    time.Duration
	Action Action
}

// String returns the step as a line of the report.
func (s Step) String() string {
	return fmt.Sprintf("%s for %s: %#v", s.At.Round(time.Millisecond), s.For.Round(time.Millisecond), s.Action)
}

// Action is what a step does. Numbers select a control instance, an instance of all, a group
// or a server, modulo how many there are.
type Action interface{ isAction() }

// The actions.
type (
	// Pause stops an instance.
	Pause struct{ Instance int }
	// Kill kills an instance and starts it again.
	Kill struct{ Instance int }
	// Terminate stops an instance gracefully and starts it again.
	Terminate struct{ Instance int }
	// KillControl kills all control instances and starts them again.
	KillControl struct{}
	// CutControl silences one or both directions between two control instances.
	CutControl struct {
		Control int
		OneWay  bool
	}
	// Isolate cuts a control instance from the others.
	Isolate struct{ Control int }
	// CutZone cuts a data centre from the others.
	CutZone struct{ Zone int }
	// DelayLinks delays what two control instances send each other.
	DelayLinks struct {
		Control int
		By      time.Duration
	}
	// ResetLinks resets the connections between two control instances.
	ResetLinks struct{ Control int }
	// SilenceLinks silences the open connections from a control instance to another.
	SilenceLinks struct{ Control int }
	// HoldCalls holds the calls of a control instance to the platform.
	HoldCalls struct {
		Control int
		Silent  bool
	}
	// PauseCaller stops the control instance that next opens a connection to the platform,
	// whose calls are cut meanwhile.
	PauseCaller struct{}
	// ReplaceControl replaces a control instance by an empty one at another address.
	ReplaceControl struct {
		Control int
		Silent  bool // the old address is silent, rather than refusing connections
		Seeds   SeedsOf
	}
	// ReplaceBeside starts a successor beside a control instance, which ends later.
	ReplaceBeside struct {
		Control int
		Ending  Ending
		Seeds   SeedsOf
	}
	// AddControl starts an additional control instance, which is removed later.
	AddControl struct {
		Zone   int
		Ending Ending
		Seeds  SeedsOf
	}
	// LoseNext loses the disk of a control instance as soon as the pages allow it, or replaces
	// the instance.
	LoseNext struct {
		Control         int
		Replace, Silent bool
		Power           bool // all instances lose their power with it, right after an acknowledgement
	}
	// LoseDisk kills a control instance and starts it again with an empty disk.
	LoseDisk struct{ Control int }
	// PowerLoss kills all instances and starts them again, a control instance with an empty
	// disk.
	PowerLoss struct{ Control int } // the one that loses its disk, none if negative
	// SlowDisks makes the syncs of a control instance slow, or of all if Control is negative.
	SlowDisks struct {
		Control int
		By      time.Duration
	}
	// StallDisk lets no sync of a control instance return.
	StallDisk struct{ Control int }
	// Busy keeps some processors busy.
	Busy struct{ Loops int }
	// SlowPlatform makes the platform act late.
	SlowPlatform struct{ By time.Duration }
	// CrashPrimary crashes the primary of a group.
	CrashPrimary struct{ Group int }
	// CrashServer crashes any server of a group.
	CrashServer struct{ Group, Server int }
	// LongHistory publishes large configurations before the next step.
	LongHistory struct{ Configurations, Bytes int }
	// LargeConfigurations makes the operator publish large configurations.
	LargeConfigurations struct{ Bytes int }
)

func (Pause) isAction()               {}
func (Kill) isAction()                {}
func (Terminate) isAction()           {}
func (KillControl) isAction()         {}
func (CutControl) isAction()          {}
func (Isolate) isAction()             {}
func (CutZone) isAction()             {}
func (DelayLinks) isAction()          {}
func (ResetLinks) isAction()          {}
func (SilenceLinks) isAction()        {}
func (HoldCalls) isAction()           {}
func (PauseCaller) isAction()         {}
func (ReplaceControl) isAction()      {}
func (ReplaceBeside) isAction()       {}
func (AddControl) isAction()          {}
func (LoseNext) isAction()            {}
func (LoseDisk) isAction()            {}
func (PowerLoss) isAction()           {}
func (SlowDisks) isAction()           {}
func (StallDisk) isAction()           {}
func (Busy) isAction()                {}
func (SlowPlatform) isAction()        {}
func (CrashPrimary) isAction()        {}
func (CrashServer) isAction()         {}
func (LongHistory) isAction()         {}
func (LargeConfigurations) isAction() {}

// weighted is a kind of action and how often it is chosen.
type weighted struct {
	weight int
	make   func(r *rand.Rand) Action
}

// instances bounds the numbers of instances in a schedule.
const instances = 9

// kinds are those of the seeds in failedBeforeBeside; new ones go into memberKinds.
var kinds = []weighted{
	{6, func(r *rand.Rand) Action { return CrashPrimary{Group: r.IntN(3)} }},
	{2, func(r *rand.Rand) Action { return CrashServer{Group: r.IntN(3), Server: r.IntN(3)} }},
	{4, func(r *rand.Rand) Action { return Pause{Instance: r.IntN(instances)} }},
	{3, func(r *rand.Rand) Action { return Kill{Instance: r.IntN(instances)} }},
	{1, func(r *rand.Rand) Action { return Terminate{Instance: r.IntN(instances)} }},
	{1, func(*rand.Rand) Action { return KillControl{} }},
	{4, func(r *rand.Rand) Action { return CutControl{Control: r.IntN(3), OneWay: r.IntN(2) == 0} }},
	{3, func(r *rand.Rand) Action { return Isolate{Control: r.IntN(3)} }},
	{1, func(r *rand.Rand) Action { return CutZone{Zone: r.IntN(3)} }},
	{1, func(r *rand.Rand) Action {
		return DelayLinks{Control: r.IntN(3), By: 20*time.Millisecond + randomTime(r, 200*time.Millisecond)}
	}},
	{1, func(r *rand.Rand) Action { return ResetLinks{Control: r.IntN(3)} }},
	{1, func(r *rand.Rand) Action { return SilenceLinks{Control: r.IntN(3)} }},
	{3, func(r *rand.Rand) Action { return HoldCalls{Control: r.IntN(3), Silent: r.IntN(2) == 0} }},
	{3, func(*rand.Rand) Action { return PauseCaller{} }},
	{2, func(r *rand.Rand) Action { return SlowPlatform{By: randomTime(r, 4*time.Second)} }},
	{1, func(r *rand.Rand) Action { return LargeConfigurations{Bytes: 100_000 + r.IntN(400_000)} }},
	{3, func(r *rand.Rand) Action {
		return ReplaceControl{Control: r.IntN(3), Silent: r.IntN(2) == 0, Seeds: SeedsOf(r.IntN(3))}
	}},
	{2, func(r *rand.Rand) Action { return LoseDisk{Control: r.IntN(3)} }},
	{1, func(r *rand.Rand) Action { return PowerLoss{Control: r.IntN(4) - 1} }},
	{3, func(r *rand.Rand) Action {
		return SlowDisks{Control: r.IntN(4) - 1, By: minSync + randomTime(r, moreSync)}
	}},
	{1, func(r *rand.Rand) Action { return StallDisk{Control: r.IntN(3)} }},
	{1, func(r *rand.Rand) Action { return Busy{Loops: 1 + r.IntN(maxLoops)} }},
}

// memberKinds change the control instances.
var memberKinds = []weighted{
	{4, func(r *rand.Rand) Action {
		return ReplaceBeside{Control: r.IntN(instances), Ending: randomEnding(r, 2*catchUpLimit), Seeds: SeedsOf(r.IntN(3))}
	}},
	{2, func(r *rand.Rand) Action {
		return AddControl{Zone: r.IntN(len(zones)), Ending: randomEnding(r, 3*catchUpLimit), Seeds: SeedsOf(r.IntN(3))}
	}},
	{4, func(r *rand.Rand) Action {
		return LoseNext{Control: r.IntN(instances), Replace: r.IntN(2) == 0, Silent: r.IntN(2) == 0, Power: r.IntN(3) == 0}
	}},
}

// randomEnding ends a control instance at any time, every second time as soon as its successor
// has had its time.
func randomEnding(r *rand.Rand, limit time.Duration) Ending {
	e := Ending{After: randomTime(r, limit), Kill: r.IntN(2) == 0, Silent: r.IntN(2) == 0, Never: r.IntN(6) == 0}
	if r.IntN(2) == 0 {
		e.After = catchUpLimit
	}
	return e
}

func randomTime(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

const (
	minFaultTime  = 200 * time.Millisecond
	moreFaultTime = 4 * time.Second
	// minSync and moreSync bound the additional time of slow syncs.
	minSync  = 50 * time.Millisecond
	moreSync = 350 * time.Millisecond
	// stepInterval is the mean time between two faults, so that they overlap.
	stepInterval = 700 * time.Millisecond
	// calmInterval is that of every third seed, so that the pages allow the loss of several
	// disks in a run.
	calmInterval = 2 * time.Second
)

// RandomSchedule returns the schedule of a seed for a time. It depends on nothing else.
func RandomSchedule(seed uint64, total time.Duration) []Step {
	all := slices.Concat(kinds, memberKinds)
	if seed%3 == 0 {
		out := scheduleOf(slices.Concat(all, memberKinds, memberKinds, memberKinds), seed, total, calmInterval)
		if seed%2 == 0 {
			h := LongHistory{Configurations: minHistory + int(seed%moreHistory), Bytes: minEntryBytes + int(seed*997%moreEntryBytes)}
			out = slices.Insert(out, 0, Step{For: historyLimit, Action: h})
		}
		return out
	}
	return scheduleOf(all, seed, total, stepInterval)
}

func scheduleOf(of []weighted, seed uint64, total, interval time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	sum := 0
	for _, k := range of {
		sum += k.weight
	}
	var out []Step
	for at := time.Duration(0); at < total; at += randomTime(r, 2*interval) {
		n := r.IntN(sum)
		for _, k := range of {
			if n -= k.weight; n < 0 {
				out = append(out, Step{At: at, For: minFaultTime + randomTime(r, moreFaultTime), Action: k.make(r)})
				break
			}
		}
	}
	return out
}

// playSteps plays a schedule and returns when the last fault has ended.
func (r *Run) playSteps(ctx context.Context, steps []Step) {
	for _, s := range steps {
		r.steps = append(r.steps, s.String())
	}
	var wg sync.WaitGroup
	started := time.Now()
	for _, s := range steps {
		if !sleep(ctx, s.At-time.Since(started)) {
			break
		}
		if h, ok := s.Action.(LongHistory); ok {
			r.publishHistory(ctx, h.Configurations, h.Bytes)
			started = time.Now().Add(-s.At)
			continue
		}
		wg.Go(func() { r.act(ctx, s) })
	}
	wg.Wait()
}

// nth returns the process with a number, modulo how many there are.
func nth(all []*process, n int) *process { return all[n%len(all)] }

func (r *Run) act(ctx context.Context, s Step) {
	control := func(n int) *process { return nth(r.controls(), n) }
	all := r.processes()
	switch a := s.Action.(type) {
	case Pause:
		r.pause(ctx, all[a.Instance%len(all)], s.For)
	case Kill:
		r.kill(ctx, all[a.Instance%len(all)], s.For)
	case Terminate:
		r.terminate(ctx, all[a.Instance%len(all)])
	case KillControl:
		r.killControl(ctx, s.For)
	case CutControl:
		r.cut(ctx, control(a.Control), control(a.Control+1), a.OneWay, s.For)
	case Isolate:
		end := r.isolate(control(a.Control))
		sleep(ctx, s.For)
		end()
	case CutZone:
		r.cutZone(ctx, zones[a.Zone], s.For)
	case DelayLinks:
		r.delayLinks(ctx, control(a.Control), control(a.Control+1), a.By, s.For)
	case ResetLinks:
		r.resetLinks(control(a.Control), control(a.Control+1))
	case SilenceLinks:
		r.silenceLinks(control(a.Control), control(a.Control+1))
	default:
		r.actOnDisks(ctx, s)
	}
}

// actOnDisks plays the faults of disks, power and processors.
func (r *Run) actOnDisks(ctx context.Context, s Step) {
	control := func(n int) *process { return nth(r.controls(), n) }
	switch a := s.Action.(type) {
	case ReplaceControl:
		r.replace(ctx, nth(r.replaceable(), a.Control), a.Silent, a.Seeds, false, s.For, 0)
	case ReplaceBeside:
		r.replaceBeside(ctx, nth(r.replaceable(), a.Control), a.Ending, a.Seeds)
	case AddControl:
		r.addControl(ctx, zones[a.Zone], a.Ending, a.Seeds)
	case LoseNext:
		if a.Replace {
			r.replace(ctx, nth(r.replaceable(), a.Control), a.Silent, SeedsPresent, a.Power, s.For, lossWait)
			return
		}
		l := r.wiping(nth(r.counting(), a.Control))
		l.afterAck = a.Power
		r.lose(ctx, l, a.Power, s.For, lossWait)
	case LoseDisk:
		r.lose(ctx, r.wiping(nth(r.counting(), a.Control)), false, s.For, 0)
	case PowerLoss:
		if a.Control < 0 {
			r.losePower(ctx, s.For, nil)
			return
		}
		r.lose(ctx, r.wiping(nth(r.counting(), a.Control)), true, s.For, 0)
	case SlowDisks:
		all := r.controls()
		if a.Control >= 0 {
			all = []*process{control(a.Control)}
		}
		r.slowDisks(ctx, all, a.By, promptSync, s.For)
	case StallDisk:
		r.stallDisk(ctx, control(a.Control), s.For)
	case Busy:
		r.busy(ctx, a.Loops, s.For)
	default:
		r.actOutside(ctx, s)
	}
}

// actOutside plays the faults of what is not an instance.
func (r *Run) actOutside(ctx context.Context, s Step) {
	switch a := s.Action.(type) {
	case HoldCalls:
		r.holdCalls(ctx, nth(r.controls(), a.Control), a.Silent, s.For)
	case PauseCaller:
		r.pauseCaller(ctx, s.For)
	case SlowPlatform:
		r.slowPlatform(ctx, a.By, s.For)
	case CrashPrimary:
		g := r.groups[a.Group%len(r.groups)]
		r.crash(ctx, g, g.Primary(), s.For)
	case CrashServer:
		g := r.groups[a.Group%len(r.groups)]
		r.crash(ctx, g, g.Servers()[a.Server], s.For)
	case LargeConfigurations:
		r.operator.setSize(a.Bytes)
		sleep(ctx, s.For)
		r.operator.setSize(0)
	}
}
