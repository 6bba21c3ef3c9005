package gwpeer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func callEcho(ctx context.Context, n *Node, address, text string) (string, error) {
	resp, err := Call[echo, echo](ctx, n, address, kindEcho, echo{Text: text})
	return resp.Text, err
}

func errorKind(t *testing.T, err error) ErrorKind {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	return e.Kind
}

// receive returns the next value of ch, and fails the test if none arrives within 10 s.
func receive[T any](t *testing.T, ch <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(10 * time.Second):
		require.FailNow(t, "nothing arrived within 10 s")
	}
	return v
}

// Guards against a call of a large kind whose request or response is refused for the size limit of
// other kinds, and against a kind that has no limit.
func TestLargeCalls(t *testing.T) {
	kindLarge := Kind{ID: 98, Name: "large", Large: true}
	nodes := startNodes(t, "a", "b")
	Handle(nodes[1], kindLarge, func(_ context.Context, _ string, req echo) (echo, error) { return req, nil })
	ctx := testContext(t, 20*time.Second)
	encodedOverhead := 16
	for _, size := range []int{0, MaxMessageBytes + 1, MaxLargeBytes - encodedOverhead} {
		text := strings.Repeat("x", size)
		got, err := Call[echo, echo](ctx, nodes[0], nodes[1].Address(), kindLarge, echo{Text: text})
		require.NoError(t, err, size)
		assert.Equal(t, text, got.Text)
	}
	_, err := Call[echo, echo](ctx, nodes[0], nodes[1].Address(), kindLarge, echo{Text: strings.Repeat("x", MaxLargeBytes)})
	assert.Equal(t, KindNotSent, errorKind(t, err))
}

// Guards against a wrong error kind. A request that did not reach the handler but is
// reported as unknown cannot be retried; one that reached it but is reported as not
// sent may run twice.
func TestErrorKinds(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	a, b := nodes[0], nodes[1]
	started := make(chan struct{}, 1)
	Handle(b, kindEcho, func(ctx context.Context, _ string, req echo) (echo, error) {
		switch req.Text {
		case "large":
			return echo{Text: strings.Repeat("x", MaxMessageBytes+1)}, nil
		case "block":
			started <- struct{}{}
			<-ctx.Done()
		}
		return req, nil
	})
	ctx := testContext(t, 20*time.Second)

	_, err := callEcho(ctx, a, b.Address(), strings.Repeat("x", MaxMessageBytes+1))
	assert.Equal(t, KindNotSent, errorKind(t, err), "request over the size limit")
	_, err = Call[echo, echo](ctx, a, b.Address(), Kind{ID: 99, Name: "absent"}, echo{})
	assert.Equal(t, KindNotSent, errorKind(t, err), "no handler")
	_, err = Call[[]int, echo](ctx, a, b.Address(), kindEcho, []int{1})
	assert.Equal(t, KindNotSent, errorKind(t, err), "request of another type")
	_, err = callEcho(ctx, a, "localhost:1", "")
	assert.Equal(t, KindNotSent, errorKind(t, err), "malformed address")
	_, err = callEcho(ctx, a, b.Address(), "large")
	code, _ := RemoteCode(err)
	assert.Equal(t, "encode", code, "response over the size limit")

	short, cancel := context.WithCancel(ctx)
	go func() { <-started; cancel() }()
	_, err = callEcho(short, a, b.Address(), "block")
	assert.Equal(t, KindUnknown, errorKind(t, err), "canceled while the handler runs")
	require.ErrorIs(t, err, context.Canceled)

	done := make(chan error, 1)
	go func() { _, err := callEcho(ctx, a, b.Address(), "block"); done <- err }()
	receive(t, started)
	require.NoError(t, b.Close())
	assert.Equal(t, KindUnknown, errorKind(t, receive(t, done)), "peer closed while the handler runs")
}

