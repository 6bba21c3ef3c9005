package gwowner

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwlimit"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Leases tells which write leases this instance holds.
type Leases interface {
	// Valid reports whether writes to group may be acknowledged at term now.
	Valid(group string, term uint64) bool
	// Grant identifies the present grant of the group's lease, 0 if there is none.
	// It changes when another instance may have held the lease meanwhile.
	Grant(group string) uint64
	// GiveUp ends the use of the group's lease at once and returns it.
	GiveUp(ctx context.Context, group string)
}

// Metrics receives measurements of an owner.
type Metrics interface {
	// QueueWait is the time that a request waited for a slot.
	QueueWait(class, group string, d time.Duration)
	// ConfirmWait is the time from a commit to its confirmation by a replica.
	ConfirmWait(class, group string, d time.Duration)
}

// SuspectFunc reports to the leader of the replicated log that a primary
// cannot be reached or is leaving.
type SuspectFunc func(ctx context.Context, group string, term uint64, reason string)

// Options configures an Owner.
type Options struct {
	Node      *gwpeer.Node
	Clock     clockwork.Clock
	Log       *slog.Logger
	Views     *gwcontrol.Views
	Directory *gwcontrol.Directory
	Members   *gwcontrol.Membership
	Leases    Leases
	Metrics   Metrics
	Suspect   SuspectFunc
	// StartGroup reports the first primary of a group to the leader; nil where
	// announcements carry the term and position that the leader needs for this.
	StartGroup func(ctx context.Context, a gwcontrol.Announcement) error
	// HandOver is how long open transactions may keep a released primary from its
	// new owner; 0 for as long as a graceful stop may take.
	HandOver time.Duration
	// Freshness is how often the owner of a replica asks for the primary's position;
	// 0 for the default.
	Freshness time.Duration
	// Poll is how often a server that reports no position by itself is asked for
	// one; 0 for the default.
	Poll time.Duration
	// DialTimeout bounds the time for a new connection to a server; 0 for the
	// default of gwbackend.
	DialTimeout time.Duration
	// Settle and SettleFar are how long after it has joined an instance owns servers
	// of its own and of other data centres; 0 for at once.
	Settle, SettleFar time.Duration
	// InContact reports whether the leader can be reached; nil for always.
	InContact func() bool
	// Dialect is that of the backend servers; nil for the stand-in's.
	Dialect gwbackend.Dialect
	// BackendOptions returns the connection options of a server, such as its user.
	BackendOptions func(f gwcontrol.ServerFacts) gwbackend.Options
}

// Owner holds the backend servers that this instance owns.
type Owner struct {
	node      *gwpeer.Node
	clock     clockwork.Clock
	log       *slog.Logger
	views     *gwcontrol.Views
	directory *gwcontrol.Directory
	members   *gwcontrol.Membership
	leases    Leases
	metrics   Metrics
	suspected SuspectFunc
	start     func(ctx context.Context, a gwcontrol.Announcement) error
	dialect   gwbackend.Dialect
	inContact func() bool
	handOver  time.Duration
	freshness time.Duration
	poll      time.Duration
	dialTime  time.Duration
	settle    time.Duration
	settleFar time.Duration
	// joinedAt is when this instance was first seen as a member; mu guards it.
	joinedAt time.Time
	connect  func(f gwcontrol.ServerFacts) gwbackend.Options

	mu      sync.RWMutex
	servers map[string]*server
	// draining holds released servers whose work has not ended; the lease of a
	// primary among them is kept until it has.
	draining map[*server]bool
	released bool
	closing  sync.WaitGroup
	ctx      context.Context
}

