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
	out      []Action

	watched    []*entry // the members that this one watches
	watchStale bool
	nextRandom time.Time
	forwarded  map[uint32]forward
	accusers   map[string]time.Time // who suspects this instance

	local      queue // updates for the own data centre
	remote     queue // updates of the own data centre for the others
	nextGossip time.Time

	wasRelay      bool
	nextView      time.Time
	nextReach     time.Time
	nextSync      time.Time
	nextFarSync   time.Time
	nextSeed      time.Time
	nextReconnect time.Time
	nextSweep     time.Time
	nextAhead     time.Time
	seed          int
	joined        bool
	unsettled     int       // comparisons left to confirm the join
	differs       time.Time // since when no table in the data centre equals the own one
}

// New returns the state of an instance that knows only itself. Check cfg.Self
// first; a member that fails the check is rejected by its peers.
func New(cfg Config) *Members {
	m := &Members{
		cfg:       cfg.withDefaults(),
		table:     newTable(),
		forwarded: make(map[uint32]forward),
		accusers:  make(map[string]time.Time),
		joined:    len(cfg.Seeds) == 0,
	}
	m.self = m.table.put(cfg.Self, StatusAlive, time.Time{})
	m.enqueue(m.self)
	m.watchStale = true
	return m
}

// Tick advances timers. Call it every DefaultTick or more often.
func (m *Members) Tick(now time.Time) []Action {
	m.begin(now)
	m.checkStall(now)
	m.lastTick = now
	m.refreshWatched(now)
	m.probe(now)
	m.pingRandom(now)
	m.gossip(now)
	m.relay(now)
	m.sync(now)
	m.sweep(now)
	return m.finish()
}

// Receive handles a message from an instance that the link authenticated.
func (m *Members) Receive(from string, msg Message, now time.Time) []Action {
	if from == m.self.Instance {
		return nil
	}
	m.begin(now)
	m.applyAll(from, msg, now)
	sender := m.table.rows[from]
	if sender != nil {
		m.heard(sender, msg, now)
	}
	switch msg.Kind {
	case KindPing:
		m.answerPing(sender, msg)
	case KindAck:
		m.acknowledged(from, msg, now)
	case KindIndirectPing:
		m.forwardPing(sender, msg, now)
	case KindSync:
		m.answerSync(sender, msg)
	case KindSyncPage:
		m.paged(sender, msg, now)
	}
	return m.finish()
}

// Leave announces a planned stop. Keep ticking for a few gossip intervals so
// that the announcement is repeated.
func (m *Members) Leave(now time.Time) []Action {
	m.begin(now)
	relay := m.IsRelay()
	m.leaving = true
	m.set(m.self.Member, StatusLeft, now)
	if relay {
		m.remote.add(m.self)
	}
	m.gossipNow()
	m.relayUpdates()
	return m.finish()
}

// SetVersion sets the version that messages carry.
func (m *Members) SetVersion(v Version) { m.version = v }

// Self returns this instance with its current incarnation.
func (m *Members) Self() Member { return m.self.Member }

// Live returns the alive and suspect members in all data centres with their
// last known state, ordered by name. The caller must not change the slice; it
// is replaced, not changed, by later calls.
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

// Reachable reports whether a data centre can be reached from this one.
func (m *Members) Reachable(dataCentre string) bool {
	dc, ok := m.table.centres[dataCentre]
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

// Member returns what is known about an instance, and false if nothing is.
func (m *Members) Member(instance string) (Member, bool) {
	e, ok := m.table.rows[instance]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Relay reports whether this instance is a relay of its data centre.
func (m *Members) IsRelay() bool { return m.isRelay(m.self) }

// Joined reports whether the table was filled from a seed. It is true from the
// start if there are no seeds.
func (m *Members) Joined() bool { return m.joined }

func (m *Members) isRelay(e *entry) bool {
	return slices.Contains(m.table.relays(e.DataCentre, m.cfg.Relays), e)
}

func (m *Members) begin(now time.Time) {
	m.out = nil
	if m.lastTick.IsZero() {
		m.start(now)
	}
}

// start spreads the timers of an instance so that a deployment that starts at
// once does not probe in step.
func (m *Members) start(now time.Time) {
	m.lastTick = now
	m.nextRandom = now.Add(m.jitter(m.cfg.ProbeInterval))
	m.nextSync = now.Add(m.jitter(m.cfg.SyncInterval))
	m.nextFarSync = now.Add(m.jitter(m.cfg.SyncInterval))
	m.nextSeed = now
	m.nextReconnect = now.Add(m.jitter(reconnect))
	m.nextSweep = now.Add(m.jitter(sweepInterval))
}

func (m *Members) finish() []Action {
	out := m.out
	m.out = nil
	return out
}

func (m *Members) jitter(d time.Duration) time.Duration {
	return time.Duration(m.cfg.Rand.Int64N(int64(d) + 1))
}

// checkStall forgives silence that this process caused by standing still.
func (m *Members) checkStall(now time.Time) {
	gap := now.Sub(m.lastTick)
	if gap < stall {
		return
	}
	for _, e := range m.watched {
		m.clearSuspicion(e, now)
		e.watch.reset(now)
	}
	for _, dc := range m.table.centres {
		if !dc.heard.IsZero() {
			dc.heard = dc.heard.Add(gap)
		}
	}
}

// send adds piggybacked updates and the version to a message.
func (m *Members) send(to *entry, msg Message) {
	q := &m.local
	switch {
	case to.DataCentre == m.self.DataCentre:
		msg.DigestSum = m.table.digest.sum()
	case m.wasRelay:
		q = &m.remote
		msg.DigestSum = m.table.scoped(m.self.DataCentre).sum()
		msg.DataCentreHash = m.table.centresSum()
	default:
		q = &m.remote
	}
	q.fill(&msg, m.limit())
	m.sendTo(to.Address, msg)
}

func (m *Members) sendTo(address string, msg Message) {
	msg.Version = m.version
	m.out = append(m.out, SendMessage{To: address, Message: msg})
}

func (m *Members) nextSequence() uint32 {
	m.sequence++
	return m.sequence
}

// heard notes contact with a data centre and compares versions.
func (m *Members) heard(sender *entry, msg Message, now time.Time) {
	if sender.DataCentre != m.self.DataCentre {
		m.centreHeard(sender, msg, now)
	} else {
		m.compareLocal(sender, msg, now)
	}
	if msg.Version.Ahead(m.version) && !now.Before(m.nextAhead) {
		m.nextAhead = now.Add(aheadInterval)
		m.out = append(m.out, PeerAhead{Member: sender.Member, Version: msg.Version})
	}
}

// sweep drops old tombstones from the digest and later from the table.
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
			m.table.remove(e)
		case age > m.cfg.TombstoneLifetime && e.sum != 0:
			m.table.resum(e, false)
		}
	}
	for id, f := range m.forwarded {
		if now.Sub(f.at) > sweepInterval {
			delete(m.forwarded, id)
		}
	}
}