// Guards against handlers that continue after the opener has canceled, and against
// openers that keep waiting after the handler has canceled.
func TestStreamCancel(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	a, b := nodes[0], nodes[1]
	ended := make(chan error, 1)
	b.HandleStream(kindStream, func(ctx context.Context, _ string, s *Stream) {
		_, payload, err := s.ReadFrame()
		if err != nil || string(payload) == "cancel" {
			s.Cancel()
			return
		}
		_ = s.WriteFrame(1, nil)
		<-ctx.Done()
		ended <- ctx.Err()
	})
	ctx := testContext(t, 20*time.Second)
	open := func(text string) *Stream {
		s, err := a.OpenStream(ctx, b.Address(), kindStream)
		require.NoError(t, err)
		require.NoError(t, s.WriteFrame(1, []byte(text)))
		return s
	}
	s := open("hold")
	_, _, err := s.ReadFrame()
	require.NoError(t, err)
	s.Cancel()
	require.ErrorIs(t, receive(t, ended), context.Canceled)
	_, _, err = s.ReadFrame()
	assert.Equal(t, KindCanceled, errorKind(t, err))
	assert.True(t, IsNotSent(s.WriteFrame(1, nil)))

	s = open("hold")
	_, _, err = s.ReadFrame()
	require.NoError(t, err)
	short, cancel := context.WithCancel(ctx)
	s.CancelOn(short)
	cancel()
	require.ErrorIs(t, receive(t, ended), context.Canceled)

	_, _, err = open("cancel").ReadFrame()
	assert.Equal(t, KindCanceled, errorKind(t, err))

	s, err = a.OpenStream(ctx, b.Address(), Kind{ID: 99, Name: "absent"})
	require.NoError(t, err)
	require.NoError(t, s.WriteFrame(1, nil))
	_, _, err = s.ReadFrame()
	assert.Equal(t, KindNotSent, errorKind(t, err), "no handler")
	// The peer cancels both directions, in packets that may arrive one after the other.
	select {
	case <-s.bs.Context().Done():
	case <-ctx.Done():
		t.Fatal("the peer did not cancel the write side")
	}
	assert.Equal(t, KindCanceled, errorKind(t, s.Close()), "the frame was not read")
}

// Guards against a late frame of one request that is read as the response to the next
// one on a reused stream.
func TestPoolLeftoverFrames(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	a, b := nodes[0], nodes[1]
	release := make(chan struct{})
	b.HandleStream(kindStream, func(_ context.Context, _ string, s *Stream) {
		for {
			_, payload, err := s.ReadFrame()
			if err != nil {
				return
			}
			_ = s.WriteFrame(1, payload)
			if string(payload) == "twice" {
				<-release
				_ = s.WriteFrame(1, []byte("late"))
			}
		}
	})
	ctx := testContext(t, 20*time.Second)
	pool := a.NewStreamPool(kindStream)
	ask := func(text string) (got string, err error) {
		err = pool.Do(ctx, b.Address(), func(s *Stream) error {
			if err := s.WriteFrame(1, []byte(text)); err != nil {
				return err
			}
			_, payload, err := s.ReadFrame()
			got = string(payload)
			return err
		})
		return got, err
	}
	for _, text := range []string{"one", "two", "twice"} {
		got, err := ask(text)
		require.NoError(t, err)
		assert.Equal(t, text, got)
	}
	close(release)
	got, err := ask("next") // on the same stream, or on a new one if "late" has already been received
	if err != nil {
		assert.Equal(t, KindInvalid, errorKind(t, err))
	} else {
		assert.Equal(t, "next", got)
	}
	got, err = ask("after")
	require.NoError(t, err)
	assert.Equal(t, "after", got)
}

// Guards against calls that hang while the peer is unreachable, and against links that
// are not restored after the partition.
func TestPartition(t *testing.T) {
	ca, err := NewAuthority("test")
	require.NoError(t, err)
	a := startNode(t, ca, Options{Instance: "a", IdleTimeout: 300 * time.Millisecond})
	b := startNode(t, ca, Options{Instance: "b", IdleTimeout: 300 * time.Millisecond})
	serveEcho(b)
	ctx := testContext(t, 30*time.Second)
	_, err = callEcho(ctx, a, b.Address(), "x")
	require.NoError(t, err)

	a.Block(b.Address(), true)
	full := false
	large := echo{Text: strings.Repeat("x", 1000)} // soon fills the congestion window
	for range 10 * maxQueuedDatagrams {            // SendDatagram must not block
		full = full || a.SendDatagram(b.Address(), kindNote, large) != nil
	}
	assert.True(t, full)
	want := []ErrorKind{KindUnknown} // the request may have been sent before the partition
	if transport == TCP {
		// The request may also still wait for room in the write queue behind the datagrams.
		want = append(want, KindNotSent)
	}
	_, err = callEcho(ctx, a, b.Address(), "x")
	assert.Contains(t, want, errorKind(t, err))
	_, err = callEcho(ctx, a, b.Address(), "x") // the dial times out
	assert.Equal(t, KindNotSent, errorKind(t, err))
	_, err = callEcho(ctx, a, b.Address(), "x")
	assert.Equal(t, KindNotSent, errorKind(t, err))
	assert.ErrorContains(t, err, "the peer is down")

	a.Block(b.Address(), false)
	require.Eventually(t, func() bool {
		_, err := callEcho(ctx, a, b.Address(), "x")
		return err == nil
	}, 15*time.Second, 20*time.Millisecond)
}

