package gwpeer

import (
	"context"
	"encoding/binary"
	"io"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// muxStream implements byteStream on a multiplexed connection.
type muxStream struct {
	mux *mux
	id  uint64
	// ctx ends with the write side.
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced when the state changes, to wake waiters
	urgent   bool
	deadline time.Time

	recvBuf    []byte // received and unread
	recvWindow int    // bytes that the peer may have in flight or unread here
	uncredited int    // bytes read since credit was last granted to the peer
	readErr    error  // returned by Read once recvBuf is empty
	readDone   bool   // the peer ended its write side, or the read side was canceled

	sendCredit  int  // bytes that may be sent before the peer grants more
	knownToPeer bool // the peer opened the stream or has been sent its open frame
	writeErr    error
}

func newMuxStream(m *mux, id uint64) *muxStream {
	s := &muxStream{mux: m, id: id, sendCredit: muxWindowBytes, recvWindow: muxWindowBytes, knownToPeer: id%2 == 1 != m.dialed, changed: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	return s
}

// notify wakes all waiters; s.mu is held.
func (s *muxStream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait waits for the next notify or the deadline; s.mu is held on entry and return.
func (s *muxStream) wait() error {
	changed, deadline := s.changed, s.deadline
	s.mu.Unlock()
	defer s.mu.Lock()
	if deadline.IsZero() {
		<-changed
		return nil
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-changed:
		return nil
	case <-t.C:
		return os.ErrDeadlineExceeded
	}
}

// Context implements byteStream.
func (s *muxStream) Context() context.Context { return s.ctx }

// SetPriority implements byteStream. Only PriorityControl has an effect.
func (s *muxStream) SetPriority(p Priority) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.urgent = p == PriorityControl
}

// SetDeadline implements byteStream.
func (s *muxStream) SetDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	s.notify()
	return nil
}

// Read implements io.Reader.
func (s *muxStream) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.recvBuf) == 0 {
		if s.readErr != nil {
			return 0, s.readErr
		}
		if err := s.wait(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.recvBuf)
	s.recvBuf = s.recvBuf[n:]
	if s.uncredited += n; s.uncredited >= muxWindowBytes/2 && !s.readDone {
		s.mux.enqueueControl(muxCredit, s.id, s.urgent, binary.AppendUvarint(nil, uint64(s.uncredited)))
		s.uncredited = 0
	}
	return n, nil
}

// GrowWindow implements byteStream. A peer of an earlier release obeys it, too, as it adds all
// credit that it is granted.
func (s *muxStream) GrowWindow(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	more := size - s.recvWindow
	if more <= 0 || s.readDone {
		return
	}
	s.recvWindow = size
	s.mux.enqueueControl(muxCredit, s.id, s.urgent, binary.AppendUvarint(nil, uint64(more)))
}

// withDeadline returns a context that ends with the stream and at its present deadline.
func (s *muxStream) withDeadline() (context.Context, context.CancelFunc) {
	s.mu.Lock()
	deadline := s.deadline
	s.mu.Unlock()
	if deadline.IsZero() {
		return s.ctx, func() {}
	}
	return context.WithDeadlineCause(s.ctx, deadline, os.ErrDeadlineExceeded)
}

// Write implements io.Writer. It waits for flow control credit and for room in the
// write queue.
func (s *muxStream) Write(p []byte) (int, error) {
	total := 0
	ctx, cancel := s.withDeadline()
	defer cancel()
	for len(p) > 0 {
		f, n, urgent, err := s.reserve(len(p))
		if err != nil {
			return total, err
		}
		if err := s.mux.enqueueData(ctx, f, s.id, urgent, p[:n]); err != nil {
			return total, err
		}
		total += n
		p = p[n:]
	}
	return total, nil
}

// reserve takes credit for up to n bytes, and waits if there is none. It returns the
// type and priority of the frame to send and the number of bytes taken.
func (s *muxStream) reserve(n int) (f muxFrameType, size int, urgent bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if s.writeErr != nil {
			return 0, 0, false, s.writeErr
		}
		if s.sendCredit > 0 {
			f = muxData
			if !s.knownToPeer {
				f, s.knownToPeer = muxOpen, true
			}
			n = min(n, s.sendCredit, muxChunkBytes)
			s.sendCredit -= n
			return f, n, s.urgent, nil
		}
		if err := s.wait(); err != nil {
			return 0, 0, false, err
		}
	}
}