// New returns an owner of no servers and registers its handlers at the node.
func New(ctx context.Context, o Options) *Owner {
	w := &Owner{
		node: o.Node, clock: o.Clock, log: o.Log, views: o.Views, directory: o.Directory,
		members: o.Members, leases: o.Leases, metrics: o.Metrics, suspected: o.Suspect, start: o.StartGroup, dialect: o.Dialect, inContact: o.InContact, handOver: o.HandOver,
		freshness: cmp.Or(o.Freshness, freshnessInterval), poll: o.Poll, dialTime: o.DialTimeout, settle: o.Settle, settleFar: o.SettleFar, connect: o.BackendOptions,
		servers: make(map[string]*server), draining: make(map[*server]bool), ctx: ctx,
	}
	w.register()
	return w
}

func (o *Owner) server(name string) *server {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.servers[name]
}

// begin returns an owned server with a request counted as active, nil if the
// server is not owned. A released server gets no further request.
func (o *Owner) begin(name string) *server {
	o.mu.RLock()
	defer o.mu.RUnlock()
	s := o.servers[name]
	if s != nil {
		s.active.Add(1)
	}
	return s
}

func (o *Owner) all() []*server {
	o.mu.RLock()
	defer o.mu.RUnlock()
	out := make([]*server, 0, len(o.servers))
	for _, s := range o.servers {
		out = append(out, s)
	}
	return out
}

// Primaries returns the groups whose primary this instance owns, with their terms.
func (o *Owner) Primaries() map[string]uint64 {
	groups := o.views.Current().Groups
	out := make(map[string]uint64)
	for _, s := range append(o.all(), o.allDraining()...) {
		if g := groups[s.facts.Group]; g.Primary == s.facts.Server && !g.Changing {
			out[g.Group] = g.Term
		}
	}
	return out
}

func (o *Owner) allDraining() []*server {
	o.mu.RLock()
	defer o.mu.RUnlock()
	out := make([]*server, 0, len(o.draining))
	for s := range o.draining {
		out = append(out, s)
	}
	return out
}

// Intervals and bounds of the controller.
const (
	// maxWarm bounds the connections that are kept open without work.
	maxWarm           = 8
	reconcileInterval = 500 * time.Millisecond
	superviseInterval = 100 * time.Millisecond
	// freshnessInterval is how often the primary's owner is asked for its position.
	freshnessInterval = 200 * time.Millisecond
)

// Run keeps the owned servers equal to those that this instance should own,
// and supervises them, until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	reconcile := o.clock.NewTicker(reconcileInterval)
	defer reconcile.Stop()
	fresh := o.clock.NewTicker(superviseInterval)
	defer fresh.Stop()
	for {
		members, servers, view := o.members.Changed(), o.directory.Changed(), o.views.Changed()
		o.reconcile()
		select {
		case <-ctx.Done():
			o.cutAll()
			return
		case <-members:
		case <-servers:
		case <-view:
			o.superviseAll(ctx)
		case <-reconcile.Chan():
		case <-fresh.Chan():
			o.superviseAll(ctx)
		}
	}
}

func (o *Owner) reconcile() {
	for _, f := range o.directory.All() {
		s := o.server(f.Server)
		switch owned := o.owns(f); {
		case owned && s == nil:
			o.open(f)
		case !owned && s != nil:
			o.release(s)
		case owned && s.facts != f:
			o.update(s, f)
		}
	}
}

func (o *Owner) open(f gwcontrol.ServerFacts) {
	ctx, cancel := context.WithCancel(o.ctx)
	s := &server{owner: o, facts: f, cancel: cancel, admission: newAdmission(o.clock, max(1, f.Slots))}
	opts := o.connect(f)
	opts.OnPosition = nil
	s.backend = gwbackend.NewServer(gwbackend.ServerOptions{Dialect: o.dialect, PollInterval: o.poll, Pool: gwbackend.PoolOptions{
		Options: opts, DialTimeout: o.dialTime, Limit: o.connections(f), MinIdle: min(max(1, f.Slots), maxWarm), Clock: o.clock, Logger: o.log,
	}})
	s.confirm = newConfirmer(o.clock, o.Await, func() []string { return o.replicas(f.Group, f.Server) })
	s.applyLimits(o.views.Current())
	o.mu.Lock()
	released := o.released
	if !released {
		o.servers[f.Server] = s
	}
	o.mu.Unlock()
	if released { // since the caller looked
		cancel()
		_ = s.backend.Close(ctx)
		return
	}
	o.log.Info("backend server owned", "server", f.Server, "group", f.Group, "address", f.Address)
	go s.followView(ctx)
}

