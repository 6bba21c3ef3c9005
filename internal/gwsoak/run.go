package gwsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gentianward.example/gentianward/platform"
	"gentianward.example/gentianward/platform/platformtest"
)

// Options configures a run.
type Options struct {
	// Program is the path of gentianward-soak, whose subcommand instance runs an instance.
	Program string
	// Scenario is what is done; see Scenarios.
	Scenario Scenario
	Seed     uint64
	// For is how long faults are injected. The named scenarios that end by themselves
	// ignore it.
	For time.Duration
	// Sync is the additional time of each sync of control instances, at most promptSync.
	Sync time.Duration
	// Folder receives data folders, settings and logs.
	Folder string
	// Progress, if set, is called about every second.
	Progress func(Progress)
}

// Progress says how far a run is.
type Progress struct {
	Phase      string
	Left       time.Duration // until the faults are expected to end; 0 while the system recovers
	Writes     int
	Violations int
}

// The deployment: zones and the region of each. Two regions are as far apart as those of
// the platform's deployments.
var (
	zones   = [...]string{"gangnam", "mapo", "haeundae"}
	regions = map[string]string{"gangnam": "seoul", "mapo": "seoul", "haeundae": "busan"}
)

const (
	localDelay       = time.Millisecond
	regionDelay      = 30 * time.Millisecond
	regionRate       = 20 << 20 // bytes per second and direction of a link between regions
	startLimit       = 20 * time.Second
	minEntries       = 3
	moreEntries      = 4 // 3 to 6 entry instances
	minGroups        = 2
	moreGroups       = 2 // 2 or 3 groups
	sessionsPerGroup = 4
	maxFiles         = 4096
	firstAddress     = 11
	entryAddress     = 21
	listenOffset     = 100 // from an announced to a listening address
	platformAddress  = 9
	firstPromotePort = 10
	serverAddress    = 40
	successorAddress = 61
	maxSuccessors    = 30
)

// Run is one deployment and everything around it.
type Run struct {
	o        Options
	rand     *rand.Rand
	check    *Checker
	network  *Network
	api      platformtest.PromoteAPI
	groups   []*platformtest.Group
	entries  []*process
	platform netip.AddrPort
	server   http.Server
	prefix   string
	port     int
	operator *operator
	wg       sync.WaitGroup

	// power is locked while all instances are without power: none starts.
	power sync.RWMutex

	mu sync.Mutex
	// control has the present control instances, first those in the order of zones. It is
	// replaced, not changed. gone has those that were replaced or removed.
	control, gone []*process
	// seedHistory has the addresses of the control instances after each change.
	seedHistory [][]netip.Addr
	seedsOf     SeedsOf
	silent      []net.Listener // of addresses that are silent for good
	described   int            // number of processes
	successors  int
	joined      int // servers that have joined groups
	redundancy  redundancy
	// calmDisk has the faults of a disk beside other faults; the scenario may set it at its begin.
	calmDisk string
	// onPromote, if set, is called when a control instance opens a connection to the
	// platform.
	onPromote func(p *process)
	// onPause, if set, is called when a replica stops receiving.
	onPause func(group string)
	phase   string
	until   time.Time
	steps   []string
	ready   map[*process]bool
	// lastReady is when an entry instance last answered that it is ready.
	lastReady  map[*process]time.Time
	stoodStill time.Duration // longest time for which the soak itself stood still
	usage      map[*process]usage
	leaverIDs  atomic.Uint64
}

// Play plays a run and reports on it. An error means that it could not start.
func Play(ctx context.Context, o Options) (Report, error) {
	r := &Run{o: o, rand: rand.New(rand.NewPCG(o.Seed, 0)), check: newChecker(), network: newNetwork(), calmDisk: o.Sync.String(), redundancy: newRedundancy(), ready: make(map[*process]bool), lastReady: make(map[*process]time.Time), usage: make(map[*process]usage)}
	if o.Sync > promptSync {
		return Report{}, &Error{Op: "start deployment", Kind: KindInvalid, Err: fmt.Errorf("the bounds apply with syncs of at most %s more", promptSync)}
	}
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer r.close()
	defer cancel()
	r.enter("start", startLimit)
	if err := r.start(ctx); err != nil {
		return Report{}, &Error{Op: "start deployment", Kind: KindStart, Err: err}
	}
	r.wg.Go(func() { r.reportProgress(ctx) })
	if err := r.awaitService(ctx); err != nil {
		return Report{}, &Error{Op: "await service", Kind: KindStart, Err: err}
	}
	r.enter("faults", r.o.For)
	r.o.Scenario.play(ctx, r)
	if ctx.Err() == nil {
		r.settle(ctx)
	}
	cancel()
	r.wg.Wait()
	for _, g := range r.groups {
		r.check.statements.CheckKept(g.Name(), g.Writes())
	}
	return r.report(started), nil
}

