package gwstandin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gentianward.example/gentianward/pkg/gwsession"
)

// Server is a stand-in of a database server. Its methods are safe for concurrent use.
type Server struct {
	o          Options
	log        *repLog
	readCopies []*dataCopy
	writeCopy  *dataCopy
	writeLock  chan struct{} // semaphore: full while a write transaction is open
	slots      chan struct{} // semaphore of executing statements; nil when unlimited
	faults     *faults
	statements atomic.Uint64

	mu        sync.Mutex // guards the fields below; taken after writeTxn.mu
	address   string
	role      Role
	fence     uint64 // lowest term that may write or replicate
	leaving   bool
	following *following
	openTxn   *writeTxn
	run       *serverRun    // nil while crashed or stopped
	changed   chan struct{} // closed when a change of state is to be announced at once
}

// Statements returns the number of read and write statements received for
// execution. Transaction control, SET, SHOW, DEALLOCATE and GENTIANWARD statements do
// not count.
func (s *Server) Statements() uint64 { return s.statements.Load() }

// serverRun is the state of a server between a start and the next crash or stop.
type serverRun struct {
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	wg       sync.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	sessions map[uint32]*session
	nextID   uint32
}

// Start starts a server that serves until Stop or Crash. The context bounds only
// the start.
func Start(ctx context.Context, o Options) (*Server, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	s := &Server{
		o:         o,
		log:       newRepLog(),
		writeCopy: &dataCopy{logger: o.Logger},
		writeLock: make(chan struct{}, 1),
		faults:    newFaults(),
		address:   o.Address,
		role:      o.Role,
		fence:     o.Term,
		changed:   make(chan struct{}),
	}
	for range o.ReadCopies {
		s.readCopies = append(s.readCopies, &dataCopy{logger: o.Logger})
	}
	if o.Slots > 0 {
		s.slots = make(chan struct{}, o.Slots)
	}
	if o.Role == RolePrimary {
		s.log.startTerm(o.Term)
	} else if o.PrimaryAddress != "" {
		s.following = newFollowing(o.Term, o.PrimaryAddress)
	}
	if err := s.Restart(ctx); err != nil {
		return nil, err
	}
	return s, nil
}

// Restart starts a crashed server again on the same address with its committed
// data, role, term and fence. It fails if the server is running.
func (s *Server) Restart(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.run != nil {
		return newError("restart server", KindOption, "", "server %q is running", s.o.Name)
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.address)
	if err != nil {
		return &Error{Op: "open listener", Kind: KindConnection, Err: err}
	}
	s.address = listener.Addr().String()
	r := &serverRun{listener: listener, conns: make(map[net.Conn]struct{}), sessions: make(map[uint32]*session)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	s.run = r
	r.wg.Go(func() { s.accept(r) })
	r.wg.Go(func() { s.catchUpInBackground(r.ctx) })
	for _, url := range s.o.Announce {
		r.wg.Go(func() { s.announce(r.ctx, url) })
	}
	if s.following != nil {
		f := newFollowing(s.following.term, s.following.address)
		f.dropped = s.following.dropped
		s.startReplication(r, f)
	}
	return nil
}

// Crash closes the listener and all connections at once. Open transactions are
// lost; committed ones are kept for Restart.
func (s *Server) Crash() {
	s.mu.Lock()
	r := s.run
	s.run = nil
	s.mu.Unlock()
	if r == nil {
		return
	}
	r.cancel()
	r.listener.Close()
	r.mu.Lock()
	for conn := range r.conns {
		conn.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// Stop shuts the server down and frees its data. The context bounds the wait for
// running statements.
func (s *Server) Stop(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Crash()
		for _, c := range append([]*dataCopy{s.writeCopy}, s.readCopies...) {
			c.mu.Lock()
			c.close()
			c.mu.Unlock()
		}
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &Error{Op: "stop server", Kind: KindConnection, Err: ctx.Err()}
	}
}

// Leave announces that the server is about to leave its group. It keeps serving.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.announceNow()
}

// Connections returns the number of client connections of each user.
func (s *Server) Connections() map[string]int {
	s.mu.Lock()
	r := s.run
	s.mu.Unlock()
	users := make(map[string]int)
	if r == nil {
		return users
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.sessions {
		users[c.user]++
	}
	return users
}

// SetFault replaces the active faults.
func (s *Server) SetFault(f Fault) { s.faults.set(f) }

// Address returns the listen address.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Name returns the name of the server.
func (s *Server) Name() string { return s.o.Name }

// Position returns the position at the end of the server's replication log.
func (s *Server) Position() gwsession.Position { return s.log.position() }

// Role returns the current role.
func (s *Server) Role() Role {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role
}

// announceNow makes the announcers send at once. The caller holds mu.
func (s *Server) announceNow() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// acceptRetry is the pause after a failed accept, for example when file
// descriptors have run out.
const acceptRetry = 10 * time.Millisecond

func (s *Server) accept(r *serverRun) {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			if r.ctx.Err() != nil {
				return
			}
			s.o.Logger.Error("accepting a connection failed", "error", err)
			if err := s.sleep(r.ctx, acceptRetry); err != nil {
				return
			}
			continue
		}
		r.mu.Lock()
		if r.ctx.Err() != nil {
			r.mu.Unlock()
			conn.Close()
			return
		}
		r.conns[conn] = struct{}{}
		r.mu.Unlock()
		r.wg.Go(func() {
			s.serve(r, conn)
			conn.Close()
			r.mu.Lock()
			delete(r.conns, conn)
			r.mu.Unlock()
		})
	}
}

// track registers a connection that the server opened, so that Crash closes it.
// It returns false if the run has ended.
func (r *serverRun) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

// untrack closes a tracked connection and forgets it.
func (r *serverRun) untrack(conn net.Conn) {
	conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// sleep waits for d on the server's clock or until the context ends.
func (s *Server) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := s.o.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
