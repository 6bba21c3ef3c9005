package gwsoak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"gentianward.example/gentianward/platform/platformtest"
)

// Scenario is a named sequence of faults.
type Scenario struct {
	Name     string
	Synopsis string
	play     func(ctx context.Context, r *Run)
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{"random", "faults of all kinds that overlap, from the seed", func(ctx context.Context, r *Run) { r.playSteps(ctx, RandomSchedule(r.o.Seed, r.o.For)) }},
		{"heldCall", "the call of a leader to the platform is held while the leader is cut off, and delivered after its successor's", func(ctx context.Context, r *Run) { heldCall(ctx, r, false) }},
		{"cutCall", "as heldCall; the packets of the call are dropped, and sent again by the kernel", func(ctx context.Context, r *Run) { heldCall(ctx, r, true) }},
		{"stoppedCaller", "the leader is stopped when it opens its connection to the platform, and continued after its successor has acted", stoppedCaller},
		{"stoppedConfirming", "the leader is stopped while the answers that confirm its leadership are on their way", stoppedConfirming},
		{"flappingLinks", "the links between control instances are cut one way again and again while primaries crash", flappingLinks},
		{"cutWhileChanging", "the leadership is transferred between regions; the new leader is cut off while it changes a primary", cutWhileChanging},
		{"lostDirection", "control instances lose what another sends while large configurations are published", lostDirection},
		{"silentLinks", "the open connections of the leader go silent for good, one direction of one link at a time", silentLinks},
		{"stoppedLeader", "the leader is stopped for 1 to 3 s again and again while large configurations are published", stoppedLeader},
		{"controlRestarts", "all control instances are killed and restarted while large configurations are published", controlRestarts},
		{"replacedControl", "control instances are replaced or lose their disks one after another, once with a loss of power everywhere", replacedControl},
		{"besideControl", "successors start beside control instances, which end as soon as the pages allow it, while another one loses its disk", besideControl},
		{"replacedSlow", "as replacedControl, with syncs of all control instances that take 150 ms more", replacedSlow},
		{"slowDisks", "the syncs of all control instances get slower step by step", slowDisks},
		{"lastDisk", "right after an acknowledgement all instances lose power, also those that do not count, and one control instance its disk", lastDisk},
		{"longHistory", "after a long history of large configurations one control instance after another is replaced or loses its disk, each as soon as the pages allow it", longHistory},
		{"hostileData", "no fault; each piece of hostile data at each entry instance, in every field, and every statement must succeed", hostileData},
		{"leavingCallers", "no fault; sessions end at any statement, read or not, and memory and descriptors of the processes must not grow", leavingCallers},
		{"unheardCopy", "servers confirm writes that nobody else receives before anyone has heard of them; the primary crashes, alone or with the instances that know most of it", unheardCopy},
		{"startAgain", "servers start again at once, empty under their id or with their log: while a call that names them is broken off, as a primary of which nobody hears, or in calm", startAgain},
		{"misbehavingCallers", "crowds of clients that stop inside messages, exceed limits, set large values or leave, at one entry instance after another", misbehavingCallers},
	}
}

// FindScenario returns the scenario with a name.
func FindScenario(name string) (Scenario, bool) {
	all := Scenarios()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return all[i], true
}

const (
	// successorLimit is how long a scenario waits for the next leader to act, beyond the
	// 12 s in which a change of primary is promised.
	successorLimit = 16 * time.Second
	pollInterval   = 10 * time.Millisecond
	// outage is how long the primaries of scenarios are down.
	outage = 6 * time.Second
	// largeConfiguration is the size of the configurations of some scenarios in bytes.
	largeConfiguration = 400_000
)

// awaitSuccessor polls until ok returns true, and returns false after successorLimit.
func awaitSuccessor(ctx context.Context, ok func() bool) bool {
	for end := time.Now().Add(successorLimit); time.Now().Before(end) && sleep(ctx, pollInterval); {
		if ok() {
			return true
		}
	}
	return false
}

// calledByOther reports whether another holder has called the platform about the group since
// calledByOther was called.
func (r *Run) calledByOther(g *platformtest.Group, holder *process) func() bool {
	called := func() int {
		r.check.mu.Lock()
		defer r.check.mu.Unlock()
		n := 0
		for h, calls := range r.check.calls[g.Name()] {
			if h != holder.settings.IP.String() {
				n += calls
			}
		}
		return n
	}
	before := called()
	return func() bool { return called() > before }
}

// firstCaller returns a channel with the first control instance that opens a connection to
// the platform, after act was called for it.
func (r *Run) firstCaller(act func(p *process)) <-chan *process {
	out := make(chan *process, 1)
	var once sync.Once
	r.setOnPromote(func(p *process) {
		once.Do(func() {
			act(p)
			out <- p
		})
	})
	return out
}

func receive(ctx context.Context, c <-chan *process) *process {
	select {
	case p := <-c:
		return p
	case <-time.After(successorLimit):
	case <-ctx.Done():
	}
	return nil
}

