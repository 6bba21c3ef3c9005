package gwstatement

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Timing of the callers' side.
const (
	// startupTimeout is how long a caller may take to open its session.
	startupTimeout = 5 * time.Second
	// answerTimeout bounds the write of one answer to a caller that does not read.
	answerTimeout    = 5 * time.Second
	acceptRetryDelay = 10 * time.Millisecond
	callerBufferSize = 2 << 10
	// drainPoll is how often a draining server looks for sessions that have become idle.
	drainPoll = 20 * time.Millisecond
)

// Handler opens the sessions of callers.
type Handler interface {
	// Open returns the session of a caller of the database, or why there is none.
	Open(ctx context.Context, database string) (Session, *Failure)
}

// Session is one caller's session. It runs one statement at a time.
type Session interface {
	// Handle runs one statement and appends its whole answer to b.
	Handle(ctx context.Context, q Query, b []byte) []byte
	// Idle reports whether the session may end without harm to its caller.
	Idle() bool
	// Close releases what the session holds, such as an open transaction.
	Close()
}

// Options configures Serve.
type Options struct {
	Listener net.Listener
	Codec    CallerCodec
	Handler  Handler
	Logger   *slog.Logger
	// MaxConnections bounds the open sessions; 0 means no bound.
	MaxConnections int
}

// Server accepts callers on one listener.
type Server struct {
	o    Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// callerConn is one connection of a caller.
type callerConn struct {
	nc net.Conn

	mu      sync.Mutex
	session Session // nil until the session is open
	busy    bool
	// woken means that the read deadline was set to end a wait for a message.
	woken bool
}

// Serve starts to accept callers and returns. When ctx ends, all sessions are cut.
func Serve(ctx context.Context, o Options) *Server {
	s := &Server{o: o, conns: make(map[*callerConn]struct{})}
	s.ctx, s.stop = context.WithCancel(ctx)
	context.AfterFunc(s.ctx, s.cut)
	s.wg.Add(1)
	go s.accept()
	return s
}

// Address returns the listener's address.
func (s *Server) Address() net.Addr { return s.o.Listener.Addr() }

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		nc, err := s.o.Listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.o.Logger.Warn("accept failed", "error", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &callerConn{nc: nc}
		if !s.add(c) {
			_ = nc.Close()
			continue
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			defer s.remove(c)
			if err := s.serve(c); err != nil {
				s.o.Logger.Debug("caller connection closed", "remote", nc.RemoteAddr().String(), "error", err.Error())
			}
		}()
	}
}

func (s *Server) add(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.o.MaxConnections > 0 && len(s.conns) >= s.o.MaxConnections {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *callerConn) {
	_ = c.nc.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.mu.Lock()
	ses := c.session
	c.mu.Unlock()
	if ses != nil {
		ses.Close()
	}
}

// serve runs one session until the caller or the server ends it.
func (s *Server) serve(c *callerConn) error {
	r := bufio.NewReaderSize(c.nc, callerBufferSize)
	if ok, err := s.start(c, r); !ok || err != nil {
		return err
	}
	var out []byte
	for {
		if ended, err := s.awaitMessage(c, r); ended || err != nil {
			return err
		}
		m, err := s.o.Codec.ReadMessage(r)
		if err != nil {
			return err
		}
		q, ok := m.(Query)
		if !ok {
			return nil
		}
		out = c.session.Handle(s.ctx, q, out[:0])
		_ = c.nc.SetWriteDeadline(time.Now().Add(answerTimeout))
		_, err = c.nc.Write(out)
		c.setBusy(false)
		if err != nil {
			return err
		}
		if cap(out) > maxKeptAnswer {
			out = nil
		}
	}
}

// awaitMessage waits for the first byte of a message and marks the connection as
// busy. A draining server ends the wait of an idle session; a message whose first
// byte has been read is always answered.
func (s *Server) awaitMessage(c *callerConn, r *bufio.Reader) (ended bool, err error) {
	for {
		_, err := r.Peek(1)
		c.setBusy(err == nil)
		timeout := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err != nil && !timeout:
			return false, err
		case timeout && c.session.Idle():
			return true, nil
		}
		if c.clearWoken() {
			if err := c.nc.SetReadDeadline(time.Time{}); err != nil {
				return false, err
			}
		}
		if err == nil {
			return false, nil
		}
	}
}

// maxKeptAnswer bounds the buffer that a session keeps between statements.
const maxKeptAnswer = 16 << 10

func (c *callerConn) setBusy(busy bool) {
	c.mu.Lock()
	c.busy = busy
	c.mu.Unlock()
}

// wakeIdle ends the wait for a message if the session may end without harm. Under
// the lock, so that a message that has begun to arrive is read whole.
func (c *callerConn) wakeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && (c.session == nil || c.session.Idle()) {
		c.woken = true
		_ = c.nc.SetReadDeadline(past)
	}
}

// clearWoken reports whether the read deadline has to be taken back.
func (c *callerConn) clearWoken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	woken := c.woken
	c.woken = false
	return woken
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// start reads the startup message and opens the session; ok is false if there is none.
func (s *Server) start(c *callerConn, r *bufio.Reader) (ok bool, err error) {
	_ = c.nc.SetDeadline(time.Now().Add(startupTimeout))
	m, err := s.o.Codec.ReadMessage(r)
	if err != nil {
		return false, err
	}
	st, ok := m.(Startup)
	if !ok {
		return false, &Error{Op: "start session", Kind: KindProtocol, Err: errors.Newf("message %T before the startup", m)}
	}
	ses, failure := s.o.Handler.Open(s.ctx, st.Database)
	if failure != nil {
		_, err := c.nc.Write(s.o.Codec.AppendFailure(nil, *failure))
		return false, err
	}
	c.mu.Lock()
	c.session = ses
	c.mu.Unlock()
	if _, err := c.nc.Write(s.o.Codec.AppendReady(nil, 'I')); err != nil {
		return false, err
	}
	return true, c.nc.SetDeadline(time.Time{})
}

// Drain stops accepting, ends sessions when they are idle, and waits for the
// others. When ctx ends first, the remaining sessions are cut and ctx's error is
// returned.
func (s *Server) Drain(ctx context.Context) error {
	_ = s.o.Listener.Close()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for {
		s.CloseIdle()
		select {
		case <-done:
			s.stop()
			return nil
		case <-ctx.Done():
			s.stop()
			<-done
			return &Error{Op: "drain", Kind: KindShutdown, Err: ctx.Err()}
		case <-t.C:
		}
	}
}

// CloseIdle ends the sessions that wait for a statement outside of a transaction.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.wakeIdle()
	}
}

// cut ends all sessions at once.
func (s *Server) cut() {
	_ = s.o.Listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.nc.Close()
	}
}
