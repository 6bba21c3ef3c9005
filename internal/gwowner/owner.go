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
	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwtelemetry"
	"gentianward.example/gentianward/pkg/gwlimit"
	"gentianward.example/gentianward/pkg/gwmember"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Leases gives access to the write leases of this instance.
type Leases interface {
	// Valid reports whether writes to group may be acknowledged now under term.
	Valid(group string, term uint64) bool
	// Grant identifies the current grant of the group's lease, 0 if there is none.
	// It changes whenever another instance may have held the lease in between.
	Grant(group string) uint64
	// GiveUp stops the use of the group's lease at once and returns it to the leader.
	GiveUp(ctx context.Context, group string)
}

// Metrics receives measurements of an owner.
type Metrics interface {
	// QueueWait is the time that a request waited for a slot.
	QueueWait(class, group string, d time.Duration)
	// ConfirmWait is the time from a commit to its confirmation by a replica.
	ConfirmWait(class, group string, d time.Duration)
}

// SpeedMetrics is implemented by Metrics that also receive refusals and the speeds of servers.
type SpeedMetrics interface {
	// SlotRefused counts a request that got no slot, with the reason.
	SlotRefused(class, reason string)
	// Gauge adds a metric whose value is read from f.
	Gauge(name string, f func() float64, labels ...gwtelemetry.Label)
}

// SuspectFunc reports to the leader of the replicated log that a group needs another
// primary, because the present one fails or is leaving.
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
	// RecordCopies makes the leader record servers that may confirm writes, before a write is
	// acknowledged; nil if the leader is to find them by itself.
	RecordCopies RecordCopiesFunc
	// HandOver is how long open transactions may delay the handover of a released
	// primary before they are rolled back; 0 for the drain limit of the manifest.
	HandOver time.Duration
	// Freshness is the interval at which the owner of a replica asks for the primary's
	// position; 0 for 200 ms.
	Freshness time.Duration
	// Poll is the interval at which a server that reports no position by itself is
	// asked for one; 0 for the default of gwbackend.
	Poll time.Duration
	// DialTimeout bounds the time to open a connection to a server; 0 for the default
	// of gwbackend.
	DialTimeout time.Duration
	// Settle and SettleFar are how long an instance must have been a member before it
	// owns servers of its own and of other data centres, respectively; 0 for at once.
	Settle, SettleFar time.Duration
	// InContact reports whether the leader can be reached; nil means always.
	InContact func() bool
	// FreshWithoutLease lets replicas serve reads that accept staleness while nobody that can
	// be reached holds the lease, for as long as two of three copies show how fresh they are.
	// No write may be acknowledged without a replica: either each class asks for one, or the
	// servers answer no write before one has confirmed it.
	FreshWithoutLease bool
	// Dialect is the dialect of the backend servers; nil for that of the stand-in.
	Dialect gwbackend.Dialect
	// BackendOptions returns the connection options of a server, such as its user.
	BackendOptions func(f gwcontrol.ServerFacts) gwbackend.Options
	// PeerMemory has the memory of large requests of other instances, and AnswerMemory that of
	// large answers to them; nil for no bound.
	PeerMemory, AnswerMemory *gwbudget.Pool
	// Unreadable records requests of other instances that cannot be decoded; nil for none.
	Unreadable *gwtelemetry.Unreadable
	// AckGuard keeps the positions of acknowledged writes at a second instance.
	AckGuard AckGuard
	// EstimateSpeed makes the owner estimate the speed of its servers and use as many of their slots
	// as serve most.
	EstimateSpeed bool
}

