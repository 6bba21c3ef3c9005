package gwcontrol

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwlease"
	"gentianward.example/gentianward/pkg/gwmember"
)

// Topology is a snapshot of the live instances that this instance can reach. Only its
// internal cache of owners changes.
type Topology struct {
	Self gwmember.Member
	Live []gwmember.Member
	// Forward holds the members of the own data centre that this instance passes changes on
	// to. Relays holds the relays of each other reachable data centre, and IsRelay is
	// whether this instance is one of the own.
	Forward   []gwmember.Member
	Relays    [][]gwmember.Member
	IsRelay   bool
	byName    map[string]gwmember.Member
	regions   map[string]string
	placement *gwlease.Placement

	mu sync.Mutex
	// spread caches the result of gwlease.Placement.Spread by data centre.
	spread map[string]spreadOwners
}

// spreadOwners holds the owners of a data centre's servers, computed from one snapshot
// of the directory.
type spreadOwners struct {
	snapshot *directorySnapshot
	owners   map[string]string
}

// newTopology returns a topology in which owners may own backend servers.
func newTopology(self gwmember.Member, live, owners []gwmember.Member) *Topology {
	t := &Topology{
		Self:      self,
		Live:      live,
		byName:    make(map[string]gwmember.Member, len(live)),
		regions:   make(map[string]string),
		spread:    make(map[string]spreadOwners),
		placement: gwlease.NewPlacement(owners),
	}
	for _, m := range live {
		t.byName[m.Instance] = m
		t.regions[m.DataCentre] = m.Region
	}
	return t
}

// Member returns the live member with the given name.
func (t *Topology) Member(instance string) (gwmember.Member, bool) {
	m, ok := t.byName[instance]
	return m, ok
}

// Owner returns the instance that owns a backend server, which may depend on the other
// servers of its data centre in d. region is used when no instance of the data centre is
// reachable.
func (t *Topology) Owner(d *Directory, server, dataCentre, region string) (gwmember.Member, bool) {
	if name, ok := t.spreadOwner(d, server, dataCentre); ok {
		return t.Member(name)
	}
	name, ok := t.placement.Owner(server, dataCentre, region)
	if !ok {
		return gwmember.Member{}, false
	}
	return t.Member(name)
}

// spreadOwner returns the owner of a server as gwlease.Placement.Spread distributes
// the servers of its data centre, and false if Spread does not apply to the data centre
// or the directory does not know the server.
func (t *Topology) spreadOwner(d *Directory, server, dataCentre string) (string, bool) {
	snapshot := d.current.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.spread[dataCentre]
	if !known || s.snapshot != snapshot {
		owners, _ := t.placement.Spread(snapshot.inDataCentre(dataCentre), dataCentre)
		s = spreadOwners{snapshot: snapshot, owners: owners}
		t.spread[dataCentre] = s
	}
	name, ok := s.owners[server]
	return name, ok
}

// Membership runs the failure detection of one instance.
type Membership struct {
	node  *gwpeer.Node
	clock clockwork.Clock
	log   *slog.Logger
	// ahead is called when a peer has a newer version of the replicated state.
	ahead func(gwmember.PeerAhead)

	mu       sync.Mutex
	members  *gwmember.Members
	changed  chan struct{}
	topology atomic.Pointer[Topology]
	// publishedAt is when the topology was last replaced, and stale means that members
	// have changed since.
	publishedAt time.Time
	stale       bool
	alone       aloneReport
	returned    returned
}

// topologyInterval is the least time between two replacements of the topology because of
// new members. When all instances start, each one learns of hundreds of members in hundreds
// of steps, and a topology is as large as the member table. The loss of a member takes
// effect at once, as its servers need another owner.
const topologyInterval = 100 * time.Millisecond

// NewMembership returns a membership that knows only cfg.Self and joins through cfg.Seeds.
func NewMembership(node *gwpeer.Node, clock clockwork.Clock, log *slog.Logger, cfg gwmember.Config, ahead func(gwmember.PeerAhead)) *Membership {
	m := &Membership{node: node, clock: clock, log: log, ahead: ahead, members: gwmember.New(cfg), changed: make(chan struct{}), alone: aloneReport{log: log}}
	alone := []gwmember.Member{cfg.Self}
	m.topology.Store(newTopology(cfg.Self, alone, m.returned.owners(alone)))
	gwpeer.HandleDatagram(node, kindMember, m.receive)
	return m
}

// SetOwnerDelay sets how long a member that was lost must be live again before it is given
// backend servers; 0 for at once. Call it before Run.
func (m *Membership) SetOwnerDelay(d time.Duration) { m.returned.delay = d }

// Topology returns the reachable live instances.
func (m *Membership) Topology() *Topology { return m.topology.Load() }

// Changed returns a channel that is closed at the next change of the topology.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// SetVersion sets the version of the replicated state that messages carry.
func (m *Membership) SetVersion(v gwmember.Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.SetVersion(v)
}

// Run runs the failure detection until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	ticker := m.clock.NewTicker(gwmember.DefaultTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			m.step(func() []gwmember.Action { return m.members.Tick(m.clock.Now()) })
			m.reportAlone()
		}
	}
}

func (m *Membership) reportAlone() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alone.update(len(m.members.Live()), m.members.Tried, m.clock.Now())
}

// AddSeeds adds peer addresses to join through.
func (m *Membership) AddSeeds(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.AddSeeds(addresses)
}

