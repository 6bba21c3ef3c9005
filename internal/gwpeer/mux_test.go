package gwpeer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// muxPair returns both ends of a multiplexed connection over a pipe.
func muxPair(t *testing.T) (dialer, acceptor *mux) {
	t.Helper()
	a, b := net.Pipe()
	dialer, acceptor = newMux(a, a, nil, true, time.Minute), newMux(b, b, nil, false, time.Minute)
	t.Cleanup(func() {
		for _, m := range []*mux{dialer, acceptor} {
			_ = m.CloseWithError(codeClosing, "end of the test")
			m.wg.Wait()
		}
	})
	return dialer, acceptor
}

// Guards against lost, mixed up or reordered data if several streams with more data
// than the flow control window share a connection.
func TestMuxCarriesLargeStreams(t *testing.T) {
	dialer, acceptor := muxPair(t)
	ctx := testContext(t, 20*time.Second)
	const streams = 8
	var wg sync.WaitGroup
	wg.Go(func() {
		for range streams {
			s, err := acceptor.AcceptStream(ctx)
			if !assert.NoError(t, err) {
				return
			}
			wg.Go(func() {
				_, err := io.Copy(s, s)
				assert.NoError(t, err)
				assert.NoError(t, s.Close())
			})
		}
	})
	for i := range streams {
		wg.Go(func() {
			s, err := dialer.OpenStream(ctx)
			assert.NoError(t, err)
			if i%2 == 0 {
				s.SetPriority(PriorityControl)
			}
			sent := bytes.Repeat([]byte{byte(i), 1, 2, 3, 5, 8, 13}, muxWindowBytes/3)
			go func() {
				_, err := s.Write(sent)
				assert.NoError(t, err)
				assert.NoError(t, s.Close())
			}()
			got, err := io.ReadAll(s)
			assert.NoError(t, err)
			assert.True(t, bytes.Equal(sent, got), "stream %d", i)
		})
	}
	wg.Wait()
}

// Guards against reads and writes that hang after the peer has canceled, and against
// streams that are not removed after both sides have ended.
func TestMuxCancel(t *testing.T) {
	dialer, acceptor := muxPair(t)
	ctx := testContext(t, 10*time.Second)
	s, err := dialer.OpenStream(ctx)
	require.NoError(t, err)
	_, err = s.Write([]byte("x"))
	require.NoError(t, err)
	peer, err := acceptor.AcceptStream(ctx)
	require.NoError(t, err)
	s.CancelRead(codeCanceled)
	<-peer.Context().Done()
	var streamErr *quic.StreamError
	_, err = peer.Write([]byte("y"))
	require.True(t, errors.As(err, &streamErr), "%v", err)
	assert.True(t, streamErr.Remote)
	assert.Equal(t, codeCanceled, streamErr.ErrorCode)
	s.CancelWrite(codeRefused)
	_, err = io.ReadAll(peer)
	require.True(t, errors.As(err, &streamErr), "%v", err)
	assert.Equal(t, codeRefused, streamErr.ErrorCode)
	for _, m := range []*mux{dialer, acceptor} {
		assert.Eventually(t, func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			return len(m.streams) == 0
		}, 5*time.Second, time.Millisecond)
	}
}

// Guards against frames of a faulty peer that cause unbounded memory use or a panic.
func TestMuxRejectsInvalidFrames(t *testing.T) {
	frame := func(f muxFrameType, stream uint64, payload []byte) []byte {
		return appendMuxFrame(nil, f, stream, payload)
	}
	var flood []byte
	for range muxWindowBytes/muxChunkBytes + 1 {
		flood = append(flood, frame(muxData, 1, make([]byte, muxChunkBytes))...)
	}
	tests := []struct {
		name string
		sent []byte
	}{
		{"unknown type", frame(99, 1, nil)},
		{"over the frame size limit", binary.AppendUvarint([]byte{byte(muxDatagram), 0}, muxMaxFrameBytes+1)},
		{"over the flow control window", append(frame(muxOpen, 1, []byte("x")), flood...)},
		{"a reset without its code", append(frame(muxOpen, 1, []byte("x")), frame(muxReset, 1, nil)...)},
	}
	for _, tt := range tests {
		a, b := net.Pipe()
		m := newMux(b, b, nil, false, time.Minute)
		go func() { _, _ = a.Write(tt.sent) }()
		select {
		case <-m.ctx.Done():
		case <-time.After(5 * time.Second):
			t.Errorf("%s: the connection stays open", tt.name)
		}
		_ = a.Close()
		m.shutDown(errPeerUnresponsive)
		m.wg.Wait()
	}
}

// Guards against a write that outlasts its deadline because the connection's write queue is
// full: it waited until the connection was closed.
func TestMuxWriteKeepsDeadline(t *testing.T) {
	a, b := net.Pipe() // nobody reads from a
	m := newMux(b, b, nil, true, time.Minute)
	s, err := m.OpenStream(t.Context())
	require.NoError(t, err)
	require.NoError(t, s.SetDeadline(time.Now().Add(50*time.Millisecond)))
	started := time.Now()
	_, err = s.Write(make([]byte, muxWindowBytes))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Less(t, time.Since(started), muxWriteTimeout/2)
	_ = a.Close()
	m.shutDown(errPeerUnresponsive)
	m.wg.Wait()
}

