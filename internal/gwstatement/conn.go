package gwstatement

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"gentianward.example/gentianward/internal/gwbackend"
)

const (
	// readBufferBytes holds a usual answer; the longest message is read in parts.
	readBufferBytes = 4 << 10
	// writeTimeout bounds the write of a statement when no deadline is nearer.
	writeTimeout = 5 * time.Second
	// maxStatements bounds the prepared statements of one connection, above
	// which it is cleared.
	maxStatements = 128
	// userTimeout is when the kernel ends a connection whose peer does not
	// acknowledge: machines behind a partition never reset one.
	userTimeout = 3 * time.Second
)

// Conn is one connection to a backend server. A goroutine reads it all the
// time, so that a connection that the server closes is noticed while it is idle.
type Conn struct {
	gwbackend.CloseNotifier

	codec ServerCodec
	o     gwbackend.Options
	nc    net.Conn

	mu      sync.Mutex
	waiting bool
	err     error

	unusable atomic.Bool
	// abandoned means that the exchange whose answer is outstanding was given up.
	abandoned  bool
	answers    chan answer
	readerDone chan struct{}
	ended      chan struct{}

	// The state of the server's session, as far as this connection made it.
	status     byte
	values     map[string]string
	statements map[string]bool
	wbuf       []byte
}

// answer is one complete answer.
type answer struct {
	raw     []byte // without the final Ready
	row     Row
	failure *Failure
	ready   Ready
}

var _ gwbackend.Connection = (*Conn)(nil)

// Dial connects to the server o.Name of the group o.Database.
func Dial(ctx context.Context, codec ServerCodec, o gwbackend.Options) (*Conn, error) {
	dial := o.DialContext
	if dial == nil {
		dial = (&net.Dialer{Control: setUserTimeout}).DialContext
	}
	nc, err := dial(ctx, "tcp", o.Address)
	if err != nil {
		return nil, notSent("dial", o, err)
	}
	c := &Conn{
		codec: codec, o: o, nc: nc, answers: make(chan answer, 1), readerDone: make(chan struct{}), ended: make(chan struct{}),
		status: 'I', values: make(map[string]string), statements: make(map[string]bool),
	}
	go c.readLoop()
	a, _, err := c.roundTrip(ctx, codec.AppendStartup(nil, o.Database, o.User, o.Name))
	if err == nil && a.failure != nil {
		err = serverError(a.failure)
	}
	if err != nil {
		_ = c.Close()
		return nil, notSent("dial", o, err)
	}
	c.note(a)
	return c, nil
}

func notSent(op string, o gwbackend.Options, err error) error {
	return &gwbackend.Error{Op: op, Kind: gwbackend.KindNotSent, Server: o.Name, Err: err}
}

// serverError gives a failure the form that callers of gwbackend know.
func serverError(f *Failure) *pgconn.PgError {
	return &pgconn.PgError{Severity: "ERROR", Code: f.Code.SQLState(), Message: f.Text}
}

// readLoop reads answers until the connection ends.
func (c *Conn) readLoop() {
	defer close(c.readerDone)
	r := bufio.NewReaderSize(c.nc, readBufferBytes)
	var a answer
	started := false
	for {
		reply, raw, err := c.codec.ReadReply(r)
		if err != nil {
			c.fail(err)
			return
		}
		switch m := reply.(type) {
		case Row:
			a.row = m
			a.raw = append(a.raw, raw...)
		case Complete:
			a.raw = append(a.raw, raw...)
		case Failure:
			a.failure = &m
			a.raw = append(a.raw, raw...)
		case Ready:
			a.ready = m
		}
		_, ready := reply.(Ready)
		// An error before the session has begun closes the connection without Ready.
		if !ready && (a.failure == nil || started) {
			continue
		}
		started = true
		if !c.deliver(a) {
			c.fail(&Error{Op: "read", Kind: KindProtocol, Err: errors.New("answer to nothing")})
			return
		}
		a = answer{}
	}
}

