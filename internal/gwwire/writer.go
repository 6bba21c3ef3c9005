package gwwire

import (
	"encoding/binary"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// responder is the ResponseWriter of a session. It tracks the message boundaries of the
// response, withholds ReadyForQuery and records its transaction status.
type responder struct {
	nc      net.Conn
	timeout time.Duration

	pooled *[]byte
	buf    []byte
	sent   bool  // a part of the response has been sent
	err    error // of a write to the connection, or a malformed message

	header          [headerBytes]byte // of a message whose header is split across writes
	headerLen       int
	typ             byte
	remaining       int  // bytes of the current message not yet written
	txStatus        byte // from ReadyForQuery; 0: not yet known
	failed          bool // the response contains an ErrorResponse
	parsesCompleted int  // number of ParseComplete messages
	corrupt         bool // the message stream is broken; nothing more can be written

	readyBuf [headerBytes + 1]byte // ReadyForQuery; a field to avoid an allocation per request
}

// reset prepares w for the response to the next request.
func (w *responder) reset() {
	w.sent, w.corrupt = false, false
	w.resetParser()
}

func (w *responder) resetParser() {
	w.headerLen, w.remaining, w.txStatus, w.failed, w.parsesCompleted = 0, 0, 0, false, 0
}

// Write implements ResponseWriter.
func (w *responder) Write(p []byte) (int, error) {
	start, i := 0, 0
	for i < len(p) && w.err == nil {
		switch {
		case w.remaining > 0:
			n := min(w.remaining, len(p)-i)
			w.remaining -= n
			i += n
			if w.typ == 'Z' {
				w.txStatus = p[i-1]
				start = i
			}
		case w.headerLen == 0 && len(p)-i >= headerBytes:
			w.startMessage(p[i:])
			if w.typ == 'Z' {
				w.buffer(p[start:i])
				start = i + headerBytes
			}
			i += headerBytes
		default:
			w.buffer(p[start:i])
			n := copy(w.header[w.headerLen:], p[i:])
			w.headerLen += n
			i += n
			start = i
			if w.headerLen == headerBytes {
				w.headerLen = 0
				w.startMessage(w.header[:])
				if w.typ != 'Z' {
					w.buffer(w.header[:])
				}
			}
		}
	}
	w.buffer(p[start:i])
	return i, w.err
}

func (w *responder) startMessage(header []byte) {
	w.typ = header[0]
	w.remaining = frameSize(header) - headerBytes
	if w.remaining < 0 {
		w.corrupt, w.remaining = true, 0
		w.err = errors.Newf("invalid length of message %q in the response", w.typ)
		return
	}
	switch w.typ {
	case 'E':
		w.failed = true
	case '1':
		w.parsesCompleted++
	}
}

// midMessage reports whether the response written so far ends inside a message.
func (w *responder) midMessage() bool { return w.remaining > 0 || w.headerLen > 0 }

// buffer buffers b, and sends what does not fit the buffer.
func (w *responder) buffer(b []byte) {
	if len(b) == 0 || w.err != nil {
		return
	}
	if w.pooled == nil {
		w.pooled = bufferPool.Get().(*[]byte)
		w.buf = (*w.pooled)[:0]
	}
	if len(w.buf)+len(b) > cap(w.buf) {
		w.flush()
	}
	if len(b) >= cap(w.buf) {
		w.send(b)
		return
	}
	w.buf = append(w.buf, b...)
}

func (w *responder) flush() {
	if len(w.buf) > 0 {
		w.send(w.buf)
		w.buf = w.buf[:0]
	}
}

func (w *responder) send(b []byte) {
	if w.err != nil {
		return
	}
	w.sent = true
	_ = w.nc.SetWriteDeadline(time.Now().Add(w.timeout))
	_, w.err = w.nc.Write(b)
}

// release sends the buffered data and returns the buffer to the pool.
func (w *responder) release() error {
	w.flush()
	if w.pooled != nil {
		bufferPool.Put(w.pooled)
		w.pooled, w.buf = nil, nil
	}
	return w.err
}

// message writes one message. If the response is inside another message or m cannot be
// encoded, it marks the response as corrupt, which ends the session.
func (w *responder) message(m pgproto3.BackendMessage) {
	if w.midMessage() {
		w.corrupt = true
		return
	}
	var scratch [128]byte
	b, err := m.Encode(scratch[:0])
	if err != nil {
		w.corrupt = true
		return
	}
	w.buffer(b)
}

// Error implements ResponseWriter.
func (w *responder) Error(e *pgconn.PgError, status byte) {
	w.message(errorResponse(e))
	w.failed, w.txStatus = true, status
}

// ParameterStatus implements ResponseWriter.
func (w *responder) ParameterStatus(name, value string) {
	if strings.IndexByte(name, 0) >= 0 || strings.IndexByte(value, 0) >= 0 {
		w.corrupt = true // NUL would end a string of the message early
		return
	}
	w.message(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// Discard implements ResponseWriter.
func (w *responder) Discard() bool {
	if w.sent || w.err != nil {
		return false
	}
	w.buf = w.buf[:0]
	w.corrupt = false
	w.resetParser()
	return true
}

// Complete implements ResponseWriter.
func (w *responder) Complete(req Request, tag string, status byte) {
	w.txStatus = status
	if strings.IndexByte(tag, 0) >= 0 {
		w.corrupt = true // NUL would end the tag early
		return
	}
	var done pgproto3.BackendMessage = &pgproto3.CommandComplete{CommandTag: []byte(tag)}
	if tag == "" {
		done = &pgproto3.EmptyQueryResponse{}
	}
	if req.Kind == Simple {
		w.message(done)
		return
	}
	for rest := req.Messages; len(rest) >= headerBytes; rest = rest[frameSize(rest):] {
		switch rest[0] {
		case 'P':
			w.parsesCompleted++
			w.message(&pgproto3.ParseComplete{})
		case 'B':
			w.message(&pgproto3.BindComplete{})
		case 'C':
			w.message(&pgproto3.CloseComplete{})
		case 'D':
			if rest[headerBytes] == 'S' {
				w.message(&pgproto3.ParameterDescription{})
			}
			w.message(&pgproto3.NoData{})
		case 'E':
			w.message(done)
		}
	}
}

// readyForQuery ends the response.
func (w *responder) readyForQuery(status byte) {
	w.readyBuf = [headerBytes + 1]byte{0: 'Z', headerBytes: status}
	binary.BigEndian.PutUint32(w.readyBuf[1:], headerBytes)
	w.buffer(w.readyBuf[:])
}

// errorResponse converts e to a message. The default severity is ERROR. A NUL in a text is
// shown as \0: it would end the text, and what follows it would be fields of its own.
func errorResponse(e *pgconn.PgError) *pgproto3.ErrorResponse {
	m := &pgproto3.ErrorResponse{
		Severity: e.Severity, SeverityUnlocalized: e.SeverityUnlocalized, Code: e.Code, Message: e.Message,
		Detail: e.Detail, Hint: e.Hint, Position: e.Position, InternalPosition: e.InternalPosition,
		InternalQuery: e.InternalQuery, Where: e.Where, SchemaName: e.SchemaName, TableName: e.TableName,
		ColumnName: e.ColumnName, DataTypeName: e.DataTypeName, ConstraintName: e.ConstraintName,
		File: e.File, Line: e.Line, Routine: e.Routine,
	}
	for _, text := range []*string{
		&m.Severity, &m.SeverityUnlocalized, &m.Code, &m.Message, &m.Detail, &m.Hint, &m.InternalQuery, &m.Where, &m.SchemaName,
		&m.TableName, &m.ColumnName, &m.DataTypeName, &m.ConstraintName, &m.File, &m.Routine,
	} {
		*text = strings.ReplaceAll(*text, "\x00", `\0`)
	}
	if m.Severity == "" {
		m.Severity = "ERROR"
	}
	if m.SeverityUnlocalized == "" {
		m.SeverityUnlocalized = m.Severity
	}
	return m
}
