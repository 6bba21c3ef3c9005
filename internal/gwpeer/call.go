package gwpeer

import (
	"bufio"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Frame kinds of calls.
const (
	frameRequest  byte = 1
	frameResponse byte = 2
	frameError    byte = 3 // the handler returned an error
	frameRefused  byte = 4 // the handler did not run
)

// wireError carries a handler's error to the caller.
type wireError struct {
	Code    string `cbor:"1,keyasint,omitempty"`
	Message string `cbor:"2,keyasint,omitempty"`
}

// maxErrorBytes bounds the text of a handler's error that is sent.
const maxErrorBytes = 4096

// Handle serves calls of a kind. The handler's context ends with the caller's
// deadline, when the caller cancels, and when the link is lost. An error
// reaches the caller with its message, and with its code if it wraps a *Coded.
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
// until ctx ends. Errors are of type *Error; KindNotSent means that the
// handler certainly does not see the request.
func Call[Req, Resp any](ctx context.Context, n *Node, address string, kind Kind, req Req) (Resp, error) {
	var resp Resp
	payload, err := n.call(ctx, address, kind, req)
	if err != nil {
		return resp, err
	}
	if err := Unmarshal(payload, &resp); err != nil {
		return resp, newError("call "+kind.String(), KindUnknown, address, err)
	}
	return resp, nil
}

func (n *Node) call(ctx context.Context, address string, kind Kind, req any) ([]byte, error) {
	op := "call " + kind.String()
	l, err := n.link(ctx, address)
	if err != nil {
		return nil, newError(op, KindNotSent, address, err)
	}
	buf := getBuf()
	defer putBuf(buf)
	head := streamHeader{typ: streamCall, kind: kind.ID, timeout: timeLeft(ctx)}
	b := appendStreamHeader(buf.AvailableBuffer(), head)
	b = append(b, frameRequest, 0, 0, 0, 0)
	buf.Write(b)
	start := buf.Len()
	if err := encode(buf, req, MaxMessageBytes); err != nil {
		return nil, newError(op, KindNotSent, address, err)
	}
	putFrameLen(buf.Bytes()[start-frameHeaderBytes:], buf.Len()-start)

	qs, err := l.openStream(ctx, kind)
	if err != nil {
		return nil, newError(op, KindNotSent, address, err)
	}
	defer l.streams.Add(-1)
	defer qs.CancelRead(codeDone)
	stop := context.AfterFunc(ctx, func() {
		qs.CancelRead(codeCanceled)
		qs.CancelWrite(codeCanceled)
	})
	defer stop()
	// The handler runs only on a whole frame, so a partial write is not sent.
	if sent, err := qs.Write(buf.Bytes()); err != nil && sent < buf.Len() {
		qs.CancelWrite(codeCanceled)
		return nil, newError(op, KindNotSent, address, cause(ctx, err))
	}
	_ = qs.Close() // fails only after a cancel, which the read reports
	return n.readResponse(ctx, op, address, qs)
}

func (n *Node) readResponse(ctx context.Context, op, address string, qs *quic.Stream) ([]byte, error) {
	r := getReader(qs)
	defer putReader(r)
	typ, payload, err := readFrame(r, nil, MaxMessageBytes)
	var reset *quic.StreamError
	switch {
	case err != nil && errors.As(err, &reset) && reset.Remote && reset.ErrorCode == codeRefused:
		return nil, newError(op, KindNotSent, address, errors.New("the peer refused the stream"))
	case err != nil:
		qs.CancelWrite(codeCanceled)
		return nil, newError(op, KindUnknown, address, cause(ctx, err))
	case typ == frameResponse:
		return payload, nil
	}
	var we wireError
	if err := Unmarshal(payload, &we); err != nil {
		return nil, newError(op, KindUnknown, address, err)
	}
	switch typ {
	case frameError:
		return nil, &Error{Op: op, Kind: KindRemote, Address: address, Code: we.Code, Err: errors.New(we.Message)}
	case frameRefused:
		return nil, newError(op, KindNotSent, address, errors.New(we.Message))
	default:
		return nil, newError(op, KindUnknown, address, errors.Newf("response of type %d is not known", typ))
	}
}

// serveCall reads one request, runs its handler and writes the response.
func (l *link) serveCall(qs *quic.Stream, r *bufio.Reader, h streamHeader) {
	defer qs.CancelRead(codeDone)
	_, payload, err := readFrame(r, nil, MaxMessageBytes)
	putReader(r)
	if err != nil {
		refuse(qs)
		return
	}
	ctx, cancel := l.handlerContext(qs, h.timeout)
	defer cancel()
	fn, ok := find(&l.node.handlers, l.node.handlers.calls, h.kind)
	if !ok {
		l.respond(qs, frameRefused, wireError{Message: Kind{ID: h.kind}.String() + " has no handler"})
		return
	}
	resp, refused, err := fn(ctx, l.instance, payload)
	switch {
	case refused:
		l.respond(qs, frameRefused, wireError{Message: err.Error()})
	case err != nil:
		l.respond(qs, frameError, newWireError(err))
	default:
		l.respond(qs, frameResponse, resp)
	}
}

func (l *link) respond(qs *quic.Stream, typ byte, v any) {
	buf := getBuf()
	defer putBuf(buf)
	buf.Write([]byte{typ, 0, 0, 0, 0})
	if err := encode(buf, v, MaxMessageBytes); err != nil {
		l.node.log.Error("peer response not encoded", "peer", l.instance, "cause", err.Error())
		l.respond(qs, frameError, wireError{Code: "encode", Message: err.Error()})
		return
	}
	putFrameLen(buf.Bytes(), buf.Len()-frameHeaderBytes)
	if _, err := qs.Write(buf.Bytes()); err != nil {
		qs.CancelWrite(codeCanceled)
		return
	}
	_ = qs.Close()
}

// handlerContext ends with the link, the timeout, or the peer's cancellation.
func (l *link) handlerContext(qs *quic.Stream, timeout time.Duration) (context.Context, context.CancelFunc) {
	var ctx context.Context
	var cancel context.CancelFunc
	if timeout > 0 {
		ctx, cancel = context.WithTimeout(l.ctx, timeout)
	} else {
		ctx, cancel = context.WithCancel(l.ctx)
	}
	stop := context.AfterFunc(qs.Context(), func() {
		if !errors.Is(context.Cause(qs.Context()), quic.ErrStreamClosed) {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

func newWireError(err error) wireError {
	we := wireError{Message: err.Error()}
	var coded *Coded
	if errors.As(err, &coded) {
		we.Code = coded.Code
		if err == error(coded) { //nolint:errorlint // only an unwrapped error omits its code from the message
			we.Message = coded.Message
		}
	}
	we.Message = we.Message[:min(len(we.Message), maxErrorBytes)]
	return we
}

// cause prefers the reason why ctx ended over the error that followed from it.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Microsecond)
}
