package gwmember

import (
	"slices"
	"time"
)

// Members is the membership state of one instance. It is not safe for
// concurrent use.
type Members struct {
	cfg     Config
	self    *entry
	table   *table
	version Version
	leaving bool

	sequence uint32
	lastTick time.Time
	actions  []Action

	watched        []*entry // the members that this instance watches
	watchedStale   bool
	alert          bool // a member of the own data centre was suspected shortly before, see raiseAlert
	alertUntil     time.Time
	overlay        overlay
	overlayRing    []*entry // the ring that overlay was computed from
	nextRandom     time.Time
	forwardedPings map[uint32]forwardedPing
	suspectedBy    map[string]time.Time // members that suspect this instance, and when their last suspicion arrived

	local      queue // updates to send within the own data centre
	remote     queue // updates about the own data centre to send to the others
	nextGossip time.Time

	wasRelay        bool
	lastDeath       time.Time // when a row last changed to dead
	recentDeaths    int       // number of recent deaths when this relay last looked
	nextViewRefresh time.Time
	nextViewMerge   time.Time
	nextLocalSync   time.Time
	nextRemoteSync  time.Time
	nextSeedSync    time.Time
	nextReconnect   time.Time
	reconnects      int            // reconnect attempts so far
	formerPeers     []string       // addresses of the lost members whose rows were removed last
	known           []KnownAddress // addresses to try, those of live members and recently lost ones first
	knownSearch     knownSearchState
	reunion         reunion
	claims          []claim
	nextSweep       time.Time
	nextAhead       time.Time
	seedIndex       int
	joined          bool
	joinedWith      *entry    // the member through which this instance joined
	settleUntil     time.Time // see settling, zero if over
	joinSyncsLeft   int       // table comparisons left to complete the join
	differsSince    time.Time // since when no digest received from the data centre equals the own one
}

// New returns the membership state of an instance that knows only itself. Call
// cfg.Self.Check first: peers ignore a member that fails it.
func New(cfg Config) *Members {
	m := &Members{
		cfg:            cfg.withDefaults(),
		table:          newTable(),
		forwardedPings: make(map[uint32]forwardedPing),
		suspectedBy:    make(map[string]time.Time),
		joined:         len(cfg.Seeds) == 0,
	}
	m.self = m.table.put(cfg.Self, StatusAlive, time.Time{})
	m.AddKnown(cfg.Known)
	m.enqueue(m.self)
	m.watchedStale = true
	return m
}

// Tick does the work that is due and returns the actions for the caller. Call it every
// DefaultTick or more often.
func (m *Members) Tick(now time.Time) []Action {
	m.begin(now)
	m.handleStall(now)
	m.lastTick = now
	m.checkAlert(now)
	m.refreshWatched(now)
	m.probe(now)
	m.checkClaims(now)
	m.pingRandom(now)
	m.searchKnown(now)
	m.reconnect(now)
	m.gossip(now)
	m.runRelay(now)
	m.sync(now)
	m.sweep(now)
	return m.finish()
}

// Receive handles a message from an instance that the transport authenticated.
func (m *Members) Receive(from string, msg Message, now time.Time) []Action {
	if from == m.self.Instance {
		return nil
	}
	m.begin(now)
	unknown := m.State(from) == StatusUnknown
	introduce := !m.State(from).Live() || m.misjudgedBy(msg)
	m.applyAll(from, msg, now)
	sender := m.table.rows[from]
	if sender != nil {
		m.observeSender(sender, msg, now)
	}
	switch msg.Kind {
	case KindPing:
		m.onPing(sender, msg, introduce)
		if unknown && sender != nil && m.joinSyncsLeft == 0 {
			m.reunite(sender, now)
		}
	case KindAck:
		m.onAck(from, msg, now)
		if introduce && sender != nil && sender.status.Live() {
			m.reunite(sender, now)
		}
	case KindIndirectPing:
		m.onIndirectPing(sender, msg, now)
	case KindSync:
		m.onSync(sender, msg)
	case KindSyncPage:
		m.onSyncPage(sender, msg, now)
	}
	return m.finish()
}

// Leave announces a planned stop. Keep calling Tick for a few gossip intervals, so that
// the announcement is repeated.
func (m *Members) Leave(now time.Time) []Action {
	m.begin(now)
	relay := m.IsRelay()
	m.contacts()
	m.leaving = true
	m.setRow(m.self.Member, StatusLeft, now)
	if relay {
		m.remote.add(m.self)
	}
	m.gossipNow()
	m.relayUpdates()
	return m.finish()
}

// SetVersion sets the version to include in messages.
func (m *Members) SetVersion(v Version) { m.version = v }

// Self returns this instance with its current incarnation.
func (m *Members) Self() Member { return m.self.Member }

// Live returns the alive and suspect members of all data centres as last known, ordered
// by name. The caller must not modify the slice; later calls return a new one instead of
// modifying it.
func (m *Members) Live() []Member {
	if m.table.live == nil {
		live := make([]Member, 0, len(m.table.rows))
		for _, e := range m.table.rows {
			if e.status.Live() {
				live = append(live, e.Member)
			}
		}
		slices.SortFunc(live, func(a, b Member) int {
			if a.Instance < b.Instance {
				return -1
			}
			return 1
		})
		m.table.live = live
	}
	return m.table.live
}

