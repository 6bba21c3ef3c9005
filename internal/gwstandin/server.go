package gwstandin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gentianward.example/gentianward/pkg/gwsession"
)

// Server is a running stand-in. Its methods are safe for concurrent use.
type Server struct {
	o          Options
	log        *repLog
	readers    []*dataCopy
	writer     *dataCopy
	writerLock chan struct{} // holds a token while a write transaction is open
	slots      chan struct{} // nil when unlimited
	faults     *faults
	statements atomic.Uint64

	mu      sync.Mutex // guards the fields below; taken after writeTxn.mu
	address string
	role    Role
	fence   uint64 // lowest acceptable term
	leaving bool
	follow  *follow
	openTxn *writeTxn
	run     *run          // nil while crashed or stopped
	changed chan struct{} // closed on a change that is announced at once
}

// Statements returns how many statements have reached the data, control
// statements not included.
func (s *Server) Statements() uint64 { return s.statements.Load() }

// run is the time between a start and a crash or stop.
type run struct {
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	wg       sync.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	sessions map[uint32]*session
	nextID   uint32
}

// Start listens and serves until Stop or Crash. The context bounds only the start.
func Start(ctx context.Context, o Options) (*Server, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	s := &Server{
		o:          o,
		log:        newRepLog(),
		writer:     &dataCopy{logger: o.Logger},
		writerLock: make(chan struct{}, 1),
		faults:     newFaults(),
		address:    o.Address,
		role:       o.Role,
		fence:      o.Term,
		changed:    make(chan struct{}),
	}
	for range o.ReadCopies {
		s.readers = append(s.readers, &dataCopy{logger: o.Logger})
	}
	if o.Slots > 0 {
		s.slots = make(chan struct{}, o.Slots)
	}
	if o.Role == RolePrimary {
		s.log.startTerm(o.Term)
	} else if o.PrimaryAddress != "" {
		s.follow = newFollow(o.Term, o.PrimaryAddress)
	}
	if err := s.Restart(ctx); err != nil {
		return nil, err
	}
	return s, nil
}

// Restart starts a crashed server again on the same address, with all
// committed data and with its old role, term and fence.
func (s *Server) Restart(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.run != nil {
		return newError("restart", KindOption, "", "server %q is running", s.o.Name)
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.address)
	if err != nil {
		return &Error{Op: "listen", Kind: KindConnection, Err: err}
	}
	s.address = listener.Addr().String()
	r := &run{listener: listener, conns: make(map[net.Conn]struct{}), sessions: make(map[uint32]*session)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	s.run = r
	r.wg.Go(func() { s.accept(r) })
	r.wg.Go(func() { s.applyInBackground(r.ctx) })
	for _, url := range s.o.Announce {
		r.wg.Go(func() { s.announce(r.ctx, url) })
	}
	if s.follow != nil {
		f := newFollow(s.follow.term, s.follow.address)
		f.dropped = s.follow.dropped
		s.startFollow(r, f)
	}
	return nil
}

// Crash closes the listener and all connections at once. Open transactions are
// lost and committed ones are kept for Restart.
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

// Stop ends the server and frees its data. The context bounds the wait for
// running statements.
func (s *Server) Stop(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Crash()
		for _, c := range append([]*dataCopy{s.writer}, s.readers...) {
			c.mu.Lock()
			c.close()
			c.mu.Unlock()
		}
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &Error{Op: "stop", Kind: KindConnection, Err: ctx.Err()}
	}
}

// Leave announces that the server is leaving. It keeps serving.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.announceNow()
}

// SetFault replaces the faults in force.
func (s *Server) SetFault(f Fault) { s.faults.set(f) }

// Address returns the listen address.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Name returns the name of the server.
func (s *Server) Name() string { return s.o.Name }

// Position returns the end of the server's replication log.
func (s *Server) Position() gwsession.Position { return s.log.position() }

// Role returns the current role.
func (s *Server) Role() Role {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role
}

// announceNow is called with mu held.
func (s *Server) announceNow() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// acceptRetry is the pause after a failed accept, such as one for want of
// file descriptors.
const acceptRetry = 10 * time.Millisecond

func (s *Server) accept(r *run) {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			if r.ctx.Err() != nil {
				return
			}
			s.o.Logger.Error("accept failed", "error", err)
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

// track adds a connection opened by the server, so that a crash closes it.
// It returns false when the run has ended.
func (r *run) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *run) untrack(conn net.Conn) {
	conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// sleep waits for d on the server's clock.
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
