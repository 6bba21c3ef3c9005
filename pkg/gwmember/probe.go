package gwmember

import (
	"slices"
	"time"
)

// watch is the probe state of a member that this instance watches.
type watch struct {
	nextAttempt time.Time // when the next probe or attempt is due
	probing     bool
	startedAt   time.Time
	sequence    uint32
	attempts    int
	// suspectedAt is when the suspicion began, zero if there is none.
	suspectedAt time.Time
	// confirmedAt is when another watcher last shared the suspicion.
	confirmedAt time.Time
	nextNotify  time.Time
}

// reset abandons the current probe and makes the next one due.
func (w *watch) reset(now time.Time) {
	w.probing = false
	w.nextAttempt = now
}

// forwardedPing is a ping that was sent on behalf of another member.
type forwardedPing struct {
	requester *entry
	sequence  uint32
	target    string
	sentAt    time.Time
}

// refreshWatched updates the set of watched members after a change of the ring.
func (m *Members) refreshWatched(now time.Time) {
	if !m.watchedStale {
		return
	}
	m.watchedStale = false
	_, after := m.table.neighbors(m.self, m.watchers())
	for _, e := range m.watched {
		if !slices.Contains(after, e) {
			m.clearSuspicion(e, now)
			e.watch = nil
		}
	}
	for _, e := range after {
		if e.watch == nil {
			e.watch = &watch{nextAttempt: now.Add(m.jitter(m.cfg.ProbeInterval))}
		}
	}
	m.watched = after
}

// watchers returns the number of members that watch each member of the own data centre.
func (m *Members) watchers() int {
	if n := len(m.table.ring(m.self.DataCentre)); m.alert && n <= smallRing {
		return max(m.cfg.Watchers, n)
	}
	return m.cfg.Watchers
}

// raiseAlert makes this instance watch all members of a small data centre for alertPeriod.
func (m *Members) raiseAlert(now time.Time) {
	m.alertUntil = now.Add(alertPeriod)
	if !m.alert {
		m.alert, m.watchedStale = true, true
	}
}

// checkAlert ends an alert.
func (m *Members) checkAlert(now time.Time) {
	if m.alert && now.After(m.alertUntil) {
		m.alert, m.watchedStale = false, true
	}
}

// clearWatch abandons the current probe and suspicion of a member.
func (m *Members) clearWatch(e *entry) {
	if w := e.watch; w != nil {
		w.probing = false
		w.suspectedAt, w.confirmedAt = time.Time{}, time.Time{}
	}
}

// probe advances the probes of all watched members.
func (m *Members) probe(now time.Time) {
	if m.leaving || m.settling(now) {
		return
	}
	for _, e := range m.watched {
		w := e.watch
		if w == nil || !e.status.Live() {
			continue
		}
		if w.probing && w.suspectedAt.IsZero() && now.Sub(w.startedAt) >= m.cfg.ProbeTimeout {
			m.suspect(e, now)
		}
		if m.suspicionExpired(w, now) {
			m.setRow(e.Member, StatusDead, now)
			continue
		}
		if !now.Before(w.nextAttempt) {
			m.sendProbe(e, now)
		}
		if !w.suspectedAt.IsZero() && !now.Before(w.nextNotify) {
			m.notifyWatchers(e, now)
		}
	}
}

// sendProbe sends the next ping of a probe. Attempts after the first one also go through
// other members.
func (m *Members) sendProbe(e *entry, now time.Time) {
	w := e.watch
	if !w.probing {
		w.probing = true
		w.startedAt = now
		w.attempts = 0
		w.sequence = m.nextSequence()
	}
	w.nextAttempt = now.Add(m.cfg.AckTimeout)
	msg := Message{Kind: KindPing, Sequence: w.sequence}
	if w.attempts > 0 {
		// The target cannot answer a member that it does not know.
		msg.Updates = append(msg.Updates, m.self.update())
	}
	if !w.suspectedAt.IsZero() {
		msg.Updates = append(msg.Updates, suspectUpdate(e))
	}
	m.send(e, msg)
	if w.attempts > 0 {
		for _, helper := range m.randomLocal(m.cfg.IndirectProbes, e) {
			m.send(helper, Message{Kind: KindIndirectPing, Sequence: w.sequence, Target: e.Instance})
		}
	}
	w.attempts++
}

// suspectUpdate returns the update that reports a suspicion.
func suspectUpdate(e *entry) Update { return Update{Member: e.Member, Status: StatusSuspect} }

