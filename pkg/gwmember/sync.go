package gwmember

import (
	"slices"
	"time"
)

// pagesPerSync bounds the number of messages that answer one sync; 8 pages hold about 90
// rows.
const pagesPerSync = 8

// joinSyncs is the maximum number of comparisons after joining. They end with the first one
// that finds no difference; several may be needed because pages can be lost.
const joinSyncs = 10

// maxSettling bounds the time between joining and the first messages to the contacts.
const maxSettling = time.Second

// sync starts the table comparisons that are due: with the seeds until joined, with the
// member through which another part of the deployment was found, with a random member and,
// on a relay, with another data centre.
func (m *Members) sync(now time.Time) {
	if m.leaving {
		return
	}
	if !now.Before(m.nextSeedSync) {
		m.syncSeed(now)
	}
	m.syncReunited(now)
	if m.settling(now) {
		m.syncSettling(now)
	} else if !now.Before(m.nextLocalSync) {
		m.nextLocalSync = now.Add(m.cfg.SyncInterval)
		if m.joinSyncsLeft > 0 {
			m.joinSyncsLeft--
			m.nextLocalSync = now.Add(joinRetry)
		}
		if e := m.localPeer(now); e != nil {
			m.sendSync(e.Address, Message{})
		}
	}
	if !now.Before(m.nextRemoteSync) {
		m.nextRemoteSync = now.Add(m.cfg.SyncInterval)
		if e := m.remotePeer(now); e != nil && m.wasRelay {
			m.sendSync(e.Address, Message{Scope: m.randomDataCentre()})
		}
	}
}

// settling reports whether this instance has just joined and may not know the ring of its
// data centre yet. Until then it only compares tables with the member of it through which it
// joined. When all instances start at once, each would otherwise open links to the contacts
// and, as one that takes itself for a relay, to the relays of each partial ring.
func (m *Members) settling(now time.Time) bool { return now.Before(m.settleUntil) }

func (m *Members) syncSettling(now time.Time) {
	if now.Before(m.nextLocalSync) {
		return
	}
	m.nextLocalSync = now.Add(seedRetry)
	m.sendSync(m.joinedWith.Address, Message{})
}

// syncSeed starts a comparison with the next seed until this instance has joined, and then
// with each remaining seed that is not a live member, so that parts of a deployment that
// started separately merge. After that, reconnect tries the seeds. A control-only instance tries
// all seeds at once until it has joined: it is to have a vote soon, and some of the seeds may be
// gone, among them the one that it replaces.
func (m *Members) syncSeed(now time.Time) {
	if m.joined && m.joinSyncsLeft == 0 && m.seedIndex >= len(m.cfg.Seeds) {
		return
	}
	m.nextSeedSync = now.Add(seedRetry)
	if m.joined {
		m.nextSeedSync = now.Add(joinRetry)
	}
	for range m.cfg.Seeds {
		address := m.cfg.Seeds[m.seedIndex%len(m.cfg.Seeds)]
		m.seedIndex++
		if address == m.self.Address || m.joined && m.hasLiveAddress(address) {
			continue
		}
		m.sendSync(address, Message{})
		if m.joined || !m.self.ControlOnly {
			return
		}
	}
}

// maxFormerSeeds is the number of seeds of earlier settings that are still tried.
const maxFormerSeeds = 16

// AddSeeds makes addresses the peer addresses to join through, which are tried soon. The last
// earlier ones stay: one that no longer exists costs at most a ping per reconnect attempt, and it
// may come back.
func (m *Members) AddSeeds(addresses []string) {
	if !slices.ContainsFunc(addresses, func(a string) bool { return !slices.Contains(m.cfg.Seeds, a) }) {
		return
	}
	former := slices.DeleteFunc(slices.Clone(m.cfg.Seeds), func(a string) bool { return slices.Contains(addresses, a) })
	m.cfg.Seeds = slices.Concat(addresses, former[:min(len(former), maxFormerSeeds)])
	m.seedIndex = 0
	m.nextSeedSync = time.Time{}
}

// hasLiveAddress reports whether a live member has the address.
func (m *Members) hasLiveAddress(address string) bool {
	for _, e := range m.table.rows {
		if e.Address == address && e.status.Live() {
			return true
		}
	}
	return false
}

// localPeer returns a random contact in the own data centre, or a member of another one
// if there is none.
func (m *Members) localPeer(now time.Time) *entry {
	for _, e := range m.randomLocal(1, nil) {
		return e
	}
	return m.remotePeer(now)
}

// remotePeer returns a member of a random other data centre.
func (m *Members) remotePeer(now time.Time) *entry {
	name := m.randomDataCentre()
	if name == m.self.DataCentre {
		return nil
	}
	return m.chooseContact(m.table.dataCentres[name], now)
}

