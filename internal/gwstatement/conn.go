package gwstatement

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwdeadline"
	"gentianward.example/gentianward/internal/gwtelemetry"
)

const (
	// readBufferBytes suffices for a usual answer; a longer message is read in parts.
	readBufferBytes = 4 << 10
	// writeTimeout bounds the write of a statement if no deadline is earlier.
	writeTimeout = 5 * time.Second
	// maxAnswerBytes bounds the answer to one statement, which is kept as a whole until its
	// end: half of the greatest frame between instances (gwpeer.MaxFrameBytes).
	maxAnswerBytes = 8 << 20
	// userTimeout is the time after which the kernel closes a connection whose peer
	// does not acknowledge data: a peer behind a partition sends no reset.
	userTimeout = 3 * time.Second
)

// Conn is one connection to a backend server. A reader goroutine runs as long as the
// connection is open, so that its end is noticed while it is idle.
type Conn struct {
	gwbackend.CloseNotifier

	codec ServerCodec
	o     gwbackend.Options
	nc    net.Conn
	// unreadable records replies that cannot be read; nil for none.
	unreadable *gwtelemetry.Unreadable

	mu             sync.Mutex
	awaitingAnswer bool
	err            error

	// received counts the bytes of all replies, and answerStart is its value when the last
	// request was sent.
	received, answerStart atomic.Int64
	// memory has the memory of the answer from its first byte until it has been passed on.
	memory *answerMemory

	unusable atomic.Bool
	// abandoned means that ctx ended before the answer to the last exchange arrived.
	abandoned  bool
	answers    chan answer
	readerDone chan struct{}
	closed     chan struct{} // closed when the connection has closed

	// The state of the server's session, as far as this connection has set it.
	status    byte
	variables map[textDigest]textDigest // values by name
	prepared  preparedStatements
	// sessionUnknown means that the state differs from the recorded one, so that it has to
	// be discarded before the next statement.
	sessionUnknown bool
	wbuf           []byte
}

// answer is the complete answer to one statement.
type answer struct {
	raw     []byte // the messages before Ready
	row     Row
	failure *Failure
	ready   Ready
}

var (
	_ gwbackend.Connection = (*Conn)(nil)
	_ gwbackend.Receiver   = (*Conn)(nil)

	_ gwbackend.GracefulCloser = (*Conn)(nil)
)

// dial connects to the server o.Name of the group o.Database.
func (d Dialect) dial(ctx context.Context, o gwbackend.Options) (*Conn, error) {
	codec := d.Codec
	startup, err := codec.AppendStartup(nil, o.Database, o.User, o.Name)
	if err != nil {
		return nil, notSentError("dial", o, err)
	}
	dial := o.DialContext
	if dial == nil {
		dial = (&net.Dialer{Control: limitUnacknowledged}).DialContext
	}
	nc, err := dial(ctx, "tcp", o.Address)
	if err != nil {
		return nil, notSentError("dial", o, err)
	}
	c := &Conn{
		codec: codec, o: o, nc: nc, unreadable: d.Unreadable, answers: make(chan answer, 1), readerDone: make(chan struct{}), closed: make(chan struct{}),
		status: 'I', variables: make(map[textDigest]textDigest), memory: newAnswerMemory(d.Answers),
	}
	go c.readLoop()
	a, _, err := c.roundTrip(ctx, startup)
	if err == nil && a.failure != nil {
		err = pgError(a.failure)
	}
	if err != nil {
		_ = c.Close()
		return nil, notSentError("dial", o, err)
	}
	c.recordState(a)
	return c, nil
}

// limitUnacknowledged makes userTimeout the bound on how long sent data may stay unacknowledged.
func limitUnacknowledged(_, _ string, rc syscall.RawConn) error {
	return gwdeadline.SetUserTimeout(rc, userTimeout)
}

func notSentError(op string, o gwbackend.Options, err error) error {
	return &gwbackend.Error{Op: op, Kind: gwbackend.KindNotSent, Server: o.Name, Err: err}
}

// maxErrorText bounds the text of a server's failure in errors and logs. A caller gets the
// whole text, as part of the server's answer.
const maxErrorText = 1 << 10

// pgError converts a failure to the error type that package gwbackend reports.
func pgError(f *Failure) *pgconn.PgError {
	return &pgconn.PgError{Severity: "ERROR", Code: f.Code.SQLState(), Message: f.Text[:min(len(f.Text), maxErrorText)]}
}

// countingReader counts the bytes that it has read.
type countingReader struct {
	io.Reader
	read *atomic.Int64
}

// Read implements io.Reader.
func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.read.Add(int64(n))
	return n, err
}

// Receiving implements gwbackend.Receiver.
func (c *Conn) Receiving() bool { return c.received.Load() > c.answerStart.Load() }

