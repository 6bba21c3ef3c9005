package gwbackend

import (
	"bytes"
	"container/list"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
)

// parseOp describes a Parse that was sent.
type parseOp struct {
	statement PreparedStatement // cached when ParseComplete arrives; zero if it has no global name
	hidden    bool              // the caller does not expect the ParseComplete
}

// closeOp says how the CloseComplete of a Close that was sent is handled.
type closeOp uint8

const (
	closeForward         closeOp = iota // forwarded: the caller sent the Close
	closeHide                           // not forwarded: the connection added the Close
	closeAsParseComplete                // forwarded as ParseComplete: the Close replaced a redundant Parse
)

// maxCachedBytes limits the size of the prepared statements of a connection. Their number
// alone is no bound: one statement can have 15 MiB.
const maxCachedBytes = 4 << 20

// statementCache holds the prepared statements of a connection, least recently used
// last. Evicted statements are closed with the next batch.
type statementCache struct {
	limit   int
	bytes   int       // size of the statements in order
	order   list.List // of *PreparedStatement
	byName  map[string]*list.Element
	evicted []string
}

// has reports whether the connection has exactly this statement, and marks it as
// recently used.
func (s *statementCache) has(st PreparedStatement) bool {
	e, ok := s.byName[st.Name]
	if !ok || !e.Value.(*PreparedStatement).Equal(st) {
		return false
	}
	s.order.MoveToFront(e)
	return true
}

func (s *statementCache) add(st PreparedStatement) {
	if s.byName == nil {
		s.byName = make(map[string]*list.Element)
	}
	if e, ok := s.byName[st.Name]; ok {
		s.remove(e)
	}
	s.byName[st.Name] = s.order.PushFront(&st)
	s.bytes += st.size()
	for s.order.Len() > s.limit || s.bytes > maxCachedBytes && s.order.Len() > 1 {
		s.evict(s.order.Back())
	}
}

func (s *statementCache) remove(e *list.Element) {
	s.bytes -= e.Value.(*PreparedStatement).size()
	s.order.Remove(e)
}

// size returns the number of bytes that a connection keeps for the statement.
func (s *PreparedStatement) size() int {
	return len(s.Name) + len(s.SQL) + 4*len(s.ParameterOIDs)
}

func (s *statementCache) evict(e *list.Element) {
	name := e.Value.(*PreparedStatement).Name
	s.remove(e)
	delete(s.byName, name)
	s.evicted = append(s.evicted, name)
}

func (s *statementCache) clear() {
	s.order.Init()
	s.bytes = 0
	clear(s.byName)
	s.evicted = s.evicted[:0]
}

// SQLSTATEs after which the statements of a connection are prepared again.
const (
	sqlstateUndefinedStatement = "26000"
	sqlstateDuplicateStatement = "42P05"
	sqlstateFeatureUnsupported = "0A000" // also "cached plan must not change result type"
)

// evictOnError evicts all statements if e shows that the cache no longer matches the
// prepared statements of the server.
func (s *statementCache) evictOnError(e *pgconn.PgError, x *exchange) {
	switch e.Code {
	case sqlstateUndefinedStatement, sqlstateDuplicateStatement:
	case sqlstateFeatureUnsupported:
		if !strings.Contains(e.Message, "cached plan") {
			return
		}
	default:
		return
	}
	if x.simple {
		return
	}
	s.evictAll()
}

// evictAll marks every statement to be closed, whether the server has it or not.
func (s *statementCache) evictAll() {
	for s.order.Len() > 0 {
		s.evict(s.order.Back())
	}
}

// buildMessages checks the request and returns the bytes to send: req.Messages itself
// if nothing has to be added or replaced.
func (c *Conn) buildMessages(x *exchange, req Request) ([]byte, error) {
	hasParse, err := c.scan(x, req.Messages)
	if err != nil || x.simple {
		return req.Messages, err
	}
	missing := false
	for i := range req.Prepared {
		if !c.statements.has(req.Prepared[i]) {
			missing = true
		}
	}
	if !hasParse && !missing && len(c.statements.evicted) == 0 {
		return req.Messages, nil
	}
	b := c.wbuf[:0]
	for _, name := range c.statements.evicted {
		b = appendClose(b, name)
		x.closes = append(x.closes, closeHide)
	}
	c.statements.evicted = c.statements.evicted[:0]
	for _, st := range req.Prepared {
		if !c.statements.has(st) {
			b = c.appendParse(b, x, st, true)
		}
	}
	b = c.rewrite(b, x, req.Messages)
	if cap(b) <= readBufferBytes {
		c.wbuf = b
	}
	return b, nil
}