// release hands a server over to its new owner: nothing new is admitted, and
// the connections are closed as their work ends. Run and Release may both
// release a server; the second call does nothing.
func (o *Owner) release(s *server) {
	o.mu.Lock()
	if o.servers[s.facts.Server] != s {
		o.mu.Unlock()
		return
	}
	delete(o.servers, s.facts.Server)
	o.draining[s] = true
	// Under the lock, so that no Add is concurrent with Release's Wait.
	o.closing.Add(1)
	o.mu.Unlock()
	s.admission.close()
	s.cancel()
	o.log.Info("backend server released", "server", s.facts.Server, "group", s.facts.Group)
	go func() {
		defer o.closing.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), o.drainLimit())
		defer cancel()
		s.awaitActive(ctx)
		if g := s.group(); g.Primary == s.facts.Server && o.handOver > 0 {
			s.endTransactions(ctx)
		}
		if err := s.backend.Close(ctx); err != nil {
			o.log.Warn("backend server closed with work in flight", "server", s.facts.Server, "error", err)
		}
		// The last commit of a transaction has given its connection back and may
		// still wait for its confirmation, which needs the lease.
		s.awaitActive(ctx)
		o.mu.Lock()
		delete(o.draining, s)
		o.mu.Unlock()
		if g := s.group(); g.Primary == s.facts.Server {
			o.leases.GiveUp(ctx, s.facts.Group)
		}
	}()
}

// activePoll is how often a released server is checked for unanswered requests.
const activePoll = 2 * time.Millisecond

// awaitActive waits until every request has been answered or ctx ends.
func (s *server) awaitActive(ctx context.Context) {
	for s.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-s.owner.clock.After(activePoll):
		}
	}
}

// update applies changed facts. A new address or group needs new connections.
func (o *Owner) update(s *server, f gwcontrol.ServerFacts) {
	if f.Address != s.facts.Address || f.Group != s.facts.Group || f.Born != s.facts.Born {
		o.release(s)
		o.open(f)
		return
	}
	s.setFacts(f)
	s.backend.Pool().SetLimit(o.connections(f))
	s.applyLimits(o.views.Current())
}