func (r *Run) enter(phase string, limit time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase, r.until = phase, time.Now().Add(limit)
	r.check.logf("phase: %s", phase)
}

func (r *Run) reportProgress(ctx context.Context) {
	for sleep(ctx, time.Second) {
		if r.o.Progress == nil {
			continue
		}
		r.mu.Lock()
		p := Progress{Phase: r.phase, Left: max(0, time.Until(r.until))}
		r.mu.Unlock()
		r.check.mu.Lock()
		p.Writes, p.Violations = r.check.counts["writes"], len(r.check.violations)
		r.check.mu.Unlock()
		r.o.Progress(p)
	}
}

// watchItself records how long the soak stood still, as on a busy machine. All links between
// instances pass through it, so that they see this as a cut. It changes no judgement.
func (r *Run) watchItself(ctx context.Context) {
	const interval, least = 20 * time.Millisecond, 300 * time.Millisecond
	for last := time.Now(); sleep(ctx, interval); last = time.Now() {
		still := time.Since(last) - interval
		if still < least {
			continue
		}
		r.check.logf("the soak stood still for %s", still.Round(time.Millisecond))
		r.mu.Lock()
		r.stoodStill = max(r.stoodStill, still)
		r.mu.Unlock()
	}
}

// sleep waits and returns false if ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *Run) address(last int) netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("%s.%d", r.prefix, last))
}

// start starts the platform, the servers and the processes, and publishes the first
// configuration.
func (r *Run) start(ctx context.Context) error {
	if err := r.chooseAddresses(); err != nil {
		return err
	}
	r.api.Called = r.check.called
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.address(platformAddress), r.port))
	if err != nil {
		return err
	}
	r.platform = l.Addr().(*net.TCPAddr).AddrPort()
	r.server = http.Server{Handler: &r.api, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }()
	if err := r.describeProcesses(); err != nil {
		return err
	}
	r.setDisks(r.controls(), r.calmDisk)
	for _, p := range r.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := r.startGroups(); err != nil {
		return err
	}
	r.operator = newOperator(r)
	r.wg.Go(func() { r.operator.run(ctx) })
	r.wg.Go(func() { r.operator.read(ctx) })
	r.wg.Go(func() { r.watchReady(ctx) })
	r.wg.Go(func() { r.watchRedundancy(ctx) })
	r.wg.Go(func() { r.watchItself(ctx) })
	r.wg.Go(func() { r.watchResources(ctx) })
	for _, p := range r.entries {
		r.wg.Go(func() { r.operator.probe(ctx, p) })
	}
	for i, g := range r.groups {
		for n := range sessionsPerGroup {
			c := newCaller(r, g, i*sessionsPerGroup+n)
			r.wg.Go(func() { c.run(ctx) })
		}
	}
	return nil
}

// chooseAddresses chooses a network of loopback addresses and a range of ports that is free
// there.
func (r *Run) chooseAddresses() error {
	const attempts, ports = 50, 4
	for range attempts {
		r.prefix = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		r.port = 20000 + rand.IntN(10000)
		free := true
		for i := range ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.address(firstAddress), r.port+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return nil
		}
	}
	return errors.New("no free port")
}

// controls returns the present control instances.
func (r *Run) controls() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.control
}

func (r *Run) processes() []*process { return slices.Concat(r.controls(), r.entries) }

// everyProcess returns the processes with those that were replaced.
func (r *Run) everyProcess() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Concat(r.control, r.gone, r.entries)
}

