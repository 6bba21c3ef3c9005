package gwowner

import "gentianward.example/gentianward/internal/gwbackend"

// ServerConnections describes the connections to one owned server.
type ServerConnections struct {
	Server, Group string
	Stats         gwbackend.Stats
	// ByCustomer has the numbers of open connections of customers.
	ByCustomer map[string]int
}

// Connections returns the connections to the owned servers.
func (o *Owner) Connections() []ServerConnections {
	var out []ServerConnections
	for _, s := range o.ownedServers() {
		f, p := s.facts(), s.backend.Pool()
		out = append(out, ServerConnections{Server: f.Server, Group: f.Group, Stats: p.Stats(), ByCustomer: p.OpenByUser()})
	}
	return out
}
