package gwwire

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// flushWait is how long a caller may wait for the answer to a Flush that comes
// only at the Sync. A caller that sends both does so at once.
const flushWait = 2 * time.Second

// conn is one caller's session.
type conn struct {
	srv      *Server
	handler  Session
	key      CancelKey
	user     string
	database string
	tx       byte

	in    reader
	out   responder
	batch batch
	names statements
	skip  bool // messages are ignored up to Sync, after an error before it
	timed bool // a read deadline is set, for the idle transaction or the flush
	// flushed is set after a Flush whose answer has to wait for the Sync.
	flushed bool

	ctx    context.Context
	end    context.CancelFunc
	mu     sync.Mutex
	cancel context.CancelCauseFunc // of the running request

	requests atomic.Uint32 // requests begun and ended; odd while one runs
	seen     uint32        // requests at the last look of watchCallers
}

// attach makes c a session that cancel requests and Drain can reach.
func (c *conn) attach(nc net.Conn, h Session) {
	c.handler = h
	c.in.nc, c.out.nc = nc, nc
	c.in.release()
	c.ctx, c.end = context.WithCancel(c.srv.ctx)
	c.srv.sessions.add(c)
}

// wake interrupts a blocked read, after which the session checks whether it
// has to end.
func (c *conn) wake() { _ = c.in.nc.SetReadDeadline(time.Unix(1, 0)) }

// cut ends the session at once.
func (c *conn) cut() {
	c.end()
	c.wake()
}

func (c *conn) cancelRequest(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel(cause)
	}
}

// run handles the caller's messages until the session ends.
func (c *conn) run() {
	defer c.srv.wg.Done()
	defer c.srv.open.Add(-1)
	err := c.loop()
	c.srv.sessions.remove(c)
	c.end()
	c.handler.Close()
	c.batch.release()
	if err != nil {
		c.srv.logEnd(c.in.nc, c, err)
		if !c.out.violated && !c.out.midMessage() {
			refuse(c.in.nc, err)
		}
	}
	_ = c.in.nc.Close()
	c.in.release()
}

func (c *conn) loop() error {
	for {
		frame, err := c.nextFrame()
		if err != nil {
			return err
		}
		switch typ := frame[0]; {
		case typ == 'X':
			return nil
		case typ == 'S':
			err = c.sync(frame)
		case c.skip:
		case typ == 'Q':
			err = c.simpleQuery(frame)
		case typ == 'H':
			err = c.flushRequest()
		case typ == 'd' || typ == 'c' || typ == 'f':
			// Left over from a refused COPY; PostgreSQL ignores these as well.
		case typ == 'F':
			err = c.functionCall()
		default:
			err = c.collect(frame)
		}
		if err != nil {
			return err
		}
	}
}

// nextFrame waits for a message. It ends the session when the instance is
// being stopped and the session is between transactions.
func (c *conn) nextFrame() ([]byte, error) {
	limits := c.srv.limits.Load()
	for {
		if err := c.setIdleDeadline(limits); err != nil {
			return nil, err
		}
		frame, err := c.in.next(limits.MessageBytes)
		switch {
		case err == nil:
			return frame, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			if c.timed && !c.srv.draining.Load() && c.in.buffered() == 0 {
				if err := c.idleTimeout(); err != nil {
					return nil, err
				}
			}
			_ = c.in.nc.SetReadDeadline(time.Time{})
			c.timed = false
		case errors.Is(err, errFrameTooLong):
			return nil, fail("read", KindInput, codeLimitExceeded, err)
		case errors.Is(err, errMalformed):
			return nil, fail("read", KindInput, codeProtocolViolation, err)
		default:
			return nil, fail("read", KindNetwork, "", err)
		}
	}
}

// setIdleDeadline prepares for a read that may block. The check for the drain
// comes last: Drain sets its flag before it sets the deadline that wakes this
// session, and a deadline set here may have replaced that one.
func (c *conn) setIdleDeadline(limits *Limits) error {
	if c.ctx.Err() != nil {
		return fail("idle", KindShutdown, codeAdminShutdown, errShutdown)
	}
	if c.in.buffered() > 0 {
		return nil
	}
	switch idle := limits.IdleTransaction; {
	case c.flushed:
		_ = c.in.nc.SetReadDeadline(time.Now().Add(flushWait))
		c.timed = true
	case c.tx != 'I' && idle > 0:
		_ = c.in.nc.SetReadDeadline(time.Now().Add(idle))
		c.timed = true
	case c.timed:
		_ = c.in.nc.SetReadDeadline(time.Time{})
		c.timed = false
	}
	if c.srv.draining.Load() && c.tx == 'I' && c.batch.empty() {
		return fail("idle", KindShutdown, codeAdminShutdown, errShutdown)
	}
	return nil
}

// idleTimeout handles the deadline of setIdleDeadline.
func (c *conn) idleTimeout() error {
	if !c.flushed {
		return fail("idle", KindLimit, codeIdleInTransaction, errIdleTimeout)
	}
	c.flushed = false
	c.batch.clear()
	w := &c.out
	w.begin()
	w.Error(&pgconn.PgError{
		Code: codeFeatureUnsupported, Message: "Flush after Execute is not supported outside of a transaction",
		Hint: "Send Sync to receive the answer.",
	}, c.tx)
	return c.finish(false)
}

// handle runs one request. last says that a ReadyForQuery ends the answer; it
// is false for the part of a batch before a Flush.
func (c *conn) handle(req Request, last bool) error {
	c.srv.requests.Add(1)
	c.requests.Add(1)
	defer c.requests.Add(1)
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	w := &c.out
	w.timeout = c.srv.limits.Load().WriteTimeout
	w.begin()
	err := c.handler.Handle(ctx, req, w)
	c.mu.Lock()
	c.cancel = nil
	c.mu.Unlock()
	cancel(nil)
	if err == nil && w.err == nil && (w.midMessage() || w.violated) {
		w.violated = true
		err = errors.New("incomplete answer")
	}
	if err != nil {
		_ = w.release()
		if c.ctx.Err() != nil {
			return fail("request", KindShutdown, codeAdminShutdown, errShutdown)
		}
		return &Error{Op: "request", Kind: KindHandler, Code: pgError(err).Code, Err: err}
	}
	return c.finish(last)
}

// finish ends the answer of a request and updates the session's state.
func (c *conn) finish(last bool) error {
	w := &c.out
	if w.status == 0 && !w.failed {
		w.Error(&pgconn.PgError{Code: codeInternal, Message: "the request was not answered"}, c.tx)
	}
	if w.status != 0 {
		c.tx = w.status
	}
	if w.failed {
		c.names.undo(w.parsed)
	}
	c.names.commit(c.tx == 'I')
	if last {
		w.readyForQuery(c.tx)
	} else if w.failed {
		c.skip = true
	}
	if err := w.release(); err != nil {
		return fail("write", KindNetwork, "", err)
	}
	return nil
}
