package gwdaemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwfilter"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwquotas"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/internal/gwwire"
	"gentianward.example/gentianward/pkg/gwmember"
	"gentianward.example/gentianward/pkg/gwquorum"
	"gentianward.example/gentianward/pkg/gwsession"
)

// tokenLifetime is the validity of a session token.
const tokenLifetime = 24 * time.Hour

// backendUser is the user name of connections to backend servers.
const backendUser = "gentianward"

// Instance is one running instance.
type Instance struct {
	Options

	node         *gwpeer.Node
	views        *gwcontrol.Views
	directory    *gwcontrol.Directory
	heartbeats   *gwcontrol.Heartbeats
	acks         *gwcontrol.Acks
	disseminator *gwcontrol.Disseminator
	members      *gwcontrol.Membership
	consensus    *gwcontrol.Consensus
	leader       *gwcontrol.Leader
	client       *gwcontrol.Client
	leases       *joinedLeases
	owner        *gwowner.Owner
	quotas       *gwquotas.Service // nil with Options.ControlOnly
	entry        *gwfilter.Entry
	pgServer     *gwwire.Server // nil with Options.ServeCallers or ControlOnly
	callers      CallerServer   // nil with Options.ControlOnly
	operator     *http.Server
	// operatorConnections and handshakes bound connections of clients that are not authenticated.
	operatorConnections, handshakes *gwbudget.Connections
	viewStore                       *viewStore
	log                             *gwstore.Log

	cancel context.CancelFunc
	wg     sync.WaitGroup
	// failed receives the error of a part that cannot continue.
	failed chan error

	mu             sync.Mutex
	stopping       bool
	startingGroups map[string]bool
}

// Start starts an instance. It serves callers as soon as it has a manifest.
func Start(ctx context.Context, o Options) (*Instance, error) {
	i := &Instance{Options: o, views: gwcontrol.NewViews(o.Format), directory: gwcontrol.NewDirectory(), startingGroups: make(map[string]bool), failed: make(chan error, 1)}
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	i.cancel = cancel
	if err := i.start(run); err != nil {
		cancel()
		if i.node != nil {
			_ = i.node.Close()
		}
		return nil, err
	}
	return i, nil
}

func (i *Instance) start(ctx context.Context) error {
	s := i.Settings
	i.handshakes = gwbudget.NewConnections("handshakes", i.MaxHandshakes, true, i.Budget)
	node, err := gwpeer.Listen(ctx, gwpeer.Options{Handshakes: i.handshakes, Address: s.PeerAddress, ListenAddress: i.PeerListenAddress, TLS: i.TLS, Instance: s.Instance, Logger: i.Log, Shaper: i.Shaper, FixedPacketSize: i.Tuning.FixedPacketSize, Transport: i.Tuning.Transport})
	if err != nil {
		return err
	}
	i.node = node
	if err := i.loadView(); err != nil {
		return err
	}
	i.joinMembers()
	if err := i.startVoter(); err != nil {
		return err
	}
	i.buildControl(ctx)
	var cutOff func() bool
	if i.RequireLeader {
		cutOff = i.client.CutOff
	}
	pull := i.client.PullNewest
	if i.KeysValid > 0 {
		pull = i.client.ConfirmNewest
	}
	i.entry = gwfilter.New(gwfilter.Options{
		LeaderLost: cutOff,
		Node:       node, Clock: i.Clock, Log: i.Log, Views: i.views, Directory: i.directory, Members: i.members,
		Budget: i.Budget,
		Owner:  i.owner, Signer: gwsession.NewSigner(tokenLifetime, i.SessionKey), Observer: i.Telemetry, Quota: i.entryQuota(),
		PullManifest: pull, KeysValid: i.KeysValid,
	})
	if err := i.listen(ctx); err != nil {
		return err
	}
	i.exposeState()
	i.exposeConnections()
	i.run(ctx)
	return nil
}

func (i *Instance) joinMembers() {
	s := i.Settings
	self := gwmember.Member{
		Instance: s.Instance, DataCentre: s.DataCentre, Region: s.Region, Address: i.node.Address(),
		OperatorAddress: s.OperatorAddress, Incarnation: uint64(i.timeOfDay().UnixMilli()), ControlOnly: i.ControlOnly,
	}
	i.disseminator = gwcontrol.NewDisseminator(i.node, i.Clock, i.Log, i.views, i.directory)
	i.members = gwcontrol.NewMembership(i.node, i.Clock, i.Log, gwmember.Config{Self: self, Seeds: s.Seeds, Known: i.loadKnown()}, i.disseminator.PeerAhead)
	i.members.SetOwnerDelay(i.Tuning.Settle)
	i.disseminator.Attach(i.members)
	i.heartbeats = gwcontrol.NewHeartbeats(i.node, i.Clock)
}