// suspect marks a member as suspect.
func (m *Members) suspect(e *entry, now time.Time) {
	m.raiseAlert(now)
	e.watch.suspectedAt = now
	e.watch.nextNotify = now
	e.status = StatusSuspect
	m.actions = append(m.actions, MemberChanged{Member: e.Member, Status: StatusSuspect})
}

// notifyWatchers sends a suspicion to the other watchers of the member, without those that are
// suspected themselves.
func (m *Members) notifyWatchers(e *entry, now time.Time) {
	e.watch.nextNotify = now.Add(m.cfg.ProbeTimeout)
	before, _ := m.table.neighbors(e, m.watchers())
	for _, other := range before {
		if other != m.self && other.status != StatusSuspect {
			m.send(other, Message{Kind: KindGossip, Updates: []Update{suspectUpdate(e)}})
		}
	}
}

// confirmSuspicion records that another member suspects a watched one, and probes it at once.
func (m *Members) confirmSuspicion(from string, u Update, now time.Time) {
	e := m.table.rows[u.Member.Instance]
	if e == nil || e.Incarnation != u.Member.Incarnation || from == e.Instance {
		return
	}
	if e.status.Live() && e.DataCentre == m.self.DataCentre {
		m.raiseAlert(now)
		m.refreshWatched(now)
	}
	if e.watch == nil {
		return
	}
	e.watch.confirmedAt = now
	if !e.watch.probing {
		e.watch.nextAttempt = now
	}
}

// suspicionExpired reports whether a suspicion has lasted so long that the member counts as
// dead.
func (m *Members) suspicionExpired(w *watch, now time.Time) bool {
	if w.suspectedAt.IsZero() {
		return false
	}
	age := now.Sub(w.suspectedAt)
	shared := !w.confirmedAt.IsZero() && now.Sub(w.confirmedAt) <= confirmationLifetime
	if shared || len(m.table.ring(m.self.DataCentre)) <= 2 {
		return age >= m.cfg.SuspicionTimeout
	}
	return age >= 2*m.cfg.SuspicionTimeout
}

// clearSuspicion marks a suspect as alive.
func (m *Members) clearSuspicion(e *entry, _ time.Time) {
	m.clearWatch(e)
	if e.status == StatusSuspect {
		e.status = StatusAlive
		m.actions = append(m.actions, MemberChanged{Member: e.Member, Status: StatusAlive})
	}
}

// pingRandom pings one random contact, which spreads versions and updates faster than the
// ring does.
func (m *Members) pingRandom(now time.Time) {
	if m.leaving || now.Before(m.nextRandom) || m.settling(now) {
		return
	}
	m.nextRandom = now.Add(m.cfg.ProbeInterval)
	for _, e := range m.randomLocal(1, nil) {
		m.send(e, Message{Kind: KindPing})
	}
}

// onPing acknowledges a ping. If the sender's status here is dead or left, the
// acknowledgment contains this row, so that the sender increases its incarnation. If
// introduce is set, it contains the own row.
func (m *Members) onPing(sender *entry, msg Message, introduce bool) {
	if sender == nil || m.leaving {
		return
	}
	ack := Message{Kind: KindAck, Sequence: msg.Sequence}
	if !sender.status.Live() {
		ack.Updates = append(ack.Updates, sender.update())
	}
	if introduce {
		ack.Updates = append(ack.Updates, m.self.update())
	}
	m.send(sender, ack)
}

// onIndirectPing pings a target on behalf of another member.
func (m *Members) onIndirectPing(sender *entry, msg Message, now time.Time) {
	target := m.table.rows[msg.Target]
	if sender == nil || target == nil || target == m.self {
		return
	}
	seq := m.nextSequence()
	m.forwardedPings[seq] = forwardedPing{requester: sender, sequence: msg.Sequence, target: msg.Target, sentAt: now}
	m.send(target, Message{Kind: KindPing, Sequence: seq})
}

// onAck ends a probe, or forwards the acknowledgment to the member that asked for the ping.
func (m *Members) onAck(from string, msg Message, now time.Time) {
	subject := from
	if msg.Target != "" {
		subject = msg.Target
	}
	if f, ok := m.forwardedPings[msg.Sequence]; ok && f.target == from {
		delete(m.forwardedPings, msg.Sequence)
		m.send(f.requester, Message{Kind: KindAck, Sequence: f.sequence, Target: from})
		return
	}
	e := m.table.rows[subject]
	if e == nil || e.watch == nil || !e.watch.probing || e.watch.sequence != msg.Sequence {
		return
	}
	next := e.watch.startedAt.Add(m.cfg.ProbeInterval)
	m.clearSuspicion(e, now)
	e.watch.nextAttempt = next
}
