package gwmember

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// transmitFactor times log2 of the number of members is how often an instance sends
	// an update.
	transmitFactor = 2
	// minTransmissions applies to small data centres: with 8 transmissions among 10
	// members and 20% packet loss, 1 of 40 deaths did not reach one of the members.
	minTransmissions = 16
	// pageTransmissions is how often an instance sends an update that it received by a table
	// comparison. After a partition these are hundreds, which most members of one side know.
	pageTransmissions = 4
	// remoteTransmissions is how often a relay sends an update to each other data
	// centre; table comparisons repair losses.
	remoteTransmissions = 2
	// maxQueue is the maximum number of updates that wait to be sent.
	maxQueue = 512
)

// queue holds rows to send, ordered by how often they were sent, least often first.
type queue struct {
	items []queuedRow
}

type queuedRow struct {
	row  *entry
	sent int
}

// add puts a row at the front, as not sent yet. A full queue drops the row that was sent
// most often.
func (q *queue) add(e *entry) {
	q.remove(e)
	if len(q.items) >= maxQueue {
		q.items = q.items[:maxQueue-1]
	}
	q.items = slices.Insert(q.items, 0, queuedRow{row: e})
}

func (q *queue) remove(e *entry) {
	q.items = slices.DeleteFunc(q.items, func(i queuedRow) bool { return i.row == e })
}

// setSent makes a queued row count as sent the given number of times.
func (q *queue) setSent(e *entry, sent int) {
	for i := range q.items {
		if q.items[i].row == e {
			q.items[i].sent = sent
		}
	}
}

func (q *queue) empty() bool { return len(q.items) == 0 }

// fill adds the least often sent updates that fit to msg and drops those that were sent
// limit times.
func (q *queue) fill(msg *Message, limit int) {
	if q.empty() {
		return
	}
	room := msg.freeBytes()
	for i := range q.items {
		item := &q.items[i]
		if containsRow(msg, item.row) {
			continue
		}
		u := item.row.update()
		if room -= u.size(); room < 0 {
			break
		}
		msg.Updates = append(msg.Updates, u)
		item.sent++
	}
	q.items = slices.DeleteFunc(q.items, func(i queuedRow) bool { return i.sent >= limit })
	slices.SortStableFunc(q.items, func(a, b queuedRow) int { return a.sent - b.sent })
}

func containsRow(msg *Message, e *entry) bool {
	return slices.ContainsFunc(msg.Updates, func(u Update) bool {
		return u.Member.Instance == e.Instance
	})
}

// transmitLimit returns how often an update is sent within the data centre.
func (m *Members) transmitLimit() int {
	return max(minTransmissions, transmitFactor*bits.Len(uint(len(m.table.ring(m.self.DataCentre)))))
}

// gossip sends pending updates to a few random contacts.
func (m *Members) gossip(now time.Time) {
	if now.Before(m.nextGossip) || m.settling(now) {
		return
	}
	m.nextGossip = now.Add(m.cfg.GossipInterval)
	if !m.local.empty() {
		m.gossipNow()
	}
	if m.wasRelay {
		m.relayUpdates()
	}
}

func (m *Members) gossipNow() {
	for _, e := range m.randomLocal(m.cfg.GossipFanout, nil) {
		m.send(e, Message{Kind: KindGossip})
	}
}

// randomLocal returns up to n distinct contacts in random order, without except and without
// suspects, which probably receive nothing.
func (m *Members) randomLocal(n int, except *entry) []*entry {
	contacts := m.contacts().all
	chosen := make([]*entry, 0, n)
	for tries := 0; len(chosen) < n && tries < 4*n && len(contacts) > 0; tries++ {
		e := contacts[m.cfg.Rand.IntN(len(contacts))]
		if e != except && e.status == StatusAlive && !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}