func (i *Instance) timeOfDay() time.Time {
	if i.WallClock == nil {
		return time.Now()
	}
	return i.WallClock.Now()
}

// startVoter opens the replicated log if this instance has a data folder. Unless it is
// one of the initial voters, it takes part once the leader has added it.
func (i *Instance) startVoter() error {
	if i.FS == nil || i.Settings.DataFolder == "" {
		return nil
	}
	log, err := gwstore.Open(i.FS, i.Settings.DataFolder)
	if err != nil {
		return err
	}
	i.log = log
	identity := gwcontrol.IdentityOptions{
		Instance: i.Settings.Instance, Node: i.node, Clock: i.Clock, FS: i.FS, Folder: i.Settings.DataFolder,
		StoreEmpty: log.Empty(), InitialVoters: i.initialVoters(),
	}
	i.consensus = gwcontrol.NewConsensus(gwcontrol.ConsensusOptions{
		Instance: i.Settings.Instance, Node: i.node, Clock: i.Clock, Log: i.Log, Store: log,
		Heartbeat: i.Tuning.Heartbeat, State: gwstate.New(i.Settings.MaxClockDrift), Address: i.voterAddress, OnApplied: i.updateView,
		Identity: func(ctx context.Context) (gwcontrol.Identity, error) { return gwcontrol.LoadIdentity(ctx, identity) },
	})
	i.consensus.ServeIdentity(!identity.StoreEmpty, len(identity.InitialVoters) > 0)
	i.leader = gwcontrol.NewLeader(i.node, i.consensus)
	return nil
}

// initialVoters returns the peer addresses of the voters of a first start by instance.
func (i *Instance) initialVoters() map[string]string {
	if i.InitialManifest == nil && i.InitialVoters != nil {
		return i.InitialVoters
	}
	out := make(map[string]string)
	if i.InitialManifest != nil {
		for _, v := range i.InitialManifest.Voters {
			out[v.Instance] = v.Address
		}
	}
	return out
}

// manifestOrInitial returns the manifest in force, else the initial manifest, else nil.
func (i *Instance) manifestOrInitial() *gwmanifest.Index {
	if m := i.views.Current().Manifest; m != nil {
		return m
	}
	if i.InitialManifest != nil {
		return i.InitialManifest.WithDefaults().Index()
	}
	return nil
}

// voterAddress returns the peer address of a voter.
func (i *Instance) voterAddress(instance string) (string, bool) {
	if i.VoterAddress != nil {
		if m, ok := i.members.Topology().Member(instance); ok {
			return m.Address, true
		}
		return i.VoterAddress(instance)
	}
	m := i.manifestOrInitial()
	if m == nil {
		return "", false
	}
	v, ok := m.Voter(instance)
	return v.Address, ok
}

func (i *Instance) buildControl(ctx context.Context) {
	s := i.Settings
	i.client = gwcontrol.NewClient(i.node, i.Clock, i.Log, i.members, i.views, i.leader)
	i.leases = &joinedLeases{clock: i.Clock, members: i.members, start: func(epoch uint64) *gwcontrol.LeaseKeeper {
		return gwcontrol.NewLeaseKeeper(i.client, i.Clock, i.Log, s.Instance, epoch, s.MaxClockDrift, func() map[string]uint64 { return i.owner.Primaries() })
	}}
	i.acks = gwcontrol.NewAcks(i.node, s.Instance, i.leases.Valid)
	var guard gwowner.AckGuard
	if i.Tuning.GuardAcks {
		guard = gwowner.AckGuard{Acks: i.acks, Epoch: i.leases.epoch, Voters: i.client.Voters}
	}
	i.owner = gwowner.New(ctx, gwowner.Options{
		Node: i.node, Clock: i.Clock, Log: i.Log, Views: i.views, Directory: i.directory, Members: i.members,
		Leases: i.leases, Metrics: i.Telemetry, Suspect: i.client.Suspect, BackendOptions: i.backendOptions,
		Dialect: i.Dialect, StartGroup: i.client.StartGroup, RecordCopies: i.client.RecordCopies, AckGuard: guard, InContact: i.contactCheck(), HandOver: i.HandOver,
		Freshness: i.Tuning.Freshness, Poll: i.Tuning.Poll, Settle: i.Tuning.Settle, SettleFar: i.Tuning.SettleFar, EstimateSpeed: i.Tuning.EstimateSpeed,
		DialTimeout: i.Tuning.DialTimeout, FreshWithoutLease: i.Tuning.FreshWithoutLease, Unreadable: i.Unreadable,
		PeerMemory: i.Budget.PeerPool(), AnswerMemory: i.Budget.AnswerPool(),
	})
	if i.leader != nil {
		i.leader.Attach(i.owner, i.client, i.Telemetry.FailoverGap)
		i.leader.UseDirectory(i.directory)
		i.leader.UseHeartbeats(i.heartbeats, i.node)
		i.leader.UseAcks(i.acks, i.node)
		i.leader.UsePromoter(i.Promoter, i.Telemetry.PlatformCall)
		if i.NamedByAddress {
			i.leader.AssumeExclusiveNames()
		}
		i.leader.ServeQuotas(i.node, i.Quota)
	}
	i.buildQuotas()
	i.serveAnnouncements()
	i.serveOperators()
}

