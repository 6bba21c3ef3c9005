package gwwire

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// responder is the ResponseWriter of a session. It follows the message
// boundaries of the answer, holds ReadyForQuery back and keeps its status.
type responder struct {
	nc      net.Conn
	timeout time.Duration

	pooled *[]byte
	buf    []byte
	sent   bool  // a part of the answer has been sent
	err    error // of the connection

	header   [headerBytes]byte // of a message whose header came in parts
	headerN  int
	typ      byte
	remain   int  // bytes of the current message still to come
	status   byte // of ReadyForQuery; 0: not seen
	failed   bool // the answer has an ErrorResponse
	parsed   int  // ParseComplete messages
	violated bool // the answer cannot be continued

	ready [headerBytes + 1]byte // ReadyForQuery; here so that it is not allocated for each request
}

// begin prepares for the answer of the next request.
func (w *responder) begin() {
	w.sent, w.violated = false, false
	w.restart()
}

func (w *responder) restart() {
	w.headerN, w.remain, w.status, w.failed, w.parsed = 0, 0, 0, false, 0
}

// Write implements ResponseWriter.
func (w *responder) Write(p []byte) (int, error) {
	run, i := 0, 0
	for i < len(p) && w.err == nil {
		switch {
		case w.remain > 0:
			n := min(w.remain, len(p)-i)
			w.remain -= n
			i += n
			if w.typ == 'Z' {
				w.status = p[i-1]
				run = i
			}
		case w.headerN == 0 && len(p)-i >= headerBytes:
			w.startMessage(p[i:])
			if w.typ == 'Z' {
				w.out(p[run:i])
				run = i + headerBytes
			}
			i += headerBytes
		default:
			w.out(p[run:i])
			n := copy(w.header[w.headerN:], p[i:])
			w.headerN += n
			i += n
			run = i
			if w.headerN == headerBytes {
				w.headerN = 0
				w.startMessage(w.header[:])
				if w.typ != 'Z' {
					w.out(w.header[:])
				}
			}
		}
	}
	w.out(p[run:i])
	return i, w.err
}

func (w *responder) startMessage(header []byte) {
	w.typ = header[0]
	w.remain = frameSize(header) - headerBytes
	if w.remain < 0 {
		w.violated, w.remain = true, 0
		w.err = errors.Newf("length of message %q in the answer", w.typ)
		return
	}
	switch w.typ {
	case 'E':
		w.failed = true
	case '1':
		w.parsed++
	}
}

// midMessage reports whether the answer stops within a message.
func (w *responder) midMessage() bool { return w.remain > 0 || w.headerN > 0 }

func (w *responder) out(b []byte) {
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

// release flushes and returns the buffer to the pool.
func (w *responder) release() error {
	w.flush()
	if w.pooled != nil {
		bufferPool.Put(w.pooled)
		w.pooled, w.buf = nil, nil
	}
	return w.err
}

// message writes one message. Within another message it cannot be written, and
// the session ends.
func (w *responder) message(m pgproto3.BackendMessage) {
	if w.midMessage() {
		w.violated = true
		return
	}
	var scratch [128]byte
	b, err := m.Encode(scratch[:0])
	if err != nil {
		w.violated = true
		return
	}
	w.out(b)
}

// Error implements ResponseWriter.
func (w *responder) Error(e *pgconn.PgError, status byte) {
	w.message(errorResponse(e))
	w.failed, w.status = true, status
}

// ParameterStatus implements ResponseWriter.
func (w *responder) ParameterStatus(name, value string) {
	w.message(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// Discard implements ResponseWriter.
func (w *responder) Discard() bool {
	if w.sent || w.err != nil {
		return false
	}
	w.buf = w.buf[:0]
	w.violated = false
	w.restart()
	return true
}

// Complete implements ResponseWriter.
func (w *responder) Complete(req Request, tag string, status byte) {
	w.status = status
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
			w.parsed++
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

// readyForQuery ends the answer.
func (w *responder) readyForQuery(status byte) {
	w.ready = [headerBytes + 1]byte{0: 'Z', headerBytes: status}
	binary.BigEndian.PutUint32(w.ready[1:], headerBytes)
	w.out(w.ready[:])
}

func errorResponse(e *pgconn.PgError) *pgproto3.ErrorResponse {
	m := &pgproto3.ErrorResponse{
		Severity: e.Severity, SeverityUnlocalized: e.SeverityUnlocalized, Code: e.Code, Message: e.Message,
		Detail: e.Detail, Hint: e.Hint, Position: e.Position, InternalPosition: e.InternalPosition,
		InternalQuery: e.InternalQuery, Where: e.Where, SchemaName: e.SchemaName, TableName: e.TableName,
		ColumnName: e.ColumnName, DataTypeName: e.DataTypeName, ConstraintName: e.ConstraintName,
		File: e.File, Line: e.Line, Routine: e.Routine,
	}
	if m.Severity == "" {
		m.Severity = "ERROR"
	}
	if m.SeverityUnlocalized == "" {
		m.SeverityUnlocalized = m.Severity
	}
	return m
}