// Close implements byteStream.
func (s *muxStream) Close() error {
	s.mu.Lock()
	if s.writeErr != nil {
		err := s.writeErr
		s.mu.Unlock()
		if errors.Is(err, errStreamClosed) {
			return nil
		}
		return err
	}
	s.writeErr = errStreamClosed
	known, urgent := s.knownToPeer, s.urgent
	s.notify()
	s.mu.Unlock()
	if known {
		s.mux.enqueueControl(muxEnd, s.id, urgent, nil)
	}
	s.cancel(errStreamClosed)
	s.removeIfDone()
	return nil
}

// CancelWrite implements byteStream.
func (s *muxStream) CancelWrite(code quic.StreamErrorCode) {
	s.mu.Lock()
	if s.writeErr != nil {
		s.mu.Unlock()
		return
	}
	err := &quic.StreamError{StreamID: quic.StreamID(s.id), ErrorCode: code}
	s.writeErr = err
	known, urgent := s.knownToPeer, s.urgent
	s.notify()
	s.mu.Unlock()
	if known {
		s.mux.enqueueControl(muxReset, s.id, urgent, binary.AppendUvarint(nil, uint64(code)))
	}
	s.cancel(err)
	s.removeIfDone()
}

// CancelRead implements byteStream.
func (s *muxStream) CancelRead(code quic.StreamErrorCode) {
	s.mu.Lock()
	if s.readErr != nil && s.readDone {
		s.recvBuf = nil
		s.mu.Unlock()
		s.removeIfDone()
		return
	}
	s.readErr = &quic.StreamError{StreamID: quic.StreamID(s.id), ErrorCode: code}
	s.recvBuf, s.readDone = nil, true
	known, urgent := s.knownToPeer, s.urgent
	s.notify()
	s.mu.Unlock()
	if known {
		s.mux.enqueueControl(muxStopSending, s.id, urgent, binary.AppendUvarint(nil, uint64(code)))
	}
	s.removeIfDone()
}

// removeIfDone removes the stream from the connection once both sides have ended.
// Frames of the peer that arrive later are dropped.
func (s *muxStream) removeIfDone() {
	s.mu.Lock()
	ended := s.writeErr != nil && s.readErr != nil && s.readDone
	s.mu.Unlock()
	if ended {
		s.mux.removeStream(s)
	}
}

// handleFrame processes a frame of the peer.
func (s *muxStream) handleFrame(f muxFrameType, payload []byte) error {
	code, n := binary.Uvarint(payload)
	if n <= 0 && f >= muxReset {
		return &Error{Op: "read frame", Kind: KindInvalid, Err: errors.New("the frame has no code or size")}
	}
	s.mu.Lock()
	var stopped error
	switch f {
	case muxOpen, muxData:
		if len(s.recvBuf)+len(payload) > s.recvWindow {
			s.mu.Unlock()
			return &Error{Op: "read frame", Kind: KindInvalid, Err: errors.Newf("stream %d exceeds its flow control window", s.id)}
		}
		if !s.readDone {
			s.recvBuf = append(s.recvBuf, payload...)
		}
	case muxEnd:
		s.endRead(io.EOF)
	case muxReset:
		s.recvBuf = nil
		s.endRead(&quic.StreamError{StreamID: quic.StreamID(s.id), ErrorCode: quic.StreamErrorCode(code), Remote: true})
	case muxStopSending:
		stopped = &quic.StreamError{StreamID: quic.StreamID(s.id), ErrorCode: quic.StreamErrorCode(code), Remote: true}
		if s.writeErr == nil {
			s.writeErr = stopped
		}
	case muxCredit:
		s.sendCredit += int(code)
	}
	s.notify()
	s.mu.Unlock()
	if stopped != nil {
		s.cancel(stopped)
	}
	s.removeIfDone()
	return nil
}

// endRead ends the read side with err after the data received so far; s.mu is held.
func (s *muxStream) endRead(err error) {
	if !s.readDone {
		s.readErr, s.readDone = err, true
	}
}

// connectionClosed ends both sides with the cause of the connection's end.
func (s *muxStream) connectionClosed(cause error) {
	s.mu.Lock()
	if s.writeErr == nil {
		s.writeErr = cause
	}
	if s.readErr == nil {
		s.readErr, s.readDone = cause, true
	}
	s.notify()
	s.mu.Unlock()
	s.cancel(cause)
}
