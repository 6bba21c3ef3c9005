package gwsoak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"gentianward.example/gentianward/platform"
)

const (
	// upLimit bounds the wait for a process that starts.
	upLimit = 10 * time.Second
	// maxSeeds is how many control instances the settings name.
	maxSeeds = 3
)

// SeedsOf says which control instances the settings of processes that start later name.
type SeedsOf uint8

// The values of SeedsOf.
const (
	SeedsPresent SeedsOf = iota // the present ones
	SeedsEarlier                // those before the last replacement
	SeedsFirst                  // those of the first start, while one of them is left
)

// seeds returns the control instances that the settings name at a start.
func (r *Run) seeds() []netip.Addr {
	all := r.listed()
	return all[:min(len(all), maxSeeds)]
}

// listed returns the list of control instances from which the settings are written.
func (r *Run) listed() []netip.Addr {
	r.mu.Lock()
	defer r.mu.Unlock()
	present, first := r.seedHistory[len(r.seedHistory)-1], r.seedHistory[0]
	left := slices.ContainsFunc(first, func(a netip.Addr) bool { return slices.Contains(present, a) })
	switch {
	case r.seedsOf == SeedsPresent:
		return present
	case r.seedsOf == SeedsFirst && left:
		return first
	default:
		return r.seedHistory[max(0, len(r.seedHistory)-2)]
	}
}

// loss is the loss of the disk of a control instance.
type loss struct {
	what string
	lost *process
	// successor takes the place of lost, if it is not nil.
	successor *process
	// begin ends the process. end starts it, or its successor.
	begin, end func()
	// afterAck loses the disk right after the next acknowledgement.
	afterAck bool
	// countingOnly spares the power of the instances that do not count.
	countingOnly bool
}

// wiping is a control instance that returns at its address with an empty disk.
func (r *Run) wiping(p *process) loss {
	return loss{what: "lose the disk of " + p.settings.Name, lost: p, begin: func() {
		if err := p.wipe(); err != nil {
			r.check.logf("the disk of %s is not lost: %v", p.settings.Name, err)
		}
	}, end: func() { r.restart(p) }}
}

// replacing is a control instance that is gone for good and replaced by an empty one at
// another address in its data centre. The old address is silent or refuses connections.
func (r *Run) replacing(p *process, silent bool, seeds SeedsOf) (loss, error) {
	n, err := r.describeControl(p.settings.DataCentre)
	if err != nil {
		return loss{}, err
	}
	what := "replace " + p.settings.Name + " by " + n.settings.Name + ", " + addressText(silent)
	return loss{what: what, lost: p, successor: n, begin: func() { r.vanish(p, silent) }, end: func() {
		r.changeControl(n, p, seeds)
		r.restart(n)
	}}, nil
}

// replace replaces a control instance that ends first.
func (r *Run) replace(ctx context.Context, p *process, silent bool, seeds SeedsOf, power bool, d, wait time.Duration) {
	l, err := r.replacing(p, silent, seeds)
	if err != nil {
		r.check.logf("no replacement: %v", err)
		return
	}
	l.afterAck = power
	r.lose(ctx, l, power, d, wait)
}

func addressText(silent bool) string {
	if silent {
		return "its address is silent"
	}
	return "its address refuses connections"
}

// vanish ends a process for good; its address is silent or refuses connections.
func (r *Run) vanish(p *process, silent bool) {
	if silent {
		r.network.silence(p.settings.IP)
		p.retire()
		r.silenceAddress(p.settings.ControlAddress)
		return
	}
	p.retire()
	r.network.refuse(p.settings.IP)
}

// describeControl describes an empty control instance in a data centre.
func (r *Run) describeControl(dataCentre string) (*process, error) {
	r.mu.Lock()
	r.successors++
	number := r.successors
	r.mu.Unlock()
	if number > maxSuccessors {
		return nil, errors.New("no address is left")
	}
	ip := r.address(successorAddress + number - 1)
	n := r.describe(ip, platform.Settings{
		Name: fmt.Sprintf("control-%s-%d", dataCentre, number), DataCentre: dataCentre, ServesControl: true, ControlAddress: r.controlAddress(ip),
	})
	n.settings.FirstStart = false
	if err := r.connect(n); err != nil {
		return nil, err
	}
	return n, n.setDisk(r.calmDisk)
}

// changeControl makes added a control instance, and gone none any more; each may be nil. It
// returns false if gone is none.
func (r *Run) changeControl(added, gone *process, seeds SeedsOf) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, control := len(r.control), slices.Clone(r.control)
	if gone != nil {
		if at = slices.Index(control, gone); at < 0 {
			return false
		}
		control = slices.Delete(control, at, at+1)
		r.gone = append(r.gone, gone)
	}
	if added != nil {
		control, added.joined = slices.Insert(control, at, added), len(r.seedHistory)
		r.redundancy.restoring[added] = gone != nil
	}
	var ips []netip.Addr
	for _, p := range control {
		ips = append(ips, p.settings.IP)
	}
	r.control, r.seedHistory, r.seedsOf = control, append(r.seedHistory, ips), seeds
	return true
}

// silenceAddress makes an address at which nothing listens silent.
func (r *Run) silenceAddress(address string) {
	var lc net.ListenConfig
	lc.SetMultipathTCP(false) // its sockets take no filter
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		r.check.logf("%s is not silent: %v", address, err)
		return
	}
	setDropAll(l.(*net.TCPListener))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = append(r.silent, l)
}

// lose loses a disk for a time, and the power of all instances with it if power is set. It
// does nothing if no disk may be lost within a time.
func (r *Run) lose(ctx context.Context, l loss, power bool, d, wait time.Duration) {
	if !r.takeDisk(ctx, l.lost, l.successor, wait) {
		r.check.logf("not done, as it is gone or another disk is lost: %s", l.what)
		return
	}
	if l.afterAck {
		r.operator.awaitAck(ctx, ackLimit)
	}
	if power {
		r.losePower(ctx, d, &l)
		return
	}
	r.during(ctx, d, l.what, l.begin, func() {
		l.end()
		r.awaitUp(ctx, l.started())
	})
}

// started is the instance that starts when the loss ends.
func (l loss) started() *process {
	if l.successor != nil {
		return l.successor
	}
	return l.lost
}

// losePower kills all processes at once, also those that do not count unless l spares them, and
// starts them again after a while. A disk is lost with it if l is not nil.
func (r *Run) losePower(ctx context.Context, d time.Duration, l *loss) {
	what := "lose the power of all instances"
	if l != nil {
		what += ", and " + l.what
		if l.countingOnly {
			what = "lose the power of the control instances that count, and " + l.what
		}
	}
	r.during(ctx, d, what, func() {
		r.power.Lock()
		all := r.everyProcess()
		if l != nil && l.countingOnly {
			all = r.counting()
		}
		for _, p := range all {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range all {
			p.kill()
		}
		if l != nil {
			l.begin()
		}
	}, func() {
		r.power.Unlock()
		if l != nil {
			l.end()
		}
		for _, p := range r.everyProcess() {
			r.restart(p)
		}
		if l != nil {
			r.awaitUp(ctx, l.started())
		}
	})
}

// awaitUp waits until a control instance accepts connections.
func (r *Run) awaitUp(ctx context.Context, p *process) {
	for end := time.Now().Add(upLimit); time.Now().Before(end) && !p.isGone(); {
		if c, err := net.DialTimeout("tcp", p.settings.ControlAddress, time.Second); err == nil {
			_ = c.Close()
			return
		}
		if !sleep(ctx, pollInterval) {
			return
		}
	}
}