// Guards against a short partition in tests that breaks a TCP link, on which a real one only
// delays the data.
func TestShortPartitionKeepsLink(t *testing.T) {
	ca, err := NewAuthority("test")
	require.NoError(t, err)
	a := startNode(t, ca, Options{Instance: "a"})
	b := startNode(t, ca, Options{Instance: "b"})
	release := make(chan struct{})
	Handle(b, kindEcho, func(_ context.Context, _ string, e echo) (echo, error) {
		<-release
		return e, nil
	})
	ctx := testContext(t, 20*time.Second)
	done := make(chan error, 1)
	go func() {
		_, err := callEcho(ctx, a, b.Address(), "x")
		done <- err
	}()
	time.Sleep(100 * time.Millisecond) // the request has arrived
	a.Block(b.Address(), true)
	close(release) // the answer arrives during the partition
	time.Sleep(100 * time.Millisecond)
	a.Block(b.Address(), false)
	assert.NoError(t, <-done)
}

// Guards against a second link per pair of instances, and against a restarted process
// that is taken for its predecessor.
func TestOneLinkPerPair(t *testing.T) {
	ca, err := NewAuthority("test")
	require.NoError(t, err)
	src, err := ca.IssueSource("b")
	require.NoError(t, err)
	a := startNode(t, ca, Options{Instance: "a"})
	b := startNode(t, ca, Options{Instance: "b", TLS: src})
	serveEcho(a)
	serveEcho(b)
	ctx := testContext(t, 30*time.Second)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { _, err := callEcho(ctx, a, b.Address(), "x"); assert.NoError(t, err) })
	}
	wg.Wait()
	_, err = callEcho(ctx, b, a.Address(), "x")
	require.NoError(t, err)
	assert.Len(t, a.linkList(), 1)
	assert.Len(t, b.linkList(), 1)

	address := b.Address()
	require.NoError(t, b.Close())
	restarted := startNode(t, ca, Options{Instance: "b", TLS: src, Address: address})
	serveEcho(restarted)
	require.Eventually(t, func() bool {
		_, err := callEcho(ctx, a, address, "x")
		return err == nil
	}, 10*time.Second, 20*time.Millisecond)

	_, err = callEcho(ctx, restarted, address, "self")
	assert.NoError(t, err, "a node can call itself")
}

// Guards against calls that wait for the idle timeout although their peer was declared
// dead.
func TestDisconnect(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	a, b := nodes[0], nodes[1]
	started := make(chan struct{}, 1)
	Handle(b, kindEcho, func(ctx context.Context, _ string, req echo) (echo, error) {
		started <- struct{}{}
		<-ctx.Done()
		return req, nil
	})
	done := make(chan error, 1)
	go func() { _, err := callEcho(context.Background(), a, b.Address(), "x"); done <- err }()
	receive(t, started)
	links := a.Links()
	require.Len(t, links, 1)
	assert.Equal(t, "b", links[0].Peer)
	a.Disconnect(b.Address())
	assert.Equal(t, KindUnknown, errorKind(t, receive(t, done)))
}

// Guards against instances that dial each other at the same time and do not agree on
// one link, or close both.
func TestSimultaneousDial(t *testing.T) {
	for range 5 {
		nodes := startNodes(t, "a", "b")
		a, b := nodes[0], nodes[1]
		serveEcho(a)
		serveEcho(b)
		ctx := testContext(t, 20*time.Second)
		var wg sync.WaitGroup
		wg.Go(func() { _, err := callEcho(ctx, a, b.Address(), "x"); assert.NoError(t, err) })
		wg.Go(func() { _, err := callEcho(ctx, b, a.Address(), "x"); assert.NoError(t, err) })
		wg.Wait()
		require.Eventually(t, func() bool { return current(a) == current(b) && current(a) != "" },
			5*time.Second, 10*time.Millisecond)
	}
}

