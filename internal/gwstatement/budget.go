package gwstatement

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/internal/gwbudget"
)

// Limits of what a caller sends and reads.
const (
	// freeBytes is the part of a message or answer that is not taken from the budget. Most
	// statements are shorter, and connections are bounded in number.
	freeBytes = 4 << 10
	// readStep is the size of the steps in which the memory of a message is taken.
	readStep = 32 << 10
	// readFactor is how many times its size a message needs while it is read: the line, the
	// larger buffer that the line grows to, and the text.
	readFactor = 2
	// maxReadBytes bounds what is taken for a message. What exceeds 1 MiB is skipped and not kept.
	maxReadBytes = 1<<20 + readStep
	// messageTimeout bounds the time from the first to the last byte of a message, including waits
	// for memory: 1 MiB takes 4 s on a link of 2 Mbit/s, which 30 connections may share.
	messageTimeout = 2 * time.Minute
	// roomTimeout is how long a read waits while its host's answers have all of their memory.
	roomTimeout = time.Second
	// roomPollInterval is the interval at which such a read looks for room.
	roomPollInterval = 20 * time.Millisecond
)

var errNoMemory = errors.New("no memory for the message")

// callerReader reads from a caller's connection. It takes the memory of a message before it reads
// it, and bounds the time that the message takes. Its methods are called by one goroutine.
type callerReader struct {
	net.Conn
	ctx  context.Context
	hold *gwbudget.Hold
	// inSession means that the session is open; before, its own time-out applies.
	inSession bool
	// read is the number of bytes of the message, and taken how many of them memory was taken for.
	read, taken int
	// deadline is when the message has to be complete; zero unless it came in parts.
	deadline time.Time
}

// Read implements io.Reader.
func (r *callerReader) Read(p []byte) (int, error) {
	if r.inSession && r.read > 0 && r.deadline.IsZero() {
		r.deadline = time.Now().Add(messageTimeout)
		_ = r.SetReadDeadline(r.deadline)
	}
	if err := r.takeMemory(len(p)); err != nil {
		return 0, err
	}
	if r.taken == 0 {
		n, err := r.Conn.Read(p)
		r.read += n
		return n, err
	}
	r.hold.AwaitClient()
	n, err := r.Conn.Read(p)
	r.hold.ClientMoved(n)
	r.read += n
	return n, err
}

// takeMemory takes memory for n more bytes of the message.
func (r *callerReader) takeMemory(n int) error {
	if r.read+n <= max(freeBytes, r.taken) || r.taken >= maxReadBytes {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, messageTimeout)
	defer cancel()
	if !r.hold.Acquire(ctx, readFactor*readStep) {
		return &Error{Op: "read message", Kind: KindShutdown, Err: errNoMemory}
	}
	r.taken += readStep
	return nil
}

// endMessage ends the read of a message, which stays in memory until release.
func (r *callerReader) endMessage() {
	if !r.deadline.IsZero() {
		r.deadline = time.Time{}
		_ = r.SetReadDeadline(time.Time{})
	}
	if r.taken > 0 {
		r.hold.Reduce(int64(min(r.read, maxReadBytes)))
	}
	r.read = 0
}

// release returns the memory of the message.
func (r *callerReader) release() {
	if r.taken > 0 {
		r.hold.Release()
		r.taken = 0
	}
}

// refuseWithoutRoom returns the statement to run for q: a refusal if q is a read whose answer may
// be large while the answers of its host that are not read yet have all of their memory.
func (s *Server) refuseWithoutRoom(c *callerConn, q Query) Query {
	switch q.Statement.(type) {
	case Read, Execute:
	default:
		return q
	}
	for waited := time.Duration(0); c.answers.HostFull(); waited += roomPollInterval {
		if waited >= roomTimeout || s.statements.Err() != nil {
			c.answers.Refuse()
			q.Statement = Refused{Reason: "earlier answers to this address have not been read"}
			return q
		}
		time.Sleep(roomPollInterval)
	}
	return q
}

// write writes an answer, which fails once a part of it takes longer than answerWriteTimeout.
func (c *callerConn) write(answer []byte) error {
	if len(answer) <= freeBytes {
		return c.writePart(answer)
	}
	c.answers.Force(int64(cap(answer)))
	defer c.answers.Release()
	for len(answer) > 0 {
		part := answer[:min(len(answer), answerPartBytes)]
		c.answers.AwaitClient()
		if err := c.writePart(part); err != nil {
			return err
		}
		c.answers.ClientMoved(len(part))
		answer = answer[len(part):]
	}
	return nil
}

func (c *callerConn) writePart(part []byte) error {
	_ = c.nc.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	_, err := c.nc.Write(part)
	return err
}

// newCallerConn returns a connection with its holds of the budget.
func (s *Server) newCallerConn(nc net.Conn) *callerConn {
	host, end := gwbudget.HostOf(nc), func() { _ = nc.Close() }
	c := &callerConn{nc: nc, in: callerReader{Conn: nc, ctx: s.ctx}}
	if b := s.o.Budget; b != nil {
		c.in.hold, c.answers = b.Messages.Open(host, end), b.Answers.Open(host, end)
	}
	return c
}

// add adds a connection and returns false if there is no place for it.
func (s *Server) add(c *callerConn) bool {
	remove := s.places.Add(c.nc, c.replaceable)
	if remove == nil {
		return false
	}
	c.leave = remove
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return true
}

// replaceable reports whether the connection can be closed for one of another host: its session is
// not open, or it waits for a message outside of a transaction. A transaction or a message that has
// waited for its caller for silenceTimeout does not protect it: neither has been committed or run.
func (c *callerConn) replaceable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := !c.awaitsSince.IsZero() && time.Since(c.awaitsSince) >= silenceTimeout
	return c.session == nil || silent || !c.busy && c.session.Idle()
}

// silenceTimeout is longer than transactions may be idle (3 s) and than a message of 1 MiB takes on
// a link of 2 Mbit/s (4 s).
const silenceTimeout = 6 * time.Second

// setAwaits records whether the caller's next bytes are awaited, from now on.
func (c *callerConn) setAwaits(awaits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsSince = time.Time{}
	if awaits {
		c.awaitsSince = time.Now()
	}
}
