package gwwire

import (
	"bytes"
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwsql"
)

// maxRequestBytes limits the messages of a batch together with the statements that it uses
// without parsing them. It fits a frame between instances, which has 16 MiB, with the
// largest configured messages (15 MiB) and some small statements.
const maxRequestBytes = 15<<20 + 64<<10

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
	preparedBytes   int // size of prepared
	first           *statement
	others          map[string]*statement // by global name, without first; nil if there are none
}

func (b *batch) empty() bool { return b.messages == 0 }

// clear empties the batch and returns its buffer to the pool.
func (b *batch) clear() {
	b.release()
	clear(b.prepared)
	clear(b.executed)
	clear(b.described)
	b.prepared, b.executed, b.described = b.prepared[:0], b.executed[:0], b.described[:0]
	b.messages, b.statementCloses, b.portalMessages, b.preparedBytes = 0, 0, 0, 0
	b.first, b.others = nil, nil
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

// use records that the batch parses or uses st, and reports whether st is the first
// statement of its global name in the batch. It returns an error if the batch uses
// another statement of that name, for which the server would take the later one: a
// caller can construct SQL whose hash equals that of other SQL.
func (b *batch) use(st *statement) (added bool, err error) {
	known := b.others[st.Name]
	switch {
	case b.first == nil:
		b.first = st
		return true, nil
	case b.first.Name == st.Name:
		known = b.first
	case known == nil:
		if b.others == nil {
			b.others = make(map[string]*statement)
		}
		b.others[st.Name] = st
		return true, nil
	}
	if !known.Equal(st.PreparedStatement) {
		return false, newError("add statement", KindInput, codeFeatureUnsupported, errors.New("two statements of a batch have the same hash"))
	}
	return false, nil
}

// require records that st must be prepared on the backend server before the batch
// runs, unless the batch itself parses it.
func (b *batch) require(st *statement) error {
	added, err := b.use(st)
	if added {
		b.prepared = append(b.prepared, st.PreparedStatement)
		b.preparedBytes += st.size(st.Name)
	}
	return err
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
	req := Request{
		Kind: Extended, Executes: len(b.executed) > 0, Several: len(list) > 1,
		Messages: b.buf, Prepared: b.prepared,
	}
	if len(list) > 0 {
		req.SQL = list[0].SQL
	}
	return req
}

// opensTransaction reports whether all statements that the batch executes belong to
// transaction blocks, the last of which is still open at the end of the batch.
func (b *batch) opensTransaction() bool {
	open := false
	for _, st := range b.executed {
		switch transactionCommand(st.SQL) {
		case beginsTransaction:
			open = true
		case endsTransaction:
			open = false
		case inTransaction:
			if !open {
				return false
			}
		}
	}
	return open
}

// Effects of a statement on the transaction block.
const (
	inTransaction = iota // none
	beginsTransaction
	endsTransaction
)

// transactionCommand returns the effect of a statement on the transaction block.
func transactionCommand(sql string) int {
	l := gwsql.NewLexer(sql)
	word := l.First()
	switch word.Lower() {
	case "begin", "start":
		return beginsTransaction
	case "commit", "end", "rollback", "abort":
		return endOfTransaction(&l)
	case "prepare":
		if l.Next().Is("transaction") {
			return endsTransaction
		}
	}
	return inTransaction
}

// endOfTransaction returns the effect of COMMIT or ROLLBACK, of which l has returned the
// first word: with TO it ends no transaction, and with AND CHAIN it begins the next one.
func endOfTransaction(l *gwsql.Lexer) int {
	previous := gwsql.Token{}
	for t := l.Next(); t.Kind != gwsql.End; t = l.Next() {
		switch {
		case t.Is("to"):
			return inTransaction
		case previous.Is("and") && t.Is("chain"):
			return beginsTransaction
		}
		previous = t
	}
	return endsTransaction
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
		ok, err = c.addDescribe(body)
	case 'E':
		ok = c.addExecute(frame, body)
	case 'C':
		ok = c.addClose(body)
	default:
		return newError("read message", KindInput, codeProtocolViolation, errors.Newf("invalid message type %q", frame[0]))
	}
	if err == nil && !ok {
		return malformed(frame[0])
	}
	if err == nil && c.batch.preparedBytes > 0 && len(c.batch.buf)+c.batch.preparedBytes > maxRequestBytes {
		return newError("parse batch", KindInput, codeLimitExceeded, errors.Newf("one batch and the statements that it uses exceed %d bytes", maxRequestBytes))
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
	st, err := c.statements.parse(name, sql, oids[2:], c.srv.limits.Load())
	if err != nil {
		return err
	}
	b := &c.batch
	if _, err := b.use(st); err != nil {
		return err
	}
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
func (c *conn) appendStatementName(name []byte) (st *statement, err error) {
	st = c.statements.find(name)
	if st == nil {
		c.batch.buf = append(c.batch.buf, gwbackend.MissingStatement...)
	} else {
		c.batch.buf = append(c.batch.buf, st.Name...)
		err = c.batch.require(st)
	}
	c.batch.buf = append(c.batch.buf, 0)
	return st, err
}

func (c *conn) addBind(body []byte) (ok bool, err error) {
	portal, rest, ok1 := cutString(body)
	name, rest, ok2 := cutString(rest)
	if !ok1 || !ok2 || !validParameters(rest) {
		return false, nil
	}
	b := &c.batch
	at := b.beginMessage('B')
	b.buf = append(append(b.buf, portal...), 0)
	st, err := c.appendStatementName(name)
	b.buf = append(b.buf, rest...)
	b.endMessage(at)
	b.portalMessages++
	if err != nil {
		return true, err
	}
	return true, c.statements.setPortal(portal, st, c.srv.limits.Load())
}

// validParameters reports whether b is what follows the names in a Bind message: format
// codes, values, and format codes of the result. A server that can't read the message
// may close its connection, and would then be taken for broken.
func validParameters(b []byte) bool {
	b, ok := skipFormats(b)
	if !ok || len(b) < 2 {
		return false
	}
	count := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	for range count {
		if len(b) < 4 {
			return false
		}
		n := max(0, int64(int32(binary.BigEndian.Uint32(b))))
		if int32(binary.BigEndian.Uint32(b)) < -1 || int64(len(b)-4) < n {
			return false
		}
		b = b[4+n:]
	}
	b, ok = skipFormats(b)
	return ok && len(b) == 0
}

// skipFormats skips a list of format codes.
func skipFormats(b []byte) (rest []byte, ok bool) {
	if len(b) < 2 {
		return nil, false
	}
	n := 2 + 2*int(binary.BigEndian.Uint16(b))
	if len(b) < n {
		return nil, false
	}
	return b[n:], true
}

// cutObject returns the type and the name in the body of a Describe or Close message.
func cutObject(body []byte) (typ byte, name []byte, ok bool) {
	if len(body) < 2 || bytes.IndexByte(body[1:], 0) != len(body)-2 {
		return 0, nil, false
	}
	return body[0], body[1 : len(body)-1], true
}

func (c *conn) addDescribe(body []byte) (ok bool, err error) {
	typ, name, ok := cutObject(body)
	if !ok || typ != 'S' && typ != 'P' {
		return false, nil
	}
	b := &c.batch
	at := b.beginMessage('D')
	b.buf = append(b.buf, typ)
	if typ == 'S' {
		var st *statement
		if st, err = c.appendStatementName(name); st != nil {
			b.described = append(b.described, st)
		}
	} else {
		b.buf = append(b.buf, body[1:]...)
		b.portalMessages++
	}
	b.endMessage(at)
	return true, err
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
	typ, name, ok := cutObject(body)
	if !ok || typ != 'S' && typ != 'P' {
		return false
	}
	b := &c.batch
	at := b.beginMessage('C')
	b.buf = append(b.buf, typ)
	if typ == 'S' {
		c.statements.closeStatement(name)
		b.buf = append(append(b.buf, gwbackend.MissingStatement...), 0)
		b.statementCloses++
	} else {
		c.statements.closePortal(name)
		b.buf = append(b.buf, body[1:]...)
		b.portalMessages++
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
	req := c.batch.request()
	if req.Executes && !req.Several {
		if done, err := c.deallocate(req); done {
			c.batch.clear()
			return err
		}
	}
	err := c.handle(req, true)
	c.batch.clear()
	return err
}

// deallocate answers a request that is a DEALLOCATE of statements of the session, which no
// server knows by their names. It returns false for any other request, and in a failed
// transaction, where the server refuses it.
func (c *conn) deallocate(req Request) (done bool, err error) {
	if c.txStatus == 'E' {
		return false, nil
	}
	tag := c.statements.deallocate(req.SQL)
	if tag == "" {
		return false, nil
	}
	w := &c.out
	w.timeout = c.srv.limits.Load().WriteTimeout
	w.reset()
	w.Complete(req, tag, c.txStatus)
	return true, c.finish(true)
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
	if done, err := c.deallocate(req); done {
		return err
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
