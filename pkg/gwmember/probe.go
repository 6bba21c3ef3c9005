package gwmember

import (
	"slices"
	"time"
)

// watch is the probing state of one watched member.
type watch struct {
	next     time.Time // of the next probe or attempt
	probing  bool
	started  time.Time
	sequence uint32
	tries    int
	// suspected is when the suspicion began, zero without one.
	suspected time.Time
	// confirmed is when another watcher last shared the suspicion.
	confirmed time.Time
	notify    time.Time
}

// reset forgets the current probe.
func (w *watch) reset(now time.Time) {
	w.probing = false
	w.next = now
}

// forward is a ping sent on behalf of another member.
type forward struct {
	asker    *entry
	sequence uint32
	target   string
	at       time.Time
}

// refreshWatched finds the members to watch after a change of the ring.
func (m *Members) refreshWatched(now time.Time) {
	if !m.watchStale {
		return
	}
	m.watchStale = false
	_, after := m.table.around(m.self, m.cfg.Watchers)
	for _, e := range m.watched {
		if !slices.Contains(after, e) {
			m.clearSuspicion(e, now)
			e.watch = nil
		}
	}
	for _, e := range after {
		if e.watch == nil {
			e.watch = &watch{next: now.Add(m.jitter(m.cfg.ProbeInterval))}
		}
	}
	m.watched = after
}

// clearWatch restarts the probing of a member whose row changed.
func (m *Members) clearWatch(e *entry) {
	if w := e.watch; w != nil {
		w.probing = false
		w.suspected, w.confirmed = time.Time{}, time.Time{}
	}
}

// probe advances the probes of all watched members.
func (m *Members) probe(now time.Time) {
	if m.leaving {
		return
	}
	for _, e := range m.watched {
		w := e.watch
		if w == nil || !e.status.Live() {
			continue
		}
		if w.probing && w.suspected.IsZero() && now.Sub(w.started) >= m.cfg.ProbeTimeout {
			m.suspect(e, now)
		}
		if m.expired(w, now) {
			m.set(e.Member, StatusDead, now)
			continue
		}
		if !now.Before(w.next) {
			m.attempt(e, now)
		}
		if !w.suspected.IsZero() && !now.Before(w.notify) {
			m.notifyWatchers(e, now)
		}
	}
}

// attempt sends the first or the next ping of a probe. Later attempts also go
// through other members.
func (m *Members) attempt(e *entry, now time.Time) {
	w := e.watch
	if !w.probing {
		w.probing = true
		w.started = now
		w.tries = 0
		w.sequence = m.nextSequence()
	}
	w.next = now.Add(m.cfg.AckTimeout)
	msg := Message{Kind: KindPing, Sequence: w.sequence}
	if w.tries > 0 {
		// The target cannot answer a member that it does not know yet.
		msg.Updates = append(msg.Updates, m.self.update())
	}
	if !w.suspected.IsZero() {
		msg.Updates = append(msg.Updates, suspicion(e))
	}
	m.send(e, msg)
	if w.tries > 0 {
		for _, helper := range m.randomLocal(m.cfg.IndirectProbes, e) {
			m.send(helper, Message{Kind: KindIndirectPing, Sequence: w.sequence, Target: e.Instance})
		}
	}
	w.tries++
}

// suspicion is the update that tells of a suspicion.
func suspicion(e *entry) Update { return Update{Member: e.Member, Status: StatusSuspect} }

// suspect starts the suspicion of a member.
func (m *Members) suspect(e *entry, now time.Time) {
	e.watch.suspected = now
	e.watch.notify = now
	e.status = StatusSuspect
	m.out = append(m.out, MemberChanged{Member: e.Member, Status: StatusSuspect})
}

// notifyWatchers tells the other watchers of a suspicion.
func (m *Members) notifyWatchers(e *entry, now time.Time) {
	e.watch.notify = now.Add(m.cfg.ProbeTimeout)
	before, _ := m.table.around(e, m.cfg.Watchers)
	for _, other := range before {
		if other != m.self {
			m.send(other, Message{Kind: KindGossip, Updates: []Update{suspicion(e)}})
		}
	}
}

