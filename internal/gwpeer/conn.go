package gwpeer

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/net/ipv4"
)

// blocklist is the set of addresses that are cut off for fault injection. Without fault
// injection it is empty, and a check of an empty list costs one atomic load.
type blocklist struct {
	mu    sync.Mutex
	addrs atomic.Pointer[map[netip.AddrPort]bool]
}

func (b *blocklist) setBlocked(addr netip.AddrPort, blocked bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := map[netip.AddrPort]bool{}
	if old := b.addrs.Load(); old != nil {
		for a := range *old {
			next[a] = true
		}
	}
	if blocked {
		next[addr] = true
	} else {
		delete(next, addr)
	}
	if len(next) == 0 {
		b.addrs.Store(nil)
		return
	}
	b.addrs.Store(&next)
}

func (b *blocklist) blocked(addr net.Addr) bool {
	return b.addrs.Load() != nil && b.contains(addrPort(addr))
}

func (b *blocklist) contains(addr netip.AddrPort) bool {
	set := b.addrs.Load()
	return set != nil && (*set)[addr]
}

// addrPort converts a UDP or TCP address to a comparable value, with IPv4-mapped IPv6
// addresses as IPv4.
func addrPort(addr net.Addr) netip.AddrPort {
	u, ok := addr.(interface{ AddrPort() netip.AddrPort })
	if !ok {
		return netip.AddrPort{}
	}
	ap := u.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// directConn is a UDP socket that drops the packets to and from blocked addresses. It
// keeps the methods that the QUIC library needs for batched reads and segmentation
// offload.
type directConn struct {
	*net.UDPConn
	batch     *ipv4.PacketConn
	blocklist *blocklist
}

func newDirectConn(c *net.UDPConn, b *blocklist) *directConn {
	return &directConn{UDPConn: c, batch: ipv4.NewPacketConn(c), blocklist: b}
}

// ReadBatch reads packets and drops those from blocked addresses.
func (c *directConn) ReadBatch(ms []ipv4.Message, flags int) (int, error) {
	for {
		n, err := c.batch.ReadBatch(ms, flags)
		if err != nil || c.blocklist.addrs.Load() == nil {
			return n, err
		}
		kept := 0
		for i := range n {
			if c.blocklist.blocked(ms[i].Addr) {
				continue
			}
			ms[kept], ms[i] = ms[i], ms[kept]
			kept++
		}
		if kept > 0 {
			return kept, nil
		}
	}
}

// WriteMsgUDP writes a packet unless its destination is blocked.
func (c *directConn) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	if c.blocklist.blocked(addr) {
		return len(b), len(oob), nil
	}
	return c.UDPConn.WriteMsgUDP(b, oob, addr)
}

// WriteTo writes a packet unless its destination is blocked.
func (c *directConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	if c.blocklist.blocked(addr) {
		return len(b), nil
	}
	return c.UDPConn.WriteTo(b, addr)
}

// shapedConn is a UDP socket that sends its packets through a delay queue. It does
// not implement the batched interface, so that each packet is shaped on its own.
type shapedConn struct {
	net.PacketConn
	udp       *net.UDPConn
	blocklist *blocklist
	local     netip.AddrPort
	queue     *delayQueue
	shaper    Shaper
}

func newShapedConn(c *net.UDPConn, b *blocklist, s Shaper) *shapedConn {
	sc := &shapedConn{PacketConn: c, udp: c, blocklist: b, local: addrPort(c.LocalAddr()), shaper: s}
	sc.queue = newDelayQueue(func(p []byte, to net.Addr) {
		if !b.blocked(to) {
			_, _ = c.WriteTo(p, to) // QUIC retransmits lost packets
		}
	})
	return sc
}

// ReadFrom returns the next packet from an address that is not blocked.
func (c *shapedConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, addr, err := c.udp.ReadFrom(p)
		if err != nil || !c.blocklist.blocked(addr) {
			return n, addr, err
		}
	}
}

// WriteTo queues a packet for the time that the shaper returns, or drops it if the
// shaper does or its destination is blocked.
func (c *shapedConn) WriteTo(p []byte, to net.Addr) (int, error) {
	if c.blocklist.blocked(to) {
		return len(p), nil
	}
	at, ok := c.shaper.Plan(c.local, addrPort(to), len(p), time.Now())
	if ok {
		c.queue.push(p, to, at)
	}
	return len(p), nil
}

// Close stops the delay queue and closes the socket.
func (c *shapedConn) Close() error {
	c.queue.close()
	return c.udp.Close()
}

// SetReadBuffer sets the size of the socket's receive buffer.
func (c *shapedConn) SetReadBuffer(n int) error { return c.udp.SetReadBuffer(n) }

// SetWriteBuffer sets the size of the socket's send buffer.
func (c *shapedConn) SetWriteBuffer(n int) error { return c.udp.SetWriteBuffer(n) }

// SyscallConn gives the QUIC library access to the socket's options.
func (c *shapedConn) SyscallConn() (syscall.RawConn, error) { return c.udp.SyscallConn() }
