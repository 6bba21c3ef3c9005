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

// batch accumulates the messages of an extended-protocol request, with the caller's
// statement names replaced by global names.
type batch struct {
	buf             []byte
	pooled          *[]byte
	prepared        []gwbackend.PreparedStatement
	executed        []*statement
	described       []*statement
	messages        int
	statementCloses int // Close messages of statements
	portalMessages  int // Bind and Execute, and Describe and Close of a portal
}

func (b *batch) empty() bool { return b.messages == 0 }

// clear empties the batch and returns its buffer to the pool.
func (b *batch) clear() {
	b.release()
	clear(b.prepared)
	clear(b.executed)
	clear(b.described)
	b.prepared, b.executed, b.described = b.prepared[:0], b.executed[:0], b.described[:0]
	b.messages, b.statementCloses, b.portalMessages = 0, 0, 0
}

func (b *batch) release() {
	if b.pooled != nil {
		bufferPool.Put(b.pooled)
		b.pooled = nil
	}
	b.buf = nil
}

// beginMessage appends the header of a message and returns its offset; endMessage
// fills in the length after the body has been appended.
func (b *batch) beginMessage(typ byte) (at int) {
	if b.buf == nil {
		b.pooled = bufferPool.Get().(*[]byte)
		b.buf = (*b.pooled)[:0]
	}
	at = len(b.buf)
	b.buf = append(b.buf, typ, 0, 0, 0, 0)
	b.messages++
	return at
}

func (b *batch) endMessage(at int) {
	binary.BigEndian.PutUint32(b.buf[at+1:], uint32(len(b.buf)-at-1))
}

// require records that st must be prepared on the backend server before the batch
// runs, unless the batch itself parses it.
func (b *batch) require(st *statement) {
	if st.parsedInBatch {
		return
	}
	for i := range b.prepared {
		if b.prepared[i].Name == st.Name {
			return
		}
	}
	b.prepared = append(b.prepared, st.PreparedStatement)
}

// request terminates the accumulated messages with a Sync and returns them as a
// request.
func (b *batch) request() Request {
	at := b.beginMessage('S')
	b.endMessage(at)
	list := b.executed
	if len(list) == 0 {
		list = b.described
	}
	return Request{
		Kind: Extended, SQL: joinSQL(list), Executes: len(b.executed) > 0,
		Messages: b.buf, Prepared: b.prepared,
	}
}

// opensTransaction reports whether all statements that the batch executes belong to
// transaction blocks, the last of which is still open at the end of the batch.
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

// addMessage validates one extended-protocol message and adds it to the batch.
func (c *conn) addMessage(frame []byte) error {
	if limit := c.srv.limits.Load().MessageBytes; len(c.batch.buf)+len(frame) > limit+headerBytes {
		return newError("parse batch", KindInput, codeLimitExceeded, errors.Newf("messages of one batch exceed %d bytes", limit))
	}
	ok := false
	var err error
	switch body := frame[headerBytes:]; frame[0] {
	case 'P':
		return c.addParse(body)
	case 'B':
		ok, err = c.addBind(body)
	case 'D':
		ok = c.addDescribe(body)
	case 'E':
		ok = c.addExecute(frame, body)
	case 'C':
		ok = c.addClose(body)
	default:
		return newError("read message", KindInput, codeProtocolViolation, errors.Newf("invalid message type %q", frame[0]))
	}
	if !ok {
		return malformed(frame[0])
	}
	return err
}

func malformed(typ byte) error {
	return newError("read message", KindInput, codeProtocolViolation, errors.Wrapf(errMalformed, "message %q", typ))
}

// cutString cuts the NUL-terminated string off the start of b.
func cutString(b []byte) (s, rest []byte, ok bool) { return bytes.Cut(b, []byte{0}) }

func (c *conn) addParse(body []byte) error {
	name, rest, ok1 := cutString(body)
	sql, oids, ok2 := cutString(rest)
	if !ok1 || !ok2 || len(oids) < 2 || len(oids) != 2+4*int(binary.BigEndian.Uint16(oids)) {
		return malformed('P')
	}
	st, err := c.statements.parse(name, sql, oids[2:], c.srv.limits.Load().Statements)
	if err != nil {
		return err
	}
	b := &c.batch
	at := b.beginMessage('P')
	b.buf = append(append(b.buf, st.Name...), 0)
	b.buf = append(append(b.buf, sql...), 0)
	b.buf = append(b.buf, oids...)
	b.endMessage(at)
	b.described = append(b.described, st)
	return nil
}

// appendStatementName appends the global name of the caller's statement to the batch. An
// unknown name is replaced by one that no backend server knows, so that the server fails
// the batch at this message.
func (c *conn) appendStatementName(name []byte) *statement {
	st := c.statements.find(name)
	if st == nil {
		c.batch.buf = append(c.batch.buf, gwbackend.MissingStatement...)
	} else {
		c.batch.buf = append(c.batch.buf, st.Name...)
		c.batch.require(st)
	}
	c.batch.buf = append(c.batch.buf, 0)
	return st
}

