package gwpeer

import (
	"net/netip"
	"sync"
	"time"
)

// Shaper computes delays and losses of packets between nodes, to simulate a network in
// demos and tests.
type Shaper interface {
	// Plan returns when a packet of size bytes that is sent at now arrives at its
	// destination; ok is false if the packet is lost. For one pair of addresses, the
	// times never decrease.
	Plan(from, to netip.AddrPort, size int, now time.Time) (at time.Time, ok bool)
}

// NetworkOptions configures the paths of a Network; zero values mean no delay and no
// bandwidth limit.
type NetworkOptions struct {
	IntraRegionDelay time.Duration // one-way delay between data centres of a region
	InterRegionDelay time.Duration // one-way delay between regions
	Bandwidth        int64         // bits per second from one region to another, shared by all links
}

// maxBacklog bounds the queueing delay of a path with limited bandwidth. Packets that
// would wait longer are lost, as at a router with a full buffer.
const maxBacklog = 200 * time.Millisecond

type location struct{ dataCentre, region string }

type regionPair struct{ from, to string }

// path is the state of the path from one region to another.
type path struct {
	freeAt time.Time // when the last planned packet leaves the sender
	bytes  int64
	drops  int64
}

// Network is a Shaper for data centres in regions. Delays are constant, and each
// ordered pair of regions has a queue with limited bandwidth.
type Network struct {
	opts NetworkOptions

	mu        sync.Mutex
	locations map[netip.AddrPort]location
	paths     map[regionPair]*path
}

// NewNetwork returns a network without nodes.
func NewNetwork(o NetworkOptions) *Network {
	return &Network{opts: o, locations: map[netip.AddrPort]location{}, paths: map[regionPair]*path{}}
}

// Place sets the data centre and region of the node at an "ip:port". Packets to and
// from addresses that have none are not delayed.
func (n *Network) Place(address, dataCentre, region string) error {
	ap, err := parseAddress(address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[ap] = location{dataCentre: dataCentre, region: region}
	return nil
}

// Plan implements Shaper.
func (n *Network) Plan(from, to netip.AddrPort, size int, now time.Time) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, okA := n.locations[from]
	b, okB := n.locations[to]
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

// Bytes returns how many bytes one region has sent to another.
func (n *Network) Bytes(fromRegion, toRegion string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.path(fromRegion, toRegion).bytes
}

// Drops returns how many packets from one region to another were lost because the
// queue was full.
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

// send queues a packet and returns when its last byte leaves the sender, or false if
// the queue is full.
func (p *path) send(now time.Time, size int, bandwidth int64) (time.Time, bool) {
	if bandwidth <= 0 {
		p.bytes += int64(size)
		return now, true
	}
	start := p.freeAt
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > maxBacklog {
		p.drops++
		return time.Time{}, false
	}
	p.bytes += int64(size)
	p.freeAt = start.Add(time.Duration(int64(size) * 8 * int64(time.Second) / bandwidth))
	return p.freeAt, true
}
