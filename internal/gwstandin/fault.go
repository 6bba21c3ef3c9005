package gwstandin

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// Fault is the set of faults in force. The zero value is a healthy server.
type Fault struct {
	// Frozen stops the server without closing anything: no statement is read
	// or answered, nothing is replicated or announced.
	Frozen bool
	// CutPeers are the addresses of servers with which replication is cut,
	// in both directions.
	CutPeers []string
	// CutClients reports whether traffic with a client address is cut. No bytes
	// pass in either direction while it is, and they pass when it ends, like in
	// a network partition.
	CutClients func(remote net.Addr) bool
	// CutAnnouncements reports whether announcements to a URL are cut.
	CutAnnouncements func(url string) bool
	// ReplicaLag is added to the replication delay of a replica.
	ReplicaLag time.Duration
	// LoseAnswers is the number of next commits after which the connection is
	// closed instead of answered.
	LoseAnswers int
}

// faults holds the faults in force and wakes those that wait for their end.
type faults struct {
	current atomic.Pointer[faultState] // read several times in each statement
	lose    atomic.Int64
}

// faultState is replaced as a whole.
type faultState struct {
	fault   Fault
	changed chan struct{} // closed when the state is replaced
}

func newFaults() *faults {
	f := &faults{}
	f.current.Store(&faultState{changed: make(chan struct{})})
	return f
}

func (f *faults) set(fault Fault) {
	f.lose.Store(int64(fault.LoseAnswers))
	old := f.current.Swap(&faultState{fault: fault, changed: make(chan struct{})})
	close(old.changed)
}

func (f *faults) get() (*Fault, <-chan struct{}) {
	state := f.current.Load()
	return &state.fault, state.changed
}

// wait blocks while blocked reports true for the faults in force.
func (f *faults) wait(ctx context.Context, blocked func(*Fault) bool) error {
	for {
		fault, changed := f.get()
		if !blocked(fault) {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// thaw blocks while the server is frozen.
func (f *faults) thaw(ctx context.Context) error {
	return f.wait(ctx, func(fault *Fault) bool { return fault.Frozen })
}

// takeLostAnswer reports whether the answer to a commit must be lost.
func (f *faults) takeLostAnswer() bool {
	if f.lose.Load() <= 0 {
		return false
	}
	return f.lose.Add(-1) >= 0
}

func (f *Fault) refuses(peer string) bool { return slices.Contains(f.CutPeers, peer) }

// gatedConn is an accepted connection that stalls while a fault cuts it.
type gatedConn struct {
	net.Conn
	ctx    context.Context
	faults *faults
	client bool // known not to be a replica's, to which CutClients does not apply
}

func (c *gatedConn) cut(f *Fault) bool {
	return f.Frozen || c.client && f.CutClients != nil && f.CutClients(c.RemoteAddr())
}

// isClient marks the connection as a client's and waits until it is not cut.
func (c *gatedConn) isClient() error {
	c.client = true
	return c.faults.wait(c.ctx, c.cut)
}

// Read returns data only while the connection is not cut.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if gateErr := c.faults.wait(c.ctx, c.cut); gateErr != nil {
		return 0, gateErr
	}
	return n, err
}

// Write waits until the connection is not cut.
func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.faults.wait(c.ctx, c.cut); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
