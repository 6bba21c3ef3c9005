package gwmember

import (
	"slices"
	"time"
)

// runRelay does the work of a relay if this instance is one, and merges the views of the
// relays of the own data centre.
func (m *Members) runRelay(now time.Time) {
	is := m.IsRelay() && m.joined && !m.leaving && !m.settling(now)
	if is && !m.wasRelay {
		m.becomeRelay(now)
	}
	if !is && m.wasRelay && !m.leaving {
		m.remote = queue{}
	}
	m.wasRelay = is
	if is {
		m.pingDataCentres(now)
		m.refreshView(now)
	}
	if !now.Before(m.nextViewMerge) {
		m.nextViewMerge = now.Add(m.cfg.RelayInterval)
		m.mergeViews(now)
	}
}

// becomeRelay starts with the reported reachability of every data centre and queues the
// recent updates, which the previous relay may not have sent.
func (m *Members) becomeRelay(now time.Time) {
	for _, name := range m.table.dataCentreNames {
		dc := m.table.dataCentres[name]
		dc.down = dc.unreachable
		dc.lastHeard = now
		if dc.down {
			dc.lastHeard = now.Add(-m.cfg.DataCentreTimeout - 1)
		}
		dc.nextPing = now.Add(m.jitter(m.cfg.RelayInterval))
	}
	for _, item := range m.local.items {
		if item.row.DataCentre == m.self.DataCentre {
			m.remote.add(item.row)
		}
	}
	m.nextViewRefresh = now
	if m.joinSyncsLeft > 0 {
		m.compareOwnRows(now)
	}
}

// compareOwnRows compares the rows of the own data centre with each other data centre. A
// relay that has just joined does not know which of them the previous one has sent.
func (m *Members) compareOwnRows(now time.Time) {
	for _, name := range m.table.dataCentreNames {
		dc := m.table.dataCentres[name]
		if name == m.self.DataCentre || dc.down {
			continue
		}
		if e := m.chooseContact(dc, now); e != nil {
			m.sendSync(e.Address, Message{Scope: m.self.DataCentre})
		}
	}
}

// pingDataCentres pings one member of each other data centre per RelayInterval.
func (m *Members) pingDataCentres(now time.Time) {
	for _, name := range m.table.dataCentreNames {
		dc := m.table.dataCentres[name]
		if name == m.self.DataCentre || now.Before(dc.nextPing) {
			continue
		}
		dc.nextPing = now.Add(m.cfg.RelayInterval)
		if e := m.chooseContact(dc, now); e != nil {
			msg := Message{Kind: KindPing}
			if m.silent(dc, now) {
				msg.Updates = []Update{m.self.update()} // the receiver may not know this member
			}
			m.send(e, msg)
		}
	}
}

// chooseContact chooses the member of a data centre to send to: its relays in turn or, if
// the data centre is silent, every other time a random member.
func (m *Members) chooseContact(dc *dataCentre, now time.Time) *entry {
	dc.contacts++
	ring := m.table.ring(dc.name)
	if len(ring) == 0 {
		return nil
	}
	relays := m.table.relays(dc.name, m.cfg.Relays)
	if m.silent(dc, now) && dc.contacts%2 == 0 {
		return ring[m.cfg.Rand.IntN(len(ring))]
	}
	return relays[dc.contacts/2%len(relays)]
}

// silent reports whether a data centre has not answered the last pings.
func (m *Members) silent(dc *dataCentre, now time.Time) bool {
	return now.Sub(dc.lastHeard) > 2*m.cfg.RelayInterval
}

// relayUpdates sends pending updates to every data centre that is not down. One that is
// down gets them by table comparison when it is reachable again.
func (m *Members) relayUpdates() {
	fanout := m.remoteFanout()
	if m.remote.empty() {
		return
	}
	msg := Message{Kind: KindGossip}
	m.remote.fill(&msg, remoteTransmissions)
	for _, name := range m.table.dataCentreNames {
		dc := m.table.dataCentres[name]
		if name == m.self.DataCentre || dc.down {
			continue
		}
		if e := m.chooseContact(dc, m.lastTick); e != nil {
			m.sendTo(e.Address, msg)
		}
		for _, e := range m.otherContacts(dc, fanout) {
			m.sendTo(e.Address, msg)
		}
	}
}

