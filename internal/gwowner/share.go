package gwowner

import "gentianward.example/gentianward/internal/gwcontrol"

// cutOffShare is the part of a server's connections that is left to an instance
// which cannot reach the leader. Both sides of a partition take themselves for the
// owner of a server that both can reach: without a share each, the one that was
// first leaves no connection to the one that holds the lease.
const cutOffShare = 4

// connections returns the bound of connections to a server: this instance's share
// of what the manifest allows, or of what the server announces.
func (o *Owner) connections(f gwcontrol.ServerFacts) int {
	limit := f.Connections
	if m := o.views.Current().Manifest; m != nil {
		if g, ok := m.GroupNamed(f.Group); ok && g.Connections > 0 {
			limit = g.Connections
		}
	}
	if o.inContact == nil {
		return limit
	}
	return connectionShare(limit, o.inContact())
}

// connectionShare divides the connections of a server between the two sides of a
// partition.
func connectionShare(limit int, inContact bool) int {
	cutOff := max(1, limit/cutOffShare)
	if inContact {
		return max(1, limit-cutOff)
	}
	return cutOff
}

// ContactChanged applies the connection limits after the contact with the leader was
// lost or regained.
func (o *Owner) ContactChanged() {
	for _, s := range o.all() {
		s.applyLimits(o.views.Current())
	}
}