// deliver hands the answer to the exchange that waits for it.
func (c *Conn) deliver(a answer) bool {
	c.mu.Lock()
	waiting := c.waiting
	c.waiting = false
	c.mu.Unlock()
	if !waiting {
		return false
	}
	c.answers <- a
	return true
}

func (c *Conn) fail(err error) {
	c.unusable.Store(true)
	_ = c.nc.Close()
	c.mu.Lock()
	c.err = err
	c.mu.Unlock()
	close(c.ended)
	c.MarkClosed()
}

// Usable reports whether another exchange can run on the connection.
func (c *Conn) Usable() bool { return !c.unusable.Load() }

// TxStatus returns the transaction status of the last answer.
func (c *Conn) TxStatus() byte { return c.status }

// Clean reports whether no transaction is open. Values and prepared statements
// do not matter: every exchange brings them to what its session has.
func (c *Conn) Clean() bool { return c.status == 'I' }

// Abort closes the connection at once.
func (c *Conn) Abort() {
	c.unusable.Store(true)
	_ = c.nc.Close()
}

// Close ends the connection and waits for its reader.
func (c *Conn) Close() error {
	c.Abort()
	<-c.readerDone
	return nil
}

// roundTrip sends bytes and waits for the answer. sent reports whether the
// server may have received them.
func (c *Conn) roundTrip(ctx context.Context, out []byte) (a answer, sent bool, err error) {
	c.mu.Lock()
	if c.err != nil || c.waiting || c.unusable.Load() {
		err := c.err
		c.mu.Unlock()
		if err == nil {
			err = gwbackend.ErrUnusable
		}
		return answer{}, false, err
	}
	c.waiting = true
	c.mu.Unlock()
	deadline := time.Now().Add(writeTimeout)
	if d, ok := ctx.Deadline(); ok {
		// The context's clock may not be the system's; only what is left counts.
		deadline = time.Now().Add(min(writeTimeout, time.Until(d)))
	}
	_ = c.nc.SetWriteDeadline(deadline)
	n, err := c.nc.Write(out)
	if err != nil {
		c.Abort()
		return answer{}, n > 0, err
	}
	select {
	case a := <-c.answers:
		return a, true, nil
	case <-c.ended:
		select {
		case a := <-c.answers: // arrived together with the end
			return a, true, nil
		default:
		}
		return answer{}, true, c.err
	case <-ctx.Done():
		c.abandoned = true
		c.unusable.Store(true)
		return answer{}, true, context.Cause(ctx)
	}
}

// Recover waits for the answer to an exchange that was given up. The connection
// is usable again afterwards.
func (c *Conn) Recover(ctx context.Context) error {
	if !c.abandoned {
		return notSent("recover", c.o, gwbackend.ErrUnusable)
	}
	select {
	case a := <-c.answers:
		c.abandoned = false
		c.note(a)
		c.unusable.Store(false)
		return nil
	case <-c.ended:
		return notSent("recover", c.o, c.err)
	case <-ctx.Done():
		return notSent("recover", c.o, context.Cause(ctx))
	}
}

// control runs a statement of the instance's own.
func (c *Conn) control(ctx context.Context, after Position, text string) (answer, error) {
	c.wbuf = c.codec.AppendQuery(c.wbuf[:0], "", after, text)
	a, _, err := c.roundTrip(ctx, c.wbuf)
	if err != nil {
		return a, err
	}
	c.note(a)
	return a, nil
}

// note takes over what an answer tells about the connection.
func (c *Conn) note(a answer) {
	c.status = a.ready.Status
	if !a.ready.Position.IsZero() && c.o.OnPosition != nil {
		c.o.OnPosition(a.ready.Position)
	}
}