// crashPrimary crashes the primary of a group for the time of an outage, in the background.
func (r *Run) crashPrimary(ctx context.Context, wg *sync.WaitGroup, g *platformtest.Group) {
	wg.Go(func() { r.crash(ctx, g, g.Primary(), outage) })
}

func heldCall(ctx context.Context, r *Run, silent bool) {
	var wg sync.WaitGroup
	defer wg.Wait()
	g := r.groups[0]
	for _, p := range r.controls() {
		r.network.path(p.settings.IP, r.platform.Addr()).hold(silent)
	}
	var heal func()
	caller := r.firstCaller(func(p *process) {
		heal = r.isolate(p)
		for _, o := range r.controls() {
			if o != p {
				r.network.path(o.settings.IP, r.platform.Addr()).release()
			}
		}
	})
	r.crashPrimary(ctx, &wg, g)
	p := receive(ctx, caller)
	if p == nil {
		r.check.logf("no call to the platform")
		return
	}
	r.check.logf("the call of %s is held", p.settings.Name)
	acted := awaitSuccessor(ctx, r.calledByOther(g, p))
	r.check.logf("the successor has acted: %v; the held call is delivered", acted)
	r.network.path(p.settings.IP, r.platform.Addr()).release()
	sleep(ctx, retransmission)
	heal()
}

// attempts is how often a scenario tries to stop the leader at the right moment.
const attempts = 4

func stoppedCaller(ctx context.Context, r *Run) {
	for i := range attempts {
		stopCaller(ctx, r, r.groups[i%len(r.groups)])
		if !sleep(ctx, 2*time.Second) {
			return
		}
	}
}

// stopCaller stops the leader when it opens a connection to the platform. Whether it has
// written its request or not, the platform gets it after the successor has acted.
func stopCaller(ctx context.Context, r *Run, g *platformtest.Group) {
	var wg sync.WaitGroup
	defer wg.Wait()
	calls := func(p *process) *path { return r.network.path(p.settings.IP, r.platform.Addr()) }
	for _, p := range r.controls() {
		calls(p).hold(true)
	}
	caller := r.firstCaller(func(p *process) {
		p.pause()
		for _, o := range r.controls() {
			if o != p {
				calls(o).release()
			}
		}
	})
	r.crashPrimary(ctx, &wg, g)
	p := receive(ctx, caller)
	if p == nil {
		r.check.logf("no call to the platform")
		return
	}
	r.check.fault(1, "pause %s, which has opened a connection to the platform", p.settings.Name)
	acted := awaitSuccessor(ctx, r.calledByOther(g, p))
	r.check.logf("the successor has acted: %v", acted)
	calls(p).release()
	sleep(ctx, continueDelay)
	p.resume()
	r.check.fault(-1, "%s is continued", p.settings.Name)
	sleep(ctx, retransmission)
}

const (
	// continueDelay is the time from the healing of a cut until a stopped process is continued.
	continueDelay = 300 * time.Millisecond
	// retransmission is the time in which a kernel sends again what was dropped for some
	// seconds; it doubles its interval each time.
	retransmission = 3 * time.Second
	// answerDelay is how long the answers of the quorum take in stoppedConfirming.
	answerDelay = 200 * time.Millisecond
)

func stoppedConfirming(ctx context.Context, r *Run) {
	for i := range attempts {
		// The confirmation is the answer to the entry that names the server, or to a request of
		// its own after that.
		stopConfirming(ctx, r, r.groups[i%len(r.groups)], answerDelay/2+time.Duration(i%2)*answerDelay)
		if !sleep(ctx, 2*time.Second) {
			return
		}
	}
}

// stopConfirming stops the leader while the answers that confirm its leadership are on their
// way, some time after the first server was fenced. They wait in its sockets until it is
// continued.
func stopConfirming(ctx context.Context, r *Run, g *platformtest.Group, after time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	p, end := r.delayAnswers(ctx)
	if p == nil {
		r.check.logf("the leader changes while its answers are delayed")
		return
	}
	fenced := make(chan *process, 1)
	r.setOnPause(func(group string) {
		if group == g.Name() {
			select {
			case fenced <- p:
			default:
			}
		}
	})
	r.crashPrimary(ctx, &wg, g)
	receive(ctx, fenced)
	r.setOnPause(nil)
	sleep(ctx, after)
	p.pause()
	r.check.logf("%s is stopped", p.settings.Name)
	acted := awaitSuccessor(ctx, r.calledByOther(g, p))
	r.check.logf("the successor has acted: %v", acted)
	p.resume()
	end()
	sleep(ctx, time.Second)
}

// delayAnswers delays what the leader receives from the others, step by step, so that it
// keeps the leadership. It returns nil if it does not.
func (r *Run) delayAnswers(ctx context.Context) (leader *process, end func()) {
	const tries, steps = 4, 8
	for range tries {
		p := r.leader()
		set := func(d time.Duration) {
			for _, o := range r.controls() {
				r.network.path(o.settings.IP, p.settings.IP).setDelay(d)
			}
		}
		r.check.fault(1, "delay what %s receives by %s", p.settings.Name, answerDelay)
		for i := range steps {
			set(answerDelay * time.Duration(i+1) / steps)
			sleep(ctx, 2*answerDelay/steps)
		}
		end = func() {
			set(0)
			r.check.fault(-1, "what %s receives is not delayed", p.settings.Name)
		}
		if r.leader() == p {
			return p, end
		}
		end()
	}
	return nil, nil
}

