package gwpeer

import (
	"bufio"
	"context"
	"crypto/x509"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// muxFrameType is the type of a frame of a multiplexed connection.
//
// Wire format: type byte, uvarint stream ID (0 for frames of the connection), uvarint
// length, payload. A code or a size is a payload of one uvarint.
type muxFrameType byte

const (
	muxOpen        muxFrameType = iota + 1 // the first bytes of a stream
	muxData                                // more bytes of a stream
	muxEnd                                 // no more bytes follow
	muxReset                               // code: the sender canceled its write side
	muxStopSending                         // code: the sender canceled its read side
	muxCredit                              // size: bytes of the stream that the sender has read since its last credit
	muxDatagram                            // one datagram
	muxPing
	muxPong
	muxClose // code and reason: the connection ends
)

// Limits and timeouts of a multiplexed connection.
const (
	// muxChunkBytes bounds the payload of a stream's data frame, so that urgent frames
	// do not wait long behind it.
	muxChunkBytes = 8 << 10
	// muxWindowBytes bounds the bytes of a stream that are in flight or received and
	// unread, unless the receiver grows the window. Peers of all releases start with it.
	muxWindowBytes = 256 << 10
	// muxBatchBytes bounds the bytes of non-urgent frames in one write, which urgent
	// frames have to wait for: 65 ms on a link of 2 Mbit/s.
	muxBatchBytes = 16 << 10
	// muxMaxFrameBytes bounds the payload of a received frame. It exceeds the largest
	// payload that is sent, that of a datagram or a chunk.
	muxMaxFrameBytes = 64 << 10
	// muxQueueBytes is the length of the write queue above which senders of data wait, of
	// its urgent part above which senders of urgent data do: 0.25 s on a link of 2 Mbit/s.
	muxQueueBytes = 64 << 10
	// muxWriteTimeout is how long one write may take before the connection is closed.
	muxWriteTimeout = 5 * time.Second
	// muxAcceptBacklog bounds the peer's streams that wait for AcceptStream.
	muxAcceptBacklog = 1024
	// muxCloseTimeout bounds the write of the last frames when a connection is closed.
	muxCloseTimeout = 100 * time.Millisecond
)

var (
	errPeerUnresponsive = errors.New("the peer did not answer a ping")
	errStreamClosed     = errors.New("the stream is closed")
)

// mux implements transportConn: it multiplexes streams and datagrams over one TCP
// connection with TLS.
type mux struct {
	conn     net.Conn // the TLS connection
	raw      net.Conn // the TCP connection under conn, for deadlines and closing
	cert     *x509.Certificate
	dialed   bool
	liveness *LivenessMonitor

	ctx       context.Context
	cancel    context.CancelCauseFunc
	wake      chan struct{} // signals queued frames to writeLoop
	incoming  chan *muxStream
	datagrams chan []byte
	wg        sync.WaitGroup

	mu         sync.Mutex
	timer      *time.Timer // runs checkLiveness
	streams    map[uint64]*muxStream
	nextID     uint64
	urgent     []byte        // queued frames that are written first
	normal     []byte        // other queued frames
	normalEnds []int         // end offset of each frame in normal
	roomFreed  chan struct{} // closed when the queue shrinks; nil if no sender waits
	closing    bool
	sent       uint64
	received   uint64
}

// newMux starts the loops of a connection. Streams that the dialer opens have odd IDs,
// those of the acceptor even ones. idle is that of NewLivenessMonitor.
func newMux(conn, raw net.Conn, cert *x509.Certificate, dialed bool, idle time.Duration) *mux {
	m := &mux{
		conn: conn, raw: raw, cert: cert, dialed: dialed, liveness: NewLivenessMonitor(idle, time.Now()),
		wake: make(chan struct{}, 1), incoming: make(chan *muxStream, muxAcceptBacklog), datagrams: make(chan []byte, maxQueuedDatagrams),
		streams: make(map[uint64]*muxStream), nextID: 2,
	}
	if dialed {
		m.nextID = 1
	}
	m.ctx, m.cancel = context.WithCancelCause(context.Background())
	// Ends a write that is blocked because the peer does not read.
	context.AfterFunc(m.ctx, func() { _ = raw.SetWriteDeadline(time.Now().Add(muxCloseTimeout)) })
	m.mu.Lock() // checkLiveness may run before the timer is stored
	m.timer = time.AfterFunc(idle, m.checkLiveness)
	m.mu.Unlock()
	m.wg.Add(2)
	go m.readLoop()
	go m.writeLoop()
	return m
}

// Context implements transportConn.
func (m *mux) Context() context.Context { return m.ctx }

// RemoteAddr implements transportConn.
func (m *mux) RemoteAddr() net.Addr { return m.conn.RemoteAddr() }

// Certificate implements transportConn.
func (m *mux) Certificate() *x509.Certificate { return m.cert }

// Stats implements transportConn.
func (m *mux) Stats() connStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return connStats{roundTrip: m.liveness.RoundTrip(), sent: m.sent, received: m.received}
}