// Release hands every server over and waits until their work has ended or ctx ends.
func (o *Owner) Release(ctx context.Context) {
	o.mu.Lock()
	o.released = true
	o.mu.Unlock()
	for _, s := range o.all() {
		o.release(s)
	}
	done := make(chan struct{})
	go func() {
		o.closing.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// cutAll closes all connections at once.
func (o *Owner) cutAll() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range append(o.all(), o.allDraining()...) {
		s.cancel()
		_ = s.backend.Close(ctx)
	}
	o.closing.Wait()
}

// replicas returns the names of the group's servers other than primary.
func (o *Owner) replicas(group, primary string) []string {
	var out []string
	for _, f := range o.directory.Group(group) {
		if f.Server != primary && !f.Gone {
			out = append(out, f.Server)
		}
	}
	return out
}

func (o *Owner) drainLimit() time.Duration {
	if m := o.views.Current().Manifest; m != nil {
		return m.Manifest().Limits.Drain.Duration
	}
	return defaultDrain
}

func (o *Owner) idleLimit() time.Duration {
	if m := o.views.Current().Manifest; m != nil {
		return m.Manifest().Limits.IdleTransaction.Duration
	}
	return defaultIdle
}

// keyExpiry returns how long request keys are kept, 0 before a manifest is known and
// for servers whose dialect is not the stand-in's: the keys need SQL.
func (o *Owner) keyExpiry() time.Duration {
	if o.dialect != nil {
		return 0
	}
	if m := o.views.Current().Manifest; m != nil {
		return m.Manifest().Limits.RequestKeyExpiry.Duration
	}
	return 0
}

// Limits used before a manifest is known.
const (
	defaultDrain = 10 * time.Second
	defaultIdle  = time.Minute
)

// followView applies the limits of each new manifest to the server.
func (s *server) followView(ctx context.Context) {
	for {
		changed := s.owner.views.Changed()
		s.applyLimits(s.owner.views.Current())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *server) applyLimits(v *gwcontrol.View) {
	if v.Manifest == nil {
		return
	}
	var classes []gwlimit.Class
	for _, c := range v.Manifest.Manifest().Classes {
		classes = append(classes, gwlimit.Class{Name: c.Name, Weight: c.Weight, Queue: c.Queue, Concurrency: c.Concurrency})
	}
	s.admission.setLimits(max(1, s.slots()), classes)
	s.mu.Lock()
	facts := s.facts
	s.mu.Unlock()
	s.backend.Pool().SetLimit(s.owner.connections(facts))
}

func (s *server) slots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.facts.Slots
}

func (s *server) setFacts(f gwcontrol.ServerFacts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.facts = f
}

// Await waits until a replica has reached p, at its owner, and returns its position.
func (o *Owner) Await(ctx context.Context, name string, p gwsession.Position) (gwsession.Position, error) {
	if s := o.server(name); s != nil {
		r, err := s.backend.WaitPosition(ctx, p)
		return r.Position, err
	}
	address, err := o.ownerAddress(name)
	if err != nil {
		return gwsession.Position{}, err
	}
	return gwpeer.Call[await, gwsession.Position](ctx, o.node, address, gwcontrol.KindAwait, await{Server: name, Position: p})
}

// Barrier asks the owner of the group's primary for a position that covers
// every write acknowledged before the call.
func (o *Owner) Barrier(ctx context.Context, group string) (gwsession.Position, error) {
	a, err := o.askPrimary(ctx, barrier{Group: group})
	return a.Position, err
}

// askPrimary asks the owner of the group's primary for its position.
func (o *Owner) askPrimary(ctx context.Context, r barrier) (barrierAnswer, error) {
	g, ok := o.views.Current().Groups[r.Group]
	if !ok {
		return barrierAnswer{}, &gwcontrol.Error{Op: "barrier", Kind: gwcontrol.UnknownServer, Detail: "group " + r.Group + " has no primary yet"}
	}
	if s := o.server(g.Primary); s != nil {
		return s.answerBarrier(ctx, r)
	}
	address, err := o.ownerAddress(g.Primary)
	if err != nil {
		return barrierAnswer{}, err
	}
	return gwpeer.Call[barrier, barrierAnswer](ctx, o.node, address, gwcontrol.KindBarrier, r)
}

// ownerAddress returns the peer address of the instance that owns a server.
func (o *Owner) ownerAddress(name string) (string, error) {
	f, ok := o.directory.Server(name)
	if !ok {
		return "", &gwcontrol.Error{Op: "find owner", Kind: gwcontrol.UnknownServer, Detail: name}
	}
	t := o.members.Topology()
	m, ok := t.Owner(o.directory, name, f.DataCentre, o.views.Current().Region(f.DataCentre))
	if !ok || m.Instance == t.Self.Instance {
		return "", &gwcontrol.Error{Op: "find owner", Kind: gwcontrol.UnknownServer, Detail: name + " is not owned yet"}
	}
	return m.Address, nil
}

// ServerNames returns the names of the owned servers in order.
func (o *Owner) ServerNames() []string {
	var out []string
	for _, s := range o.all() {
		out = append(out, s.facts.Server)
	}
	slices.Sort(out)
	return out
}