// Reachable reports whether a data centre can be reached from the own one.
func (m *Members) Reachable(dataCentre string) bool {
	dc, ok := m.table.dataCentres[dataCentre]
	return ok && !dc.unreachable
}

// State returns the status of an instance.
func (m *Members) State(instance string) Status {
	e, ok := m.table.rows[instance]
	if !ok {
		return StatusUnknown
	}
	return e.status
}

// Member returns an instance as last known, and false if it is unknown.
func (m *Members) Member(instance string) (Member, bool) {
	e, ok := m.table.rows[instance]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// IsRelay reports whether this instance is a relay of its data centre.
func (m *Members) IsRelay() bool { return m.isRelay(m.self) }

// Joined reports whether the instance has received a peer's member table. It is true from
// the start if there are no seeds.
func (m *Members) Joined() bool { return m.joined }

func (m *Members) isRelay(e *entry) bool {
	return slices.Contains(m.table.relays(e.DataCentre, m.cfg.Relays), e)
}

func (m *Members) begin(now time.Time) {
	m.actions = nil
	if m.lastTick.IsZero() {
		m.startTimers(now)
	}
}

// startTimers staggers the timers of an instance, so that instances that start at the same
// time do not probe in lockstep.
func (m *Members) startTimers(now time.Time) {
	m.lastTick = now
	m.nextRandom = now.Add(m.jitter(m.cfg.ProbeInterval))
	m.nextLocalSync = now.Add(m.jitter(m.cfg.SyncInterval))
	m.nextRemoteSync = now.Add(m.jitter(m.cfg.SyncInterval))
	m.nextSeedSync = now
	m.nextReconnect = now.Add(m.jitter(reconnectInterval))
	m.nextSweep = now.Add(m.jitter(sweepInterval))
}

func (m *Members) finish() []Action {
	out := m.actions
	m.actions = nil
	return out
}

func (m *Members) jitter(d time.Duration) time.Duration {
	return time.Duration(m.cfg.Rand.Int64N(int64(d) + 1))
}

// handleStall ignores the silence of peers during a stall of this process.
func (m *Members) handleStall(now time.Time) {
	gap := now.Sub(m.lastTick)
	if gap < stallThreshold {
		return
	}
	for _, e := range m.watched {
		m.clearSuspicion(e, now)
		e.watch.reset(now)
	}
	for _, dc := range m.table.dataCentres {
		if !dc.lastHeard.IsZero() {
			dc.lastHeard = dc.lastHeard.Add(gap)
		}
	}
}

// send sends a message with piggybacked updates, digests and the version.
func (m *Members) send(to *entry, msg Message) {
	q := &m.local
	switch {
	case to.DataCentre == m.self.DataCentre:
		msg.DigestSum = m.table.digest.fold()
	case m.wasRelay:
		q = &m.remote
		msg.DigestSum = m.table.scopedDigest(m.self.DataCentre).fold()
		msg.DataCentreHash = m.table.dataCentreHash()
	default:
		q = &m.remote
	}
	q.fill(&msg, m.transmitLimit())
	m.sendTo(to.Address, msg)
}

func (m *Members) sendTo(address string, msg Message) {
	msg.Version = m.version
	m.addAges(msg.Updates)
	m.actions = append(m.actions, SendMessage{To: address, Message: msg})
}

// addAges sets the ages of dead and departed members. With the time of its arrival, each
// instance that joined would keep a row for the whole lifetime of a tombstone and pass it on to
// those that join after it, so that no row would ever be removed from all tables.
func (m *Members) addAges(updates []Update) {
	for i := range updates {
		u := &updates[i]
		e := m.table.rows[u.Member.Instance]
		if u.Status.Live() || e == nil || e.status != u.Status || e.Incarnation != u.Member.Incarnation {
			continue
		}
		u.Age = uint32(max(0, min(m.lastTick.Sub(e.since), 2*m.cfg.TombstoneLifetime)) / time.Second)
	}
}

func (m *Members) nextSequence() uint32 {
	m.sequence++
	return m.sequence
}

// observeSender handles what a message contains about its sender: its data centre, digests
// and version.
func (m *Members) observeSender(sender *entry, msg Message, now time.Time) {
	if sender.DataCentre != m.self.DataCentre {
		m.observeRemoteSender(sender, msg, now)
	} else {
		m.observeLocalSender(sender, msg, now)
	}
	if msg.Version.Ahead(m.version) && !now.Before(m.nextAhead) {
		m.nextAhead = now.Add(aheadInterval)
		m.actions = append(m.actions, PeerAhead{Member: sender.Member, Version: msg.Version})
	}
}

// sweep removes expired tombstones from the digest and later from the table.
func (m *Members) sweep(now time.Time) {
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(sweepInterval)
	for _, e := range m.table.rows {
		if e.status.Live() {
			continue
		}
		age := now.Sub(e.since)
		switch {
		case age > 2*m.cfg.TombstoneLifetime && e != m.self:
			m.rememberPeer(e)
			m.table.remove(e)
		case age > m.cfg.TombstoneLifetime && e.hash != 0:
			m.table.updateDigest(e, false)
		}
	}
	for id, f := range m.forwardedPings {
		if now.Sub(f.sentAt) > sweepInterval {
			delete(m.forwardedPings, id)
		}
	}
}
