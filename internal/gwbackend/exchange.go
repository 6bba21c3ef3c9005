package gwbackend

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// exchange is the state of one request and its answer.
type exchange struct {
	sink    Sink
	sinkErr error
	err     error
	res     Result
	simple  bool
	drained int64
	copying bool // a copy-in of this exchange was refused

	parses            []parseOp // one per Parse sent, in order
	closes            []closeOp // one per Close sent, in order
	parsed, closeDone int       // answers seen
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
	out, err := c.prepare(x, req)
	if err == nil {
		err = c.begin(x)
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
		c.interrupt()
		if x.err != nil {
			x.err = errors.WithSecondaryError(context.Cause(ctx), x.err)
		}
	}
	return c.conclude(x)
}

// Err returns an Error of KindServer if the answer holds a server error.
func (r Result) Err() error {
	if r.ServerError == nil {
		return nil
	}
	return &Error{Op: "exchange", Kind: KindServer, Err: r.ServerError}
}

func (c *Conn) error(kind Kind, err error) error {
	return &Error{Op: "exchange", Kind: kind, Server: c.o.Name, Err: err}
}

// begin makes x current, so that the reader expects an answer.
func (c *Conn) begin(x *exchange) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.cur != nil:
		return ErrBusy
	case c.err != nil:
		return errors.WithSecondaryError(errors.Wrap(ErrUnusable, c.err.Error()), c.err)
	case c.unusable.Load():
		return ErrUnusable
	}
	c.cur = x
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
		// A small request fits into the socket's buffer; the write of a large
		// one can block until the server reads.
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

// interrupt cancels the running statement and waits for the end of the
// exchange. A cancel request can take effect late, on whatever statement then
// runs on the connection; so the connection is not used again.
func (c *Conn) interrupt() {
	c.unusable.Store(true)
	go c.cancelServer()
	t := time.NewTimer(c.o.CancelGrace)
	defer t.Stop()
	select {
	case <-c.finished:
	case <-t.C:
		_ = c.nc.Close()
		<-c.finished
	}
}

// conclude turns the state of a finished exchange into the caller's result.
func (c *Conn) conclude(x *exchange) (Result, error) {
	x.sink = nil
	if x.err != nil {
		return x.res, c.error(KindIncomplete, x.err)
	}
	c.tx = x.res.TxStatus
	c.noteState(x)
	if x.sinkErr != nil {
		return x.res, c.error(KindSink, x.sinkErr)
	}
	return x.res, nil
}

// noteState records what the exchange changed in the connection's session.
func (c *Conn) noteState(x *exchange) {
	for _, tag := range x.res.CommandTags {
		switch tag {
		case "DISCARD ALL":
			c.statements.clear()
			c.stateful = false
		case "DEALLOCATE ALL":
			c.statements.clear()
		case "DEALLOCATE": // of a name that the tag does not tell
			c.statements.evictAll()
		case "SET", "PREPARE", "LISTEN", "DECLARE CURSOR", "LOAD", "CREATE TABLE":
			c.stateful = true
		}
	}
	if e := x.res.ServerError; e != nil {
		c.statements.noteError(e, x)
	}
}

// fatal reports whether the server ends the connection after e.
func fatal(e *pgconn.PgError) bool {
	s := e.SeverityUnlocalized
	if s == "" {
		s = e.Severity
	}
	return s == "FATAL" || s == "PANIC"
}

// Reset makes the connection equal to a new one for its next user: it ends an
// open transaction, and clears session state if a statement may have changed
// it. Changes by functions, such as set_config or session-level advisory
// locks, are not noticed.
func (c *Conn) Reset(ctx context.Context) error {
	if c.tx != 'I' {
		if err := c.exec(ctx, "ROLLBACK"); err != nil {
			return err
		}
	}
	if c.stateful {
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
