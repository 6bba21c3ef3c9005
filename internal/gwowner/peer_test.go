package gwowner

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// startPeers returns an owner and a stream to it from another instance.
func startPeers(t *testing.T, exchange func(req gwbackend.Request, sink gwbackend.Sink) (gwbackend.Result, error)) *gwpeer.Stream {
	t.Helper()
	return startPeersWithMemory(t, nil, exchange)
}

func startPeersWithMemory(t *testing.T, memory *gwbudget.Pool, exchange func(req gwbackend.Request, sink gwbackend.Sink) (gwbackend.Result, error)) *gwpeer.Stream {
	t.Helper()
	ca, err := gwpeer.NewAuthority("test")
	require.NoError(t, err)
	nodes := make([]*gwpeer.Node, 2)
	for i, name := range []string{"a", "b"} {
		keys, err := ca.IssueSource(name)
		require.NoError(t, err)
		nodes[i], err = gwpeer.Listen(context.Background(), gwpeer.Options{Instance: name, Address: "127.0.0.1:0", TLS: keys, Transport: gwpeer.TCP})
		require.NoError(t, err)
		t.Cleanup(func() { _ = nodes[i].Close() })
	}
	s := newScriptedServer(t, &fakeMetrics{}, nil)
	s.backend = gwbackend.NewServer(gwbackend.ServerOptions{Dialect: requestDialect{exchange: exchange}, Pool: gwbackend.PoolOptions{Limit: 2}})
	t.Cleanup(func() { _ = s.backend.Close(t.Context()) })
	s.owner.servers = map[string]*server{"s": s}
	s.owner.peerMemory = memory
	nodes[0].HandleStream(gwcontrol.KindExec, s.owner.serveExec)
	st, err := nodes[1].OpenStream(t.Context(), nodes[0].Address(), gwcontrol.KindExec)
	require.NoError(t, err)
	t.Cleanup(st.Cancel)
	return st
}

// requestDialect opens connections whose exchanges run exchange.
type requestDialect struct {
	scriptedDialect
	exchange func(req gwbackend.Request, sink gwbackend.Sink) (gwbackend.Result, error)
}

func (d requestDialect) Dial(context.Context, gwbackend.Options) (gwbackend.Connection, error) {
	return &requestConnection{d: d}, nil
}

type requestConnection struct {
	scriptedConnection
	d requestDialect
}

func (c *requestConnection) Exchange(_ context.Context, req gwbackend.Request, sink gwbackend.Sink) (gwbackend.Result, error) {
	return c.d.exchange(req, sink)
}

// Guards against a request that its owner cannot decode: nothing had run, and the caller was
// told that the outcome is unknown, by the end of the stream.
func TestUndecodableRequestIsNotRun(t *testing.T) {
	st := startPeers(t, func(gwbackend.Request, gwbackend.Sink) (gwbackend.Result, error) {
		return gwbackend.Result{Sent: true, Complete: true, TxStatus: 'I'}, nil
	})
	r := NewRemoteSession(st)
	for range 2 {
		require.NoError(t, st.WriteFrame(frameRequest, []byte{0xff}))
		res := r.readAnswer(t.Context(), &bytes.Buffer{})
		assert.Equal(t, gwoutcome.NotEncodable, res.Event)
		assert.Contains(t, res.Message, "not run: ")
		assert.False(t, r.Broken())
	}
	res := r.Exec(t.Context(), &Request{Server: "s", Class: "k", Access: Read, SkipChecks: true, Timeout: time.Second, Request: gwbackend.Request{Statement: &gwbackend.StatementRequest{}}}, &bytes.Buffer{})
	assert.Equal(t, gwoutcome.Answered, res.Event, "the stream goes on: %s", res.Message)

	res = r.Exec(t.Context(), &Request{Server: "s", Class: "k", Timeout: time.Second, Request: gwbackend.Request{Statement: &gwbackend.StatementRequest{Text: strings.Repeat("x", gwpeer.MaxFrameBytes)}}}, &bytes.Buffer{})
	assert.Equal(t, gwoutcome.NotEncodable, res.Event, "a request that no frame can hold")
	assert.True(t, r.Broken(), "a transaction may be open on the stream")
}

