package gwpeer

import (
	"net/netip"
	"sync"
	"time"
)

// Shaper plans the delivery of packets between the nodes of a simulated
// network, for demos and tests.
type Shaper interface {
	// Plan returns when a packet of size bytes, written at now, arrives at its
	// destination; ok is false when the packet is lost. For one pair of
	// addresses the times never decrease.
	Plan(from, to netip.AddrPort, size int, now time.Time) (at time.Time, ok bool)
}

// NetworkOptions describes the paths of a Network; zero values mean no delay
// and no limit.
type NetworkOptions struct {
	IntraRegionDelay time.Duration // one-way delay between data centres of a region
	InterRegionDelay time.Duration // one-way delay between regions
	Bandwidth        int64         // bits per second from one region to another, shared by all links
}

// maxBacklog bounds the queue in front of a limited path; packets that would
// wait longer are lost, as at a router with a full buffer.
const maxBacklog = 200 * time.Millisecond

type place struct{ dataCentre, region string }

type regionPair struct{ from, to string }

// path is the state of one direction between two regions.
type path struct {
	free  time.Time // when the last planned packet has been sent
	bytes int64
	drops int64
}

// Network is a Shaper for data centres in regions with constant delays and a
// token bucket per ordered pair of regions.
type Network struct {
	opts NetworkOptions

	mu     sync.Mutex
	places map[netip.AddrPort]place
	paths  map[regionPair]*path
}

// NewNetwork returns a network without nodes.
func NewNetwork(o NetworkOptions) *Network {
	return &Network{opts: o, places: map[netip.AddrPort]place{}, paths: map[regionPair]*path{}}
}

// Place tells where the node with an "ip:port" address is; packets of an
// address without a place are not delayed.
func (n *Network) Place(address, dataCentre, region string) error {
	ap, err := parseAddress(address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[ap] = place{dataCentre: dataCentre, region: region}
	return nil
}

// Plan implements Shaper.
func (n *Network) Plan(from, to netip.AddrPort, size int, now time.Time) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, okA := n.places[from]
	b, okB := n.places[to]
	if !okA || !okB || a.dataCentre == b.dataCentre {
		return now, true
	}
	if a.region == b.region {
		return now.Add(n.opts.IntraRegionDelay), true
	}
	p := n.path(a.region, b.region)
	sent, ok := p.send(now, size, n.opts.Bandwidth)
	return sent.Add(n.opts.InterRegionDelay), ok
}

// Bytes returns how many bytes of packets one region has sent to another.
func (n *Network) Bytes(fromRegion, toRegion string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.path(fromRegion, toRegion).bytes
}

// Drops returns how many packets between two regions were lost to a full queue.
func (n *Network) Drops(fromRegion, toRegion string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.path(fromRegion, toRegion).drops
}

func (n *Network) path(from, to string) *path {
	key := regionPair{from: from, to: to}
	p := n.paths[key]
	if p == nil {
		p = &path{}
		n.paths[key] = p
	}
	return p
}

// send takes the packet's share of the bandwidth and returns when its last
// byte has been sent.
func (p *path) send(now time.Time, size int, bandwidth int64) (time.Time, bool) {
	if bandwidth <= 0 {
		p.bytes += int64(size)
		return now, true
	}
	start := p.free
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > maxBacklog {
		p.drops++
		return time.Time{}, false
	}
	p.bytes += int64(size)
	p.free = start.Add(time.Duration(int64(size) * 8 * int64(time.Second) / bandwidth))
	return p.free, true
}