// FuzzMuxFrames guards against panics on arbitrary bytes.
func FuzzMuxFrames(f *testing.F) {
	f.Add(appendMuxFrame(nil, muxOpen, 1, []byte("x")))
	f.Add(appendMuxFrame(nil, muxCredit, 2, []byte{1}))
	f.Fuzz(func(_ *testing.T, sent []byte) {
		a, b := net.Pipe()
		m := newMux(b, b, nil, false, time.Minute)
		go func() { _, _ = io.Copy(io.Discard, a) }()
		_ = a.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = a.Write(sent)
		_ = a.Close()
		m.shutDown(errPeerUnresponsive)
		m.wg.Wait()
	})
}

// silentProxy forwards connections to a node. Silenced connections stay open, but their
// data is dropped.
type silentProxy struct {
	net.Listener
	silenced atomic.Int64 // connections up to this number are silenced
	accepted atomic.Int64
}

func newSilentProxy(t *testing.T, to string) *silentProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &silentProxy{Listener: l}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			n := p.accepted.Add(1)
			wg.Go(func() { p.forward(n, in, out) })
			wg.Go(func() { p.forward(n, out, in) })
		}
	})
	t.Cleanup(func() { _ = l.Close(); wg.Wait() })
	return p
}

func (p *silentProxy) forward(n int64, to, from net.Conn) {
	defer to.Close()
	b := make([]byte, 4096)
	for {
		size, err := from.Read(b)
		if err != nil {
			return
		}
		if n > p.silenced.Load() {
			_, _ = to.Write(b[:size])
		}
	}
}

// Guards against calls that hang on a connection that stopped delivering data, while
// new ones between the same machines work.
func TestSilentTCPLinkIsReplaced(t *testing.T) {
	ca, err := NewAuthority("test")
	require.NoError(t, err)
	node := func(name string) *Node {
		src, err := ca.IssueSource(name)
		require.NoError(t, err)
		n, err := Listen(context.Background(), Options{Address: "127.0.0.1:0", TLS: src, Instance: name, Transport: TCP})
		require.NoError(t, err)
		t.Cleanup(func() { _ = n.Close() })
		return n
	}
	b := node("b")
	serveEcho(b)
	p := newSilentProxy(t, b.Address())
	a := node("a")
	address := netip.MustParseAddrPort(p.Addr().String()).String()
	_, err = callEcho(testContext(t, 5*time.Second), a, address, "x")
	require.NoError(t, err)

	p.silenced.Store(p.accepted.Load())
	started := time.Now()
	_, err = callEcho(testContext(t, 5*time.Second), a, address, "x")
	assert.Equal(t, KindUnknown, errorKind(t, err))
	assert.Less(t, time.Since(started), responseTimeout+pingTimeout+750*time.Millisecond)
	_, err = callEcho(testContext(t, 5*time.Second), a, address, "x")
	assert.NoError(t, err, "over a new connection")
}

// Guards against closing a connection whose peer answers, and against keeping one
// whose peer does not.
func TestLivenessMonitor(t *testing.T) {
	const idle = 2500 * time.Millisecond
	start := time.Unix(100, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	m := NewLivenessMonitor(idle, start)
	assert.Equal(t, time.Second, m.NextCheck(at(idle-time.Second)))
	assert.Equal(t, LivenessNoAction, m.Check(at(idle-1)))
	assert.Equal(t, LivenessPing, m.Check(at(idle)), "nothing received for the idle time")
	m.RecordReceived(at(idle+30*time.Millisecond), true)
	assert.Equal(t, 30*time.Millisecond, m.RoundTrip())

	sent := at(3 * time.Second)
	assert.True(t, m.RecordSent(sent))
	assert.False(t, m.RecordSent(sent.Add(400*time.Millisecond)), "does not postpone the ping")
	assert.Equal(t, responseTimeout-time.Millisecond, m.NextCheck(sent.Add(time.Millisecond)))
	assert.Equal(t, LivenessNoAction, m.Check(sent.Add(responseTimeout-1)))
	pinged := sent.Add(responseTimeout)
	assert.Equal(t, LivenessPing, m.Check(pinged))
	assert.Equal(t, pingTimeout, m.NextCheck(pinged))
	assert.Equal(t, LivenessNoAction, m.Check(pinged.Add(pingTimeout-1)))
	assert.Equal(t, LivenessLost, m.Check(pinged.Add(pingTimeout)))
}

// Guards against a dial that fails after its first unanswered attempt, as happened after
// a power loss of all machines, and against one that retries a refused connection.
func TestDialRetriesUnansweredAttempts(t *testing.T) {
	attempts := 0
	var fail error
	d := net.Dialer{ControlContext: func(context.Context, string, string, syscall.RawConn) error {
		attempts++
		return fail
	}}
	fail = &net.DNSError{IsTimeout: true}
	_, err := dialWithRetry(t.Context(), &d, "127.0.0.1:9")
	assert.Error(t, err)
	assert.Equal(t, len(connectTimeouts), attempts)
	attempts, fail = 0, syscall.ECONNREFUSED
	_, err = dialWithRetry(t.Context(), &d, "127.0.0.1:9")
	assert.Error(t, err)
	assert.Equal(t, 1, attempts)
}