// OpenStream implements transportConn. Nothing is sent before the first write.
func (m *mux) OpenStream(context.Context) (byteStream, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.ctx.Err(); err != nil {
		return nil, context.Cause(m.ctx)
	}
	s := newMuxStream(m, m.nextID)
	m.nextID += 2
	m.streams[s.id] = s
	return s, nil
}

// AcceptStream implements transportConn.
func (m *mux) AcceptStream(ctx context.Context) (byteStream, error) {
	select {
	case s := <-m.incoming:
		return s, nil
	case <-m.ctx.Done():
		return nil, context.Cause(m.ctx)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SendDatagram implements transportConn. It waits while the write queue is full.
func (m *mux) SendDatagram(b []byte) error {
	return m.enqueueData(m.ctx, muxDatagram, 0, true, b)
}

// ReceiveDatagram implements transportConn.
func (m *mux) ReceiveDatagram(ctx context.Context) ([]byte, error) {
	select {
	case b := <-m.datagrams:
		return b, nil
	case <-m.ctx.Done():
		return nil, context.Cause(m.ctx)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// CloseWithError implements transportConn. It sends code and reason to the peer and
// ends all streams.
func (m *mux) CloseWithError(code quic.ApplicationErrorCode, reason string) error {
	m.mu.Lock()
	if m.closing || m.ctx.Err() != nil {
		m.mu.Unlock()
		return nil
	}
	m.closing = true
	payload := binary.AppendUvarint(nil, uint64(code))
	m.enqueue(muxClose, 0, true, append(payload, reason...))
	m.mu.Unlock()
	m.shutDown(&quic.ApplicationError{ErrorCode: code, ErrorMessage: reason})
	return nil
}

// shutDown ends the connection and all streams with a cause. writeLoop then makes one
// attempt to write the urgent frames, such as a close frame, and a batch of the others,
// and closes the connection.
func (m *mux) shutDown(cause error) {
	m.cancel(cause)
	m.mu.Lock()
	m.timer.Stop()
	streams := make([]*muxStream, 0, len(m.streams))
	for _, s := range m.streams {
		streams = append(streams, s)
	}
	clear(m.streams)
	m.mu.Unlock()
	for _, s := range streams {
		s.connectionClosed(context.Cause(m.ctx))
	}
}

// wakeWriter wakes writeLoop; m.mu is held.
func (m *mux) wakeWriter() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// enqueueData queues data of a stream, or a datagram, as soon as the queue has room.
func (m *mux) enqueueData(ctx context.Context, f muxFrameType, stream uint64, urgent bool, b []byte) error {
	for {
		m.mu.Lock()
		if m.ctx.Err() != nil {
			m.mu.Unlock()
			return context.Cause(m.ctx)
		}
		if m.queuedBefore(urgent) <= muxQueueBytes {
			m.enqueue(f, stream, urgent, b)
			m.mu.Unlock()
			return nil
		}
		if m.roomFreed == nil {
			m.roomFreed = make(chan struct{})
		}
		room := m.roomFreed
		m.mu.Unlock()
		select {
		case <-room:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-m.ctx.Done():
			return context.Cause(m.ctx)
		}
	}
}

// queuedBefore returns how many queued bytes are written before a new frame; m.mu is held. Urgent
// frames need not wait for room behind a transfer that keeps the queue full.
func (m *mux) queuedBefore(urgent bool) int {
	if urgent {
		return len(m.urgent)
	}
	return len(m.urgent) + len(m.normal)
}

// enqueueControl queues a frame without stream data behind the frames of its priority.
// It never waits: such frames are exempt from muxQueueBytes.
func (m *mux) enqueueControl(f muxFrameType, stream uint64, urgent bool, payload []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.enqueue(f, stream, urgent, payload)
}

// enqueue appends a frame to one of the queues; m.mu is held.
func (m *mux) enqueue(f muxFrameType, stream uint64, urgent bool, payload []byte) {
	if urgent {
		m.urgent = appendMuxFrame(m.urgent, f, stream, payload)
	} else {
		m.normal = appendMuxFrame(m.normal, f, stream, payload)
		m.normalEnds = append(m.normalEnds, len(m.normal))
	}
	m.wakeWriter()
}

func appendMuxFrame(b []byte, f muxFrameType, stream uint64, payload []byte) []byte {
	b = append(b, byte(f))
	b = binary.AppendUvarint(b, stream)
	b = binary.AppendUvarint(b, uint64(len(payload)))
	return append(b, payload...)
}

// takeBatch removes the frames to write next from the queues and returns them in the
// memory of spare: all urgent frames, then other frames up to muxBatchBytes or at
// least one.
func (m *mux) takeBatch(spare []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	frames, end := 0, 0
	for frames < len(m.normalEnds) && (frames == 0 || m.normalEnds[frames] <= muxBatchBytes) {
		end = m.normalEnds[frames]
		frames++
	}
	spare = append(append(spare[:0], m.urgent...), m.normal[:end]...)
	m.urgent = m.urgent[:0]
	m.normal = append(m.normal[:0], m.normal[end:]...)
	m.normalEnds = append(m.normalEnds[:0], m.normalEnds[frames:]...)
	for i := range m.normalEnds {
		m.normalEnds[i] -= end
	}
	if len(m.normalEnds) > 0 {
		m.wakeWriter()
	}
	if m.roomFreed != nil {
		close(m.roomFreed)
		m.roomFreed = nil
	}
	m.sent += uint64(len(spare))
	return spare
}

// writeLoop writes queued frames until the connection ends.
func (m *mux) writeLoop() {
	defer m.wg.Done()
	defer m.raw.Close()
	var b []byte
	for {
		select {
		case <-m.wake:
		case <-m.ctx.Done():
			_, _ = m.conn.Write(m.takeBatch(b)) // best effort: carries the close frame
			return
		}
		if b = m.takeBatch(b); len(b) == 0 {
			continue
		}
		if m.ctx.Err() == nil {
			_ = m.raw.SetWriteDeadline(time.Now().Add(muxWriteTimeout))
		}
		if _, err := m.conn.Write(b); err != nil {
			m.shutDown(err)
			return
		}
		if now := time.Now(); m.liveness.RecordSent(now) {
			m.scheduleCheck(m.liveness.NextCheck(now))
		}
		if cap(b) > maxPooledBuf {
			b = nil
		}
	}
}

// checkLiveness pings a silent peer, ends the connection if a ping was not answered,
// and schedules its next run. It runs only when a check can be due, so that an idle
// link causes few wake-ups.
func (m *mux) checkLiveness() {
	now := time.Now()
	switch m.liveness.Check(now) {
	case LivenessPing:
		m.enqueueControl(muxPing, 0, true, nil)
	case LivenessLost:
		m.shutDown(errPeerUnresponsive)
		return
	case LivenessNoAction:
	}
	m.scheduleCheck(m.liveness.NextCheck(now))
}

// scheduleCheck sets when checkLiveness runs next, unless the connection has ended.
func (m *mux) scheduleCheck(after time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() == nil {
		m.timer.Reset(after)
	}
}

// readLoop handles the peer's frames until the connection ends.
func (m *mux) readLoop() {
	defer m.wg.Done()
	r := bufio.NewReaderSize(m.conn, readerBytes)
	for {
		f, stream, payload, err := readMuxFrame(r)
		if err != nil {
			m.shutDown(err)
			return
		}
		m.liveness.RecordReceived(time.Now(), f == muxPong)
		m.mu.Lock()
		m.received += uint64(len(payload))
		m.mu.Unlock()
		if err := m.handleFrame(f, stream, payload); err != nil {
			m.shutDown(err)
			return
		}
	}
}

func readMuxFrame(r *bufio.Reader) (f muxFrameType, stream uint64, payload []byte, err error) {
	b, err := r.ReadByte()
	if err != nil {
		return 0, 0, nil, err
	}
	if stream, err = binary.ReadUvarint(r); err != nil {
		return 0, 0, nil, err
	}
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, 0, nil, err
	}
	if size > muxMaxFrameBytes {
		return 0, 0, nil, &Error{Op: "read frame", Kind: KindInvalid, Err: errors.Newf("frame of %d bytes exceeds %d", size, muxMaxFrameBytes)}
	}
	payload = make([]byte, size)
	_, err = io.ReadFull(r, payload)
	return muxFrameType(b), stream, payload, err
}

func (m *mux) handleFrame(f muxFrameType, id uint64, payload []byte) error {
	switch f {
	case muxPing:
		m.enqueueControl(muxPong, 0, true, nil)
	case muxPong:
	case muxDatagram:
		select {
		case m.datagrams <- payload:
		default: // dropped, as a full network path would do
		}
	case muxClose:
		code, n := binary.Uvarint(payload)
		return &quic.ApplicationError{Remote: true, ErrorCode: quic.ApplicationErrorCode(code), ErrorMessage: string(payload[max(n, 0):])}
	case muxOpen, muxData, muxEnd, muxReset, muxStopSending, muxCredit:
		s, err := m.streamFor(f, id)
		if s != nil && err == nil {
			err = s.handleFrame(f, payload)
		}
		return err
	default:
		return &Error{Op: "read frame", Kind: KindInvalid, Err: errors.Newf("unknown frame type %d", f)}
	}
	return nil
}

// streamFor returns the stream of a frame, and creates it if the frame is an open frame
// of the peer. The stream is nil if it has ended.
func (m *mux) streamFor(f muxFrameType, id uint64) (*muxStream, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.streams[id]
	if ok {
		return s, nil
	}
	peerOpened := id%2 == 1 != m.dialed
	if f != muxOpen || !peerOpened || m.ctx.Err() != nil {
		return nil, nil
	}
	s = newMuxStream(m, id)
	m.streams[id] = s
	select {
	case m.incoming <- s:
		return s, nil
	default:
		return nil, &Error{Op: "accept stream", Kind: KindInvalid, Err: errors.Newf("accept backlog is full (%d streams)", muxAcceptBacklog)}
	}
}

// removeStream removes a stream both sides of which have ended.
func (m *mux) removeStream(s *muxStream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.streams, s.id)
}
