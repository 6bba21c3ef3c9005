package gwwire

import (
	"bytes"
	"encoding/binary"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"gentianward.example/gentianward/internal/gwbackend"
)

// batch collects the messages of an extended request, with global names.
type batch struct {
	buf       []byte
	pooled    *[]byte
	prepared  []gwbackend.PreparedStatement
	executed  []*statement
	described []*statement
	messages  int
	closes    int // of statements
	binds     int // Bind, Execute, and Describe or Close of a portal
}

func (b *batch) empty() bool { return b.messages == 0 }

// clear drops the content. The buffer goes back to the pool.
func (b *batch) clear() {
	b.release()
	clear(b.prepared)
	clear(b.executed)
	clear(b.described)
	b.prepared, b.executed, b.described = b.prepared[:0], b.executed[:0], b.described[:0]
	b.messages, b.closes, b.binds = 0, 0, 0
}

func (b *batch) release() {
	if b.pooled != nil {
		bufferPool.Put(b.pooled)
		b.pooled = nil
	}
	b.buf = nil
}

// start begins a message; end completes its length.
func (b *batch) start(typ byte) (at int) {
	if b.buf == nil {
		b.pooled = bufferPool.Get().(*[]byte)
		b.buf = (*b.pooled)[:0]
	}
	at = len(b.buf)
	b.buf = append(b.buf, typ, 0, 0, 0, 0)
	b.messages++
	return at
}

func (b *batch) end(at int) {
	binary.BigEndian.PutUint32(b.buf[at+1:], uint32(len(b.buf)-at-1))
}

// use notes that the batch needs st on the server.
func (b *batch) use(st *statement) {
	if st.batch {
		return
	}
	for i := range b.prepared {
		if b.prepared[i].Name == st.Name {
			return
		}
	}
	b.prepared = append(b.prepared, st.PreparedStatement)
}

// request returns the collected messages as a request.
func (b *batch) request() Request {
	at := b.start('S')
	b.end(at)
	list := b.executed
	if len(list) == 0 {
		list = b.described
	}
	return Request{
		Kind: Extended, SQL: joinSQL(list), Executes: len(b.executed) > 0,
		Messages: b.buf, Prepared: b.prepared,
	}
}

// opensTransaction reports whether all statements that the batch executes are
// part of transaction blocks, and the last of these stays open.
func (b *batch) opensTransaction() bool {
	open := false
	for _, st := range b.executed {
		word, _, _ := strings.Cut(strings.TrimSpace(st.SQL), " ")
		switch strings.ToLower(strings.TrimSuffix(word, ";")) {
		case "begin", "start":
			open = true
		case "commit", "end", "rollback", "abort", "prepare":
			open = false
		default:
			if !open {
				return false
			}
		}
	}
	return open
}

func joinSQL(list []*statement) string {
	switch len(list) {
	case 0:
		return ""
	case 1:
		return list[0].SQL
	}
	parts := make([]string, len(list))
	for i, st := range list {
		parts[i] = st.SQL
	}
	return strings.Join(parts, ";")
}

// collect adds one message to the batch.
func (c *conn) collect(frame []byte) error {
	if limit := c.srv.limits.Load().MessageBytes; len(c.batch.buf)+len(frame) > limit+headerBytes {
		return fail("batch", KindInput, codeLimitExceeded, errors.Newf("batch exceeds %d bytes", limit))
	}
	ok := false
	var err error
	switch body := frame[headerBytes:]; frame[0] {
	case 'P':
		return c.parse(body)
	case 'B':
		ok, err = c.bind(body)
	case 'D':
		ok = c.describe(body)
	case 'E':
		ok = c.execute(frame, body)
	case 'C':
		ok = c.close(body)
	default:
		return fail("read", KindInput, codeProtocolViolation, errors.Newf("invalid message type %q", frame[0]))
	}
	if !ok {
		return malformed(frame[0])
	}
	return err
}

func malformed(typ byte) error {
	return fail("read", KindInput, codeProtocolViolation, errors.Wrapf(errMalformed, "message %q", typ))
}

func cut(b []byte) (s, rest []byte, ok bool) { return bytes.Cut(b, []byte{0}) }

func (c *conn) parse(body []byte) error {
	name, rest, ok1 := cut(body)
	sql, oids, ok2 := cut(rest)
	if !ok1 || !ok2 || len(oids) < 2 || len(oids) != 2+4*int(binary.BigEndian.Uint16(oids)) {
		return malformed('P')
	}
	st, err := c.names.define(name, sql, oids[2:], c.srv.limits.Load().Statements)
	if err != nil {
		return err
	}
	b := &c.batch
	at := b.start('P')
	b.buf = append(append(b.buf, st.Name...), 0)
	b.buf = append(append(b.buf, sql...), 0)
	b.buf = append(b.buf, oids...)
	b.end(at)
	b.described = append(b.described, st)
	return nil
}

