package gwmember

import "time"

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
			m.startSync(e.Address, false)
		}
	}
	if !now.Before(m.nextFarSync) {
		m.nextFarSync = now.Add(m.cfg.SyncInterval)
		if e := m.farPeer(now); e != nil && m.wasRelay {
			m.startSync(e.Address, false)
		}
	}
}

// syncSeed asks the next seed: often until joined, then rarely and only those
// that are not known as live, so that groups that lost each other meet again.
func (m *Members) syncSeed(now time.Time) {
	wait := joinRetry
	if m.joined {
		wait = seedInterval
	}
	m.nextSeed = now.Add(wait)
	for range m.cfg.Seeds {
		address := m.cfg.Seeds[m.seed%len(m.cfg.Seeds)]
		m.seed++
		if address == m.self.Address || m.joined && m.knows(address) {
			continue
		}
		m.startSync(address, false)
		return
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
	name := m.table.names[m.cfg.Rand.IntN(len(m.table.names))]
	if name == m.self.DataCentre {
		return nil
	}
	return m.contact(m.table.centres[name], now)
}

// startSync sends the digest of the table.
func (m *Members) startSync(address string, answer bool) {
	m.sendSync(address, 0, answer)
}

func (m *Members) sendSync(address string, next uint16, answer bool) {
	self := Update{Member: m.self.Member, Status: m.self.status}
	m.sendTo(address, Message{
		Kind:    KindSync,
		Updates: []Update{self},
		Digest:  m.table.digestBytes(),
		Next:    next,
		Answer:  answer,
	})
}

// answerSync sends the rows of the buckets that differ, a bounded number of
// pages at once. The sender asks again for the rest.
func (m *Members) answerSync(sender *entry, msg Message) {
	if sender == nil || len(msg.Digest) != digestSize || m.leaving {
		return
	}
	diff, differs := m.table.differing(msg.Digest, int(msg.Next))
	next := m.sendPages(sender, diff, !differs && msg.Next == 0)
	if differs && next == 0 && !msg.Answer {
		m.startSync(sender.Address, true)
	}
}

// sendPages sends the rows of some buckets and returns the first bucket that
// was left out, zero if none. Equal tells the receiver that nothing differs.
func (m *Members) sendPages(to *entry, diff [buckets]bool, equal bool) (next uint16) {
	rows := m.rowsByBucket(diff)
	page := Message{Kind: KindPage, Updates: []Update{m.self.update()}}
	room := page.room()
	pages := 1
	for b, bucket := range rows {
		if pages >= pagesPerSync && len(bucket) > 0 {
			page.Next = uint16(b)
			break
		}
		for _, e := range bucket {
			u := e.update()
			if room -= u.size(); room < 0 {
				m.sendTo(to.Address, page)
				page = Message{Kind: KindPage}
				room = page.room() - u.size()
				pages++
			}
			page.Updates = append(page.Updates, u)
		}
	}
	page.Last = true
	page.Answer = equal
	m.sendTo(to.Address, page)
	return page.Next
}

// rowsByBucket returns the rows in the chosen buckets that count in the
// digest.
func (m *Members) rowsByBucket(diff [buckets]bool) [buckets][]*entry {
	var rows [buckets][]*entry
	for _, e := range m.table.rows {
		if b := bucketOf(e); diff[b] && e.sum != 0 {
			rows[b] = append(rows[b], e)
		}
	}
	return rows
}

// paged continues a comparison. A joining instance has joined once a pass over
// the table is complete.
func (m *Members) paged(sender *entry, msg Message, now time.Time) {
	if sender == nil || m.leaving || !msg.Last {
		return
	}
	if msg.Next > 0 {
		m.sendSync(sender.Address, msg.Next, false)
		if !m.joined {
			m.nextSeed = now.Add(joinRetry)
		}
		return
	}
	if msg.Answer {
		m.unsettled = 0
	}
	if !m.joined && len(m.table.rows) > 1 {
		m.joined = true
		m.enqueue(m.self) // earlier announcements had nowhere to go
		m.unsettled = joinSyncs
		m.nextSeed = now.Add(seedInterval)
		m.nextSync = now.Add(joinRetry)
	}
}