// Guards against a large request that fills the memory of its owner, and against one that is
// refused and has run, or ends the stream for the requests after it.
func TestRequestWithoutMemoryIsNotRun(t *testing.T) {
	budget, ran := gwbudget.New(8<<20, nil), 0
	st := startPeersWithMemory(t, budget.Peers, func(gwbackend.Request, gwbackend.Sink) (gwbackend.Result, error) {
		ran++
		return gwbackend.Result{Sent: true, Complete: true, TxStatus: 'I'}, nil
	})
	other := budget.Peers.Open("other", nil)
	other.Force(8 << 20)
	r := NewRemoteSession(st)
	ask := func(size int) Result {
		return r.Exec(t.Context(), &Request{Server: "s", Class: "k", Access: Read, SkipChecks: true, Timeout: 10 * time.Second, Request: gwbackend.Request{Statement: &gwbackend.StatementRequest{Text: strings.Repeat("x", size)}}}, &bytes.Buffer{})
	}
	res := ask(1 << 20)
	assert.Equal(t, gwoutcome.Expired, res.Event)
	assert.Contains(t, res.Message, "not run: ")
	assert.Zero(t, ran)
	assert.Equal(t, gwoutcome.Answered, ask(1<<10).Event, "a small one needs none")
	other.Release()
	assert.Equal(t, gwoutcome.Answered, ask(1<<20).Event)
	assert.Equal(t, 2, ran)
	assert.Eventually(t, func() bool { return budget.Peers.Used() == 0 }, 10*time.Second, time.Millisecond, "given back")
}

// Guards against a text that changes between two instances, in a request or in its answer.
func TestForwardedBytesAreExact(t *testing.T) {
	var all []byte
	for c := range 256 {
		all = append(all, byte(c))
	}
	var got gwbackend.Request
	var answer []byte
	st := startPeers(t, func(req gwbackend.Request, sink gwbackend.Sink) (gwbackend.Result, error) {
		got = req
		_, err := sink.Write(answer)
		return gwbackend.Result{Sent: true, Complete: true, TxStatus: 'I'}, err
	})
	r := NewRemoteSession(st)
	for _, text := range []string{"", "\r", "\n", "\x00", "\xff\xfe", string(all), strings.Repeat("\xff", 1<<20)} {
		want := gwbackend.Request{
			Prepared:  []gwbackend.PreparedStatement{{Name: "n" + text, SQL: text}},
			Statement: &gwbackend.StatementRequest{ID: text + "i", Text: text, Variables: []gwbackend.SessionVariable{{Name: text, Value: text + "v"}}},
		}
		answer = []byte("row" + text)
		var out bytes.Buffer
		res := r.Exec(t.Context(), &Request{Server: "s", Class: "k", Access: Read, SkipChecks: true, Timeout: time.Minute, Request: want}, &out)
		require.Equal(t, gwoutcome.Answered, res.Event, "%.20q: %s", text, res.Message)
		got.Messages = nil
		assert.Equal(t, want, got, "%.20q", text)
		assert.True(t, bytes.Equal(answer, out.Bytes()), "%.20q", text)
	}
}

// Guards against a result that an instance of another release cannot use: an event that it
// does not know ended the session of its caller.
func TestResultsBetweenReleases(t *testing.T) {
	const lastKnown = gwoutcome.FreshnessUnknown // of the last release
	for e := gwoutcome.Answered; e.Known(); e++ {
		r := failed(e, "x")
		wire := r.toWire()
		assert.LessOrEqual(t, wire.Event, lastKnown, "%s", e)
		assert.Equal(t, gwoutcome.CountsAsFailure(e), gwoutcome.CountsAsFailure(wire.Event), "%s", e)
		assert.IsType(t, gwoutcome.Of(e, gwbackend.Report{}.Position), gwoutcome.Of(wire.Event, gwbackend.Report{}.Position), "%s", e)
		assert.Equal(t, r, wire.fromWire(), "%s", e)
	}
	later := Result{Event: 1000, TxStatus: 'I'}.fromWire()
	assert.Equal(t, gwoutcome.PeerBroken, later.Event, "it may have run")
}

// Guards against a request or a result that another instance decodes with other texts.
func FuzzPeerMessages(f *testing.F) {
	for _, text := range []string{"", "a", "\r\n", "\x00", "\xff\xfe", "a\xe2\x82"} {
		f.Add(text, text+"i", "n"+text, uint64(7))
	}
	f.Fuzz(func(t *testing.T, a, b, c string, n uint64) {
		position := gwsession.Position{Term: n, Offset: n + 1}
		req := Request{
			Group: a, Server: b, Class: c, Access: Write, Position: position, Timeout: time.Second, Key: a,
			Request: gwbackend.Request{
				Messages: []byte(b), Prepared: []gwbackend.PreparedStatement{{Name: a, SQL: b, ParameterOIDs: []uint32{uint32(n)}}, {Name: c}},
				Statement: &gwbackend.StatementRequest{ID: a, Text: b, After: position, Variables: []gwbackend.SessionVariable{{Name: b, Value: c}, {Name: c}}},
			},
		}
		data, err := gwpeer.Marshal(req)
		require.NoError(t, err)
		var got Request
		require.NoError(t, gwpeer.Unmarshal(data, &got))
		require.Equal(t, req, got)

		res := Result{Event: gwoutcome.TimedOut, State: a, Message: b, TxStatus: 'I', Position: position, SQLError: c, Tag: a}
		data, err = gwpeer.Marshal(res)
		require.NoError(t, err)
		var gotResult Result
		require.NoError(t, gwpeer.Unmarshal(data, &gotResult))
		require.Equal(t, res, gotResult)
	})
}