// describeProcesses writes the settings of all processes and starts the proxies before them.
func (r *Run) describeProcesses() error {
	var seeds []netip.Addr
	for i, zone := range zones {
		ip := r.address(firstAddress + i)
		seeds = append(seeds, ip)
		p := r.describe(ip, platform.Settings{Name: "control-" + zone, DataCentre: zone, ServesControl: true, ControlAddress: r.controlAddress(ip)})
		r.control = append(r.control, p)
	}
	r.seedHistory = append(r.seedHistory, seeds)
	for i := range minEntries + r.rand.IntN(moreEntries) {
		zone, ip := zones[i%len(zones)], r.address(entryAddress+i)
		p := r.describe(ip, platform.Settings{
			Name: fmt.Sprintf("entry-%s-%d", zone, i/len(zones)+1), DataCentre: zone, ServesCallers: true,
			CallerAddress: fmt.Sprintf("%s:%d", ip, r.port+2), ReadyAddress: fmt.Sprintf("%s:%d", ip, r.port+3),
		})
		r.entries = append(r.entries, p)
	}
	for _, p := range r.processes() {
		if err := r.connect(p); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) controlAddress(ip netip.Addr) string { return fmt.Sprintf("%s:%d", ip, r.port+2) }

// connect starts the proxies before a process and creates its data folder.
func (r *Run) connect(p *process) error {
	s := &p.settings
	r.network.locate(s.IP, s.Region)
	announced, listens := netip.AddrPortFrom(s.IP, uint16(r.port)), netip.MustParseAddrPort(p.peerListen)
	if err := r.network.link(announced, listens); err != nil {
		return err
	}
	r.mu.Lock()
	port := r.port + firstPromotePort + r.described
	r.described++
	r.mu.Unlock()
	s.PromoteAddress = fmt.Sprintf("%s:%d", r.address(platformAddress), port)
	accepted := func() { r.promoteOpened(p) }
	if err := r.network.platformLink(s.PromoteAddress, announced, r.platform, accepted); err != nil {
		return err
	}
	return os.MkdirAll(s.DataFolder, 0o700)
}

func (r *Run) describe(ip netip.Addr, s platform.Settings) *process {
	s.IP, s.Region, s.Regions, s.PeerPort, s.FirstStart, s.MaxFiles, s.Grace = ip, regions[s.DataCentre], regions, r.port, true, maxFiles, platformtest.Grace
	s.DataFolder = filepath.Join(r.o.Folder, s.Name)
	if s.ServesCallers {
		s.MemoryBytes = crowdMemory
	}
	last := int(ip.As4()[3])
	return &process{
		program: r.o.Program, folder: r.o.Folder, settings: s, controlPort: r.port + 2, seeds: r.seeds,
		peerListen: fmt.Sprintf("%s:%d", r.address(last+listenOffset), r.port),
		endedByItself: func(name, cause string) {
			r.check.violate(RuleFault, "", "the process of %s has ended by itself: %s", name, cause)
		},
	}
}

func (r *Run) promoteOpened(p *process) {
	r.mu.Lock()
	f := r.onPromote
	r.mu.Unlock()
	if f != nil {
		f(p)
	}
}

// setOnPromote sets what is done when a control instance opens a connection to the platform.
func (r *Run) setOnPromote(f func(p *process)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onPromote = f
}

func (r *Run) paused(group string) {
	r.mu.Lock()
	f := r.onPause
	r.mu.Unlock()
	if f != nil {
		f(group)
	}
}

// setOnPause sets what is done when a replica stops receiving.
func (r *Run) setOnPause(f func(group string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onPause = f
}

func (r *Run) controlAddresses() []string {
	var out []string
	for _, p := range r.controls() {
		out = append(out, p.settings.ControlAddress)
	}
	return out
}

func (r *Run) startGroups() error {
	for i := range minGroups + r.rand.IntN(moreGroups) {
		o := platformtest.GroupOptions{
			Name: fmt.Sprintf("db%d", i+1), Control: r.controlAddresses, Promoted: r.check.tookEffect, Paused: r.paused, Check: r.check.statements,
			MaxConnections: platformtest.MaxConnections, TooMany: func(string) { r.check.count(countTooMany) },
			ReplicationDelay: func(from, to string) time.Duration {
				if regions[from] == regions[to] {
					return localDelay
				}
				return regionDelay
			},
		}
		for k := range zones {
			o.Zones = append(o.Zones, zones[(i+k)%len(zones)])
			o.Addresses = append(o.Addresses, r.address(serverAddress+i*len(zones)+k).String())
		}
		g, err := platformtest.StartGroup(o)
		if err != nil {
			return err
		}
		r.api.Add(g)
		r.groups = append(r.groups, g)
	}
	return nil
}

// awaitService waits until every group serves writes.
func (r *Run) awaitService(ctx context.Context) error {
	deadline := time.Now().Add(startLimit)
	for time.Now().Before(deadline) {
		if len(r.check.worked()) == len(r.groups) {
			return nil
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("%d of %d groups serve writes after %s", len(r.check.worked()), len(r.groups), startLimit)
}

// close ends all processes of the run, by their ids, and everything else.
func (r *Run) close() {
	for _, p := range r.everyProcess() {
		p.kill()
	}
	for _, l := range r.silent {
		_ = l.Close()
	}
	for _, g := range r.groups {
		g.Close()
	}
	_ = r.server.Close()
	r.network.close()
	r.wg.Wait()
}
