package gwwire

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Server accepts callers on one listener.
type Server struct {
	o        Options
	limits   atomic.Pointer[Limits]
	log      *slog.Logger
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
	sessions registry
	draining atomic.Bool

	open, accepted, refused atomic.Int64
	requests, canceled      atomic.Int64
}

// Stats counts what a Server has done since its start.
type Stats struct {
	Open     int64 // connections now, handshakes included
	Accepted int64
	Refused  int64 // closed before a session began
	Requests int64
	Canceled int64 // cancel requests that met a session of this server
}

// Serve starts to accept callers and returns. When ctx ends, all sessions are
// cut; Drain is the graceful way to stop.
func Serve(ctx context.Context, o Options) (*Server, error) {
	if o.Listener == nil || o.Handler == nil || o.LookupCredential == nil {
		return nil, fail("serve", KindInput, "", errors.New("listener, handler and lookup are required"))
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{o: o, log: o.Logger}
	s.SetLimits(o.Limits)
	s.sessions.prefix = o.CancelPrefix
	s.ctx, s.stop = context.WithCancel(ctx)
	context.AfterFunc(s.ctx, s.cut)
	s.wg.Add(1)
	go s.accept()
	go s.watchCallers()
	return s, nil
}

// Address returns the listener's address.
func (s *Server) Address() net.Addr { return s.o.Listener.Addr() }

// SetLimits replaces the limits, for later checks in all sessions.
func (s *Server) SetLimits(l Limits) {
	l = l.withDefaults()
	s.limits.Store(&l)
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	return Stats{
		Open: s.open.Load(), Accepted: s.accepted.Load(), Refused: s.refused.Load(),
		Requests: s.requests.Load(), Canceled: s.canceled.Load(),
	}
}

// Cancel cancels the running request of the session with the key. It reports
// whether the session is this server's.
func (s *Server) Cancel(key CancelKey) bool {
	c := s.sessions.find(key)
	if c == nil {
		return false
	}
	s.canceled.Add(1)
	c.cancelRequest(ErrCanceled)
	return true
}

// Drain stops accepting, ends sessions when they are idle outside of a
// transaction, and waits for the others. When ctx ends first, the remaining
// sessions are cut and ctx's error is returned.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	_ = s.o.Listener.Close()
	s.sessions.each((*conn).wake)
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		s.stop()
		return nil
	case <-ctx.Done():
	}
	s.stop()
	<-done
	return fail("drain", KindShutdown, "", ctx.Err())
}

// cutGrace is the time in which sessions that are cut can tell their callers
// so. A write to a caller that does not read would take longer.
const cutGrace = time.Second

// cut ends all sessions at once.
func (s *Server) cut() {
	s.draining.Store(true)
	_ = s.o.Listener.Close()
	s.sessions.each((*conn).cut)
	time.AfterFunc(cutGrace, func() {
		s.sessions.each(func(c *conn) { _ = c.in.nc.Close() })
	})
}

const acceptRetryDelay = 10 * time.Millisecond

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		nc, err := s.o.Listener.Accept()
		if err != nil {
			if s.draining.Load() || errors.Is(err, net.ErrClosed) {
				return
			}
			// Out of file descriptors, for example; a pause avoids a busy loop.
			s.log.Warn("accept failed", "error", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accepted.Add(1)
		limit := int64(s.limits.Load().Connections)
		// A caller over the limit is told so after its startup message. A tenth
		// of the limit is open to such connections; the rest are closed.
		if open := s.open.Add(1); open > limit+limit/10+1 {
			s.open.Add(-1)
			s.refused.Add(1)
			_ = nc.Close()
			continue
		}
		s.wg.Add(1)
		go s.greet(nc)
	}
}

// greet performs the handshake. The session then runs in a goroutine of its
// own, since the handshake needs a larger stack than an idle session.
func (s *Server) greet(nc net.Conn) {
	c := &conn{srv: s, tx: 'I'}
	stop := context.AfterFunc(s.ctx, func() { _ = nc.Close() })
	nc, err := s.handshake(nc, c)
	if err == nil && !stop() {
		err = fail("startup", KindShutdown, "", errShutdown)
	}
	if err != nil || c.handler == nil {
		stop()
		if err != nil {
			s.refused.Add(1)
			s.logEnd(nc, c, err)
		}
		if c.handler != nil {
			s.sessions.remove(c)
			c.handler.Close()
		}
		_ = nc.Close()
		s.open.Add(-1)
		s.wg.Done()
		return
	}
	go c.run()
}

// logEnd writes the one log line of a connection that was ended for a reason
// other than the caller's wish.
func (s *Server) logEnd(nc net.Conn, c *conn, err error) {
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
