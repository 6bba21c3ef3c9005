package gwsoak

import (
	"maps"
	"net/netip"
	"sync"
	"time"
)

// pair is a direction from one address to another.
type pair struct{ from, to netip.Addr }

// Network has the paths between the instances, and from the control instances to the
// platform.
type Network struct {
	mu      sync.Mutex
	paths   map[pair]*path
	proxies []*proxy
	links   map[netip.Addr]*proxy // by announced address
	regions map[netip.Addr]string // of the announced addresses
}

func newNetwork() *Network {
	return &Network{paths: make(map[pair]*path), links: make(map[netip.Addr]*proxy), regions: make(map[netip.Addr]string)}
}

func (n *Network) path(from, to netip.Addr) *path {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := pair{from, to}
	if n.paths[k] == nil {
		p := newPath()
		if a, b := n.regions[from], n.regions[to]; a != "" && b != "" && a != b {
			p.distance, p.rate = regionDelay, regionRate
		}
		n.paths[k] = p
	}
	return n.paths[k]
}

// locate says in which region an instance is, before its first connection.
func (n *Network) locate(a netip.Addr, region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regions[a] = region
}

// link forwards what other instances send to the announced address of an instance.
func (n *Network) link(announced, listens netip.AddrPort) error {
	to := announced.Addr()
	p, err := n.start(announced.String(), proxy{
		target: listens.String(), fromSource: true,
		paths: func(from netip.Addr) (there, back *path) { return n.path(from, to), n.path(to, from) },
	})
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[to] = p
	return nil
}

// silence makes an announced address silent for good: its connections and new ones to it.
func (n *Network) silence(a netip.Addr) {
	for k, p := range n.all() {
		if k.from == a || k.to == a {
			p.bury()
		}
	}
	setDropAll(n.proxyOf(a).listener)
}

// refuse makes an announced address refuse connections for good.
func (n *Network) refuse(a netip.Addr) { n.proxyOf(a).close() }

func (n *Network) proxyOf(a netip.Addr) *proxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[a]
}

// all returns a copy of the paths.
func (n *Network) all() map[pair]*path {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.paths)
}

// platformLink forwards the calls of one instance to the platform.
func (n *Network) platformLink(address string, from, platform netip.AddrPort, accepted func()) error {
	there, back := n.path(from.Addr(), platform.Addr()), n.path(platform.Addr(), from.Addr())
	p, err := n.start(address, proxy{
		target: platform.String(), accepted: accepted, paths: func(netip.Addr) (*path, *path) { return there, back },
	})
	if err != nil {
		return err
	}
	there.listen(p.listener)
	return nil
}

func (n *Network) start(address string, p proxy) (*proxy, error) {
	started, err := startProxy(address, p)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proxies = append(n.proxies, started)
	return started, nil
}

// cut makes the direction from one address to another silent.
func (n *Network) cut(from, to netip.Addr) { n.path(from, to).hold(true) }

// heal ends a cut.
func (n *Network) heal(from, to netip.Addr) { n.path(from, to).release() }

// connected reports whether both directions between two addresses are open.
func (n *Network) connected(a, b netip.Addr) bool {
	return !n.path(a, b).isHeld() && !n.path(b, a).isHeld()
}

// undisturbed reports whether both directions between two addresses are open without a delay.
func (n *Network) undisturbed(a, b netip.Addr) bool {
	return n.connected(a, b) && n.path(a, b).currentDelay() == 0 && n.path(b, a).currentDelay() == 0
}

// healAll ends all cuts and delays.
func (n *Network) healAll() {
	for _, p := range n.all() {
		p.setDelay(0)
		p.release()
	}
}

// bytes returns the number of bytes forwarded between two addresses, both ways.
func (n *Network) bytes(a, b netip.Addr) int64 {
	return n.path(a, b).bytes.Load() + n.path(b, a).bytes.Load()
}

// busiest returns the index of the address that exchanges most with the others during a time.
// Among control instances that is the leader, with which all others exchange heartbeats.
func (n *Network) busiest(during time.Duration, all []netip.Addr) int {
	exchanged := func() []int64 {
		sums := make([]int64, len(all))
		for i, a := range all {
			for _, b := range all {
				sums[i] += n.bytes(a, b)
			}
		}
		return sums
	}
	before := exchanged()
	time.Sleep(during)
	best, most := 0, int64(-1)
	for i, sum := range exchanged() {
		if d := sum - before[i]; d > most {
			best, most = i, d
		}
	}
	return best
}

func (n *Network) close() {
	n.mu.Lock()
	proxies := n.proxies
	n.mu.Unlock()
	for _, p := range proxies {
		p.close()
	}
	for _, p := range n.all() {
		p.end()
	}
}
