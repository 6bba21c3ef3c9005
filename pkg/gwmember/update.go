package gwmember

import (
	"slices"
	"time"
)

// applyAll applies the updates of a message.
func (m *Members) applyAll(from string, msg Message, now time.Time) {
	for _, u := range msg.Updates {
		switch {
		case u.check() != nil:
		case u.Member.Instance == m.self.Instance:
			m.claim(from, u, now)
		case u.Status == StatusSuspect:
			m.confirm(from, u, now)
		case u.Status == StatusAlive || u.Status == StatusDead || u.Status == StatusLeft:
			m.apply(msg.Kind, u, now)
		}
	}
}

// apply takes over an update that is newer than the row and passes it on.
func (m *Members) apply(kind Kind, u Update, now time.Time) {
	e := m.table.rows[u.Member.Instance]
	if e != nil && !overrides(u, e) {
		m.applyView(e, u, now)
		return
	}
	e = m.set(u.Member, u.Status, now)
	m.applyView(e, u, now)
	// Rows of a page are news for others too, unless this instance is joining
	// and the one that lacked them.
	if kind == KindSyncPage && (!m.joined || m.unsettled > 0) {
		m.local.remove(e)
		m.remote.remove(e)
	}
}

// overrides reports whether an update is newer than a row.
func overrides(u Update, e *entry) bool {
	if u.Member.Incarnation != e.Incarnation {
		return u.Member.Incarnation > e.Incarnation
	}
	return u.Status > e.status
}

// set stores a row, reports the change and queues it for others.
func (m *Members) set(member Member, status Status, now time.Time) *entry {
	old, known := m.table.rows[member.Instance]
	changed := !known || old.status != status || old.Member != member
	e := m.table.put(member, status, now)
	if !status.Live() || known && changed {
		m.clearWatch(e)
	}
	if member.DataCentre == m.self.DataCentre {
		m.watchStale = true
	}
	if changed {
		m.out = append(m.out, MemberChanged{Member: e.Member, Status: status})
		m.enqueue(e)
	}
	return e
}

// enqueue queues a row for the own data centre and, if it belongs there and
// this instance is a relay, for the others.
func (m *Members) enqueue(e *entry) {
	m.local.add(e)
	if e.DataCentre == m.self.DataCentre && m.IsRelay() {
		m.remote.add(e)
	}
}

// claim answers an update about this instance.
func (m *Members) claim(from string, u Update, now time.Time) {
	inc := m.self.Incarnation
	if m.leaving || u.Member.Incarnation < inc {
		return
	}
	if u.Status == StatusSuspect {
		m.accused(from, now)
		return
	}
	same := u.Member == m.self.Member
	if u.Status == StatusAlive && same {
		return
	}
	m.refute(u.Member.Incarnation, now)
}

// accused raises the incarnation once a second instance shares a suspicion: a
// death declaration may be under way. A single suspicion ends with the next
// answered ping.
func (m *Members) accused(from string, now time.Time) {
	for name, at := range m.accusers {
		if now.Sub(at) > confirmLifetime {
			delete(m.accusers, name)
		}
	}
	m.accusers[from] = now
	if len(m.accusers) > 1 {
		m.refute(m.self.Incarnation, now)
	}
}

// refute raises the incarnation above a claim.
func (m *Members) refute(claimed uint64, now time.Time) {
	clear(m.accusers)
	m.set(m.self.WithIncarnation(claimed+1), StatusAlive, now)
}

// applyView takes over a relay's view of the other data centres.
func (m *Members) applyView(e *entry, u Update, now time.Time) {
	if u.ViewVersion <= e.view || u.Member.Incarnation != e.Incarnation || e.DataCentre != m.self.DataCentre {
		return
	}
	e.view, e.viewAt = u.ViewVersion, now
	e.unreachable = slices.Clone(u.Unreachable)
	m.local.add(e)
}