// Owner holds the backend servers that this instance owns.
type Owner struct {
	node          *gwpeer.Node
	clock         clockwork.Clock
	log           *slog.Logger
	views         *gwcontrol.Views
	directory     *gwcontrol.Directory
	members       *gwcontrol.Membership
	leases        Leases
	metrics       Metrics
	reportSuspect SuspectFunc
	startGroup    func(ctx context.Context, a gwcontrol.Announcement) error
	recordCopies  RecordCopiesFunc
	guard         AckGuard
	// present returns this instance and all that are live.
	present func() (self gwmember.Member, live []gwmember.Member)
	// storeAck stores a record at another instance.
	storeAck          func(ctx context.Context, m gwmember.Member, r gwcontrol.AckRecord) error
	dialect           gwbackend.Dialect
	inContact         func() bool
	freshWithoutLease bool
	handOver          time.Duration
	freshnessInterval time.Duration
	pollInterval      time.Duration
	dialTimeout       time.Duration
	settle            time.Duration
	settleFar         time.Duration
	// joinedAt is when this instance was first seen as a member; mu guards it.
	joinedAt time.Time
	// standstill tells the silence of a server from a pause of this process.
	standstill     standstill
	backendOptions func(f gwcontrol.ServerFacts) gwbackend.Options
	unreadable     *gwtelemetry.Unreadable
	estimateSpeed  bool
	peerMemory     *gwbudget.Pool
	answerMemory   *gwbudget.Pool

	attempts attempts
	// backups holds the backups of acknowledged positions by group; mu guards it.
	backups map[string]*ackBackup

	mu      sync.RWMutex
	servers map[string]*server
	// draining holds the released servers that still have requests in progress. The
	// lease of a primary among them is kept until these have ended.
	draining map[*server]bool
	released bool
	closing  sync.WaitGroup
	ctx      context.Context
}

// New returns an Owner without servers and registers its handlers at the node.
func New(ctx context.Context, o Options) *Owner {
	owner := &Owner{
		node: o.Node, clock: o.Clock, log: o.Log, views: o.Views, directory: o.Directory,
		members: o.Members, leases: o.Leases, metrics: o.Metrics, reportSuspect: o.Suspect,
		startGroup: o.StartGroup, recordCopies: o.RecordCopies, guard: o.AckGuard, dialect: o.Dialect, inContact: o.InContact, freshWithoutLease: o.FreshWithoutLease, handOver: o.HandOver,
		freshnessInterval: cmp.Or(o.Freshness, defaultFreshnessInterval), pollInterval: o.Poll,
		dialTimeout: o.DialTimeout, settle: o.Settle, settleFar: o.SettleFar, backendOptions: o.BackendOptions, unreadable: o.Unreadable,
		estimateSpeed: o.EstimateSpeed, peerMemory: o.PeerMemory, answerMemory: o.AnswerMemory,
		servers: make(map[string]*server), draining: make(map[*server]bool), ctx: ctx,
	}
	owner.present = func() (gwmember.Member, []gwmember.Member) {
		t := o.Members.Topology()
		return t.Self, t.Live
	}
	owner.storeAck = func(ctx context.Context, m gwmember.Member, r gwcontrol.AckRecord) error {
		_, err := gwpeer.Call[gwcontrol.AckRecord, gwcontrol.Empty](ctx, o.Node, m.Address, gwcontrol.KindStoreAck, r)
		return err
	}
	owner.register()
	return owner
}

func (o *Owner) server(name string) *server {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.servers[name]
}

// beginRequest returns an owned server after adding a request to its active ones, or
// nil if the server is not owned, as after its release.
func (o *Owner) beginRequest(name string) *server {
	o.mu.RLock()
	defer o.mu.RUnlock()
	s := o.servers[name]
	if s != nil {
		s.active.Add(1)
	}
	return s
}

func (o *Owner) ownedServers() []*server {
	o.mu.RLock()
	defer o.mu.RUnlock()
	out := make([]*server, 0, len(o.servers))
	for _, s := range o.servers {
		out = append(out, s)
	}
	return out
}

// Primaries returns the terms of the groups whose primary this instance owns,
// including primaries that are draining, by group.
func (o *Owner) Primaries() map[string]uint64 {
	groups := o.views.Current().Groups
	out := make(map[string]uint64)
	for _, s := range append(o.ownedServers(), o.drainingServers()...) {
		if g := groups[s.facts().Group]; g.Primary == s.facts().Server && !g.Changing {
			out[g.Group] = g.Term
		}
	}
	return out
}

func (o *Owner) drainingServers() []*server {
	o.mu.RLock()
	defer o.mu.RUnlock()
	out := make([]*server, 0, len(o.draining))
	for s := range o.draining {
		out = append(out, s)
	}
	return out
}

// Intervals and bounds of Run.
const (
	// maxMinIdle bounds the idle connections that are kept open to each server.
	maxMinIdle        = 8
	reconcileInterval = 500 * time.Millisecond
	superviseInterval = 100 * time.Millisecond
	// defaultFreshnessInterval is the interval at which the owner of a replica asks for
	// the primary's position.
	defaultFreshnessInterval = 200 * time.Millisecond
)