// remoteFanout returns the number of members of each other data centre to send the pending
// updates to beside the usual contact. When a further member has died soon after others, the
// recent deaths in the own data centre are reported again, as the earlier reports went to
// fewer contacts.
func (m *Members) remoteFanout() int {
	if m.lastTick.Sub(m.lastDeath) >= massLossPeriod {
		return 0
	}
	deaths := 0
	var own []*entry
	for _, e := range m.table.rows {
		if e.status != StatusDead || m.lastTick.Sub(e.since) >= massLossPeriod {
			continue
		}
		deaths++
		if e.DataCentre == m.self.DataCentre {
			own = append(own, e)
		}
	}
	seen := m.recentDeaths
	m.recentDeaths = deaths
	if deaths < massDeaths {
		return 0
	}
	if deaths > seen {
		slices.SortFunc(own, byRingHash) // for a repeatable order
		for _, e := range own {
			m.remote.add(e)
		}
	}
	return massFanout
}

// otherContacts returns n live members of a data centre in random order.
func (m *Members) otherContacts(dc *dataCentre, n int) []*entry {
	ring := m.table.ring(dc.name)
	n = min(n, len(ring))
	if n <= 0 {
		return nil
	}
	out := make([]*entry, 0, n)
	for _, i := range m.cfg.Rand.Perm(len(ring))[:n] {
		out = append(out, ring[i])
	}
	return out
}

// observeRemoteSender records a message from another data centre. If that data centre's
// rows have differed for remoteRepairDelay, because updates were lost or could not be
// sent, it compares these rows, or the whole tables if one side lacks a data centre.
func (m *Members) observeRemoteSender(sender *entry, msg Message, now time.Time) {
	dc := m.table.dataCentre(sender.DataCentre)
	dc.lastHeard = now
	if dc.down {
		dc.down = false
		m.nextViewRefresh = now
	}
	if !m.wasRelay || msg.DigestSum == 0 {
		return
	}
	scope := dc.name
	if msg.DataCentreHash != m.table.dataCentreHash() {
		scope = ""
	}
	switch {
	case scope != "" && msg.DigestSum == dc.digest.fold():
		dc.differsSince = time.Time{}
	case dc.differsSince.IsZero():
		dc.differsSince = now
	case now.Sub(dc.differsSince) >= remoteRepairDelay:
		dc.differsSince = now
		m.sendSync(sender.Address, Message{Scope: scope})
	}
}

// refreshView publishes within the own data centre which other data centres this relay
// cannot reach.
func (m *Members) refreshView(now time.Time) {
	var down []string
	for _, name := range m.table.dataCentreNames {
		dc := m.table.dataCentres[name]
		if name == m.self.DataCentre || len(m.table.ring(name)) == 0 {
			continue
		}
		if dc.lastHeard.IsZero() {
			dc.lastHeard = now
		}
		dc.down = now.Sub(dc.lastHeard) > m.cfg.DataCentreTimeout
		if dc.down && viewFits(m.self, down, name) {
			down = append(down, name)
		}
	}
	changed := !slices.Equal(down, m.self.unreachable)
	if !changed && (len(down) == 0 || now.Before(m.nextViewRefresh)) {
		m.self.viewTime = now
		return
	}
	m.nextViewRefresh = now.Add(viewInterval)
	m.self.viewVersion = max(m.self.viewVersion+1, uint64(now.UnixMilli()))
	m.self.viewTime = now
	m.self.unreachable = down
	m.local.add(m.self)
	m.nextViewMerge = now
}

// viewFits reports whether one more unreachable data centre fits into a relay's update.
func viewFits(self *entry, down []string, name string) bool {
	u := Update{Member: self.Member, Unreachable: down}
	return u.size()+2+len(name) <= maxUpdateSize
}

// mergeViews reports a data centre as unreachable if it is so in the current views of all
// relays of the own one, and as reachable once that has not been so for reachableDelay.
func (m *Members) mergeViews(now time.Time) {
	relays := m.table.relays(m.self.DataCentre, m.cfg.Relays)
	for _, name := range m.table.dataCentreNames {
		dc := m.table.dataCentres[name]
		unreachable := len(relays) > 0 && name != m.self.DataCentre
		for _, r := range relays {
			fresh := now.Sub(r.viewTime) <= viewLifetime
			unreachable = unreachable && fresh && slices.Contains(r.unreachable, name)
		}
		if unreachable == dc.unreachable {
			dc.agreedAt = now
		}
		// A new relay has not published its view yet. The missing view must not count as
		// a reachable data centre; reachableDelay gives the relay time to publish it.
		if unreachable != dc.unreachable && (unreachable || now.Sub(dc.agreedAt) >= reachableDelay) {
			dc.unreachable = unreachable
			m.actions = append(m.actions, DataCentreChanged{DataCentre: name, Reachable: !unreachable})
		}
	}
}
