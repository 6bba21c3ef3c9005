package gwstatement

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwtelemetry"
)

// Timeouts, intervals and sizes of caller connections.
const (
	// startupTimeout is how long a caller may take to open its session.
	startupTimeout = 5 * time.Second
	// answerWriteTimeout bounds the write of answerPartBytes of an answer to a caller that does
	// not read. Links of 2 Mbit/s take 4 s for a row of 1 MiB, and longer when they are shared.
	answerWriteTimeout = 5 * time.Second
	answerPartBytes    = 64 << 10
	acceptRetryDelay   = 10 * time.Millisecond
	callerBufferBytes  = 2 << 10
	// drainPollInterval is how often a draining server closes sessions that have become
	// idle.
	drainPollInterval = 20 * time.Millisecond
	// finalAnswerTime is how long the sessions that are left at the end of a drain may
	// take to answer the statements that are then ended.
	finalAnswerTime = 500 * time.Millisecond
)

// Handler opens the sessions of callers.
type Handler interface {
	// Open returns a new session on the database, or the failure to answer with.
	Open(ctx context.Context, startup Startup) (Session, *Failure)
}

// Session is one caller's session. It runs one statement at a time.
type Session interface {
	// Handle runs one statement and appends its whole answer to b.
	Handle(ctx context.Context, q Query, b []byte) []byte
	// Idle reports whether the session can be closed without loss to its caller.
	Idle() bool
	// Ended reports whether the connection is to be closed after the last answer.
	Ended() bool
	// Close releases what the session holds, such as an open transaction.
	Close()
}

// Options configures Serve.
type Options struct {
	Listener net.Listener
	Codec    CallerCodec
	Handler  Handler
	Logger   *slog.Logger
	// MaxConnections bounds the caller connections; 0 means no bound.
	MaxConnections int
	// Places bounds the caller connections in place of MaxConnections, if not nil.
	Places *gwbudget.Connections
	// Budget bounds the memory of messages and answers; nil for no bound.
	Budget *gwbudget.Budget
	// Unreadable records messages of callers that cannot be read; nil for none.
	Unreadable *gwtelemetry.Unreadable
}

// Server accepts callers on one listener.
type Server struct {
	o    Options
	ctx  context.Context
	stop context.CancelFunc
	// statements is the context of statements; it ends before ctx at the end of a drain.
	statements    context.Context
	endStatements context.CancelFunc
	draining      atomic.Bool
	wg            sync.WaitGroup

	places *gwbudget.Connections

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// callerConn is one connection of a caller.
type callerConn struct {
	nc net.Conn
	in callerReader
	// answers holds the memory of the answer that is written; nil for no bound.
	answers *gwbudget.Hold
	// leave gives the connection's place back.
	leave func()

	mu      sync.Mutex
	session Session // nil until the session is open
	busy    bool
	// awaitsSince is since when the caller's next bytes are awaited; zero while a statement runs.
	awaitsSince time.Time
	// readInterrupted means that the read deadline was set to end a wait for a message.
	readInterrupted bool
}

// Serve starts to accept callers and returns. When ctx ends, all connections are closed.
func Serve(ctx context.Context, o Options) *Server {
	s := &Server{o: o, conns: make(map[*callerConn]struct{}), places: o.Places}
	if s.places == nil {
		s.places = gwbudget.NewConnections("callers", o.MaxConnections, false, o.Budget)
	}
	s.ctx, s.stop = context.WithCancel(ctx)
	s.statements, s.endStatements = context.WithCancel(s.ctx)
	context.AfterFunc(s.ctx, s.closeAll)
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
			s.o.Logger.Warn("accepting a caller connection failed", "error", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := s.newCallerConn(nc)
		if !s.add(c) {
			_ = nc.Close()
			continue
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			defer s.remove(c)
			defer s.recoverPanic(c)
			if err := s.serve(c); err != nil {
				s.o.Logger.Debug("caller connection closed", "remote", nc.RemoteAddr().String(), "error", err.Error())
			}
		}()
	}
}

// recoverPanic ends only the session in which a panic occurred, not the process.
func (s *Server) recoverPanic(c *callerConn) {
	if cause := recover(); cause != nil {
		s.o.Logger.Error("session ended by a panic", "remote", c.nc.RemoteAddr().String(), "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	}
}

func (s *Server) remove(c *callerConn) {
	_ = c.nc.Close()
	c.leave()
	c.in.hold.Release()
	c.answers.Release()
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
	r := bufio.NewReaderSize(&c.in, callerBufferBytes)
	if ok, err := s.openSession(c, r); !ok || err != nil {
		return err
	}
	var out []byte
	for {
		if ended, err := s.awaitMessage(c, r); ended || err != nil {
			return err
		}
		m, err := s.readMessage(c, r)
		c.setAwaits(false)
		if err != nil {
			return err
		}
		q, ok := statementOf(m)
		if !ok {
			return nil
		}
		out = c.session.Handle(s.statements, s.refuseWithoutRoom(c, q), out[:0])
		c.in.release()
		err = c.write(out)
		c.setBusy(false)
		c.setAwaits(true)
		if err != nil || s.statements.Err() != nil || c.session.Ended() || s.endsSession(c, r) {
			return err
		}
		if cap(out) > maxKeptBufferBytes {
			out = nil
		}
	}
}

// readMessage reads one message and records it if it cannot be read.
func (s *Server) readMessage(c *callerConn, r *bufio.Reader) (Message, error) {
	m, err := s.o.Codec.ReadMessage(r)
	c.in.endMessage()
	if bad, ok := m.(Unparsed); ok {
		s.o.Unreadable.Record(gwtelemetry.FromCaller, c.nc.RemoteAddr().String(), bad.Reason, bad.Bytes, errors.New(bad.Text))
	}
	recordUnreadable(s.o.Unreadable, gwtelemetry.FromCaller, c.nc.RemoteAddr().String(), err)
	return m, err
}

// statementOf returns the statement of a message, and false if it ends the session. A message
// that cannot be parsed is answered like a statement that cannot.
func statementOf(m Message) (Query, bool) {
	switch m := m.(type) {
	case Query:
		return m, true
	case Unparsed:
		return Query{Statement: Invalid{Reason: m.Text}}, true
	case Startup:
		return Query{Statement: Invalid{Reason: "the session is open already"}}, true
	default:
		return Query{}, false
	}
}

// endsSession reports whether a session that has just been answered ends because of a drain. A
// caller that sends its next statement at once would hardly ever be found idle, and one of its
// statements would be ended at the end of the drain, while it runs.
func (s *Server) endsSession(c *callerConn, r *bufio.Reader) bool {
	return s.draining.Load() && c.session.Idle() && r.Buffered() == 0
}

// awaitMessage waits for the first byte of a message and marks the connection as busy.
// A draining server ends the wait of an idle session, and ended is true; a message whose
// first byte has been read is always answered.
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
		if c.clearInterrupt() {
			if err := c.nc.SetReadDeadline(time.Time{}); err != nil {
				return false, err
			}
		}
		if err == nil {
			return false, nil
		}
	}
}

// maxKeptBufferBytes bounds the buffer that a session or a connection to a server keeps between
// statements.
const maxKeptBufferBytes = 16 << 10

func (c *callerConn) setBusy(busy bool) {
	c.mu.Lock()
	c.busy = busy
	c.mu.Unlock()
}

// interruptIdleRead ends the wait for a message if the session is idle or not open yet.
// It holds the lock, so that a message whose first bytes have arrived is read
// completely.
func (c *callerConn) interruptIdleRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && (c.session == nil || c.session.Idle()) {
		c.readInterrupted = true
		_ = c.nc.SetReadDeadline(expiredDeadline)
	}
}