// scan checks that messages end in one Query or Sync, reports whether they contain a
// Parse, and records the Close messages for the case that they are sent unchanged.
func (c *Conn) scan(x *exchange, messages []byte) (hasParse bool, err error) {
	for rest := messages; ; {
		if len(rest) < headerBytes {
			return false, ErrBadRequest
		}
		n := frameSize(rest)
		if n < headerBytes || n > len(rest) {
			return false, ErrBadRequest
		}
		switch rest[0] {
		case 'Q', 'S':
			if n != len(rest) || rest[0] == 'Q' && len(rest) != len(messages) {
				return false, ErrBadRequest
			}
			x.simple = rest[0] == 'Q'
			return hasParse, nil
		case 'P':
			hasParse = true
		case 'C':
			if !hasParse {
				x.closes = append(x.closes, closeForward)
			}
		case 'B', 'D', 'E':
		default:
			return false, ErrBadRequest
		}
		rest = rest[n:]
	}
}

// rewrite appends messages to b. It replaces each Parse of a statement that already
// exists on the connection by a Close without effect, whose CloseComplete is forwarded
// as the ParseComplete.
func (c *Conn) rewrite(b []byte, x *exchange, messages []byte) []byte {
	x.closes = slices.DeleteFunc(x.closes, func(o closeOp) bool { return o == closeForward })
	for rest := messages; len(rest) > 0; {
		n := frameSize(rest)
		frame := rest[:n]
		rest = rest[n:]
		switch frame[0] {
		case 'P':
			st, ok := parseStatement(frame)
			switch {
			case !ok:
				b = append(b, frame...)
				x.parses = append(x.parses, parseOp{})
			case c.statements.has(st) || x.alreadyParses(st):
				b = appendClose(b, MissingStatement)
				x.closes = append(x.closes, closeAsParseComplete)
			default:
				b = c.appendParse(b, x, st, false)
			}
		case 'C':
			x.closes = append(x.closes, closeForward)
			b = append(b, frame...)
		default:
			b = append(b, frame...)
		}
	}
	return b
}

// alreadyParses reports whether the exchange already contains a Parse of st.
func (x *exchange) alreadyParses(st PreparedStatement) bool {
	for i := range x.parses {
		if x.parses[i].statement.Equal(st) {
			return true
		}
	}
	return false
}

// appendParse appends a Parse of st, preceded by a Close if another statement has the
// name.
func (c *Conn) appendParse(b []byte, x *exchange, st PreparedStatement, hidden bool) []byte {
	_, taken := c.statements.byName[st.Name]
	for i := range x.parses {
		taken = taken || x.parses[i].statement.Name == st.Name
	}
	if taken {
		b = appendClose(b, st.Name)
		x.closes = append(x.closes, closeHide)
	}
	x.parses = append(x.parses, parseOp{statement: st, hidden: hidden})
	start := len(b)
	b = append(b, 'P', 0, 0, 0, 0)
	b = append(append(b, st.Name...), 0)
	b = append(append(b, st.SQL...), 0)
	b = binary.BigEndian.AppendUint16(b, uint16(len(st.ParameterOIDs)))
	for _, oid := range st.ParameterOIDs {
		b = binary.BigEndian.AppendUint32(b, oid)
	}
	binary.BigEndian.PutUint32(b[start+1:], uint32(len(b)-start-1))
	return b
}

func appendClose(b []byte, name string) []byte {
	b = append(b, 'C')
	b = binary.BigEndian.AppendUint32(b, uint32(4+1+len(name)+1))
	b = append(b, 'S')
	return append(append(b, name...), 0)
}

// parseStatement decodes a Parse message of a global name. ok is false for
// other names, which are sent unchanged.
func parseStatement(frame []byte) (st PreparedStatement, ok bool) {
	name, rest, ok := cutString(frame[headerBytes:])
	if !ok || !bytes.HasPrefix(name, []byte(NamePrefix)) {
		return PreparedStatement{}, false
	}
	sql, rest, ok := cutString(rest)
	if !ok || len(rest) < 2 {
		return PreparedStatement{}, false
	}
	count := int(binary.BigEndian.Uint16(rest))
	rest = rest[2:]
	if len(rest) != 4*count {
		return PreparedStatement{}, false
	}
	st = PreparedStatement{Name: string(name), SQL: string(sql)}
	for ; count > 0; count-- {
		st.ParameterOIDs = append(st.ParameterOIDs, binary.BigEndian.Uint32(rest))
		rest = rest[4:]
	}
	return st, true
}
