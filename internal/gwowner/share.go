package gwowner

import "gentianward.example/gentianward/internal/gwcontrol"

// isolatedShareDivisor is the number by which a server's connection limit is divided for
// an instance that cannot reach the leader. Both sides of a partition consider themselves
// the owner of a server that both can reach. Without separate shares, the side that
// connects first could leave no connection for the side that holds the lease.
const isolatedShareDivisor = 4

// connectionLimit returns the greatest number of connections to a server: this instance's
// share of the limit in the manifest or else of the one that the server announces.
func (o *Owner) connectionLimit(f gwcontrol.ServerFacts) int {
	limit := f.Connections
	if m := o.views.Current().Manifest; m != nil {
		if g, ok := m.GroupByName(f.Group); ok && g.Connections > 0 {
			limit = g.Connections
		}
	}
	if o.inContact == nil {
		return limit
	}
	return connectionShare(limit, o.inContact())
}

// connectionShare returns the share of a server's connections for the side of a partition
// that can, or cannot, reach the leader.
func connectionShare(limit int, inContact bool) int {
	isolated := max(1, limit/isolatedShareDivisor)
	if inContact {
		return max(1, limit-isolated)
	}
	return isolated
}

// ContactChanged updates the connection limits after the leader has become reachable or
// unreachable.
func (o *Owner) ContactChanged() {
	for _, s := range o.ownedServers() {
		s.applyLimits(o.views.Current())
	}
}