// Run opens and releases servers so that this instance owns those that it should, and
// supervises them. When ctx ends it closes all connections and returns.
func (o *Owner) Run(ctx context.Context) {
	reconcile := o.clock.NewTicker(reconcileInterval)
	defer reconcile.Stop()
	supervise := o.clock.NewTicker(superviseInterval)
	defer supervise.Stop()
	for {
		members, servers, view := o.members.Changed(), o.directory.Changed(), o.views.Changed()
		o.reconcile()
		select {
		case <-ctx.Done():
			o.closeAll()
			return
		case <-members:
		case <-servers:
			o.recordCopiesOfPrimaries()
		case <-view:
			o.recordCopiesOfPrimaries()
			o.superviseAll(ctx)
		case <-reconcile.Chan():
		case <-supervise.Chan():
			o.superviseAll(ctx)
		}
	}
}

func (o *Owner) reconcile() {
	o.recordJoin()
	for _, s := range o.ownedServers() {
		if _, known := o.directory.Server(s.facts().Server); !known {
			o.release(s, false) // others have replaced it at its address
		}
	}
	for _, f := range o.directory.All() {
		f, known := o.directory.Server(f.Server) // Gone also if only the facts of others say so
		if !known {
			continue // dropped meanwhile
		}
		s := o.server(f.Server)
		switch owned := o.owns(f); {
		case owned && s == nil:
			o.open(f)
		case !owned && s != nil:
			o.release(s, false)
		case owned && s.facts() != f:
			o.update(s, f)
		}
	}
}

func (o *Owner) open(f gwcontrol.ServerFacts) {
	ctx, cancel := context.WithCancel(o.ctx)
	s := &server{owner: o, cancel: cancel, admission: newAdmission(o.clock, max(1, f.Slots))}
	s.known.Store(&f)
	if o.estimateSpeed {
		s.speed = newSpeed(f.Slots)
		o.exposeSpeed(f.Server)
	}
	opts := o.backendOptions(f)
	opts.OnPosition = nil
	s.backend = gwbackend.NewServer(gwbackend.ServerOptions{Dialect: o.dialect, PollInterval: o.pollInterval, Pool: gwbackend.PoolOptions{
		Options: opts, DialTimeout: o.dialTimeout, Limit: o.connectionLimit(f), MinIdle: min(max(1, f.Slots), maxMinIdle), Shared: hasCustomers(o.views.Current()), Clock: o.clock, Logger: o.log,
	}})
	s.confirm = newConfirmer(o.clock, o.Await, func() []string { return o.replicas(f.Group, f.Server) })
	s.applyLimits(o.views.Current())
	o.mu.Lock()
	released := o.released
	if !released {
		o.servers[f.Server] = s
	}
	o.mu.Unlock()
	if released { // in the meantime
		cancel()
		_ = s.backend.Close(ctx)
		return
	}
	o.log.Info("backend server owned", "server", f.Server, "group", f.Group, "address", f.Address)
	go s.followView(ctx)
}

// release hands a server over to its new owner: no request is admitted any more, and
// the connections are closed as their requests end. Run and Release may both release
// a server; the second call has no effect. keepLease keeps the lease of a primary that is
// opened again.
func (o *Owner) release(s *server, keepLease bool) {
	o.mu.Lock()
	if o.servers[s.facts().Server] != s {
		o.mu.Unlock()
		return
	}
	delete(o.servers, s.facts().Server)
	o.draining[s] = true
	// Under the lock, so that no Add is concurrent with Release's Wait.
	o.closing.Add(1)
	o.mu.Unlock()
	s.admission.close()
	s.cancel()
	o.log.Info("backend server released", "server", s.facts().Server, "group", s.facts().Group)
	go func() {
		defer o.closing.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), o.drainLimit())
		defer cancel()
		s.awaitActive(ctx)
		if g := s.group(); g.Primary == s.facts().Server && o.handOver > 0 {
			s.endTransactions(ctx)
		}
		if err := s.backend.Close(ctx); err != nil {
			o.log.Warn("connections to backend server closed with requests in flight", "server", s.facts().Server, "error", err)
		}
		// The commit of a transaction may have returned its connection to the pool and
		// still wait for its confirmation, which needs the lease.
		s.awaitActive(ctx)
		o.mu.Lock()
		delete(o.draining, s)
		o.mu.Unlock()
		if g := s.group(); g.Primary == s.facts().Server && !keepLease {
			o.leases.GiveUp(ctx, s.facts().Group)
		}
	}()
}

