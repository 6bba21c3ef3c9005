package gwbackend

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// exchange is the state of one request and its answer.
type exchange struct {
	sink           Sink
	sinkErr        error
	err            error
	res            Result
	simple         bool
	discardedBytes int64
	copyRefused    bool // a COPY FROM STDIN was refused; the server's error for it is outstanding

	parses               []parseOp // one per Parse sent, in order
	closes               []closeOp // one per Close sent, in order
	parseAcks, closeAcks int       // numbers of ParseComplete and CloseComplete received
}

func (x *exchange) reset(sink Sink) {
	clear(x.parses)
	tags := x.res.CommandTags[:0]
	*x = exchange{sink: sink, parses: x.parses[:0], closes: x.closes[:0]}
	x.res.CommandTags = tags
}

// Exchange sends one request and copies the raw backend messages up to and
// including ReadyForQuery to sink; a nil sink discards them.
//
// When ctx ends, the server is asked to cancel the statement, the answer is
// awaited for Options.CancelGrace, and the connection is unusable afterwards.
// An ErrorResponse is part of a complete answer: it is reported in
// Result.ServerError with a nil error. A FATAL one is not copied to the sink,
// since the connection to the server ends, not the caller's.
func (c *Conn) Exchange(ctx context.Context, req Request, sink Sink) (Result, error) {
	if err := ctx.Err(); err != nil {
		return Result{}, c.error(KindNotSent, err)
	}
	x := &c.x
	x.reset(sink)
	out, err := c.buildMessages(x, req)
	if err == nil {
		err = c.setCurrent(x)
	}
	if err != nil {
		return Result{}, c.error(KindNotSent, err)
	}
	if err := c.send(ctx, x, out); err != nil {
		kind := KindNotSent
		if x.res.Sent {
			kind = KindIncomplete
		}
		return x.res, c.error(kind, err)
	}
	select {
	case <-c.finished:
	case <-ctx.Done():
		c.cancelAndWait()
		if x.err != nil {
			x.err = errors.WithSecondaryError(context.Cause(ctx), x.err)
		}
	}
	return c.result(x)
}

// Err returns an Error of KindServer if the answer holds a server error.
func (r Result) Err() error {
	if r.ServerError == nil {
		return nil
	}
	return &Error{Op: "run request", Kind: KindServer, Err: r.ServerError}
}

func (c *Conn) error(kind Kind, err error) error {
	return &Error{Op: "run request", Kind: kind, Server: c.o.Name, Err: err}
}

// setCurrent makes x the current exchange, so that the reader expects an answer.
func (c *Conn) setCurrent(x *exchange) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.current != nil:
		return ErrBusy
	case c.err != nil:
		return errors.WithSecondaryError(errors.Wrap(ErrUnusable, c.err.Error()), c.err)
	case c.unusable.Load():
		return ErrUnusable
	}
	c.current = x
	return nil
}

// send writes the request. After an error the exchange has ended.
func (c *Conn) send(ctx context.Context, x *exchange, out []byte) error {
	deadline := time.Now().Add(defaultWriteTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	_ = c.nc.SetWriteDeadline(deadline)
	if len(out) > largeBufferBytes {
		// A small request fits into the socket buffer; writing a large one can
		// block until the server reads.
		stop := context.AfterFunc(ctx, func() { _ = c.nc.SetWriteDeadline(time.Unix(1, 0)) })
		defer stop()
	}
	n, err := c.nc.Write(out)
	x.res.Sent = n > 0
	if err == nil {
		return nil
	}
	c.unusable.Store(true)
	_ = c.nc.Close()
	<-c.finished
	x.res.Sent = n > 0
	return err
}

// cancelAndWait cancels the running statement and waits for the end of the exchange.
// A cancel request can take effect late, on whatever statement then runs on the
// connection; therefore the connection is not used again.
func (c *Conn) cancelAndWait() {
	c.unusable.Store(true)
	go c.sendCancelRequest()
	t := time.NewTimer(c.o.CancelGrace)
	defer t.Stop()
	select {
	case <-c.finished:
	case <-t.C:
		_ = c.nc.Close()
		<-c.finished
	}
}

// result returns the result of a finished exchange.
func (c *Conn) result(x *exchange) (Result, error) {
	x.sink = nil
	if x.err != nil {
		return x.res, c.error(KindIncomplete, x.err)
	}
	c.txStatus = x.res.TxStatus
	c.recordSessionState(x)
	if x.sinkErr != nil {
		return x.res, c.error(KindSink, x.sinkErr)
	}
	return x.res, nil
}

// recordSessionState records how the exchange changed the state of the session.
func (c *Conn) recordSessionState(x *exchange) {
	for _, tag := range x.res.CommandTags {
		switch tag {
		case "DISCARD ALL":
			c.statements.clear()
			c.sessionDirty = false
		case "DEALLOCATE ALL":
			c.statements.clear()
		case "DEALLOCATE": // the tag does not say of which name
			c.statements.evictAll()
		case "SET", "PREPARE", "LISTEN", "DECLARE CURSOR", "LOAD", "CREATE TABLE":
			c.sessionDirty = true
		}
	}
	if e := x.res.ServerError; e != nil {
		c.statements.evictOnError(e, x)
	}
}

// isFatal reports whether the server closes the connection after e.
func isFatal(e *pgconn.PgError) bool {
	s := e.SeverityUnlocalized
	if s == "" {
		s = e.Severity
	}
	return s == "FATAL" || s == "PANIC"
}

// Reset makes the connection equal to a new one for its next user: it ends an
// open transaction, and clears session state if a statement may have changed
// it. Changes by functions, such as set_config or session-level advisory
// locks, are not detected.
func (c *Conn) Reset(ctx context.Context) error {
	if c.txStatus != 'I' {
		if err := c.exec(ctx, "ROLLBACK"); err != nil {
			return err
		}
	}
	if c.sessionDirty {
		return c.exec(ctx, "DISCARD ALL")
	}
	return nil
}

func (c *Conn) exec(ctx context.Context, sql string) error {
	res, err := c.Exchange(ctx, Query(sql), nil)
	if err != nil {
		return err
	}
	if res.ServerError != nil {
		return &Error{Op: sql, Kind: KindServer, Server: c.o.Name, Err: res.ServerError}
	}
	return nil
}
