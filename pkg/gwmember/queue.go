package gwmember

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// retransmit times log2 of the members is how often an update is sent.
	retransmit = 2
	// minRetransmit holds in small data centres: with 8 transmissions among 10
	// members and 20% loss, one death in 40 did not reach one member.
	minRetransmit = 16
	// remoteRetransmit is how often a relay sends an update to each other
	// data centre; table comparisons repair what is lost.
	remoteRetransmit = 2
	// maxQueue bounds the updates that wait to be sent.
	maxQueue = 512
)

// queue holds rows to be sent, the least sent first.
type queue struct {
	items []queued
}

type queued struct {
	row  *entry
	sent int
}

// add queues a row anew. A full queue drops the row that was sent most.
func (q *queue) add(e *entry) {
	q.remove(e)
	if len(q.items) >= maxQueue {
		q.items = q.items[:maxQueue-1]
	}
	q.items = slices.Insert(q.items, 0, queued{row: e})
}

func (q *queue) remove(e *entry) {
	q.items = slices.DeleteFunc(q.items, func(i queued) bool { return i.row == e })
}

func (q *queue) empty() bool { return len(q.items) == 0 }

// fill adds the least sent updates that fit and drops those sent often enough.
func (q *queue) fill(msg *Message, limit int) {
	if q.empty() {
		return
	}
	room := msg.room()
	for i := range q.items {
		item := &q.items[i]
		if has(msg, item.row) {
			continue
		}
		u := item.row.update()
		if room -= u.size(); room < 0 {
			break
		}
		msg.Updates = append(msg.Updates, u)
		item.sent++
	}
	q.items = slices.DeleteFunc(q.items, func(i queued) bool { return i.sent >= limit })
	slices.SortStableFunc(q.items, func(a, b queued) int { return a.sent - b.sent })
}

func has(msg *Message, e *entry) bool {
	return slices.ContainsFunc(msg.Updates, func(u Update) bool {
		return u.Member.Instance == e.Instance
	})
}

// limit is how often an update is sent within the data centre.
func (m *Members) limit() int {
	return max(minRetransmit, retransmit*bits.Len(uint(len(m.table.ring(m.self.DataCentre)))))
}

// gossip sends pending updates to a few random members.
func (m *Members) gossip(now time.Time) {
	if now.Before(m.nextGossip) {
		return
	}
	m.nextGossip = now.Add(m.cfg.GossipInterval)
	if !m.local.empty() {
		m.gossipNow()
	}
	if !m.remote.empty() && m.wasRelay {
		m.relayUpdates()
	}
}

func (m *Members) gossipNow() {
	for _, e := range m.randomLocal(m.cfg.GossipFanout, nil) {
		m.send(e, Message{Kind: KindGossip})
	}
}

// randomLocal returns up to n distinct live members of the own data centre
// other than this instance and one more.
func (m *Members) randomLocal(n int, except *entry) []*entry {
	ring := m.table.ring(m.self.DataCentre)
	if len(ring) == 0 {
		return nil
	}
	chosen := make([]*entry, 0, n)
	for tries := 0; len(chosen) < n && tries < 4*n; tries++ {
		e := ring[m.cfg.Rand.IntN(len(ring))]
		if e != m.self && e != except && !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}
