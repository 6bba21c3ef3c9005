package gwwire

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Server accepts and serves callers on one listener.
type Server struct {
	options   Options
	limits    atomic.Pointer[Limits]
	log       *slog.Logger
	ctx       context.Context
	cancelCtx context.CancelFunc
	wg        sync.WaitGroup
	sessions  sessionRegistry
	draining  atomic.Bool

	openConns, accepted, refused atomic.Int64
	requests, canceled           atomic.Int64
}

// Stats are the counters of a Server since its start.
type Stats struct {
	Open     int64 // open connections, including those in the handshake
	Accepted int64
	Refused  int64 // connections closed before a session started
	Requests int64
	Canceled int64 // cancel requests for sessions of this Server
}

// Serve starts accepting callers and returns. When ctx is canceled, all sessions are
// terminated; use Drain for a graceful shutdown.
func Serve(ctx context.Context, options Options) (*Server, error) {
	if options.Listener == nil || options.Handler == nil || options.LookupCredential == nil {
		return nil, newError("start server", KindInput, "", errors.New("listener, handler and credential lookup are required"))
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{options: options, log: options.Logger}
	s.SetLimits(options.Limits)
	s.sessions.prefix = options.CancelPrefix
	s.ctx, s.cancelCtx = context.WithCancel(ctx)
	context.AfterFunc(s.ctx, s.terminateSessions)
	s.wg.Add(1)
	go s.acceptLoop()
	go s.watchCallers()
	return s, nil
}

// Address returns the listener's address.
func (s *Server) Address() net.Addr { return s.options.Listener.Addr() }

// SetLimits replaces the limits. Existing sessions use the new limits in their later
// checks.
func (s *Server) SetLimits(l Limits) {
	l = l.withDefaults()
	s.limits.Store(&l)
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	return Stats{
		Open: s.openConns.Load(), Accepted: s.accepted.Load(), Refused: s.refused.Load(),
		Requests: s.requests.Load(), Canceled: s.canceled.Load(),
	}
}

// Cancel cancels the running request, if any, of the session with the given key. It
// reports whether this Server has such a session.
func (s *Server) Cancel(key CancelKey) bool {
	c := s.sessions.find(key)
	if c == nil {
		return false
	}
	s.canceled.Add(1)
	c.cancelRequest(ErrCanceled)
	return true
}

// Drain stops accepting callers, ends each session once it is idle and outside of a
// transaction, and waits until all have ended. If ctx ends first, Drain terminates the
// remaining sessions and returns an error that wraps ctx's.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	_ = s.options.Listener.Close()
	s.sessions.forEach((*conn).interruptRead)
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		s.cancelCtx()
		return nil
	case <-ctx.Done():
	}
	s.cancelCtx()
	<-done
	return newError("drain sessions", KindShutdown, "", ctx.Err())
}

// terminateGrace is the time that terminated sessions have to send the reason to their
// callers before their connections are closed. It limits writes to callers that do not
// read.
const terminateGrace = time.Second

// terminateSessions stops accepting callers and ends all sessions immediately.
func (s *Server) terminateSessions() {
	s.draining.Store(true)
	_ = s.options.Listener.Close()
	s.sessions.forEach((*conn).terminate)
	time.AfterFunc(terminateGrace, func() {
		s.sessions.forEach(func(c *conn) { _ = c.in.nc.Close() })
	})
}

const acceptRetryDelay = 10 * time.Millisecond

func (s *Server) acceptLoop() {
	defer s.wg.Done()
	for {
		nc, err := s.options.Listener.Accept()
		if err != nil {
			if s.draining.Load() || errors.Is(err, net.ErrClosed) {
				return
			}
			// For example, out of file descriptors; the delay avoids a busy loop.
			s.log.Warn("accepting a caller connection failed", "error", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accepted.Add(1)
		limit := int64(s.limits.Load().Connections)
		// Connections above the limit are refused with an error message after their
		// startup message. At most a tenth of the limit, plus one, may be in this state
		// at the same time; beyond that, connections are closed immediately.
		if open := s.openConns.Add(1); open > limit+limit/10+1 {
			s.openConns.Add(-1)
			s.refused.Add(1)
			_ = nc.Close()
			continue
		}
		s.wg.Add(1)
		go s.startSession(nc)
	}
}

// startSession performs the handshake and starts the session. The session runs in a
// goroutine of its own because the handshake needs a larger stack than an idle session.
func (s *Server) startSession(nc net.Conn) {
	c := &conn{srv: s, txStatus: 'I'}
	stopCloseOnEnd := context.AfterFunc(s.ctx, func() { _ = nc.Close() })
	opened := nc
	err := s.recoverPanic(c, func() (err error) {
		opened, err = s.handshake(nc, c)
		return err
	})
	nc = opened
	if err == nil && !stopCloseOnEnd() {
		err = newError("start session", KindShutdown, "", errShutdown)
	}
	if err != nil || c.session == nil {
		stopCloseOnEnd()
		if err != nil {
			s.refused.Add(1)
			s.logClosed(nc, c, err)
		}
		if c.session != nil {
			s.sessions.remove(c)
			c.session.Close()
		}
		_ = nc.Close()
		s.openConns.Add(-1)
		s.wg.Done()
		return
	}
	go c.run()
}

// recoverPanic runs f, a part of one session. A panic becomes an error that ends the
// session instead of the process.
func (s *Server) recoverPanic(c *conn, f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.log.Error("session ended by a panic", "caller", c.user, "database", c.database, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
			err = newError("run session", KindHandler, codeInternal, errPanic)
		}
	}()
	return f()
}

// logClosed logs a connection that ended for a reason other than a Terminate message of
// the caller. It is called at most once for a connection.
func (s *Server) logClosed(nc net.Conn, c *conn, err error) {
	kind, code := KindNetwork, ""
	var e *Error
	if errors.As(err, &e) {
		kind, code = e.Kind, e.Code
	}
	level := slog.LevelWarn
	if kind == KindNetwork || kind == KindShutdown {
		level = slog.LevelDebug
	}
	s.log.Log(context.Background(), level, "caller connection closed", "remote", nc.RemoteAddr().String(),
		"caller", c.user, "database", c.database, "kind", kind.String(), "code", code, "error", err.Error())
}
