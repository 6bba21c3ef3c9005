package gwpeer

import (
	"bytes"
	"context"
	"encoding/binary"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unread returns how many of size bytes the peer accepts while it reads nothing.
func unread(t *testing.T, s byteStream, size int) int {
	t.Helper()
	require.NoError(t, s.SetDeadline(time.Now().Add(2*time.Second)))
	n, err := s.Write(make([]byte, size))
	if n < size {
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	require.NoError(t, s.SetDeadline(time.Time{}))
	return n
}

// Guards against a snapshot that takes a round trip for each 256 KB: seconds between regions.
// A peer that grants no more credit, as those of earlier releases, still bounds the sender.
func TestMuxWindowGrows(t *testing.T) {
	dialer, acceptor := muxPair(t)
	ctx := testContext(t, 20*time.Second)
	for _, tt := range []struct {
		name  string
		grown int
		want  int
	}{
		{"as granted by earlier releases", 0, muxWindowBytes},
		{"smaller than it is", muxWindowBytes / 2, muxWindowBytes},
		{"grown", largeWindow, largeWindow},
	} {
		s, err := dialer.OpenStream(ctx)
		require.NoError(t, err)
		_, err = s.Write([]byte("x"))
		require.NoError(t, err)
		peer, err := acceptor.AcceptStream(ctx)
		require.NoError(t, err)
		peer.GrowWindow(tt.grown)
		assert.Equal(t, tt.want-1, unread(t, s, largeWindow+1), tt.name)
		s.CancelWrite(codeCanceled)
		peer.CancelRead(codeCanceled)
	}
}

// Guards against a peer that fills more memory than its stream was granted.
func TestMuxGrownWindowIsEnforced(t *testing.T) {
	dialer, acceptor := muxPair(t)
	ctx := testContext(t, 20*time.Second)
	s, err := dialer.OpenStream(ctx)
	require.NoError(t, err)
	_, err = s.Write([]byte("x"))
	require.NoError(t, err)
	peer, err := acceptor.AcceptStream(ctx)
	require.NoError(t, err)
	peer.GrowWindow(largeWindow)
	require.NoError(t, s.(*muxStream).handleFrame(muxCredit, binary.AppendUvarint(nil, 1<<20))) // that the peer did not grant
	_, err = s.Write(make([]byte, largeWindow+muxChunkBytes))
	if err == nil {
		<-acceptor.ctx.Done()
	}
	assert.ErrorContains(t, context.Cause(acceptor.ctx), "exceeds its flow control window")
}

// Guards against the memory that peers fill with many streams, and against windows that are not
// given back when a stream ends.
func TestLargeWindowsAreBounded(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	kind := Kind{ID: 9, Name: "large"}
	opened := make(chan *Stream, 2*maxLargeWindows)
	release := make(chan struct{})
	nodes[1].HandleStream(kind, func(ctx context.Context, _ string, s *Stream) {
		s.GrowWindow()
		s.GrowWindow() // counts once
		opened <- s
		select {
		case <-release:
		case <-ctx.Done():
		}
	})
	ctx := testContext(t, 20*time.Second)
	open := func() *Stream {
		s, err := nodes[0].OpenStream(ctx, nodes[1].Address(), kind)
		require.NoError(t, err)
		t.Cleanup(s.Cancel)
		require.NoError(t, s.WriteFrame(1, nil))
		receive(t, opened)
		return s
	}
	for range maxLargeWindows + 2 {
		open()
	}
	assert.EqualValues(t, maxLargeWindows, nodes[1].largeWindows.Load())
	close(release)
	assert.Eventually(t, func() bool { return nodes[1].largeWindows.Load() == 0 }, 10*time.Second, time.Millisecond)
	open()
	assert.Eventually(t, func() bool { return nodes[1].largeWindows.Load() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against urgent messages, such as heartbeats, that wait for room in a queue which a large
// transfer keeps full.
func TestMuxUrgentDataOvertakes(t *testing.T) {
	dialer, acceptor := muxPair(t)
	ctx := testContext(t, 20*time.Second)
	// The pipe takes nothing while the acceptor does not read, so that the queue stays full.
	acceptor.mu.Lock()
	bulk, err := dialer.OpenStream(ctx)
	require.NoError(t, err)
	go func() { _, _ = bulk.Write(bytes.Repeat([]byte("b"), muxWindowBytes)) }()
	require.Eventually(t, func() bool {
		dialer.mu.Lock()
		defer dialer.mu.Unlock()
		return len(dialer.normal) > muxQueueBytes
	}, 10*time.Second, time.Millisecond)
	urgent, err := dialer.OpenStream(ctx)
	require.NoError(t, err)
	urgent.SetPriority(PriorityControl)
	written := make(chan error, 1)
	go func() {
		_, err := urgent.Write([]byte("heartbeat"))
		written <- err
	}()
	select {
	case err := <-written:
		assert.NoError(t, err)
	case <-time.After(5 * time.Second):
		t.Error("the urgent message waits for room behind others")
	}
	acceptor.mu.Unlock()
	bulk.CancelWrite(codeCanceled)
}