// confirm notes that another member shares a suspicion and probes at once.
func (m *Members) confirm(from string, u Update, now time.Time) {
	e := m.table.rows[u.Member.Instance]
	if e == nil || e.watch == nil || e.Incarnation != u.Member.Incarnation || from == e.Instance {
		return
	}
	e.watch.confirmed = now
	if !e.watch.probing {
		e.watch.next = now
	}
}

// expired reports whether a suspicion has become a death.
func (m *Members) expired(w *watch, now time.Time) bool {
	if w.suspected.IsZero() {
		return false
	}
	age := now.Sub(w.suspected)
	shared := !w.confirmed.IsZero() && now.Sub(w.confirmed) <= confirmLifetime
	if shared || len(m.table.ring(m.self.DataCentre)) <= 2 {
		return age >= m.cfg.SuspicionTimeout
	}
	return age >= 2*m.cfg.SuspicionTimeout
}

// clearSuspicion returns a suspect to alive.
func (m *Members) clearSuspicion(e *entry, _ time.Time) {
	m.clearWatch(e)
	if e.status == StatusSuspect {
		e.status = StatusAlive
		m.out = append(m.out, MemberChanged{Member: e.Member, Status: StatusAlive})
	}
}

// pingRandom pings one random member, which mixes versions and updates faster
// than the ring does, and now and then a dead one in case a partition healed.
func (m *Members) pingRandom(now time.Time) {
	if m.leaving {
		return
	}
	if !now.Before(m.nextRandom) {
		m.nextRandom = now.Add(m.cfg.ProbeInterval)
		for _, e := range m.randomLocal(1, nil) {
			m.send(e, Message{Kind: KindPing})
		}
	}
	if !now.Before(m.nextReconnect) {
		m.nextReconnect = now.Add(reconnect)
		if e := m.randomDead(); e != nil {
			m.send(e, Message{Kind: KindPing, Updates: []Update{e.update()}})
		}
	}
}

// randomDead returns a dead member of the own data centre, nil without one.
func (m *Members) randomDead() *entry {
	var chosen *entry
	mask := m.cfg.Rand.Uint64() // makes the choice independent of the map's order
	for _, e := range m.table.rows {
		if e.status != StatusDead || e.DataCentre != m.self.DataCentre {
			continue
		}
		if chosen == nil || e.place^mask < chosen.place^mask {
			chosen = e
		}
	}
	return chosen
}

// answerPing acknowledges a ping. A sender that is believed dead is told so,
// so that it raises its incarnation.
func (m *Members) answerPing(sender *entry, msg Message) {
	if sender == nil || m.leaving {
		return
	}
	ack := Message{Kind: KindAck, Sequence: msg.Sequence}
	if !sender.status.Live() {
		ack.Updates = []Update{sender.update()}
	}
	m.send(sender, ack)
}

// forwardPing pings a target on behalf of another member.
func (m *Members) forwardPing(sender *entry, msg Message, now time.Time) {
	target := m.table.rows[msg.Target]
	if sender == nil || target == nil || target == m.self {
		return
	}
	seq := m.nextSequence()
	m.forwarded[seq] = forward{asker: sender, sequence: msg.Sequence, target: msg.Target, at: now}
	m.send(target, Message{Kind: KindPing, Sequence: seq})
}

// acknowledged ends a probe or passes the answer on to who asked for it.
func (m *Members) acknowledged(from string, msg Message, now time.Time) {
	subject := from
	if msg.Target != "" {
		subject = msg.Target
	}
	if f, ok := m.forwarded[msg.Sequence]; ok && f.target == from {
		delete(m.forwarded, msg.Sequence)
		m.send(f.asker, Message{Kind: KindAck, Sequence: f.sequence, Target: from})
		return
	}
	e := m.table.rows[subject]
	if e == nil || e.watch == nil || !e.watch.probing || e.watch.sequence != msg.Sequence {
		return
	}
	next := e.watch.started.Add(m.cfg.ProbeInterval)
	m.clearSuspicion(e, now)
	e.watch.next = next
}