// current returns the names of the instances that dialed the node's current links.
func current(n *Node) string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	s := ""
	for _, p := range n.peers {
		if l := p.current.Load(); l != nil {
			dialer := l.instance
			if l.dialed {
				dialer = n.opts.Instance
			}
			s += dialer
		}
	}
	return s
}

// Guards against links between instances without a common protocol version, and against
// the choice of a version other than the highest common one.
func TestVersions(t *testing.T) {
	ca, err := NewAuthority("test")
	require.NoError(t, err)
	b := startNode(t, ca, Options{Instance: "b", versions: versionRange{min: 2, max: 4}})
	serveEcho(b)
	tests := []struct {
		versions versionRange
		want     uint16 // 0 for none
	}{
		{versions: versionRange{min: 1, max: 1}},
		{versions: versionRange{min: 5, max: 6}},
		{versions: versionRange{min: 1, max: 3}, want: 3},
		{versions: versionRange{min: 4, max: 9}, want: 4},
	}
	for _, tt := range tests {
		a := startNode(t, ca, Options{Instance: "a", versions: tt.versions})
		_, err := callEcho(testContext(t, 10*time.Second), a, b.Address(), "x")
		if tt.want == 0 {
			assert.Equal(t, KindNotSent, errorKind(t, err))
			assert.ErrorContains(t, err, "no common version")
			continue
		}
		require.NoError(t, err)
		assert.Equal(t, tt.want, a.linkList()[0].version)
	}
}

// Guards against nodes that accept a peer whose certificate is invalid for its instance
// name or address.
func TestCertificates(t *testing.T) {
	ca, err := NewAuthority("test")
	require.NoError(t, err)
	other, err := NewAuthority("other")
	require.NoError(t, err)
	b := startNode(t, ca, Options{Instance: "b"})
	Handle(b, kindEcho, func(context.Context, string, echo) (echo, error) {
		t.Error("the handler must not run")
		return echo{}, nil
	})
	identity := func(issuer *Authority, instance string, ips ...net.IP) TLSSource {
		cert, err := issuer.Issue(instance, ips...)
		require.NoError(t, err)
		id, err := NewIdentity(ca.CertificatePEM(), cert.CertificatePEM, cert.KeyPEM)
		require.NoError(t, err)
		return NewMemorySource(id)
	}
	loopback := net.IPv4(127, 0, 0, 1)

	untrusted := startNode(t, ca, Options{Instance: "a", TLS: identity(other, "a", loopback)})
	_, err = callEcho(testContext(t, 10*time.Second), untrusted, b.Address(), "x")
	assert.Equal(t, KindNotSent, errorKind(t, err), "certificate of another CA")

	misnamed := startNode(t, ca, Options{Instance: "a", TLS: identity(ca, "a", loopback)})
	misnamed.opts.Instance = "c"
	_, err = callEcho(testContext(t, 10*time.Second), misnamed, b.Address(), "x")
	assert.Equal(t, KindNotSent, errorKind(t, err), "name of another instance")
	assert.ErrorContains(t, err, "claims instance")

	wrongAddress := startNode(t, ca, Options{Instance: "d", TLS: identity(ca, "d", net.IPv4(10, 0, 0, 1))})
	a := startNode(t, ca, Options{Instance: "a"})
	_, err = callEcho(testContext(t, 10*time.Second), a, wrongAddress.Address(), "x")
	assert.Equal(t, KindNotSent, errorKind(t, err), "certificate of another address")

	_, err = Listen(context.Background(), Options{Address: "127.0.0.1:0", Instance: "x", TLS: identity(ca, "y", loopback)})
	assert.ErrorContains(t, err, `names instance "y"`)
}

