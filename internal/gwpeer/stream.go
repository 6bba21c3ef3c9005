package gwpeer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Stream carries frames in both directions. One goroutine may read while another
// writes. Close and Cancel may be called from any goroutine.
type Stream struct {
	link      *link
	bs        byteStream
	address   string
	kind      uint16
	opener    bool
	exchange  atomic.Uint32 // number of the current request, assigned by the opener
	idleSince time.Time     // set by idleStreams.push

	wmu           sync.Mutex
	pendingHeader []byte // stream header to send with the first frame; nil once sent
	wbuf          []byte
	closed        bool // the write side is closed

	grown       atomic.Bool // the window was grown
	largeFrames atomic.Bool // a large frame grows the window

	rmu  sync.Mutex
	r    *bufio.Reader // nil once released
	rbuf []byte
	// admit is called before a large frame is read; see AdmitFrames.
	admit func(size int) bool

	releaseOnce sync.Once
}

// HandleStream registers fn as the handler of streams of a kind. It starts when the
// first frame arrives. Its context ends when the peer cancels the stream or the link
// is lost. The stream is closed when the handler returns.
//
// An opener may reuse a stream for several requests. The handler of such a kind reads
// and answers one request after the other until ReadFrame returns io.EOF.
func (n *Node) HandleStream(kind Kind, fn func(ctx context.Context, from string, s *Stream)) {
	add(&n.handlers, n.handlers.streams, kind, streamHandler(fn))
}

// OpenStream opens a stream to the peer at an "ip:port". Nothing is sent before the
// first frame. ctx bounds only the opening; see Stream.CancelOn.
func (n *Node) OpenStream(ctx context.Context, address string, kind Kind) (*Stream, error) {
	return n.openStream(ctx, address, kind, streamFrames)
}

func (n *Node) openStream(ctx context.Context, address string, kind Kind, typ streamType) (*Stream, error) {
	l, err := n.link(ctx, address)
	if err != nil {
		return nil, newError("open stream "+kind.String(), KindNotSent, address, err)
	}
	bs, err := l.openStream(ctx, kind)
	if err != nil {
		return nil, newError("open stream "+kind.String(), KindNotSent, address, err)
	}
	s := &Stream{link: l, bs: bs, address: address, kind: kind.ID, opener: true, r: getReader(bs)}
	s.pendingHeader = streamHeader{typ: typ, kind: kind.ID}.encode()
	return s, nil
}

// Peer returns the name of the instance at the other end.
func (s *Stream) Peer() string { return s.link.instance }

// largeWindow is the window that GrowWindow gives a stream: what a link of 150 Mbit/s carries in
// two round trips of 60 ms. maxLargeWindows bounds the streams of a node that have one.
const (
	largeWindow     = 2 << 20
	maxLargeWindows = 8
)

// GrowWindow lets the peer send large frames without a wait for each round trip. It has no effect
// while maxLargeWindows other streams of the node have a grown window, which bounds the memory
// that peers can fill.
func (s *Stream) GrowWindow() {
	n := s.link.node
	if !s.grown.CompareAndSwap(false, true) {
		return
	}
	if n.largeWindows.Add(1) > maxLargeWindows {
		n.largeWindows.Add(-1)
		s.grown.Store(false)
		return
	}
	s.bs.GrowWindow(largeWindow)
}

// ExpectLargeFrames makes a frame that exceeds the window of the stream grow it when its first bytes
// are read.
func (s *Stream) ExpectLargeFrames() { s.largeFrames.Store(true) }

// growForFrame grows the window for a large frame; s.rmu is held.
func (s *Stream) growForFrame() {
	if !s.largeFrames.Load() || s.grown.Load() {
		return
	}
	if head, err := s.r.Peek(frameHeaderBytes); err == nil && binary.BigEndian.Uint32(head[frameHeaderBytes-4:]) > muxWindowBytes {
		s.GrowWindow()
	}
}

// CancelOn cancels the stream when ctx ends, unless stop is called before. If stop
// returns false, the stream is being canceled and must not be reused.
func (s *Stream) CancelOn(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, s.Cancel)
}

// WriteFrame sends one frame in a single write. KindNotSent means that the peer does
// not receive the frame.
func (s *Stream) WriteFrame(kind byte, payload []byte) error {
	if len(payload) > MaxFrameBytes {
		return newError("write frame", KindNotSent, s.address, errors.Newf("frame of %d bytes exceeds %d", len(payload), MaxFrameBytes))
	}
	s.wmu.Lock()
	defer s.wmu.Unlock()
	if s.closed {
		return newError("write frame", KindNotSent, s.address, errors.New("the stream is closed"))
	}
	s.wbuf = append(s.wbuf[:0], s.pendingHeader...)
	rest := payload // of a large frame, which is not copied
	s.wbuf = appendFrameHeader(s.wbuf, kind, uint16(s.exchange.Load()), len(payload))
	if len(payload) <= maxPooledBuf {
		s.wbuf, rest = append(s.wbuf, payload...), nil
	}
	size := len(s.wbuf) + len(rest)
	n, err := s.bs.Write(s.wbuf)
	if err == nil && len(rest) > 0 {
		var more int
		more, err = s.bs.Write(rest)
		n += more
	}
	if cap(s.wbuf) > maxPooledBuf {
		s.wbuf = nil
	}
	if err != nil {
		return s.classifyError("write frame", n < size, err)
	}
	s.pendingHeader = nil
	s.link.node.traffic.add(s.kind, size)
	return nil
}

