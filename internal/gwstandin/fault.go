package gwstandin

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// Fault is the set of active faults. The zero value is a healthy server.
type Fault struct {
	// Frozen suspends the server without closing its connections: it reads and
	// answers no statements, and replicates and announces nothing.
	Frozen bool
	// CutPeers are the addresses of servers with which replication is cut,
	// in both directions.
	CutPeers []string
	// CutClients reports whether traffic with a client address is cut. During the
	// cut no bytes pass in either direction; after it the delayed bytes are
	// delivered, as after a network partition.
	CutClients func(remote net.Addr) bool
	// CutAnnouncements reports whether announcements to a URL are cut.
	CutAnnouncements func(url string) bool
	// ReplicaLag is added to the replication delay of a replica.
	ReplicaLag time.Duration
	// LoseAnswers is the number of commits, from the next one on, after which the
	// connection is closed instead of answered.
	LoseAnswers int
}

// faults holds the active faults and wakes the goroutines that wait for their end.
type faults struct {
	current       atomic.Pointer[faultState] // atomic because each statement reads it several times
	answersToLose atomic.Int64
}

// faultState is immutable; every change of the faults replaces it.
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
	f.answersToLose.Store(int64(fault.LoseAnswers))
	old := f.current.Swap(&faultState{fault: fault, changed: make(chan struct{})})
	close(old.changed)
}

func (f *faults) get() (*Fault, <-chan struct{}) {
	state := f.current.Load()
	return &state.fault, state.changed
}

// wait blocks while blocked reports true for the active faults.
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

// waitUnfrozen blocks while the server is frozen.
func (f *faults) waitUnfrozen(ctx context.Context) error {
	return f.wait(ctx, func(fault *Fault) bool { return fault.Frozen })
}

// consumeLostAnswer reports whether the answer to the current commit must be lost, and
// counts it.
func (f *faults) consumeLostAnswer() bool {
	if f.answersToLose.Load() <= 0 {
		return false
	}
	return f.answersToLose.Add(-1) >= 0
}

func (f *Fault) cutsPeer(peer string) bool { return slices.Contains(f.CutPeers, peer) }

// faultConn is an accepted connection that blocks while a fault cuts it.
type faultConn struct {
	net.Conn
	ctx    context.Context
	faults *faults
	client bool // known not to be a replica's; CutClients applies only then
}

func (c *faultConn) cut(f *Fault) bool {
	return f.Frozen || c.client && f.CutClients != nil && f.CutClients(c.RemoteAddr())
}

// markClient marks the connection as a client's and waits until it is not cut.
func (c *faultConn) markClient() error {
	c.client = true
	return c.faults.wait(c.ctx, c.cut)
}

// Read returns data only while the connection is not cut.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if faultErr := c.faults.wait(c.ctx, c.cut); faultErr != nil {
		return 0, faultErr
	}
	return n, err
}

// Write waits until the connection is not cut.
func (c *faultConn) Write(p []byte) (int, error) {
	if err := c.faults.wait(c.ctx, c.cut); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