func (i *Instance) backendOptions(f gwcontrol.ServerFacts) gwbackend.Options {
	database := f.Group
	if m := i.views.Current().Manifest; m != nil {
		if g, ok := m.GroupByName(f.Group); ok {
			database = g.Database
		}
	}
	return gwbackend.Options{Name: f.Server, Address: f.Address, User: backendUser, Database: database, DialContext: i.DialBackend}
}

func (i *Instance) listen(ctx context.Context) error {
	s := i.Settings
	operators, err := net.Listen("tcp", s.OperatorAddress)
	if err != nil {
		return err
	}
	if !i.ControlOnly {
		if err := i.serveCallers(ctx); err != nil {
			_ = operators.Close()
			return err
		}
	}
	routes := i.Routes
	if routes == nil {
		routes = (*Instance).routes
	}
	i.operatorConnections = gwbudget.NewConnections("operators", i.MaxOperators, true, i.Budget)
	i.operator = gwbudget.HTTPServer(i.Budget.LimitBodies(routes(i)))
	i.wg.Go(func() { i.serveOperator(i.operatorConnections.Listen(operators)) })
	return nil
}

func (i *Instance) serveOperator(l net.Listener) {
	if err := i.operator.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		i.Log.Error("operator listener failed", "error", err.Error())
		i.failed <- err
	}
}

// serveCallers listens on the callers' address and serves callers.
func (i *Instance) serveCallers(ctx context.Context) error {
	s := i.Settings
	callers, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return err
	}
	if i.ServeCallers != nil {
		i.callers = i.ServeCallers(ctx, callers, i.entry)
		return nil
	}
	i.pgServer, err = gwwire.Serve(ctx, gwwire.Options{
		Listener: callers, TLS: i.CallerTLS, Handler: i.entry, LookupCredential: i.entry.Lookup, TrustLoopback: s.TrustLoopback,
		Logger: i.Log, CancelForwarder: i, CancelPrefix: cancelPrefix(s.Instance),
	})
	if err != nil {
		return err
	}
	i.callers = i.pgServer
	i.serveCancels()
	return nil
}

func (i *Instance) run(ctx context.Context) {
	i.wg.Go(func() { i.members.Run(ctx) })
	i.wg.Go(func() { i.disseminator.Run(ctx) })
	i.wg.Go(func() { i.owner.Run(ctx) })
	i.wg.Go(func() { i.leases.Run(ctx) })
	i.wg.Go(func() { i.watchView(ctx) })
	i.wg.Go(func() { i.entry.Run(ctx) })
	if i.quotas != nil {
		i.wg.Go(func() { i.quotas.Run(ctx) })
	}
	if i.viewStore != nil {
		i.wg.Go(func() { i.watchDirectory(ctx) })
		i.wg.Go(func() { i.watchKnown(ctx) })
	}
	if i.RequireLeader {
		i.wg.Go(func() { i.client.MonitorContact(ctx, func(in bool) { i.onContactChange(ctx, in) }) })
	}
	if i.consensus != nil {
		i.wg.Go(func() { _ = i.consensus.Run(ctx) })
		i.wg.Go(func() { i.leader.Run(ctx) })
		i.wg.Go(func() { i.publishInitialManifest(ctx) })
	}
}