// ReadFrame returns the next frame; the payload is valid until the next call. After
// the peer has closed its write side, the error is io.EOF itself.
func (s *Stream) ReadFrame() (kind byte, payload []byte, err error) {
	return s.readFrame(MaxFrameBytes)
}

func (s *Stream) readFrame(limit int) (kind byte, payload []byte, err error) {
	s.rmu.Lock()
	defer s.rmu.Unlock()
	if s.r == nil {
		return 0, nil, newError("read frame", KindCanceled, s.address, errors.New("the stream is closed"))
	}
	s.growForFrame()
	if s.skipUnadmitted(limit) {
		return 0, nil, ErrFrameSkipped
	}
	h, payload, err := readFrame(s.r, s.rbuf, limit)
	switch {
	case errors.Is(err, io.EOF):
		return 0, nil, io.EOF
	case err != nil:
		return 0, nil, s.classifyError("read frame", false, err)
	case !s.opener:
		s.exchange.Store(uint32(h.exchange))
	case h.exchange != uint16(s.exchange.Load()):
		return 0, nil, newError("read frame", KindInvalid, s.address,
			errors.Newf("frame of request %d during request %d", h.exchange, s.exchange.Load()))
	}
	s.rbuf = nil
	if cap(payload) <= maxPooledBuf {
		s.rbuf = payload
	}
	return h.kind, payload, nil
}

// classifyError converts an error of the underlying stream to an *Error. notSent is
// true if the peer certainly does not receive a complete frame.
func (s *Stream) classifyError(op string, notSent bool, err error) error {
	var own *Error
	if errors.As(err, &own) {
		own.Address = s.address
		return own
	}
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

// CloseWrite ends the write side after the frames written so far. The peer reads
// io.EOF after them.
func (s *Stream) CloseWrite() error {
	s.wmu.Lock()
	defer s.wmu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	if s.pendingHeader != nil { // nothing was sent, so the peer must not wait for a header
		s.bs.CancelWrite(codeCanceled)
		return nil
	}
	if err := s.bs.Close(); err != nil { // the peer canceled the stream
		return newError("close stream", KindCanceled, s.address, err)
	}
	return nil
}

// Close ends both sides, after a write in progress. Frames written so far are delivered
// unless Close returns an error; frames that the peer sends are discarded. A closed
// stream may be closed again.
func (s *Stream) Close() error {
	err := s.CloseWrite()
	s.release(codeDone)
	return err
}

// Cancel ends both sides at once. Frames in flight may be lost, and the context of the
// peer's handler ends.
func (s *Stream) Cancel() { s.reset(codeCanceled) }

func (s *Stream) reset(code quic.StreamErrorCode) {
	s.bs.CancelWrite(code) // before locking, as a blocked write holds wmu
	s.wmu.Lock()
	s.closed = true
	s.wmu.Unlock()
	s.release(code)
}

// finish ends the stream after its handler has returned. If the handler's context has
// ended, the stream is canceled, so that the opener does not take the end of an
// incomplete response for io.EOF.
func (s *Stream) finish(ctx context.Context) {
	if ctx.Err() != nil {
		s.Cancel()
		return
	}
	_ = s.Close()
}

// release cancels the read side and returns the reader to its pool; it acts once.
func (s *Stream) release(code quic.StreamErrorCode) {
	s.releaseOnce.Do(func() {
		s.bs.CancelRead(code) // unblocks ReadFrame, which holds rmu
		s.rmu.Lock()
		putReader(s.r)
		s.r = nil
		s.rmu.Unlock()
		if s.grown.CompareAndSwap(true, false) {
			s.link.node.largeWindows.Add(-1)
		}
		s.link.streams.Add(-1)
		s.link.markUsed()
	})
}

// reusable reports whether another request can use the stream: both sides are open, no
// received data is unread, and the link is current.
func (s *Stream) reusable() bool {
	if !s.link.alive() || s.link.retired.Load() != 0 || s.bs.Context().Err() != nil {
		return false
	}
	s.wmu.Lock()
	open := !s.closed && s.pendingHeader == nil
	s.wmu.Unlock()
	s.rmu.Lock()
	defer s.rmu.Unlock()
	return open && s.r != nil && s.r.Buffered() == 0
}

// freeFrameBytes is the size up to which frames are read without a call to admit.
const freeFrameBytes = 64 << 10

// ErrFrameSkipped means that a frame was not admitted. Its payload was skipped, and the stream can
// be used further.
var ErrFrameSkipped = errors.New("no memory for the frame")

// AdmitFrames makes ReadFrame call admit with the size of each large frame before it is read. If
// admit returns false, the frame is skipped. nil admits all.
func (s *Stream) AdmitFrames(admit func(size int) bool) {
	s.rmu.Lock()
	defer s.rmu.Unlock()
	s.admit = admit
}

// skipUnadmitted skips the next frame and returns true if it is large and not admitted; s.rmu is
// held.
func (s *Stream) skipUnadmitted(limit int) bool {
	if s.admit == nil {
		return false
	}
	head, err := s.r.Peek(frameHeaderBytes)
	if err != nil {
		return false // readFrame returns the error
	}
	size := int(binary.BigEndian.Uint32(head[frameHeaderBytes-4:]))
	if size <= freeFrameBytes || size > limit || s.admit(size) {
		return false
	}
	if !s.opener {
		s.exchange.Store(uint32(binary.BigEndian.Uint16(head[1:])))
	}
	_, err = s.r.Discard(frameHeaderBytes + size)
	return err == nil
}