// Guards against a CA rotation that closes links while both CAs are trusted, and
// against links that stay open when the peer's CA is no longer trusted.
func TestRotation(t *testing.T) {
	oldCA, err := NewAuthority("old")
	require.NoError(t, err)
	newCA, err := NewAuthority("new")
	require.NoError(t, err)
	set := func(src *MemorySource, issuer *Authority, instance string, trusted ...*Authority) {
		cert, err := issuer.Issue(instance, net.IPv4(127, 0, 0, 1))
		require.NoError(t, err)
		var roots []byte
		for _, ca := range trusted {
			roots = append(roots, ca.CertificatePEM()...)
		}
		id, err := NewIdentity(roots, cert.CertificatePEM, cert.KeyPEM)
		require.NoError(t, err)
		src.Set(id)
	}
	srcA, srcB := NewMemorySource(nil), NewMemorySource(nil)
	set(srcA, oldCA, "a", oldCA)
	set(srcB, oldCA, "b", oldCA)
	a := startNode(t, nil, Options{Instance: "a", TLS: srcA})
	b := startNode(t, nil, Options{Instance: "b", TLS: srcB})
	serveEcho(b)
	ctx := testContext(t, 30*time.Second)
	works := func() bool { _, err := callEcho(ctx, a, b.Address(), "x"); return err == nil }
	require.True(t, works())
	first := a.linkList()[0]

	set(srcB, newCA, "b", newCA, oldCA)
	set(srcA, oldCA, "a", newCA, oldCA)
	time.Sleep(2 * maintenancePeriod)
	require.True(t, works())
	assert.True(t, first.alive(), "both CAs are trusted")

	set(srcB, newCA, "b", newCA)
	require.Eventually(t, func() bool { return !first.alive() }, 5*time.Second, 20*time.Millisecond)
	_, err = callEcho(ctx, a, b.Address(), "x")
	require.Error(t, err, "the certificate of the old CA is no longer trusted")
	set(srcA, newCA, "a", newCA)
	require.Eventually(t, works, 10*time.Second, 50*time.Millisecond)
}

// Guards against a Close that hangs on a blocked handler, and against a stream that ends
// with io.EOF, like a complete one, although its peer was closed.
func TestCloseWithBlockedHandler(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	a, b := nodes[0], nodes[1]
	started := make(chan struct{})
	b.HandleStream(kindStream, func(ctx context.Context, _ string, s *Stream) {
		close(started)
		<-ctx.Done()
	})
	s, err := a.OpenStream(testContext(t, 10*time.Second), b.Address(), kindStream)
	require.NoError(t, err)
	require.NoError(t, s.WriteFrame(1, nil))
	receive(t, started)
	require.NoError(t, b.Close())
	_, _, err = s.ReadFrame()
	require.Error(t, err)
	require.False(t, errors.Is(err, io.EOF), "a closed node is not a complete response")
	require.Error(t, a.SendDatagram(b.Address(), kindNote, strings.Repeat("x", MaxDatagramBytes+1)))
}

// Guards against a process that ends because a handler panics at one peer's message.
func TestHandlerPanic(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	a, b := nodes[0], nodes[1]
	kind := Kind{ID: 90, Name: "fragile"}
	Handle(b, kind, func(_ context.Context, _ string, text string) (string, error) {
		if text == "panic" {
			panic("unexpected message")
		}
		return text, nil
	})
	received := make(chan string, 1)
	HandleDatagram(b, Kind{ID: 91, Name: "fragileDatagram"}, func(_, text string) {
		if text == "panic" {
			panic("unexpected message")
		}
		received <- text
	})
	ctx := testContext(t, 20*time.Second)
	_, err := Call[string, string](ctx, a, b.Address(), kind, "panic")
	require.Error(t, err)
	assert.False(t, IsNotSent(err), "the handler has run")
	got, err := Call[string, string](ctx, a, b.Address(), kind, "text")
	require.NoError(t, err)
	assert.Equal(t, "text", got)

	require.NoError(t, a.SendDatagram(b.Address(), Kind{ID: 91}, "panic"))
	require.NoError(t, a.SendDatagram(b.Address(), Kind{ID: 91}, "text"))
	assert.Equal(t, "text", receive(t, received))
}

// Guards against traffic between instances whose cause cannot be found.
func TestTraffic(t *testing.T) {
	nodes := startNodes(t, "a", "b")
	a, b := nodes[0], nodes[1]
	kind := Kind{ID: 92, Name: "counted"}
	Handle(b, kind, func(_ context.Context, _ string, text string) (string, error) { return text + text, nil })
	ctx := testContext(t, 20*time.Second)
	for range 3 {
		_, err := Call[string, string](ctx, a, b.Address(), kind, "some text")
		require.NoError(t, err)
	}
	// An answer is counted once it is written, which its receiver may be ahead of.
	require.Eventually(t, func() bool { return b.Traffic(kind.ID).Messages >= 3 }, 5*time.Second, time.Millisecond)
	requests, answers := a.Traffic(kind.ID), b.Traffic(kind.ID)
	assert.Equal(t, uint64(3), requests.Messages)
	assert.Equal(t, uint64(3), answers.Messages)
	assert.Greater(t, answers.Bytes, requests.Bytes)
	assert.Equal(t, "counted", b.Kinds()[kind.ID])
}