func (c *conn) addBind(body []byte) (ok bool, err error) {
	portal, rest, ok1 := cutString(body)
	name, rest, ok2 := cutString(rest)
	if !ok1 || !ok2 {
		return false, nil
	}
	b := &c.batch
	at := b.beginMessage('B')
	b.buf = append(append(b.buf, portal...), 0)
	st := c.appendStatementName(name)
	b.buf = append(b.buf, rest...)
	b.endMessage(at)
	b.portalMessages++
	if limit := c.srv.limits.Load().Statements; !c.statements.setPortal(portal, st, limit) {
		return true, newError("bind portal", KindInput, codeLimitExceeded, errors.Newf("more than %d named portals", limit))
	}
	return true, nil
}

func (c *conn) addDescribe(body []byte) bool {
	if len(body) < 2 || body[len(body)-1] != 0 {
		return false
	}
	b := &c.batch
	at := b.beginMessage('D')
	b.buf = append(b.buf, body[0])
	switch body[0] {
	case 'S':
		if st := c.appendStatementName(body[1 : len(body)-1]); st != nil {
			b.described = append(b.described, st)
		}
	case 'P':
		b.buf = append(b.buf, body[1:]...)
		b.portalMessages++
	default:
		return false
	}
	b.endMessage(at)
	return true
}

func (c *conn) addExecute(frame, body []byte) bool {
	portal, rest, ok := cutString(body)
	if !ok || len(rest) != 4 {
		return false
	}
	at := c.batch.beginMessage('E')
	c.batch.buf = append(c.batch.buf[:at], frame...)
	c.batch.portalMessages++
	if st := c.statements.portal(portal); st != nil {
		c.batch.executed = append(c.batch.executed, st)
	}
	return true
}

func (c *conn) addClose(body []byte) bool {
	if len(body) < 2 || body[len(body)-1] != 0 {
		return false
	}
	b := &c.batch
	at := b.beginMessage('C')
	b.buf = append(b.buf, body[0])
	switch body[0] {
	case 'S':
		c.statements.closeStatement(body[1 : len(body)-1])
		b.buf = append(append(b.buf, gwbackend.MissingStatement...), 0)
		b.statementCloses++
	case 'P':
		c.statements.closePortal(body[1 : len(body)-1])
		b.buf = append(b.buf, body[1:]...)
		b.portalMessages++
	default:
		return false
	}
	b.endMessage(at)
	return true
}

// sync ends a batch and runs it. A batch that only closes statements needs no backend
// server and is completed locally.
func (c *conn) sync(frame []byte) error {
	if len(frame) != headerBytes {
		return malformed('S')
	}
	c.skipToSync, c.flushPending = false, false
	if c.batch.messages == c.batch.statementCloses {
		return c.completeLocally(true)
	}
	err := c.handle(c.batch.request(), true)
	c.batch.clear()
	return err
}

// flush runs the pending messages before the Sync, or defers them to it where running
// them separately would change the meaning of the batch.
func (c *conn) flush() error {
	b := &c.batch
	if b.empty() {
		return nil
	}
	if c.txStatus == 'I' && b.portalMessages > 0 && !b.opensTransaction() {
		c.flushPending = true
		return nil
	}
	if b.messages == b.statementCloses {
		return c.completeLocally(false)
	}
	err := c.handle(b.request(), false)
	b.clear()
	return err
}

// completeLocally responds to a batch that only closes statements.
func (c *conn) completeLocally(sendReady bool) error {
	w := &c.out
	w.timeout = c.srv.limits.Load().WriteTimeout
	w.reset()
	for range c.batch.statementCloses {
		w.message(&pgproto3.CloseComplete{})
	}
	c.batch.clear()
	w.txStatus = c.txStatus
	return c.finish(sendReady)
}

func (c *conn) simpleQuery(frame []byte) error {
	body := frame[headerBytes:]
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return malformed('Q')
	}
	if !c.batch.empty() {
		// PostgreSQL runs the batch and the query in one implicit transaction. Here
		// they would be two requests, each with its own transaction.
		return newError("read message", KindInput, codeFeatureUnsupported, errors.New("simple query inside an extended-protocol batch is not supported"))
	}
	sql := string(body[:len(body)-1])
	req := Request{Kind: Simple, SQL: sql, Executes: true, Messages: frame}
	if c.statements.deallocate(sql) {
		w := &c.out
		w.timeout = c.srv.limits.Load().WriteTimeout
		w.reset()
		w.Complete(req, "DEALLOCATE", c.txStatus)
		return c.finish(true)
	}
	return c.handle(req, true)
}

// functionCall rejects the obsolete FunctionCall message.
func (c *conn) functionCall() error {
	w := &c.out
	w.reset()
	w.Error(&pgconn.PgError{Code: codeFeatureUnsupported, Message: "function calls are not supported"}, c.txStatus)
	return c.finish(true)
}
