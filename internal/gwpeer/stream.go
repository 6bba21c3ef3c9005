package gwpeer

import (
	"bufio"
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Stream carries frames in both directions. One goroutine may read while
// another writes; Close and Cancel may be called from any goroutine.
type Stream struct {
	link    *link
	qs      *quic.Stream
	address string

	wmu    sync.Mutex
	head   []byte // stream header, sent with the first frame
	wbuf   []byte
	closed bool // the write side

	rmu  sync.Mutex
	r    *bufio.Reader // nil after the end
	rbuf []byte

	end sync.Once
}

// HandleStream serves streams of a kind. The handler starts when the first
// frame arrives; its context ends when the peer cancels or the link is lost.
// The stream is closed when the handler returns.
func (n *Node) HandleStream(kind Kind, fn func(ctx context.Context, from string, s *Stream)) {
	add(&n.handlers, n.handlers.streams, kind, streamHandler(fn))
}

// OpenStream opens a stream to the peer at an "ip:port". Nothing is sent
// before the first frame. ctx bounds only the opening; see Stream.CancelOn.
func (n *Node) OpenStream(ctx context.Context, address string, kind Kind) (*Stream, error) {
	l, err := n.link(ctx, address)
	if err != nil {
		return nil, newError("open stream "+kind.String(), KindNotSent, address, err)
	}
	qs, err := l.openStream(ctx, kind)
	if err != nil {
		return nil, newError("open stream "+kind.String(), KindNotSent, address, err)
	}
	s := &Stream{link: l, qs: qs, address: address, r: getReader(qs)}
	s.head = appendStreamHeader(nil, streamHeader{typ: streamFrames, kind: kind.ID})
	return s, nil
}

func (l *link) serveFrames(qs *quic.Stream, r *bufio.Reader, h streamHeader) {
	fn, ok := find(&l.node.handlers, l.node.handlers.streams, h.kind)
	if !ok {
		putReader(r)
		refuse(qs)
		return
	}
	s := &Stream{link: l, qs: qs, address: l.remote.String(), r: r}
	ctx, cancel := l.handlerContext(qs, 0)
	defer cancel()
	l.streams.Add(1) // released by Close
	defer func() { _ = s.Close() }()
	fn(ctx, l.instance, s)
}

// Peer returns the name of the instance at the other end.
func (s *Stream) Peer() string { return s.link.instance }

// CancelOn cancels the stream when ctx ends, until stop is called.
func (s *Stream) CancelOn(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, s.Cancel)
}

// WriteFrame sends one frame in one write. An error of kind KindNotSent means
// that the peer does not receive the frame.
func (s *Stream) WriteFrame(kind byte, payload []byte) error {
	if len(payload) > MaxFrameBytes {
		return newError("write frame", KindNotSent, s.address, errors.Newf("frame of %d bytes exceeds %d", len(payload), MaxFrameBytes))
	}
	s.wmu.Lock()
	defer s.wmu.Unlock()
	if s.closed {
		return newError("write frame", KindNotSent, s.address, errors.New("the stream is closed"))
	}
	s.wbuf = append(s.wbuf[:0], s.head...)
	s.wbuf = appendFrame(s.wbuf, kind, payload)
	n, err := s.qs.Write(s.wbuf)
	size := len(s.wbuf)
	if cap(s.wbuf) > maxPooledBuf {
		s.wbuf = nil
	}
	if err != nil {
		return s.fail("write frame", n < size, err)
	}
	s.head = nil
	return nil
}

// ReadFrame returns the next frame; the payload is valid until the next call.
// The error is io.EOF itself after the peer has closed its side.
func (s *Stream) ReadFrame() (kind byte, payload []byte, err error) {
	s.rmu.Lock()
	defer s.rmu.Unlock()
	if s.r == nil {
		return 0, nil, newError("read frame", KindCanceled, s.address, errors.New("the stream is closed"))
	}
	kind, payload, err = readFrame(s.r, s.rbuf, MaxFrameBytes)
	if errors.Is(err, io.EOF) {
		return 0, nil, io.EOF
	}
	if err != nil {
		return 0, nil, s.fail("read frame", false, err)
	}
	if cap(payload) <= maxPooledBuf {
		s.rbuf = payload
	} else {
		s.rbuf = nil
	}
	return kind, payload, nil
}

// fail classifies an error of the QUIC stream.
func (s *Stream) fail(op string, notSent bool, err error) error {
	var reset *quic.StreamError
	kind := KindUnknown
	switch {
	case errors.As(err, &reset) && reset.Remote && reset.ErrorCode == codeRefused:
		kind = KindNotSent
		err = errors.New("the peer refused the stream")
	case notSent:
		kind = KindNotSent
	case reset != nil:
		kind = KindCanceled
	}
	return newError(op, kind, s.address, err)
}

// CloseWrite ends the write side after the frames written so far; the peer
// reads io.EOF after them.
func (s *Stream) CloseWrite() error {
	s.wmu.Lock()
	defer s.wmu.Unlock()
	return s.closeWrite()
}

func (s *Stream) closeWrite() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.head != nil { // nothing was sent, so the peer need not learn of it
		s.qs.CancelWrite(codeCanceled)
		return nil
	}
	return s.qs.Close()
}

// Close ends both sides. Frames written so far are delivered, frames that the
// peer sends are discarded. A closed stream may be closed again.
func (s *Stream) Close() error {
	s.wmu.Lock()
	err := s.closeWrite()
	s.wmu.Unlock()
	s.release(codeDone)
	return err
}

// Cancel ends both sides at once; frames on the way may be lost, and the
// context of the peer's handler ends.
func (s *Stream) Cancel() {
	s.qs.CancelWrite(codeCanceled) // before the lock, which a blocked write holds
	s.wmu.Lock()
	s.closed = true
	s.wmu.Unlock()
	s.release(codeCanceled)
}

// release stops the reader and returns it to the pool after its last use.
func (s *Stream) release(code quic.StreamErrorCode) {
	s.end.Do(func() {
		s.qs.CancelRead(code) // ends a blocked ReadFrame
		s.rmu.Lock()
		putReader(s.r)
		s.r = nil
		s.rmu.Unlock()
		s.link.streams.Add(-1)
		s.link.touch()
	})
}