// activePollInterval is the interval at which a released server is checked for
// unanswered requests and open transactions.
const activePollInterval = 2 * time.Millisecond

// awaitActive waits until all requests have been answered or ctx ends.
func (s *server) awaitActive(ctx context.Context) {
	for s.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-s.owner.clock.After(activePollInterval):
		}
	}
}

// update applies changed facts. A server with another address, group or birth time is
// released and opened again, as it needs new connections. The lease of a primary that only
// has another address is kept: once given up, it is not requested again for a second, in
// which all writes would be refused.
func (o *Owner) update(s *server, f gwcontrol.ServerFacts) {
	old := s.facts()
	sameRun := f.Group == old.Group && f.Born == old.Born
	if f.Address != old.Address || !sameRun {
		o.release(s, sameRun)
		o.open(f)
		return
	}
	s.known.Store(&f)
	s.backend.Pool().SetLimit(o.connectionLimit(f))
	s.applyLimits(o.views.Current())
}

// Release hands all servers over and waits until their requests have ended or ctx ends.
func (o *Owner) Release(ctx context.Context) {
	o.mu.Lock()
	o.released = true
	o.mu.Unlock()
	for _, s := range o.ownedServers() {
		o.release(s, false)
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

// closeAll closes all connections at once, without waiting for requests.
func (o *Owner) closeAll() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range append(o.ownedServers(), o.drainingServers()...) {
		s.cancel()
		_ = s.backend.Close(ctx)
	}
	o.closing.Wait()
}

// followView applies the limits of every new manifest to the server until ctx ends.
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
		classes = append(classes, gwlimit.Class{Name: c.Name, Weight: max(1, c.Weight) * gwlimit.PriorityWeight(c.Priority), Queue: c.Queue, Concurrency: c.Concurrency})
	}
	s.backend.Pool().SetShared(hasCustomers(v))
	s.admission.setLimits(max(1, s.facts().Slots), classes, customerWeights(v.Manifest.Manifest()))
	s.setSpeedSlots(max(1, s.facts().Slots))
	s.backend.Pool().SetLimit(s.owner.connectionLimit(s.facts()))
}

// Await waits, through the owner of a server, until the server has reached p, and
// returns the server's position.
func (o *Owner) Await(ctx context.Context, name string, p gwsession.Position) (gwsession.Position, error) {
	if s := o.server(name); s != nil {
		r, err := s.backend.WaitPosition(ctx, p)
		return r.Position, err
	}
	address, err := o.ownerAddress(name)
	if err != nil {
		return gwsession.Position{}, err
	}
	return gwpeer.Call[awaitRequest, gwsession.Position](ctx, o.node, address, gwcontrol.KindAwait, awaitRequest{Server: name, Position: p})
}

// Barrier asks the owner of the group's primary for a position that covers
// every write acknowledged before the call.
func (o *Owner) Barrier(ctx context.Context, group string) (gwsession.Position, error) {
	a, err := o.askPrimary(ctx, barrierRequest{Group: group})
	return a.Position, err
}

// askPrimary sends r to the owner of the group's primary, which may be this instance.
func (o *Owner) askPrimary(ctx context.Context, r barrierRequest) (barrierResponse, error) {
	g, ok := o.views.Current().Groups[r.Group]
	if !ok {
		return barrierResponse{}, &gwcontrol.Error{Op: "request barrier", Kind: gwcontrol.UnknownServer, Detail: "group " + r.Group + " has no primary yet"}
	}
	if s := o.server(g.Primary); s != nil {
		return s.answerBarrier(ctx, r)
	}
	address, err := o.ownerAddress(g.Primary)
	if err != nil {
		return barrierResponse{}, err
	}
	return gwpeer.Call[barrierRequest, barrierResponse](ctx, o.node, address, gwcontrol.KindBarrier, r)
}

// ownerAddress returns the peer address of the other instance that owns a server.
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

// ServerNames returns the sorted names of the owned servers.
func (o *Owner) ServerNames() []string {
	var out []string
	for _, s := range o.ownedServers() {
		out = append(out, s.facts().Server)
	}
	slices.Sort(out)
	return out
}
