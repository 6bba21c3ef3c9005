package gwmember

import (
	"slices"
	"time"
)

// applyAll applies the updates of a message.
func (m *Members) applyAll(from string, msg Message, now time.Time) {
	for _, u := range msg.Updates {
		if err := u.check(); err != nil {
			m.actions = append(m.actions, UpdateSkipped{From: from, Err: err})
			continue
		}
		switch {
		case u.Member.Instance == m.self.Instance:
			m.onClaimAboutSelf(from, u, now)
		case u.Status == StatusSuspect:
			m.confirmSuspicion(from, u, now)
		case u.Status == StatusAlive || u.Status == StatusDead || u.Status == StatusLeft:
			m.apply(from, msg.Kind, u, now)
		}
	}
}

// apply stores an update that is newer than the row and queues it for others.
func (m *Members) apply(sender string, kind Kind, u Update, now time.Time) {
	e := m.table.rows[u.Member.Instance]
	if e != nil && !overrides(u, e) {
		m.applyView(e, u, now)
		return
	}
	if kind == KindSyncPage && m.contradicts(sender, u, e) {
		m.addClaim(e, now)
		return
	}
	if e != nil && u.Member.Incarnation > e.Incarnation {
		// Another run of the member may count the versions of its views from another time.
		e.viewVersion, e.viewTime, e.unreachable = 0, time.Time{}, nil
	}
	e = m.setRow(u.Member, u.Status, now)
	if !u.Status.Live() {
		e.since = now.Add(-min(time.Duration(u.Age)*time.Second, 2*m.cfg.TombstoneLifetime))
	}
	m.applyView(e, u, now)
	// Rows from a page may be new to others too, unless only this instance lacked them
	// because it is joining its data centre.
	switch {
	case kind != KindSyncPage:
	case !m.joined || m.joinSyncsLeft > 0 && m.isLocal(sender):
		m.local.remove(e)
		m.remote.remove(e)
	default:
		m.local.setSent(e, m.transmitLimit()-pageTransmissions)
	}
}

// isLocal reports whether an instance is a member of the own data centre.
func (m *Members) isLocal(instance string) bool {
	e := m.table.rows[instance]
	return e != nil && e.DataCentre == m.self.DataCentre
}

// overrides reports whether an update is newer than a row.
func overrides(u Update, e *entry) bool {
	if u.Member.Incarnation != e.Incarnation {
		return u.Member.Incarnation > e.Incarnation
	}
	return u.Status > e.status
}

// setRow stores a row and, if it changed, reports and queues it.
func (m *Members) setRow(member Member, status Status, now time.Time) *entry {
	old, known := m.table.rows[member.Instance]
	changed := !known || old.status != status || old.Member != member
	e := m.table.put(member, status, now)
	if !status.Live() || known && changed {
		m.clearWatch(e)
	}
	if member.DataCentre == m.self.DataCentre {
		m.watchedStale = true
	}
	if changed && status == StatusDead {
		m.lastDeath = now
	}
	if changed {
		m.actions = append(m.actions, MemberChanged{Member: e.Member, Status: status})
		m.enqueue(e)
	}
	return e
}

// enqueue queues a row for the own data centre and, if the row belongs to it and this
// instance is a relay, for the other data centres.
func (m *Members) enqueue(e *entry) {
	m.local.add(e)
	if e.DataCentre == m.self.DataCentre && m.IsRelay() {
		m.remote.add(e)
	}
}

// onClaimAboutSelf handles an update about this instance and refutes it if it is wrong.
func (m *Members) onClaimAboutSelf(from string, u Update, now time.Time) {
	inc := m.self.Incarnation
	if m.leaving || u.Member.Incarnation < inc {
		return
	}
	if u.Status == StatusSuspect {
		m.onSuspicionOfSelf(from, now)
		return
	}
	same := u.Member == m.self.Member
	if u.Status == StatusAlive && same {
		return
	}
	m.refute(u.Member.Incarnation, now)
}

// onSuspicionOfSelf refutes a suspicion that a second instance shares, because a death
// declaration may be imminent. A suspicion by one instance ends with the next answered
// ping.
func (m *Members) onSuspicionOfSelf(from string, now time.Time) {
	for name, at := range m.suspectedBy {
		if now.Sub(at) > confirmationLifetime {
			delete(m.suspectedBy, name)
		}
	}
	m.suspectedBy[from] = now
	if len(m.suspectedBy) > 1 {
		m.refute(m.self.Incarnation, now)
	}
}

// refute increases the incarnation above that of a claim.
func (m *Members) refute(claimed uint64, now time.Time) {
	clear(m.suspectedBy)
	m.setRow(m.self.WithIncarnation(claimed+1), StatusAlive, now)
}

// applyView stores a newer view of a relay on the other data centres.
func (m *Members) applyView(e *entry, u Update, now time.Time) {
	if u.ViewVersion <= e.viewVersion || u.Member.Incarnation != e.Incarnation || e.DataCentre != m.self.DataCentre {
		return
	}
	e.viewVersion, e.viewTime = u.ViewVersion, now
	e.unreachable = slices.Clone(u.Unreachable)
	m.local.add(e)
}
