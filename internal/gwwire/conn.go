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

// flushWait is how long the session waits for the Sync after a deferred Flush before the
// caller gets an error. A caller that sends a Sync after the Flush sends both at once and
// does not reach this limit.
const flushWait = 2 * time.Second

// conn is the connection and protocol state of one session.
type conn struct {
	srv      *Server
	session  Session
	key      CancelKey
	user     string
	database string
	txStatus byte

	in          reader
	out         responder
	batch       batch
	statements  statements
	skipToSync  bool // discard messages up to the next Sync, after an error in the batch
	deadlineSet bool // a read deadline is set, for an idle transaction or a deferred Flush
	// flushPending is set after a Flush whose response is deferred to the Sync.
	flushPending bool

	ctx           context.Context
	cancelSession context.CancelFunc
	mu            sync.Mutex
	cancelRunning context.CancelCauseFunc // cancels the running request; nil if none runs

	requestCounter  atomic.Uint32 // incremented at the start and end of each request; odd while one runs
	checkedRequests uint32        // requestCounter at the last check by watchCallers
}

// register completes c after authentication and adds it to the registry, where cancel
// requests and Drain find it.
func (c *conn) register(nc net.Conn, session Session) {
	c.session = session
	c.in.nc, c.out.nc = nc, nc
	c.in.release()
	c.ctx, c.cancelSession = context.WithCancel(c.srv.ctx)
	c.srv.sessions.add(c)
}

// interruptRead interrupts a blocked read, after which the session checks whether it
// must end.
func (c *conn) interruptRead() { _ = c.in.nc.SetReadDeadline(time.Unix(1, 0)) }

// terminate ends the session immediately and cancels the context of its running
// request.
func (c *conn) terminate() {
	c.cancelSession()
	c.interruptRead()
}

func (c *conn) cancelRequest(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelRunning != nil {
		c.cancelRunning(cause)
	}
}

// run processes the caller's messages until the session ends.
func (c *conn) run() {
	defer c.srv.wg.Done()
	defer c.srv.openConns.Add(-1)
	err := c.srv.recoverPanic(c, c.loop)
	c.srv.sessions.remove(c)
	c.cancelSession()
	c.session.Close()
	c.batch.release()
	if err != nil {
		c.srv.logClosed(c.in.nc, c, err)
		if !c.out.corrupt && !c.out.midMessage() {
			sendFatal(c.in.nc, err)
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
		case c.skipToSync:
		case typ == 'Q':
			err = c.simpleQuery(frame)
		case typ == 'H':
			err = c.flush()
		case typ == 'd' || typ == 'c' || typ == 'f':
			// Remaining messages of a rejected COPY; PostgreSQL ignores them as well.
		case typ == 'F':
			err = c.functionCall()
		default:
			err = c.addMessage(frame)
		}
		if err != nil {
			return err
		}
	}
}

// nextFrame waits for a message. It returns an error, which ends the session, when the
// Server is draining and the session is between transactions.
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
			if c.deadlineSet && !c.srv.draining.Load() && c.in.buffered() == 0 {
				if err := c.idleTimeout(); err != nil {
					return nil, err
				}
			}
			_ = c.in.nc.SetReadDeadline(time.Time{})
			c.deadlineSet = false
		case errors.Is(err, errFrameTooLong):
			return nil, newError("read message", KindInput, codeLimitExceeded, err)
		case errors.Is(err, errMalformed):
			return nil, newError("read message", KindInput, codeProtocolViolation, err)
		default:
			return nil, newError("read message", KindNetwork, "", err)
		}
	}
}

// setIdleDeadline sets the deadline of a read that may block. It checks the draining
// flag last: Drain sets the flag before it sets the deadline that interrupts the read,
// and the deadline set here may have overwritten that one.
func (c *conn) setIdleDeadline(limits *Limits) error {
	if c.ctx.Err() != nil {
		return newError("wait for message", KindShutdown, codeAdminShutdown, errShutdown)
	}
	if c.in.buffered() > 0 {
		return nil
	}
	switch idle := limits.IdleTransaction; {
	case c.flushPending:
		_ = c.in.nc.SetReadDeadline(time.Now().Add(flushWait))
		c.deadlineSet = true
	case c.txStatus != 'I' && idle > 0:
		_ = c.in.nc.SetReadDeadline(time.Now().Add(idle))
		c.deadlineSet = true
	case c.deadlineSet:
		_ = c.in.nc.SetReadDeadline(time.Time{})
		c.deadlineSet = false
	}
	if c.srv.draining.Load() && c.txStatus == 'I' && c.batch.empty() {
		return newError("wait for message", KindShutdown, codeAdminShutdown, errShutdown)
	}
	return nil
}

// idleTimeout handles the expiry of the deadline set by setIdleDeadline.
func (c *conn) idleTimeout() error {
	if !c.flushPending {
		return newError("wait for message", KindLimit, codeIdleInTransaction, errIdleTimeout)
	}
	c.flushPending = false
	c.batch.clear()
	w := &c.out
	w.reset()
	w.Error(&pgconn.PgError{
		Code: codeFeatureUnsupported, Message: "Flush after Execute is not supported outside of a transaction",
		Hint: "Send Sync to receive the answer.",
	}, c.txStatus)
	return c.finish(false)
}

// handle runs one request. sendReady is false for the part of a batch before a Flush,
// whose response does not end with ReadyForQuery.
func (c *conn) handle(req Request, sendReady bool) error {
	c.srv.requests.Add(1)
	c.requestCounter.Add(1)
	defer c.requestCounter.Add(1)
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.mu.Lock()
	c.cancelRunning = cancel
	c.mu.Unlock()
	w := &c.out
	w.timeout = c.srv.limits.Load().WriteTimeout
	w.reset()
	err := c.session.Handle(ctx, req, w)
	c.mu.Lock()
	c.cancelRunning = nil
	c.mu.Unlock()
	cancel(nil)
	if err == nil && w.err == nil && (w.midMessage() || w.corrupt) {
		w.corrupt = true
		err = errors.New("handler wrote a malformed or incomplete response")
	}
	if err != nil {
		_ = w.release()
		if c.ctx.Err() != nil {
			return newError("run request", KindShutdown, codeAdminShutdown, errShutdown)
		}
		return &Error{Op: "run request", Kind: KindHandler, Code: pgError(err).Code, Err: err}
	}
	return c.finish(sendReady)
}

// finish completes the response to a request and updates the state of the session.
func (c *conn) finish(sendReady bool) error {
	w := &c.out
	if w.txStatus == 0 && !w.failed {
		w.Error(&pgconn.PgError{Code: codeInternal, Message: "the request handler did not complete the response"}, c.txStatus)
	}
	if w.txStatus != 0 {
		c.txStatus = w.txStatus
	}
	if w.failed {
		c.statements.undoParses(w.parsesCompleted)
	}
	c.statements.endBatch(c.txStatus == 'I')
	if sendReady {
		w.readyForQuery(c.txStatus)
	} else if w.failed {
		c.skipToSync = true
	}
	if err := w.release(); err != nil {
		return newError("write response", KindNetwork, "", err)
	}
	return nil
}