// flapTime is the longest time that a link is cut in flappingLinks; elections take longer
// than the shorter ones.
const flapTime = 900 * time.Millisecond

func flappingLinks(ctx context.Context, r *Run) {
	ctx, cancel := context.WithTimeout(ctx, r.o.For)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	for range 2 {
		seed := r.rand.Uint64()
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, 2))
			for ctx.Err() == nil {
				control := r.controls()
				a := random.IntN(len(control))
				b := (a + 1 + random.IntN(len(control)-1)) % len(control)
				r.cut(ctx, control[a], control[b], true, randomTime(random, flapTime))
				sleep(ctx, randomTime(random, flapTime/2))
			}
		})
	}
	for i := 0; ctx.Err() == nil; i++ {
		r.crash(ctx, r.groups[i%len(r.groups)], r.groups[i%len(r.groups)].Primary(), 2*time.Second)
	}
}

// leader returns the control instance that exchanges most with the others.
func (r *Run) leader() *process {
	var all []netip.Addr
	control := r.controls()
	for _, p := range control {
		all = append(all, p.settings.IP)
	}
	return control[r.network.busiest(time.Second, all)]
}

// other returns a control instance other than p.
func (r *Run) other(p *process) *process {
	control := r.controls()
	return control[(slices.Index(control, p)+1+r.rand.IntN(len(control)-1))%len(control)]
}

// farLeader makes the instance of the other region the leader, by stopping leaders until it
// is.
func (r *Run) farLeader(ctx context.Context) {
	const tries = 8
	for range tries {
		p := r.leader()
		r.check.logf("%s leads", p.settings.Name)
		if p.settings.Region == regions["haeundae"] {
			return
		}
		r.pause(ctx, p, 1200*time.Millisecond)
	}
}

func cutWhileChanging(ctx context.Context, r *Run) {
	r.farLeader(ctx)
	sleep(ctx, 2*time.Second) // the leadership moves back to the other region
	var wg sync.WaitGroup
	defer wg.Wait()
	g := r.groups[0]
	caller := r.firstCaller(func(p *process) { r.network.path(p.settings.IP, r.platform.Addr()).hold(true) })
	r.crashPrimary(ctx, &wg, g)
	p := receive(ctx, caller)
	if p == nil {
		r.check.logf("no call to the platform")
		return
	}
	heal := r.isolate(p)
	sleep(ctx, time.Second)
	r.network.path(p.settings.IP, r.platform.Addr()).release()
	acted := awaitSuccessor(ctx, r.calledByOther(g, p))
	r.check.logf("the successor has acted: %v", acted)
	sleep(ctx, 2*time.Second)
	heal()
}

func lostDirection(ctx context.Context, r *Run) {
	ctx, cancel := context.WithTimeout(ctx, r.o.For)
	defer cancel()
	r.operator.setSize(largeConfiguration)
	for ctx.Err() == nil {
		p := r.leader()
		o := r.other(p)
		from, to := p, o
		if r.rand.IntN(2) == 0 {
			from, to = o, p
		}
		r.cut(ctx, from, to, true, time.Second+randomTime(r.rand, 3*time.Second))
		sleep(ctx, randomTime(r.rand, time.Second))
	}
	r.operator.setSize(0)
}

func silentLinks(ctx context.Context, r *Run) {
	ctx, cancel := context.WithTimeout(ctx, r.o.For)
	defer cancel()
	r.operator.setSize(largeConfiguration)
	for ctx.Err() == nil {
		p := r.leader()
		o := r.other(p)
		if r.rand.IntN(2) == 0 {
			p, o = o, p
		}
		r.silenceLinks(p, o)
		sleep(ctx, time.Second+randomTime(r.rand, 2*time.Second))
	}
	r.operator.setSize(0)
}

func stoppedLeader(ctx context.Context, r *Run) {
	ctx, cancel := context.WithTimeout(ctx, r.o.For)
	defer cancel()
	r.operator.setSize(largeConfiguration)
	for ctx.Err() == nil {
		r.pause(ctx, r.leader(), time.Second+randomTime(r.rand, 2*time.Second))
	}
	r.operator.setSize(0)
}

func controlRestarts(ctx context.Context, r *Run) {
	ctx, cancel := context.WithTimeout(ctx, r.o.For)
	defer cancel()
	r.operator.setSize(largeConfiguration)
	for ctx.Err() == nil {
		r.killControl(ctx, randomTime(r.rand, 3*time.Second))
		sleep(ctx, 2*time.Second+randomTime(r.rand, 5*time.Second))
	}
	r.operator.setSize(0)
}