// named appends the global name of the caller's statement. An unknown name is
// replaced by one that the server does not know either, so that the server
// fails the batch at this place.
func (c *conn) named(name []byte) *statement {
	st := c.names.find(name)
	if st == nil {
		c.batch.buf = append(c.batch.buf, gwbackend.MissingStatement...)
	} else {
		c.batch.buf = append(c.batch.buf, st.Name...)
		c.batch.use(st)
	}
	c.batch.buf = append(c.batch.buf, 0)
	return st
}

func (c *conn) bind(body []byte) (ok bool, err error) {
	portal, rest, ok1 := cut(body)
	name, rest, ok2 := cut(rest)
	if !ok1 || !ok2 {
		return false, nil
	}
	b := &c.batch
	at := b.start('B')
	b.buf = append(append(b.buf, portal...), 0)
	st := c.named(name)
	b.buf = append(b.buf, rest...)
	b.end(at)
	b.binds++
	if limit := c.srv.limits.Load().Statements; !c.names.setPortal(portal, st, limit) {
		return true, fail("bind", KindInput, codeLimitExceeded, errors.Newf("more than %d named portals", limit))
	}
	return true, nil
}

func (c *conn) describe(body []byte) bool {
	if len(body) < 2 || body[len(body)-1] != 0 {
		return false
	}
	b := &c.batch
	at := b.start('D')
	b.buf = append(b.buf, body[0])
	switch body[0] {
	case 'S':
		if st := c.named(body[1 : len(body)-1]); st != nil {
			b.described = append(b.described, st)
		}
	case 'P':
		b.buf = append(b.buf, body[1:]...)
		b.binds++
	default:
		return false
	}
	b.end(at)
	return true
}

func (c *conn) execute(frame, body []byte) bool {
	portal, rest, ok := cut(body)
	if !ok || len(rest) != 4 {
		return false
	}
	at := c.batch.start('E')
	c.batch.buf = append(c.batch.buf[:at], frame...)
	c.batch.binds++
	if st := c.names.portal(portal); st != nil {
		c.batch.executed = append(c.batch.executed, st)
	}
	return true
}

func (c *conn) close(body []byte) bool {
	if len(body) < 2 || body[len(body)-1] != 0 {
		return false
	}
	b := &c.batch
	at := b.start('C')
	b.buf = append(b.buf, body[0])
	switch body[0] {
	case 'S':
		c.names.drop(body[1 : len(body)-1])
		b.buf = append(append(b.buf, gwbackend.MissingStatement...), 0)
		b.closes++
	case 'P':
		c.names.dropPortal(body[1 : len(body)-1])
		b.buf = append(b.buf, body[1:]...)
		b.binds++
	default:
		return false
	}
	b.end(at)
	return true
}

// sync ends a batch and runs it. A batch that needs no server is answered
// here.
func (c *conn) sync(frame []byte) error {
	if len(frame) != headerBytes {
		return malformed('S')
	}
	c.skip, c.flushed = false, false
	if c.batch.messages == c.batch.closes {
		return c.answerLocally(true)
	}
	err := c.handle(c.batch.request(), true)
	c.batch.clear()
	return err
}

// flushRequest runs the pending messages if the batch keeps its meaning.
func (c *conn) flushRequest() error {
	b := &c.batch
	if b.empty() {
		return nil
	}
	if c.tx == 'I' && b.binds > 0 && !b.opensTransaction() {
		c.flushed = true
		return nil
	}
	if b.messages == b.closes {
		return c.answerLocally(false)
	}
	err := c.handle(b.request(), false)
	b.clear()
	return err
}

// answerLocally answers a batch of statement closes.
func (c *conn) answerLocally(last bool) error {
	w := &c.out
	w.timeout = c.srv.limits.Load().WriteTimeout
	w.begin()
	for range c.batch.closes {
		w.message(&pgproto3.CloseComplete{})
	}
	c.batch.clear()
	w.status = c.tx
	return c.finish(last)
}

func (c *conn) simpleQuery(frame []byte) error {
	body := frame[headerBytes:]
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return malformed('Q')
	}
	if !c.batch.empty() {
		// A Query ends a batch without Sync, as in PostgreSQL, where both run
		// in one implicit transaction; here each has its own.
		return fail("read", KindInput, codeFeatureUnsupported, errors.New("simple query inside an extended batch"))
	}
	sql := string(body[:len(body)-1])
	req := Request{Kind: Simple, SQL: sql, Executes: true, Messages: frame}
	if c.names.deallocate(sql) {
		w := &c.out
		w.timeout = c.srv.limits.Load().WriteTimeout
		w.begin()
		w.Complete(req, "DEALLOCATE", c.tx)
		return c.finish(true)
	}
	return c.handle(req, true)
}

// functionCall refuses the obsolete function call message.
func (c *conn) functionCall() error {
	w := &c.out
	w.begin()
	w.Error(&pgconn.PgError{Code: codeFeatureUnsupported, Message: "function calls are not supported"}, c.tx)
	return c.finish(true)
}