// Exchange brings the connection to the state of the request's session, sends
// the statement and copies the answer without its end to sink.
//
// Result.Position is the position of a commit: it is zero unless the request
// says that success commits.
func (c *Conn) Exchange(ctx context.Context, req gwbackend.Request, sink gwbackend.Sink) (gwbackend.Result, error) {
	line := req.Statement
	if line == nil {
		return gwbackend.Result{}, notSent("exchange", c.o, errors.New("the request is not of the statement protocol"))
	}
	if err := ctx.Err(); err != nil {
		return gwbackend.Result{}, notSent("exchange", c.o, err)
	}
	a, sent, err := c.run(ctx, line, req.Prepared)
	if err != nil {
		kind := gwbackend.KindNotSent
		if sent {
			kind = gwbackend.KindIncomplete
		}
		return gwbackend.Result{Sent: sent}, &gwbackend.Error{Op: "exchange", Kind: kind, Server: c.o.Name, Err: err}
	}
	res := gwbackend.Result{Sent: sent, Complete: true, TxStatus: a.ready.Status}
	if a.failure != nil {
		res.ServerError = serverError(a.failure)
		res.Refusal = refusals[a.failure.Code]
	} else if line.Commits && a.ready.Status == 'I' {
		res.Position = a.ready.Position
	}
	if sink != nil && len(a.raw) > 0 {
		if _, err := sink.Write(a.raw); err != nil {
			return res, &gwbackend.Error{Op: "exchange", Kind: gwbackend.KindSink, Server: c.o.Name, Err: err}
		}
		res.Delivered, res.AnswerBytes = true, int64(len(a.raw))
	}
	return res, nil
}

// run prepares the connection and sends the statement. A failure of the
// preparation is the answer, with sent false.
func (c *Conn) run(ctx context.Context, line *gwbackend.StatementRequest, prepared []gwbackend.PreparedStatement) (answer, bool, error) {
	if a, err := c.prepare(ctx, line, prepared); err != nil || a.failure != nil {
		return a, false, err
	}
	after := line.After
	if line.Begin != gwbackend.NoBegin {
		a, err := c.control(ctx, after, c.codec.BeginText(line.Begin == gwbackend.BeginRead))
		if err != nil || a.failure != nil {
			return a, false, err
		}
		after = Position{}
	}
	c.wbuf = c.codec.AppendQuery(c.wbuf[:0], line.ID, after, line.Text)
	a, sent, err := c.roundTrip(ctx, c.wbuf)
	if err != nil {
		return a, sent, err
	}
	c.note(a)
	if a.failure != nil && a.failure.Code == NoStatement {
		clear(c.statements)
	}
	return a, true, nil
}

// prepare makes the values and prepared statements of the server's session
// those of the request's.
func (c *Conn) prepare(ctx context.Context, line *gwbackend.StatementRequest, prepared []gwbackend.PreparedStatement) (answer, error) {
	if c.surplus(line.Variables) || len(c.statements)+len(prepared) > maxStatements {
		a, err := c.control(ctx, Position{}, c.codec.DiscardText())
		if err != nil || a.failure != nil {
			return a, err
		}
		clear(c.values)
		clear(c.statements)
	}
	for _, v := range line.Variables {
		if have, ok := c.values[v.Name]; ok && have == v.Value {
			continue
		}
		a, err := c.control(ctx, Position{}, c.codec.SetText(v.Name, v.Value))
		if err != nil || a.failure != nil {
			return a, err
		}
		c.values[v.Name] = v.Value
	}
	for _, p := range prepared {
		if c.statements[p.Name] {
			continue
		}
		a, err := c.control(ctx, Position{}, c.codec.PrepareText(p))
		if err != nil || a.failure != nil {
			return a, err
		}
		c.statements[p.Name] = true
	}
	return answer{}, nil
}

// surplus reports whether the server's session has a value that the caller's
// session has not set.
func (c *Conn) surplus(values []gwbackend.SessionVariable) bool {
	if len(c.values) > len(values) {
		return true
	}
	matched := 0
	for _, v := range values {
		if _, ok := c.values[v.Name]; ok {
			matched++
		}
	}
	return matched < len(c.values)
}

// Reset rolls an open transaction back.
func (c *Conn) Reset(ctx context.Context) error {
	if c.status == 'I' {
		return nil
	}
	a, err := c.control(ctx, Position{}, c.codec.RollbackText())
	if err == nil && a.failure != nil {
		err = serverError(a.failure)
	}
	return err
}