// readLoop reads answers until the connection closes.
func (c *Conn) readLoop() {
	defer close(c.readerDone)
	defer c.memory.release()
	r := bufio.NewReaderSize(countingReader{answerReader{c.nc, c.memory}, &c.received}, readBufferBytes)
	var a answer
	started := false
	for {
		reply, raw, err := c.readReply(r)
		if err != nil {
			recordUnreadable(c.unreadable, gwtelemetry.FromServer, c.o.Name, err)
			c.closeWithError(err)
			return
		}
		if len(a.raw)+len(raw) > maxAnswerBytes {
			err := &Error{Op: "read reply", Kind: KindProtocol, Reason: "answerTooLong", Bytes: len(a.raw) + len(raw), Err: errors.Newf("answer of more than %d bytes", maxAnswerBytes)}
			recordUnreadable(c.unreadable, gwtelemetry.FromServer, c.o.Name, err)
			c.closeWithError(err)
			return
		}
		switch m := reply.(type) {
		case Row:
			a.row = m
			a.raw = appendRow(a.raw, raw)
		case Complete:
			a.raw = append(a.raw, raw...)
		case Failure:
			a.failure = &m
			a.raw = append(a.raw, raw...)
		case Ready:
			a.ready = m
		}
		_, ready := reply.(Ready)
		// After a failed startup the server closes the connection without Ready.
		if !ready && (a.failure == nil || started) {
			continue
		}
		started = true
		c.memory.nextAnswer()
		if !c.deliver(a) {
			c.closeWithError(&Error{Op: "read reply", Kind: KindProtocol, Err: errors.New("answer without a request")})
			return
		}
		a = answer{}
	}
}

// readReply reads one message. A panic is an error that closes only this connection: the
// loop runs outside of the session whose answer it reads.
func (c *Conn) readReply(r *bufio.Reader) (reply Reply, raw []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &Error{Op: "read reply", Kind: KindProtocol, Reason: "panic", Err: errors.Newf("panic: %v", cause)}
		}
	}()
	return c.codec.ReadReply(r)
}

// deliver passes the answer to the exchange that waits for it. It reports false if there
// is none.
func (c *Conn) deliver(a answer) bool {
	c.mu.Lock()
	waiting := c.awaitingAnswer
	c.awaitingAnswer = false
	c.mu.Unlock()
	if !waiting {
		return false
	}
	c.answers <- a
	return true
}

func (c *Conn) closeWithError(err error) {
	c.unusable.Store(true)
	_ = c.nc.Close()
	c.mu.Lock()
	c.err = err
	c.mu.Unlock()
	close(c.closed)
	c.MarkClosed()
}

// Usable reports whether another exchange can run on the connection.
func (c *Conn) Usable() bool { return !c.unusable.Load() }

// TxStatus returns the transaction status of the last answer.
func (c *Conn) TxStatus() byte { return c.status }

// Clean reports whether no transaction is open. Variables and prepared statements do
// not matter, since every exchange first sets those of its session.
func (c *Conn) Clean() bool { return c.status == 'I' }

// Abort closes the connection at once; an exchange in progress fails.
func (c *Conn) Abort() {
	c.unusable.Store(true)
	c.memory.end()
	_ = c.nc.Close()
}

// Close closes the connection and waits for its reader goroutine.
func (c *Conn) Close() error {
	c.Abort()
	<-c.readerDone
	return nil
}

// CloseGracefully implements gwbackend.GracefulCloser. The server ends the session when it has
// read the end of the stream.
func (c *Conn) CloseGracefully(wait time.Duration) bool {
	c.unusable.Store(true)
	ended := false
	if w, ok := c.nc.(interface{ CloseWrite() error }); ok && w.CloseWrite() == nil {
		ended = gwbackend.AwaitEnd(c.readerDone, wait)
	}
	_ = c.Close()
	return ended
}

