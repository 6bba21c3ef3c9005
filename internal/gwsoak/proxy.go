package gwsoak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// chunkBytes is the size of one read, and queueChunks the number of chunks on their
	// way in one direction of a connection; then the sender waits.
	chunkBytes  = 32 << 10
	queueChunks = 64
	// connectTimeout bounds the connection of the proxy to its target.
	connectTimeout = time.Second
)

// proxy forwards the connections to one address.
type proxy struct {
	listener *net.TCPListener
	target   string
	// paths returns the paths there and back for connections from an address.
	paths func(from netip.Addr) (there, back *path)
	// fromSource makes the proxy connect to the target from the address of the dialer.
	fromSource bool
	// accepted, if set, is called right after a connection was accepted.
	accepted func()
}

func startProxy(address string, p proxy) (*proxy, error) {
	var lc net.ListenConfig
	lc.SetMultipathTCP(false) // its sockets take no filter; see setDrop
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p.listener = l.(*net.TCPListener)
	go p.acceptLoop()
	return &p, nil
}

func (p *proxy) close() { _ = p.listener.Close() }

func (p *proxy) acceptLoop() {
	for {
		c, err := p.listener.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if p.accepted != nil {
			p.accepted()
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(near *net.TCPConn) {
	from := near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	there, back := p.paths(from)
	there.add(near)
	defer there.remove(near)
	in := startReading(near, there)
	if !there.await(in.reset) {
		in.drain()
		_ = near.Close()
		return
	}
	far, err := p.dial(from)
	if err != nil {
		reset(near)
		in.drain()
		return
	}
	back.add(far)
	defer back.remove(far)
	var wg sync.WaitGroup
	wg.Go(func() { in.copyTo(far) })
	wg.Go(func() { startReading(far, back).copyTo(near) })
	wg.Wait()
	_, _ = near.Close(), far.Close()
}

func (p *proxy) dial(from netip.Addr) (*net.TCPConn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	if p.fromSource {
		d.LocalAddr = &net.TCPAddr{IP: net.IP(from.AsSlice())}
	}
	c, err := d.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// chunk is what was read at once, or the end of the connection if err is set.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// flow is what arrives on one direction of a connection.
type flow struct {
	src   *net.TCPConn
	path  *path
	queue chan chunk
	reset chan struct{} // closed when the sender has reset the connection
}

// startReading reads at once what arrives, so that a reset is noticed while the path is held.
func startReading(src *net.TCPConn, p *path) *flow {
	f := &flow{src: src, path: p, queue: make(chan chunk, queueChunks), reset: make(chan struct{})}
	go f.read()
	return f
}

func (f *flow) read() {
	for {
		b := make([]byte, chunkBytes)
		n, err := f.src.Read(b)
		if err != nil && !errors.Is(err, io.EOF) {
			close(f.reset)
		}
		if n > 0 || err != nil {
			f.queue <- chunk{data: b[:n], due: f.path.due(time.Now(), n), err: err}
		}
		if err != nil {
			return
		}
	}
}

// copyTo delivers what arrives until the flow ends. Held bytes are dropped if the sender has
// reset the connection.
func (f *flow) copyTo(dst *net.TCPConn) {
	for c := range f.queue {
		time.Sleep(time.Until(c.due))
		if !f.path.await(f.reset) {
			f.path.await(nil) // the reset is held as well
			reset(dst)
			f.drainAfter(c)
			return
		}
		f.path.bytes.Add(int64(len(c.data)))
		if _, err := dst.Write(c.data); err != nil {
			reset(f.src)
			f.drainAfter(c)
			return
		}
		if c.err != nil {
			end(dst, c.err)
			return
		}
	}
}

// drain reads the queue up to its end, so that its reader ends.
func (f *flow) drain() { f.drainAfter(chunk{}) }

func (f *flow) drainAfter(c chunk) {
	for c.err == nil {
		c = <-f.queue
	}
}

func end(dst *net.TCPConn, cause error) {
	if errors.Is(cause, io.EOF) {
		_ = dst.CloseWrite()
		return
	}
	reset(dst)
}