// AddSeeds adds peer addresses of instances through which this one may join the others.
func (i *Instance) AddSeeds(addresses []string) { i.members.AddSeeds(addresses) }

// Failed returns a channel that receives an error if a part of the instance cannot continue.
// The process should then stop and be started again.
func (i *Instance) Failed() <-chan error { return i.failed }

// CallerAddress returns the address that callers connect to.
func (i *Instance) CallerAddress() string { return i.callers.Address().String() }

// PeerAddress returns the address that other instances connect to.
func (i *Instance) PeerAddress() string { return i.node.Address() }

// Name returns the name of the instance.
func (i *Instance) Name() string { return i.Settings.Instance }

// View returns the replicated state as this instance knows it.
func (i *Instance) View() *gwcontrol.View { return i.views.Current() }

// Members returns the live instances that this one can reach.
func (i *Instance) Members() []gwmember.Member { return i.members.Topology().Live }

// MemberState returns the status of an instance as this one sees it.
func (i *Instance) MemberState(instance string) gwmember.Status { return i.members.State(instance) }

// Leading reports whether this instance leads the replicated log.
func (i *Instance) Leading() bool { return i.consensus != nil && i.consensus.Leading() }

// Leases returns the groups whose write lease this instance holds.
func (i *Instance) Leases() []string {
	var out []string
	for group, term := range i.owner.Primaries() {
		if i.leases.Valid(group, term) {
			out = append(out, group)
		}
	}
	return out
}

// DrainLimit returns the longest duration of a graceful stop.
func (i *Instance) DrainLimit() time.Duration {
	if m := i.manifestOrInitial(); m != nil {
		return m.Manifest().Limits.Drain.Duration
	}
	return gwmanifest.DefaultDrain
}

// Block drops all packets from and to another instance, or ends this.
func (i *Instance) Block(peerAddress string, blocked bool) { i.node.Block(peerAddress, blocked) }

// Ready reports whether the instance can serve callers.
func (i *Instance) Ready() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.stopping && i.views.Current().Manifest != nil && (!i.RequireLeader || i.client.InContact())
}

// Stop is a graceful shutdown. Requests in flight are finished, ownership and leases move
// to other instances, then the links are closed. When ctx ends, the remaining steps are
// cut short.
func (i *Instance) Stop(ctx context.Context) error {
	i.mu.Lock()
	i.stopping = true
	i.mu.Unlock()
	i.members.Leave()
	if i.quotas != nil {
		i.quotas.Release()
	}
	if i.consensus != nil && i.consensus.Leading() {
		i.consensus.TransferLeadership(ctx)
	}
	var err error
	if i.callers != nil {
		select {
		case <-ctx.Done():
		case <-i.Clock.After(i.StopDelay):
		}
		err = i.callers.Drain(ctx)
	}
	i.owner.Release(ctx)
	i.leases.Stop(ctx)
	select {
	case <-ctx.Done():
	case <-i.Clock.After(linkCloseDelay):
	}
	i.tearDown()
	return err
}

// linkCloseDelay is the time between the last answer and the close of the links. Three
// gossip intervals let the answer arrive and let all peers learn that the instance has
// left, so that they do not declare it dead.
const linkCloseDelay = 3 * gwmember.DefaultGossipInterval

// Kill ends the instance at once, as a crash would: it does not leave, return leases or
// finish requests.
func (i *Instance) Kill() {
	for _, m := range i.members.Topology().Live {
		i.node.Block(m.Address, true)
	}
	i.tearDown()
}

// tearDown stops all parts without any message to other instances.
func (i *Instance) tearDown() {
	i.cancel()
	_ = i.operator.Close()
	_ = i.node.Close()
	i.wg.Wait()
	if i.log != nil {
		i.log.Close()
	}
}

// ServerCount returns the number of backend servers of a group in the directory.
func (i *Instance) ServerCount(group string) int { return len(i.directory.Group(group)) }

// VoterStatus returns the status of this instance as a voter. It returns false if the
// instance has no replicated log.
func (i *Instance) VoterStatus() (gwquorum.Status, bool) {
	if i.consensus == nil {
		return gwquorum.Status{}, false
	}
	return i.consensus.Status(), true
}

// OwnedServers returns the names of the backend servers that this instance owns.
func (i *Instance) OwnedServers() []string { return i.owner.ServerNames() }