// roundTrip sends bytes and waits for the answer. sent reports whether the
// server may have received them.
func (c *Conn) roundTrip(ctx context.Context, out []byte) (a answer, sent bool, err error) {
	c.mu.Lock()
	if c.err != nil || c.awaitingAnswer || c.unusable.Load() {
		err := c.err
		c.mu.Unlock()
		if err == nil {
			err = gwbackend.ErrUnusable
		} else {
			// The cause concerned an earlier reply, so that it is no error of this request.
			err = errors.Newf("the connection was closed: %v", err)
		}
		return answer{}, false, err
	}
	c.awaitingAnswer = true
	c.answerStart.Store(c.received.Load())
	c.memory.release()
	c.mu.Unlock()
	deadline := time.Now().Add(writeTimeout)
	if d, ok := ctx.Deadline(); ok {
		// The context's clock may differ from the system's; only the remaining time
		// counts.
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
	case <-c.closed:
		select {
		case a := <-c.answers: // arrived at the same time as the end of the connection
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

// Recover waits for the answer to an abandoned exchange and discards it. The connection
// is usable again afterwards.
func (c *Conn) Recover(ctx context.Context) error {
	if !c.abandoned {
		return notSentError("recover connection", c.o, gwbackend.ErrUnusable)
	}
	select {
	case a := <-c.answers:
		c.abandoned = false
		c.memory.release()
		c.recordState(a)
		c.unusable.Store(false)
		return nil
	case <-c.closed:
		return notSentError("recover connection", c.o, c.err)
	case <-ctx.Done():
		return notSentError("recover connection", c.o, context.Cause(ctx))
	}
}

// runControl runs a statement that the instance itself issues.
func (c *Conn) runControl(ctx context.Context, after Position, text string) (answer, error) {
	out, err := c.codec.AppendQuery(c.wbuf[:0], "", after, text, "")
	if err != nil {
		return answer{}, err
	}
	c.keepBuffer(out)
	a, _, err := c.roundTrip(ctx, out)
	if err != nil {
		return a, err
	}
	c.recordState(a)
	return a, nil
}

// keepBuffer keeps the buffer of a message for the next one, unless it is large.
func (c *Conn) keepBuffer(b []byte) {
	c.wbuf = nil
	if cap(b) <= maxKeptBufferBytes {
		c.wbuf = b
	}
}

// recordState records the transaction status of an answer and reports its position.
func (c *Conn) recordState(a answer) {
	c.status = a.ready.Status
	if !a.ready.Position.IsZero() && c.o.OnPosition != nil {
		c.o.OnPosition(a.ready.Position)
	}
}

// Exchange sets the state of the request's session on the server, sends the statement
// and copies the answer without its final Ready to sink.
//
// Result.Position is the position of a commit: it is zero unless the request says that
// success commits.
func (c *Conn) Exchange(ctx context.Context, req gwbackend.Request, sink gwbackend.Sink) (gwbackend.Result, error) {
	stmt := req.Statement
	if stmt == nil {
		return gwbackend.Result{}, notSentError("run request", c.o, errors.New("request is not of the statement protocol"))
	}
	if err := ctx.Err(); err != nil {
		return gwbackend.Result{}, notSentError("run request", c.o, err)
	}
	a, sent, err := c.runStatement(ctx, stmt, req.Prepared)
	if err != nil {
		kind := gwbackend.KindNotSent
		if sent {
			kind = gwbackend.KindIncomplete
		}
		return gwbackend.Result{Sent: sent}, &gwbackend.Error{Op: "run request", Kind: kind, Server: c.o.Name, Err: err}
	}
	res := gwbackend.Result{Sent: sent, Complete: true, TxStatus: a.ready.Status}
	if a.failure != nil {
		res.ServerError = pgError(a.failure)
		res.Refusal = refusalEvents[a.failure.Code]
	} else if stmt.Commits && a.ready.Status == 'I' {
		res.Position = a.ready.Position
	}
	defer c.memory.release()
	if sink != nil && len(a.raw) > 0 {
		if err := gwbackend.WriteOwned(sink, a.raw); err != nil {
			return res, &gwbackend.Error{Op: "run request", Kind: gwbackend.KindSink, Server: c.o.Name, Err: err}
		}
		res.Delivered, res.AnswerBytes = true, int64(len(a.raw))
	}
	return res, nil
}

// runStatement sets the state of the session, opens a transaction if the request asks
// for it, and sends the statement. If a step before the statement fails, its failure is
// the answer, and sent is false.
func (c *Conn) runStatement(ctx context.Context, stmt *gwbackend.StatementRequest, prepared []gwbackend.PreparedStatement) (answer, bool, error) {
	text, arguments, a, err := c.applyState(ctx, stmt, prepared)
	if err != nil || a.failure != nil {
		return a, false, err
	}
	after := stmt.After
	if stmt.Begin != gwbackend.NoBegin {
		a, err := c.runControl(ctx, after, c.codec.BeginText(stmt.Begin == gwbackend.BeginRead))
		if err != nil || a.failure != nil {
			return a, false, err
		}
		after = Position{}
	}
	out, err := c.codec.AppendQuery(c.wbuf[:0], stmt.ID, after, text, arguments)
	if err != nil && !after.IsZero() {
		// The position may make the message too long.
		if a, err := c.checkPosition(ctx, after); err != nil || a.failure != nil {
			return a, false, err
		}
		out, err = c.codec.AppendQuery(c.wbuf[:0], stmt.ID, Position{}, text, arguments)
	}
	if err != nil {
		return answer{}, false, err
	}
	c.keepBuffer(out)
	a, sent, err := c.roundTrip(ctx, out)
	if err != nil {
		return a, sent, err
	}
	c.recordState(a)
	if a.failure != nil && a.failure.Code == NoStatement {
		c.sessionUnknown = true
	}
	return a, true, nil
}

// checkPosition checks that the server's log contains a position, with a transaction that reads
// nothing. The failure of its begin is the answer.
func (c *Conn) checkPosition(ctx context.Context, after Position) (answer, error) {
	a, err := c.runControl(ctx, after, c.codec.BeginText(true))
	if err != nil || a.failure != nil {
		return a, err
	}
	a, err = c.runControl(ctx, Position{}, c.codec.RollbackText())
	if err == nil && a.failure != nil {
		err = pgError(a.failure)
	}
	return answer{}, err
}

// Reset rolls back an open transaction.
func (c *Conn) Reset(ctx context.Context) error {
	if c.status == 'I' {
		return nil
	}
	a, err := c.runControl(ctx, Position{}, c.codec.RollbackText())
	if err == nil && a.failure != nil {
		err = pgError(a.failure)
	}
	return err
}
