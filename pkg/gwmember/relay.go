package gwmember

import (
	"slices"
	"time"
)

// relay does the work of a relay and merges the relays' views.
func (m *Members) relay(now time.Time) {
	is := m.IsRelay() && m.joined && !m.leaving
	if is && !m.wasRelay {
		m.becomeRelay(now)
	}
	if !is && m.wasRelay && !m.leaving {
		m.remote = queue{}
	}
	m.wasRelay = is
	if is {
		m.pingCentres(now)
		m.refreshView(now)
	}
	if !now.Before(m.nextReach) {
		m.nextReach = now.Add(m.cfg.RelayInterval)
		m.mergeViews(now)
	}
}

// becomeRelay starts with the reported state of every data centre and takes
// over the recent updates, which the previous relay may not have sent.
func (m *Members) becomeRelay(now time.Time) {
	for _, name := range m.table.names {
		dc := m.table.centres[name]
		dc.down = dc.unreachable
		dc.heard = now
		if dc.down {
			dc.heard = now.Add(-m.cfg.DataCentreTimeout - 1)
		}
		dc.nextPing = now.Add(m.jitter(m.cfg.RelayInterval))
	}
	for _, item := range m.local.items {
		if item.row.DataCentre == m.self.DataCentre {
			m.remote.add(item.row)
		}
	}
	m.nextView = now
}

// pingCentres pings one member of each other data centre per interval.
func (m *Members) pingCentres(now time.Time) {
	for _, name := range m.table.names {
		dc := m.table.centres[name]
		if name == m.self.DataCentre || now.Before(dc.nextPing) {
			continue
		}
		dc.nextPing = now.Add(m.cfg.RelayInterval)
		if e := m.contact(dc, now); e != nil {
			msg := Message{Kind: KindPing}
			if m.silent(dc, now) {
				msg.Updates = []Update{m.self.update()} // the receiver may not know this member
			}
			m.send(e, msg)
		}
	}
}

// contact chooses the member of a data centre to talk to: its relays in turn,
// or any member if they stay silent.
func (m *Members) contact(dc *dataCentre, now time.Time) *entry {
	dc.pings++
	ring := m.table.ring(dc.name)
	if len(ring) == 0 {
		return nil
	}
	relays := m.table.relays(dc.name, m.cfg.Relays)
	if m.silent(dc, now) && dc.pings%2 == 0 {
		return ring[m.cfg.Rand.IntN(len(ring))]
	}
	return relays[dc.pings/2%len(relays)]
}

// silent reports whether a data centre did not answer the last pings.
func (m *Members) silent(dc *dataCentre, now time.Time) bool {
	return now.Sub(dc.heard) > 2*m.cfg.RelayInterval
}

// relayUpdates sends pending updates to every data centre that answers. A
// silent one gets them by table comparison when it comes back.
func (m *Members) relayUpdates() {
	if m.remote.empty() {
		return
	}
	msg := Message{Kind: KindGossip}
	m.remote.fill(&msg, remoteRetransmit)
	for _, name := range m.table.names {
		dc := m.table.centres[name]
		if name == m.self.DataCentre || dc.down {
			continue
		}
		if e := m.contact(dc, m.lastTick); e != nil {
			m.sendTo(e.Address, msg)
		}
	}
}

// centreHeard notes a message from a data centre and compares its rows if they
// differ for a while, because updates were lost or could not be sent, or the
// whole table if one side lacks a data centre.
func (m *Members) centreHeard(sender *entry, msg Message, now time.Time) {
	dc := m.table.centre(sender.DataCentre)
	dc.heard = now
	if dc.down {
		dc.down = false
		m.nextView = now
	}
	if !m.wasRelay || msg.DigestSum == 0 {
		return
	}
	scope := dc.name
	if msg.DataCentreHash != m.table.centresSum() {
		scope = ""
	}
	switch {
	case scope != "" && msg.DigestSum == dc.digest.sum():
		dc.differs = time.Time{}
	case dc.differs.IsZero():
		dc.differs = now
	case now.Sub(dc.differs) >= repairDelay:
		dc.differs = now
		m.sendSync(sender.Address, Message{Scope: scope})
	}
}

// refreshView publishes what this relay cannot reach within the data centre.
func (m *Members) refreshView(now time.Time) {
	var down []string
	for _, name := range m.table.names {
		dc := m.table.centres[name]
		if name == m.self.DataCentre || len(m.table.ring(name)) == 0 {
			continue
		}
		if dc.heard.IsZero() {
			dc.heard = now
		}
		dc.down = now.Sub(dc.heard) > m.cfg.DataCentreTimeout
		if dc.down && fits(m.self, down, name) {
			down = append(down, name)
		}
	}
	changed := !slices.Equal(down, m.self.unreachable)
	if !changed && (len(down) == 0 || now.Before(m.nextView)) {
		m.self.viewAt = now
		return
	}
	m.nextView = now.Add(viewInterval)
	m.self.view = max(m.self.view+1, uint64(now.UnixMilli()))
	m.self.viewAt = now
	m.self.unreachable = down
	m.local.add(m.self)
	m.nextReach = now
}

// fits reports whether a relay's update has room for one more data centre.
func fits(self *entry, down []string, name string) bool {
	u := Update{Member: self.Member, Unreachable: down}
	return u.size()+2+len(name) <= maxUpdateSize
}

// mergeViews reports data centres that no relay of the own one reaches.
func (m *Members) mergeViews(now time.Time) {
	relays := m.table.relays(m.self.DataCentre, m.cfg.Relays)
	for _, name := range m.table.names {
		dc := m.table.centres[name]
		unreachable := len(relays) > 0 && name != m.self.DataCentre
		for _, r := range relays {
			fresh := now.Sub(r.viewAt) <= viewLifetime
			unreachable = unreachable && fresh && slices.Contains(r.unreachable, name)
		}
		if unreachable == dc.unreachable {
			dc.flipped = now
		}
		// A relay that just took over has not published its view yet, which
		// must not pass for a reachable data centre.
		if unreachable != dc.unreachable && (unreachable || now.Sub(dc.flipped) >= settle) {
			dc.unreachable = unreachable
			m.out = append(m.out, DataCentreChanged{DataCentre: name, Reachable: !unreachable})
		}
	}
}
