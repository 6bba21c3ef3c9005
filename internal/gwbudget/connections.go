package gwbudget

import (
	"container/list"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"gentianward.example/gentianward/internal/gwtelemetry"
)

// Connections bounds the open connections of one purpose. When all are open, a new one takes the
// place of the oldest that can be closed of the host with the most connections.
type Connections struct {
	name  string
	limit int
	// replaceOwn lets a host's new connection take the place of its own oldest one, which is best
	// where each connection serves one short request.
	replaceOwn bool
	budget     *Budget

	mu     sync.Mutex
	count  int
	byHost map[string]*list.List // of *connection, the oldest first

	refused, replaced atomic.Int64
}

type connection struct {
	nc net.Conn
	// idle reports whether the connection can be closed without loss; nil for always.
	idle func() bool
}

// NewConnections returns an empty Connections; limit 0 means no bound. budget may be nil.
func NewConnections(name string, limit int, replaceOwn bool, budget *Budget) *Connections {
	return &Connections{name: name, limit: limit, replaceOwn: replaceOwn, budget: budget, byHost: make(map[string]*list.List)}
}

// HostOf returns the client of a connection: its IP address, or the /64 network of an IPv6 address.
func HostOf(nc net.Conn) string {
	a, err := netip.ParseAddrPort(nc.RemoteAddr().String())
	if err != nil {
		return ""
	}
	ip := a.Addr().Unmap().WithZone("")
	if ip.Is6() {
		const network = 64
		p, _ := ip.Prefix(network)
		return p.String()
	}
	return ip.String()
}

// Add adds a connection and returns the function that removes it, or nil if there is no place.
// idle reports whether it can be closed later without loss; nil for always.
func (c *Connections) Add(nc net.Conn, idle func() bool) (remove func()) {
	host := HostOf(nc)
	var replaced net.Conn
	c.mu.Lock()
	if c.limit > 0 && c.count >= c.limit {
		if replaced = c.makeRoom(host); replaced == nil {
			c.mu.Unlock()
			c.refused.Add(1)
			c.warn("connection refused, as all are in use", host)
			return nil
		}
	}
	l := c.byHost[host]
	if l == nil {
		l = list.New()
		c.byHost[host] = l
	}
	e := l.PushBack(&connection{nc: nc, idle: idle})
	c.count++
	c.mu.Unlock()
	if replaced != nil {
		c.replaced.Add(1)
		c.warn("connection closed for one of another client", HostOf(replaced))
		_ = replaced.Close()
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.remove(host, e)
	}
}

// remove removes a connection unless it was replaced; c.mu is held.
func (c *Connections) remove(host string, e *list.Element) {
	l := c.byHost[host]
	if l == nil {
		return
	}
	before := l.Len()
	l.Remove(e)
	c.count -= before - l.Len()
	if l.Len() == 0 {
		delete(c.byHost, host)
	}
}

// makeRoom removes a connection of the host with the most and returns it; c.mu is held. A host
// with as many connections as the others gets nothing from them.
func (c *Connections) makeRoom(newcomer string) net.Conn {
	own := 0
	if l := c.byHost[newcomer]; l != nil {
		own = l.Len()
	}
	most, largest := 0, ""
	for host, l := range c.byHost {
		if l.Len() > most {
			most, largest = l.Len(), host
		}
	}
	if own+1 >= most {
		if !c.replaceOwn {
			return nil
		}
		if own > 0 {
			largest = newcomer
		}
	}
	for e := c.byHost[largest].Front(); e != nil; e = e.Next() {
		if x := e.Value.(*connection); x.idle == nil || x.idle() {
			c.remove(largest, e)
			return x.nc
		}
	}
	return nil
}

func (c *Connections) warn(msg, host string) {
	if c.budget != nil {
		c.budget.warn(msg, "connections", c.name, "remote", host, "limit", c.limit)
	}
}

// Expose adds the gauges of the connections.
func (c *Connections) Expose(gauge func(name string, f func() float64, labels ...gwtelemetry.Label)) {
	label := gwtelemetry.Label{Name: "purpose", Value: c.name}
	gauge("gentianward_connections", func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return float64(c.count)
	}, label)
	gauge("gentianward_connections_limit", func() float64 { return float64(c.limit) }, label)
	gauge("gentianward_connections_refused", func() float64 { return float64(c.refused.Load()) }, label)
	gauge("gentianward_connections_replaced", func() float64 { return float64(c.replaced.Load()) }, label)
}

// Listen returns a listener whose connections are those of l that find a place.
func (c *Connections) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, connections: c}
}

type listener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if remove := l.connections.Add(nc, nil); remove != nil {
			return &listenerConn{Conn: nc, remove: remove}, nil
		}
		_ = nc.Close()
	}
}

// listenerConn gives its place back when it is closed.
type listenerConn struct {
	net.Conn
	once   sync.Once
	remove func()
}

// Close implements net.Conn.
func (c *listenerConn) Close() error {
	c.once.Do(c.remove)
	return c.Conn.Close()
}