// AddKnown adds addresses to try, as Known returned them in an earlier run.
func (m *Membership) AddKnown(addresses []gwmember.KnownAddress) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.AddKnown(addresses)
}

// Known returns the addresses to try in a later run.
func (m *Membership) Known() []gwmember.KnownAddress {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Known()
}

// Leave announces a planned stop. Run must continue for a few ticks, so that the others
// receive it.
func (m *Membership) Leave() {
	m.step(func() []gwmember.Action { return m.members.Leave(m.clock.Now()) })
}

// State returns the status of an instance according to this one.
func (m *Membership) State(instance string) gwmember.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.State(instance)
}

// Lost reports whether an instance is dead or in an unreachable data centre. One
// that has left in a planned stop is not lost.
func (m *Membership) Lost(instance string) bool {
	if _, live := m.Topology().Member(instance); live {
		return false
	}
	return m.State(instance) != gwmember.StatusLeft
}

// Joined reports whether this instance has joined the others.
func (m *Membership) Joined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Joined()
}

// Self returns this instance with its current incarnation.
func (m *Membership) Self() gwmember.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Self()
}

// Relay reports whether this instance is a relay of its data centre.
func (m *Membership) Relay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.IsRelay()
}

func (m *Membership) receive(from string, msg gwmember.Message) {
	m.step(func() []gwmember.Action { return m.members.Receive(from, msg, m.clock.Now()) })
}

// step runs one transition of the failure detector and performs its actions without
// holding the lock.
func (m *Membership) step(f func() []gwmember.Action) {
	actions := m.transition(f)
	m.logChanges(actions)
	for _, a := range actions {
		m.perform(a)
	}
}

// transition runs one transition and publishes the topology if it is due.
func (m *Membership) transition(f func() []gwmember.Action) []gwmember.Action {
	m.mu.Lock()
	defer m.mu.Unlock() // a panic that a message causes ends only its handler
	actions := f()
	now := m.clock.Now()
	for _, a := range actions {
		if c, ok := a.(gwmember.MemberChanged); ok {
			m.returned.observe(c.Member.Instance, c.Status, now)
		}
	}
	settled := m.returned.settle(now)
	m.stale = m.stale || settled || slices.ContainsFunc(actions, changesTopology)
	urgent := settled || slices.ContainsFunc(actions, removesMembers)
	if m.stale && (urgent || now.Sub(m.publishedAt) >= topologyInterval) {
		m.stale, m.publishedAt = false, now
		m.publishTopology()
	}
	return actions
}

// maxChangeLines is the number of member changes in one step that get a log line each.
const maxChangeLines = 4

// logChanges logs the member changes of one step, or their number if there are many, as
// when an instance receives the table of a large deployment.
func (m *Membership) logChanges(actions []gwmember.Action) {
	var changes []gwmember.MemberChanged
	for _, a := range actions {
		if c, ok := a.(gwmember.MemberChanged); ok {
			changes = append(changes, c)
		}
	}
	if len(changes) <= maxChangeLines {
		for _, c := range changes {
			m.log.Info("member changed", "member", c.Member.Instance, "status", c.Status.String(), "incarnation", c.Member.Incarnation)
		}
		return
	}
	byStatus := make(map[string]int)
	for _, c := range changes {
		byStatus[c.Status.String()]++
	}
	m.log.Info("members changed", "changes", len(changes), "byStatus", byStatus)
}

func changesTopology(a gwmember.Action) bool {
	switch a.(type) {
	case gwmember.MemberChanged, gwmember.DataCentreChanged:
		return true
	default:
		return false
	}
}

// removesMembers reports whether a member has left or died, or a data centre has become
// reachable or unreachable.
func removesMembers(a gwmember.Action) bool {
	switch a := a.(type) {
	case gwmember.MemberChanged:
		return !a.Status.Live()
	case gwmember.DataCentreChanged:
		return true
	default:
		return false
	}
}

// publishTopology replaces the topology and notifies the readers; the caller holds the lock.
func (m *Membership) publishTopology() {
	self := m.members.Self()
	var live []gwmember.Member
	for _, v := range m.members.Live() {
		if v.DataCentre == self.DataCentre || m.members.Reachable(v.DataCentre) {
			live = append(live, v)
		}
	}
	t := newTopology(self, live, m.returned.owners(live))
	t.Forward, t.Relays, t.IsRelay = m.members.Forward(), m.members.RemoteRelays(), m.members.IsRelay()
	m.topology.Store(t)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Membership) perform(a gwmember.Action) {
	switch a := a.(type) {
	case gwmember.SendMessage:
		if err := m.node.SendDatagram(a.To, kindMember, a.Message); err != nil {
			m.log.Debug("membership message not sent", "to", a.To, "error", err)
		}
	case gwmember.MemberChanged: // logged by logChanges
		if a.Status == gwmember.StatusAlive {
			m.node.ExpectUp(a.Member.Address)
		}
	case gwmember.DataCentreChanged:
		m.log.Info("data centre reachability changed", "dataCentre", a.DataCentre, "reachable", a.Reachable)
	case gwmember.PartFound:
		m.log.Info("another part of the deployment found", "member", a.Member.Instance, "dataCentre", a.Member.DataCentre, "incarnation", a.Member.Incarnation)
	case gwmember.UpdateSkipped:
		m.log.Warn("entry of a peer's member table skipped", "from", a.From, "error", a.Err.Error())
	case gwmember.PeerAhead:
		m.ahead(a)
	}
}
