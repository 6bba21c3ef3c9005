package gwmember

import "slices"

// overlayNeighbors is the number of members before and after an instance on the ring that
// are among its contacts. They watch each other in any case.
const overlayNeighbors = DefaultWatchers

// overlay holds the contacts of an instance in its own data centre.
type overlay struct {
	// forward holds the members that updates are passed on to: the next ones on the ring
	// and those at doubling distances after them.
	forward []*entry
	// all also contains the members before the instance.
	all []*entry
}

// newOverlay returns the overlay of self on the ring of its data centre.
//
// A message to another member needs a link, which costs a TLS handshake. With receivers
// chosen among all members, every instance of a data centre had a link to every other one
// within half a minute. The number of contacts grows with the logarithm of the number of
// members, and so does the number of hops in which forward reaches all of them.
func newOverlay(ring []*entry, self *entry) overlay {
	at := slices.Index(ring, self)
	if at < 0 || len(ring) < 2 {
		return overlay{}
	}
	var o overlay
	add := func(list []*entry, distance int) []*entry {
		e := ring[((at+distance)%len(ring)+len(ring))%len(ring)]
		if e == self || slices.Contains(list, e) {
			return list
		}
		return append(list, e)
	}
	for d := 1; d <= min(overlayNeighbors, len(ring)-1); d++ {
		o.forward = add(o.forward, d)
	}
	for d := 2 * overlayNeighbors; d < len(ring); d *= 2 {
		o.forward = add(o.forward, d)
	}
	o.all = slices.Clone(o.forward)
	for d := 1; d <= min(overlayNeighbors, len(ring)-1); d++ {
		o.all = add(o.all, -d)
	}
	return o
}

// contacts returns the overlay of this instance, recomputed after a change of the ring. An
// instance that has left keeps its contacts, to announce that it leaves.
func (m *Members) contacts() overlay {
	ring := m.table.ring(m.self.DataCentre)
	if !m.leaving && !slices.Equal(m.overlayRing, ring) {
		m.overlayRing, m.overlay = ring, newOverlay(ring, m.self)
	}
	return m.overlay
}

// Forward returns the members of the own data centre that this instance passes changes on
// to. If each member passes a change on once, it reaches the whole data centre.
func (m *Members) Forward() []Member { return membersOf(m.contacts().forward) }

// RemoteRelays returns the relays of each other reachable data centre.
func (m *Members) RemoteRelays() [][]Member {
	var out [][]Member
	for _, name := range m.table.dataCentreNames {
		if name == m.self.DataCentre || !m.Reachable(name) {
			continue
		}
		if relays := m.table.relays(name, m.cfg.Relays); len(relays) > 0 {
			out = append(out, membersOf(relays))
		}
	}
	return out
}

// membersOf returns the members of the live entries.
func membersOf(entries []*entry) []Member {
	out := make([]Member, 0, len(entries))
	for _, e := range entries {
		if e.status.Live() {
			out = append(out, e.Member)
		}
	}
	return out
}