// randomDataCentre returns the name of a random data centre, which may be the own one.
func (m *Members) randomDataCentre() string {
	return m.table.dataCentreNames[m.cfg.Rand.IntN(len(m.table.dataCentreNames))]
}

// sendSync sends the digest of the table, or of msg.Scope if set. Relays scope their syncs
// with other data centres unless one side lacks a data centre: with 3,000 members, a bucket
// of the whole table has 23 rows, so a few dozen changed rows caused most of the table to be
// sent between every two data centres.
func (m *Members) sendSync(address string, msg Message) {
	msg.Kind = KindSync
	msg.Updates = []Update{{Member: m.self.Member, Status: m.self.status}}
	msg.Digest = m.table.scopedDigest(msg.Scope).bytes()
	m.sendTo(address, msg)
}

// onSync sends the rows of the buckets that differ, on a limited number of pages. The
// sender of the sync asks again for the rest.
func (m *Members) onSync(sender *entry, msg Message) {
	if sender == nil || len(msg.Digest) != digestSize || m.leaving {
		return
	}
	diff, differs := m.table.scopedDigest(msg.Scope).differing(msg.Digest, int(msg.NextBucket))
	page := Message{Kind: KindSyncPage, Scope: msg.Scope, Answer: !differs && msg.NextBucket == 0}
	next := m.sendPages(sender, page, m.rowsByBucket(msg.Scope, diff))
	if differs && next == 0 && !msg.Answer {
		m.sendSync(sender.Address, Message{Scope: msg.Scope, Answer: true})
	}
}

// sendPages sends rows and returns the first bucket that was left out, zero if there is
// none. The first page includes the own row; the last one has the other fields of last.
func (m *Members) sendPages(to *entry, last Message, rows [buckets][]*entry) (next uint16) {
	page := Message{Kind: KindSyncPage, Updates: []Update{m.self.update()}}
	room := page.freeBytes()
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
				room = page.freeBytes() - u.size()
				pages++
			}
			page.Updates = append(page.Updates, u)
		}
	}
	last.Updates, last.LastPage, last.NextBucket = page.Updates, true, next
	m.sendTo(to.Address, last)
	return next
}

// rowsByBucket returns the rows of the buckets in diff that count in the digest.
func (m *Members) rowsByBucket(scope string, diff [buckets]bool) [buckets][]*entry {
	var rows [buckets][]*entry
	for _, e := range m.table.rows {
		if b := bucketOf(e); diff[b] && e.hash != 0 && (scope == "" || scope == e.DataCentre) {
			rows[b] = append(rows[b], e)
		}
	}
	for _, bucket := range rows {
		slices.SortFunc(bucket, byRingHash)
	}
	return rows
}

// observeLocalSender compares tables with the sender if every digest received from the own
// data centre has differed for localRepairDelay: this instance missed an update.
func (m *Members) observeLocalSender(sender *entry, msg Message, now time.Time) {
	switch {
	case msg.DigestSum == 0:
	case msg.DigestSum == m.table.digest.fold():
		m.differsSince = time.Time{}
	case m.differsSince.IsZero():
		m.differsSince = now
	case now.Sub(m.differsSince) >= localRepairDelay && !m.leaving:
		m.differsSince = now
		m.sendSync(sender.Address, Message{})
	}
}

// endJoin ends what a comparison without a difference ends: settling or, in a later one with
// a contact, the comparisons after joining.
func (m *Members) endJoin(now time.Time) {
	if !m.settling(now) {
		m.joinSyncsLeft = 0
		return
	}
	m.settleUntil = time.Time{}
	m.nextLocalSync = now.Add(joinRetry)
}

// onSyncPage continues a comparison. A joining instance has joined once a comparison of
// the whole table is complete.
func (m *Members) onSyncPage(sender *entry, msg Message, now time.Time) {
	if sender == nil || m.leaving || !msg.LastPage {
		return
	}
	if msg.NextBucket > 0 {
		m.sendSync(sender.Address, Message{Scope: msg.Scope, NextBucket: msg.NextBucket})
		if !m.joined {
			m.nextSeedSync = now.Add(joinRetry)
		}
		return
	}
	if msg.Answer && msg.Scope == "" {
		m.endJoin(now)
		m.reunion.complete(sender)
	}
	if !m.joined && len(m.table.rows) > 1 {
		m.joined = true
		m.enqueue(m.self) // earlier announcements had no receiver
		m.joinSyncsLeft = joinSyncs
		m.nextLocalSync = now.Add(joinRetry)
		if sender.DataCentre == m.self.DataCentre {
			m.joinedWith, m.settleUntil = sender, now.Add(maxSettling)
			m.nextLocalSync = now.Add(seedRetry)
		}
	}
}
