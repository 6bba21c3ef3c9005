package gwpeer

import (
	"context"
	"encoding/binary"
	"math"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Frame kinds of calls.
const (
	frameRequest  byte = 1 // uvarint timeout in microseconds (0 for none), then the request
	frameResponse byte = 2
	frameError    byte = 3 // the handler returned an error
	frameRefused  byte = 4 // the handler did not run
)

const (
	maxTimeoutBytes = binary.MaxVarintLen64 // of the timeout before a request
	maxErrorBytes   = 4096                  // bound of each field of a wireError

	// MaxLargeBytes is the size limit of one request or response of a large kind.
	MaxLargeBytes = MaxFrameBytes - maxTimeoutBytes
)

// wireError is the payload of frameError and frameRefused.
type wireError struct {
	Code    string `cbor:"1,keyasint,omitempty"`
	Message string `cbor:"2,keyasint,omitempty"`
}

// Handle registers fn as the handler of calls of a kind. The handler's context ends
// at the caller's deadline, when the caller cancels, and when the link is lost. The
// caller receives the message of an error, and its code if it wraps a *CodedError.
func Handle[Req, Resp any](n *Node, kind Kind, fn func(ctx context.Context, from string, req Req) (Resp, error)) {
	add(&n.handlers, n.handlers.calls, kind, func(ctx context.Context, from string, payload []byte) (any, bool, error) {
		var req Req
		if err := Unmarshal(payload, &req); err != nil {
			return nil, true, err
		}
		resp, err := fn(ctx, from, req)
		return resp, false, err
	})
}

// Call sends a request to the peer at an "ip:port" and waits for the response
// until ctx ends. Errors are of type *Error; KindNotSent means that the handler
// certainly did not receive the request and will not.
func Call[Req, Resp any](ctx context.Context, n *Node, address string, kind Kind, req Req) (Resp, error) {
	var resp Resp
	err := n.call(ctx, address, kind, req, &resp)
	return resp, err
}

// call sends one request and receives its response on a pooled stream.
func (n *Node) call(ctx context.Context, address string, kind Kind, req, resp any) error {
	op := "call " + kind.String()
	buf := getBuf()
	defer putBuf(buf)
	buf.Write(binary.AppendUvarint(buf.AvailableBuffer(), timeoutMicros(ctx)))
	if err := encode(buf, req, kind.maxBytes()); err != nil {
		return newError(op, KindNotSent, address, err)
	}
	return n.callPool(kind).Do(ctx, address, func(s *Stream) error {
		if kind.Large {
			s.ExpectLargeFrames()
		}
		if err := s.WriteFrame(frameRequest, buf.Bytes()); err != nil {
			return callError(ctx, op, address, err)
		}
		typ, payload, err := s.readFrame(kind.maxBytes())
		if err != nil {
			return callError(ctx, op, address, err)
		}
		return readResponse(op, address, typ, payload, resp)
	})
}

func readResponse(op, address string, typ byte, payload []byte, resp any) error {
	if typ == frameResponse {
		if err := Unmarshal(payload, resp); err != nil {
			return newError(op, KindUnknown, address, err)
		}
		return nil
	}
	var we wireError
	if err := Unmarshal(payload, &we); err != nil {
		return newError(op, KindUnknown, address, err)
	}
	switch typ {
	case frameError:
		return &Error{Op: op, Kind: KindRemote, Address: address, Code: we.Code, Err: errors.New(we.Message)}
	case frameRefused:
		return &Error{Op: op, Kind: KindNotSent, Address: address, Code: we.Code, Err: errors.New(we.Message)}
	default:
		return newError(op, KindUnknown, address, errors.Newf("unknown response type %d", typ))
	}
}

// callError converts a stream's error to the error of a call. KindNotSent is kept;
// every other kind becomes KindUnknown, as the handler may have run.
func callError(ctx context.Context, op, address string, err error) error {
	kind := KindUnknown
	if IsNotSent(err) {
		kind = KindNotSent
	}
	if c := context.Cause(ctx); c != nil { // the reason why the stream was canceled
		err = c
	}
	return newError(op, kind, address, err)
}

// serveCalls serves the requests of one stream one after the other.
func (l *link) serveCalls(ctx context.Context, s *Stream, kind uint16) {
	limit := l.node.handlers.messageLimit(kind)
	if limit > MaxMessageBytes {
		s.ExpectLargeFrames()
	}
	for {
		typ, payload, err := s.readFrame(limit + maxTimeoutBytes)
		if err != nil {
			s.reset(codeCanceled) // includes a frame that exceeds the size limit
			return
		}
		micros, size := binary.Uvarint(payload)
		if typ != frameRequest || size <= 0 {
			s.reset(codeRefused)
			return
		}
		l.markUsed()
		if l.serveCall(ctx, s, kind, micros, payload[size:]) != nil {
			s.reset(codeCanceled)
			return
		}
	}
}

// serveCall runs the handler of one request and writes the response.
func (l *link) serveCall(ctx context.Context, s *Stream, kind uint16, micros uint64, payload []byte) error {
	limit := l.node.handlers.messageLimit(kind)
	fn, ok := find(&l.node.handlers, l.node.handlers.calls, kind)
	if !ok {
		return l.respond(s, limit, frameRefused, wireError{Message: Kind{ID: kind}.String() + " has no handler"})
	}
	if err := l.authorize(kind); err != nil {
		return l.respond(s, limit, frameRefused, wireError{Code: CodeForbidden, Message: err.Error()})
	}
	ctx, cancel := withTimeoutMicros(ctx, micros)
	defer cancel()
	resp, refused, err := fn(ctx, l.instance, payload)
	switch {
	case refused:
		return l.respond(s, limit, frameRefused, wireError{Message: err.Error()})
	case err != nil:
		return l.respond(s, limit, frameError, newWireError(err))
	default:
		return l.respond(s, limit, frameResponse, resp)
	}
}

func (l *link) respond(s *Stream, limit int, typ byte, v any) error {
	buf := getBuf()
	defer putBuf(buf)
	if err := encode(buf, v, limit); err != nil {
		l.node.log.Error("peer response not encoded", "peer", l.instance, "cause", err.Error())
		return l.respond(s, limit, frameError, wireError{Code: "encode", Message: err.Error()})
	}
	return s.WriteFrame(typ, buf.Bytes())
}

func newWireError(err error) wireError {
	we := wireError{Message: err.Error()}
	var coded *CodedError
	if errors.As(err, &coded) {
		we.Code = coded.Code
		if err == error(coded) { //nolint:errorlint // only an unwrapped error omits its code from the message
			we.Message = coded.Message
		}
	}
	we.Code = truncate(we.Code)
	we.Message = truncate(we.Message)
	return we
}

// truncate cuts s to maxErrorBytes and keeps it valid UTF-8, which CBOR requires.
func truncate(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxErrorBytes)], "\uFFFD")
}

// timeoutMicros returns the microseconds until the deadline of ctx, 0 if it has none.
func timeoutMicros(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint64(max(time.Until(deadline).Microseconds(), 1))
}

func withTimeoutMicros(ctx context.Context, micros uint64) (context.Context, context.CancelFunc) {
	if micros == 0 || micros > math.MaxInt64/uint64(time.Microsecond) {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(micros)*time.Microsecond)
}
