package gwmember

import (
	"slices"
	"time"
)

// maxFormerPeers is the number of members that are still tried after their rows were removed.
const maxFormerPeers = 16

// reconnect pings an address at which another part of the deployment may run: a seed or known
// address that is not that of a live member, or a member that was declared dead or has left.
// Members that were restarted together may know only each other, so that the rest has to find
// them, and after a partition within a data centre each side takes the other one for dead.
//
// The members of a data centre share a constant rate of attempts, however many of them there
// are and however many members are lost. One answer is enough to merge the two parts.
func (m *Members) reconnect(now time.Time) {
	if m.leaving || !m.joined || now.Before(m.nextReconnect) {
		return
	}
	interval := max(reconnectInterval, time.Duration(len(m.table.ring(m.self.DataCentre)))*time.Second/reconnectRate)
	m.nextReconnect = now.Add(interval/2 + m.jitter(interval))
	m.reconnects++
	m.reconnectOnce()
}

// reconnectOnce makes one attempt: at a lost member, a lost seed or former peer, or a lost
// known address, in turn if there are several kinds.
func (m *Members) reconnectOnce() {
	var attempts []func()
	if seeds := m.lostSeeds(); len(seeds) > 0 {
		attempts = append(attempts, func() { m.introduceTo(m.randomOf(seeds)) })
	}
	if row := m.lostMember(); row != nil {
		attempts = append(attempts, func() {
			m.sendTo(row.Address, Message{Kind: KindPing, Updates: []Update{row.update(), m.self.update()}})
		})
	}
	if known := m.lostKnown(); len(known) > 0 {
		attempts = append(attempts, func() { m.introduceTo(m.randomOf(known)) })
	}
	if len(attempts) > 0 {
		attempts[m.reconnects%len(attempts)]()
	}
}

func (m *Members) randomOf(addresses []string) string {
	return addresses[m.cfg.Rand.IntN(len(addresses))]
}

// lostSeeds returns the seeds and former peers that are not live members.
func (m *Members) lostSeeds() []string {
	var lost []string
	for _, a := range slices.Concat(m.cfg.Seeds, m.formerPeers) {
		if a != m.self.Address && !m.hasLiveAddress(a) {
			lost = append(lost, a)
		}
	}
	return lost
}

// lostMember returns a random member that is dead or has left, nil if there is none. Those of
// another data centre are left to its live members if it has any.
func (m *Members) lostMember() *entry {
	var chosen *entry
	mask := m.cfg.Rand.Uint64() // makes the choice independent of the map's iteration order
	for _, e := range m.table.rows {
		if e.status.Live() || e.DataCentre != m.self.DataCentre && len(m.table.ring(e.DataCentre)) > 0 {
			continue
		}
		if chosen == nil || e.ringHash^mask < chosen.ringHash^mask {
			chosen = e
		}
	}
	return chosen
}

// rememberPeer keeps the address of a lost member whose row is removed, as a partition may
// last longer than a tombstone.
func (m *Members) rememberPeer(e *entry) {
	if slices.Contains(m.formerPeers, e.Address) || m.hasLiveAddress(e.Address) {
		return
	}
	m.formerPeers = append(m.formerPeers, e.Address)
	if len(m.formerPeers) > maxFormerPeers {
		m.formerPeers = slices.Delete(m.formerPeers, 0, 1)
	}
}

// reunionSyncs is the maximum number of table comparisons with the member through which
// another part of the deployment was found. They end with the first one that finds no
// difference.
const reunionSyncs = 10

// reunion is the comparison with another part of the deployment.
type reunion struct {
	with      *entry
	syncsLeft int
	next      time.Time
}

// complete ends the comparisons if one with peer has found no difference.
func (r *reunion) complete(peer *entry) {
	if r.with == peer {
		*r = reunion{}
	}
}

// reunite starts to compare tables with a member that has answered although it was not known
// as live.
func (m *Members) reunite(e *entry, now time.Time) {
	if m.reunion.syncsLeft == 0 {
		m.reunion = reunion{with: e, syncsLeft: reunionSyncs, next: now}
		m.actions = append(m.actions, PartFound{Member: e.Member})
	}
}

func (m *Members) syncReunited(now time.Time) {
	r := &m.reunion
	if r.syncsLeft == 0 || now.Before(r.next) {
		return
	}
	r.syncsLeft--
	r.next = now.Add(joinRetry)
	m.sendSync(r.with.Address, Message{})
}

// claim is the report of a peer's table that a member is dead which is live in the own one.
type claim struct {
	member   Member
	deadline time.Time
	nextPing time.Time
}

// contradicts reports whether an update claims the death of a member that is live in the own
// table. Members of another data centre are judged by that data centre alone.
func (m *Members) contradicts(sender string, u Update, e *entry) bool {
	if e == nil || u.Status != StatusDead || !e.status.Live() || u.Member.Incarnation != e.Incarnation {
		return false
	}
	s := m.table.rows[sender]
	return e.DataCentre == m.self.DataCentre || s == nil || s.DataCentre != e.DataCentre
}

// addClaim lets a member refute the claim that it is dead before the claim is believed. When
// a partition heals, the tables of both sides contain the other side's members as dead; if
// they were merged as they are, no member would be left to spread the refutations.
func (m *Members) addClaim(e *entry, now time.Time) {
	known := func(c claim) bool { return c.member.Instance == e.Instance && c.member.Incarnation == e.Incarnation }
	if !slices.ContainsFunc(m.claims, known) {
		m.claims = append(m.claims, claim{member: e.Member, deadline: now.Add(claimTimeout), nextPing: now})
	}
}

// checkClaims passes claims on to their subjects and declares those dead that have not
// refuted one in time.
func (m *Members) checkClaims(now time.Time) {
	kept := m.claims[:0]
	for _, c := range m.claims {
		e := m.table.rows[c.member.Instance]
		if e == nil || !e.status.Live() || e.Incarnation != c.member.Incarnation {
			continue
		}
		if !now.Before(c.deadline) {
			m.setRow(e.Member, StatusDead, now)
			continue
		}
		if !now.Before(c.nextPing) {
			c.nextPing = now.Add(claimRetry)
			dead := Update{Member: e.Member, Status: StatusDead}
			m.sendTo(e.Address, Message{Kind: KindPing, Updates: []Update{dead, m.self.update()}})
		}
		kept = append(kept, c)
	}
	m.claims = kept
}

// misjudgedBy reports whether a message contains an outdated row of this instance.
func (m *Members) misjudgedBy(msg Message) bool {
	return slices.ContainsFunc(msg.Updates, func(u Update) bool {
		return u.Member.Instance == m.self.Instance && (u.Status != StatusAlive || u.Member.Incarnation < m.self.Incarnation)
	})
}