// clearInterrupt clears readInterrupted and reports whether it was set, in which case
// the read deadline has to be removed.
func (c *callerConn) clearInterrupt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	interrupted := c.readInterrupted
	c.readInterrupted = false
	return interrupted
}

// expiredDeadline is a deadline that ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// openSession reads the startup message and opens the session; ok is false if the
// handler refused it.
func (s *Server) openSession(c *callerConn, r *bufio.Reader) (ok bool, err error) {
	_ = c.nc.SetDeadline(time.Now().Add(startupTimeout))
	m, err := s.readMessage(c, r)
	if err != nil {
		return false, err
	}
	st, ok := m.(Startup)
	if !ok {
		_, _ = c.nc.Write(s.o.Codec.AppendFailure(nil, Failure{Code: Malformed, Text: "a session begins with a startup message"}))
		return false, &Error{Op: "start session", Kind: KindProtocol, Err: errors.Newf("message %T instead of a startup message", m)}
	}
	ses, failure := s.o.Handler.Open(gwbudget.WithHost(s.ctx, gwbudget.HostOf(c.nc)), st)
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
	c.in.release()
	c.in.inSession = true
	return true, c.nc.SetDeadline(time.Time{})
}

// Drain stops accepting, closes sessions as soon as they are idle, and waits for the
// others. When ctx ends first, the statements in progress are ended and answered, the
// remaining connections are closed, and ctx's error is returned.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	_ = s.o.Listener.Close()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	defer s.stop()
	if s.closeIdleUntil(ctx, done) {
		return nil
	}
	// A caller whose connection is closed without an answer does not know whether its
	// statement ran, and has to wait for the platform to offer it another instance.
	s.endStatements()
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalAnswerTime)
	defer cancel()
	if !s.closeIdleUntil(final, done) {
		s.stop()
		<-done
	}
	return &Error{Op: "drain sessions", Kind: KindShutdown, Err: ctx.Err()}
}

// closeIdleUntil closes idle sessions until all have ended, and returns false if ctx ends
// first.
func (s *Server) closeIdleUntil(ctx context.Context, done <-chan struct{}) bool {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for {
		s.CloseIdle()
		select {
		case <-done:
			return true
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
}

// CloseIdle closes the sessions that wait for a statement outside of a transaction.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interruptIdleRead()
	}
}

// closeAll closes the listener and all connections at once.
func (s *Server) closeAll() {
	_ = s.o.Listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.nc.Close()
	}
}
