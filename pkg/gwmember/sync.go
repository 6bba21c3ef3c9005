package gwmember

import (
	"slices"
	"time"
)

// pagesPerSync bounds the burst that one sync causes; 8 pages hold about 90
// rows.
const pagesPerSync = 8

// joinSyncs bounds the comparisons after joining until the first that finds
// no difference. Pages of the first may be lost.
const joinSyncs = 10

// sync starts table comparisons: with a seed until joined and now and then
// later, with a random member, and as a relay with another data centre.
func (m *Members) sync(now time.Time) {
	if m.leaving {
		return
	}
	if !now.Before(m.nextSeed) {
		m.syncSeed(now)
	}
	if !now.Before(m.nextSync) {
		m.nextSync = now.Add(m.cfg.SyncInterval)
		if m.unsettled > 0 {
			m.unsettled--
			m.nextSync = now.Add(joinRetry)
		}
		if e := m.nearPeer(now); e != nil {
			m.sendSync(e.Address, Message{})
		}
	}
	if !now.Before(m.nextFarSync) {
		m.nextFarSync = now.Add(m.cfg.SyncInterval)
		if e := m.farPeer(now); e != nil && m.wasRelay {
			m.sendSync(e.Address, Message{Scope: m.randomCentre()})
		}
	}
}

// syncSeed asks the next seed: often while joining, then rarely and only those
// that are not known as live, so that groups that started apart or lost each
// other meet.
func (m *Members) syncSeed(now time.Time) {
	m.nextSeed = now.Add(seedRetry)
	if m.joined {
		m.nextSeed = now.Add(joinRetry)
	}
	if m.joined && m.unsettled == 0 && m.seed >= len(m.cfg.Seeds) {
		m.nextSeed = now.Add(seedInterval)
	}
	for range m.cfg.Seeds {
		address := m.cfg.Seeds[m.seed%len(m.cfg.Seeds)]
		m.seed++
		if address == m.self.Address || m.joined && m.knows(address) {
			continue
		}
		m.sendSync(address, Message{})
		return
	}
}

// AddSeeds adds peer addresses to join through, which are asked soon. Known ones
// stay: a seed that is gone costs a message now and then, and may come back.
func (m *Members) AddSeeds(addresses []string) {
	for _, a := range addresses {
		if !slices.Contains(m.cfg.Seeds, a) {
			// In front of those that have been asked.
			m.cfg.Seeds = append([]string{a}, m.cfg.Seeds...)
			m.seed = 0
			m.nextSeed = time.Time{}
		}
	}
}

// knows reports whether a live member has the address.
func (m *Members) knows(address string) bool {
	for _, e := range m.table.rows {
		if e.Address == address && e.status.Live() {
			return true
		}
	}
	return false
}

// nearPeer returns a random member of the own data centre, or of another one
// if there is none.
func (m *Members) nearPeer(now time.Time) *entry {
	for _, e := range m.randomLocal(1, nil) {
		return e
	}
	return m.farPeer(now)
}

// farPeer returns a member of a random other data centre.
func (m *Members) farPeer(now time.Time) *entry {
	name := m.randomCentre()
	if name == m.self.DataCentre {
		return nil
	}
	return m.contact(m.table.centres[name], now)
}

// randomCentre returns the name of any data centre.
func (m *Members) randomCentre() string {
	return m.table.names[m.cfg.Rand.IntN(len(m.table.names))]
}

// sendSync sends the digest of the table or of the scope in msg. Far syncs
// are scoped: with 23 rows in a bucket of the whole table, a few dozen changed
// rows made most of it travel, between every two data centres.
func (m *Members) sendSync(address string, msg Message) {
	msg.Kind = KindSync
	msg.Updates = []Update{{Member: m.self.Member, Status: m.self.status}}
	msg.Digest = m.table.scoped(msg.Scope).bytes()
	m.sendTo(address, msg)
}

// answerSync sends the rows of the buckets that differ, a bounded number of
// pages at once. The sender asks again for the rest.
func (m *Members) answerSync(sender *entry, msg Message) {
	if sender == nil || len(msg.Digest) != digestSize || m.leaving {
		return
	}
	diff, differs := m.table.scoped(msg.Scope).differing(msg.Digest, int(msg.NextBucket))
	page := Message{Kind: KindSyncPage, Scope: msg.Scope, Answer: !differs && msg.NextBucket == 0}
	next := m.sendPages(sender, page, m.rowsByBucket(msg.Scope, diff))
	if differs && next == 0 && !msg.Answer {
		m.sendSync(sender.Address, Message{Scope: msg.Scope, Answer: true})
	}
}

// sendPages sends rows and returns the first bucket that was left out, zero if
// none. The first page carries the own row, the last one what page says.
func (m *Members) sendPages(to *entry, last Message, rows [buckets][]*entry) (next uint16) {
	page := Message{Kind: KindSyncPage, Updates: []Update{m.self.update()}}
	room := page.room()
	pages := 1
	for b, bucket := range rows {
		if pages >= pagesPerSync && len(bucket) > 0 {
			next = uint16(b)
			break
		}
		for _, e := range bucket {
			u := e.update()
			if room -= u.size(); room < 0 {
				m.sendTo(to.Address, page)
				page = Message{Kind: KindSyncPage}
				room = page.room() - u.size()
				pages++
			}
			page.Updates = append(page.Updates, u)
		}
	}
	last.Updates, last.LastPage, last.NextBucket = page.Updates, true, next
	m.sendTo(to.Address, last)
	return next
}

// rowsByBucket returns the rows in the chosen buckets that count in the
// digest.
func (m *Members) rowsByBucket(scope string, diff [buckets]bool) [buckets][]*entry {
	var rows [buckets][]*entry
	for _, e := range m.table.rows {
		if b := bucketOf(e); diff[b] && e.sum != 0 && (scope == "" || scope == e.DataCentre) {
			rows[b] = append(rows[b], e)
		}
	}
	for _, bucket := range rows {
		slices.SortFunc(bucket, byPlace)
	}
	return rows
}

// compareLocal compares tables with the sender once every sum from the own
// data centre has differed for a while: this instance missed an update.
func (m *Members) compareLocal(sender *entry, msg Message, now time.Time) {
	switch {
	case msg.DigestSum == 0:
	case msg.DigestSum == m.table.digest.sum():
		m.differs = time.Time{}
	case m.differs.IsZero():
		m.differs = now
	case now.Sub(m.differs) >= localRepair && !m.leaving:
		m.differs = now
		m.sendSync(sender.Address, Message{})
	}
}

// paged continues a comparison. A joining instance has joined once a pass over
// the table is complete.
func (m *Members) paged(sender *entry, msg Message, now time.Time) {
	if sender == nil || m.leaving || !msg.LastPage {
		return
	}
	if msg.NextBucket > 0 {
		m.sendSync(sender.Address, Message{Scope: msg.Scope, NextBucket: msg.NextBucket})
		if !m.joined {
			m.nextSeed = now.Add(joinRetry)
		}
		return
	}
	if msg.Answer && msg.Scope == "" {
		m.unsettled = 0
	}
	if !m.joined && len(m.table.rows) > 1 {
		m.joined = true
		m.enqueue(m.self) // earlier announcements had nowhere to go
		m.unsettled = joinSyncs
		m.nextSync = now.Add(joinRetry)
	}
}
