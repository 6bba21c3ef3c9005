package gwwire

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"gentianward.example/gentianward/internal/gwbackend"
)

func conns(c ...*gwbackend.Conn) []*gwbackend.Conn { return c }

// forwarder is a CancelForwarder that sends the keys to a channel.
type forwarder chan CancelKey

func (f forwarder) ForwardCancel(_ context.Context, key CancelKey) { f <- key }

// Guards against cancel requests that do not reach their session, on this instance or on
// another one.
func TestCancel(t *testing.T) {
	f := startFake(t)
	s := serve(t, Options{Handler: &proxy{conns: conns(f.dial(t))}, CancelPrefix: 7})
	other := serve(t, Options{Handler: echo{}, CancelForwarder: forwarder(make(chan CancelKey, 1))})
	c := connect(t, s.url("u"))
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "wait", pgx.QueryExecModeSimpleProtocol)
		done <- err
	}()
	require.Eventually(t, func() bool { return s.Stats().Requests == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, uint16(7), CancelKey{ProcessID: c.PgConn().PID()}.Prefix())
	require.NoError(t, c.PgConn().CancelRequest(t.Context()))
	require.Equal(t, "57014", codeOf(<-done))

	otherConn := connect(t, other.url("u")).PgConn()
	h, err := otherConn.Hijack()
	require.NoError(t, err)
	h.SecretKey[0]++
	h.PID = 0x00070001
	again, err := pgconn.Construct(h)
	require.NoError(t, err)
	require.NoError(t, again.CancelRequest(t.Context()))
	require.Equal(t, uint16(7), (<-other.options.CancelForwarder.(forwarder)).Prefix())
	require.NoError(t, again.Close(t.Context()))
}

// Guards against a drain that aborts a request or a transaction, waits for idle
// sessions, or never ends.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, Options{Handler: echo{handle: func(ctx context.Context, req Request, w ResponseWriter) error {
		status := byte('I')
		switch req.SQL {
		case "begin":
			status = 'T'
		case "slow":
			<-release
		case "stuck":
			<-ctx.Done()
			return ctx.Err()
		}
		w.Complete(req, "SET", status)
		return nil
	}}})
	idle, busy, open, stuck := connect(t, s.url("u")), connect(t, s.url("u")), connect(t, s.url("u")), connect(t, s.url("u"))
	exec := func(c *pgx.Conn, sql string) error {
		_, err := c.Exec(context.Background(), sql, pgx.QueryExecModeSimpleProtocol)
		return err
	}
	require.NoError(t, exec(open, "begin"))
	slowErr, stuckErr := make(chan error, 1), make(chan error, 1)
	go func() { slowErr <- exec(busy, "slow") }()
	go func() { stuckErr <- exec(stuck, "stuck") }()
	require.Eventually(t, func() bool { return s.Stats().Requests == 3 }, 5*time.Second, time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(ctx) }()
	require.Eventually(t, func() bool { return s.Stats().Open == 3 }, 5*time.Second, time.Millisecond, "idle session ends")
	require.Error(t, exec(idle, "x"))
	_, err := pgx.Connect(t.Context(), s.url("u"))
	require.Error(t, err, "no longer accepted")
	close(release)
	require.NoError(t, <-slowErr)
	require.NoError(t, exec(open, "x in transaction"), "the transaction continues")
	require.Eventually(t, func() bool { return s.Stats().Open == 1 }, 5*time.Second, time.Millisecond, "ends after the transaction")
	cancel()
	require.ErrorIs(t, <-drained, context.Canceled)
	require.Error(t, <-stuckErr)
	require.Zero(t, s.Stats().Open)
}

// Guards against a drain that ends an idle session without sending the reason.
func TestDrainSendsReason(t *testing.T) {
	s := serve(t, Options{Handler: echo{}})
	r := rawConnect(t, s)
	require.NoError(t, s.Drain(t.Context()))
	require.Equal(t, "E57P01!", r.receive('!'))
}

// Guards against a drain that waits indefinitely for the rest of a partially received
// message.
func TestDrainPartialMessage(t *testing.T) {
	s := serve(t, Options{Handler: echo{}})
	r := rawConnect(t, s)
	_, err := r.nc.Write([]byte("Q\x00\x00\x00\x20half"))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, s.Drain(ctx), context.DeadlineExceeded)
	require.Equal(t, "E57P01!", r.receive('!'))
}

// Guards against idle transactions that stay open indefinitely.
func TestIdleTransaction(t *testing.T) {
	s := serve(t, Options{Handler: echo{}, Limits: Limits{IdleTransaction: 30 * time.Millisecond}})
	r := rawConnect(t, s)
	r.send(&pgproto3.Query{String: "x"})
	require.Equal(t, "CZ", r.receive('Z'))
	time.Sleep(60 * time.Millisecond) // outside of a transaction there is no timeout
	r.send(&pgproto3.Query{String: "begin"})
	require.Equal(t, "CZ", r.receive('Z'))
	require.Equal(t, "E25P03!", r.receive('!'))
}

// Guards against handlers whose missing or malformed responses leave the caller waiting
// or out of step with the protocol.
func TestHandlerResponses(t *testing.T) {
	row, err := (&pgproto3.DataRow{Values: [][]byte{[]byte("value")}}).Encode(nil)
	require.NoError(t, err)
	refusal := &pgconn.PgError{Code: "25006", Message: "read-only"}
	tests := []struct {
		name   string
		handle func(w ResponseWriter) error
		want   string
	}{
		{"nothing", func(ResponseWriter) error { return nil }, "EXX000Z"},
		{"error", func(w ResponseWriter) error { w.Error(refusal, 'I'); return nil }, "E25006Z"},
		{"parameter after the answer", func(w ResponseWriter) error {
			_, _ = w.Write([]byte("C\x00\x00\x00\x06x\x00Z\x00\x00\x00\x05I"))
			w.ParameterStatus(SessionTokenParameter, "token")
			return nil
		}, "CSZ"},
		{"discarded", func(w ResponseWriter) error {
			_, _ = w.Write(row[:3])
			if !w.Discard() {
				return errors.New("cannot discard")
			}
			w.Error(refusal, 'I')
			return nil
		}, "E25006Z"},
		{"empty query", func(w ResponseWriter) error { w.Complete(Request{Kind: Simple}, "", 'I'); return nil }, "IZ"},
		{"fatal", func(ResponseWriter) error { return Fatal("57P01", "stop") }, "E57P01!"},
		{"part of a message", func(w ResponseWriter) error { _, _ = w.Write(row[:len(row)-2]); return nil }, "!"},
		{"error within a message", func(w ResponseWriter) error {
			_, _ = w.Write(row[:7])
			w.Error(refusal, 'I')
			return nil
		}, "!"},
	}
	for _, tt := range tests {
		s := serve(t, Options{Handler: echo{handle: func(_ context.Context, _ Request, w ResponseWriter) error { return tt.handle(w) }}})
		r := rawConnect(t, s)
		r.send(&pgproto3.Query{String: "x"})
		require.Equal(t, tt.want, r.receive(tt.want[len(tt.want)-1]), tt.name)
	}
}

// panickingHandler panics when a session is opened on the database "bad".
type panickingHandler struct{ echo }

func (h panickingHandler) Authenticate(ctx context.Context, s Startup) (Session, error) {
	if s.Database == "bad" {
		panic("unexpected startup")
	}
	return h.echo.Authenticate(ctx, s)
}

// Guards against a panic in one session, during its start or a request, that ends the
// process or keeps the session counted as open.
func TestServerSurvivesPanic(t *testing.T) {
	var log logBuffer
	s := serve(t, Options{Logger: log.logger(), Handler: panickingHandler{echo{handle: func(context.Context, Request, ResponseWriter) error { panic("unexpected request") }}}})
	r := rawConnect(t, s)
	r.send(&pgproto3.Query{String: "x"})
	require.Equal(t, "EXX000!", r.receive('!'))
	_, err := pgx.Connect(t.Context(), fmt.Sprintf("postgres://u@%s/bad?sslmode=disable", s.Address()))
	require.Error(t, err)
	require.Eventually(t, func() bool { return s.Stats().Open == 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, 2, strings.Count(strings.Join(log.lines(), ""), "session ended by a panic"))
}

// recorder is a net.Conn that records the output.
type recorder struct {
	discardConn
	got []byte
}

func (r *recorder) Write(p []byte) (int, error) {
	r.got = append(r.got, p...)
	return len(p), nil
}

// Guards against responses whose bytes depend on how the handler divides them into
// writes.
func TestResponderSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want, all []byte
		for _, size := range rapid.SliceOfN(rapid.IntRange(0, 3*pooledBufferBytes), 0, 8).Draw(t, "sizes") {
			b, err := (&pgproto3.DataRow{Values: [][]byte{make([]byte, size)}}).Encode(nil)
			require.NoError(t, err)
			all = append(all, b...)
		}
		want = append(want, all...)
		all = append(all, "Z\x00\x00\x00\x05T"...)
		r := &recorder{}
		w := &responder{nc: r, timeout: time.Second}
		w.reset()
		for rest := all; len(rest) > 0; {
			n := min(len(rest), rapid.IntRange(1, 2*pooledBufferBytes).Draw(t, "write"))
			if rapid.Bool().Draw(t, "short") {
				n = min(n, 3)
			}
			_, err := w.Write(rest[:n])
			require.NoError(t, err)
			rest = rest[n:]
		}
		require.NoError(t, w.release())
		require.Equal(t, byte('T'), w.txStatus)
		require.Equal(t, string(want), string(r.got))
	})
}

// pooledHandler is a Handler that takes a connection from a pool for each request or
// transaction.
type pooledHandler struct{ pool *gwbackend.Pool }

type pooledSession struct {
	pool *gwbackend.Pool
	conn gwbackend.Connection
}

func (p pooledHandler) Authenticate(context.Context, Startup) (Session, error) {
	return &pooledSession{pool: p.pool}, nil
}

func (s *pooledSession) Handle(ctx context.Context, req Request, w ResponseWriter) error {
	if s.conn == nil {
		c, err := s.pool.Acquire(ctx)
		if err != nil {
			return err
		}
		s.conn = c
	}
	res, err := s.conn.Exchange(ctx, req.BackendRequest(), w)
	if res.TxStatus != 'T' {
		s.Close()
	}
	return err
}

func (s *pooledSession) Close() {
	if s.conn != nil {
		s.pool.Release(s.conn, true)
		s.conn = nil
	}
}

// Guards against a caller that receives the response to another caller's request, and
// against transactions that are interleaved on one backend connection, while other
// callers get errors and disconnect inside transactions.
func TestConcurrentCallers(t *testing.T) {
	f := startFake(t)
	pool := gwbackend.NewPool(gwbackend.PoolOptions{
		Options: gwbackend.Options{Address: f.listener.Addr().String(), User: "u", Database: "d", MaxStatements: 8}, Limit: 5, MinIdle: 1,
	})
	s := serve(t, Options{Handler: pooledHandler{pool}})
	var g errgroup.Group
	for caller := range 12 {
		g.Go(func() error {
			for round := range 4 {
				if err := runCaller(s.url("u"), caller, round); err != nil {
					return err
				}
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	require.NoError(t, s.Drain(t.Context()))
	require.NoError(t, pool.Close(t.Context()))
}

// runCaller opens a session, runs statements, failing ones and a transaction in different
// query modes, and checks the results.
func runCaller(url string, caller, round int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	modes := []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol}
	check := func(q interface {
		QueryRow(ctx context.Context, sql string, args ...any) pgx.Row
	}, n int,
	) error {
		want, got := fmt.Sprintf("select %d.%d.%d", caller, round, n%20), ""
		if err := q.QueryRow(ctx, want, modes[n%len(modes)]).Scan(&got); err != nil || got != want {
			return fmt.Errorf("caller %d got %q for %q: %w", caller, got, want, err)
		}
		return nil
	}
	for n := range 30 {
		if err := check(c, n); err != nil {
			return err
		}
		if _, err := c.Exec(ctx, "fail", modes[n%len(modes)]); codeOf(err) != "22012" {
			return fmt.Errorf("caller %d: %w", caller, err)
		}
	}
	tx, err := c.Begin(ctx)
	if err != nil {
		return err
	}
	for n := range 5 {
		if err := check(tx, n); err != nil {
			return err
		}
	}
	if caller%3 == 0 {
		return c.Close(ctx) // disconnects inside the transaction
	}
	return tx.Commit(ctx)
}

// Guards against a caller that does not read its response and thereby holds its request
// and the backend connection indefinitely.
func TestSlowCaller(t *testing.T) {
	row, err := (&pgproto3.DataRow{Values: [][]byte{make([]byte, 1<<20)}}).Encode(nil)
	require.NoError(t, err)
	ended := make(chan error, 1)
	s := serve(t, Options{Limits: Limits{WriteTimeout: 50 * time.Millisecond}, Handler: echo{handle: func(_ context.Context, _ Request, w ResponseWriter) error {
		for {
			if _, err := w.Write(row); err != nil {
				ended <- err
				return err
			}
		}
	}}})
	r := rawConnect(t, s)
	r.send(&pgproto3.Query{String: "x"})
	require.ErrorIs(t, <-ended, os.ErrDeadlineExceeded)
	require.Eventually(t, func() bool { return s.Stats().Open == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against requests that continue after their callers have disconnected.
func TestCallerDisconnected(t *testing.T) {
	ended := make(chan error, 2)
	s := serve(t, Options{Handler: echo{handle: func(ctx context.Context, _ Request, _ ResponseWriter) error {
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return ctx.Err()
	}}})
	connected, disconnecting := rawConnect(t, s), rawConnect(t, s)
	connected.send(&pgproto3.Query{String: "x"})
	disconnecting.send(&pgproto3.Query{String: "x"})
	require.NoError(t, disconnecting.nc.Close())
	require.ErrorIs(t, <-ended, ErrCallerDisconnected)
	require.Eventually(t, func() bool { return s.Stats().Open == 1 }, 5*time.Second, time.Millisecond)
	require.Empty(t, ended, "the request of the connected caller continues")
}

// Guards against a gwbackend that cannot connect over TLS or with a password. A Server of
// this package serves as the backend server.
func TestBackendTLS(t *testing.T) {
	verifier, err := NewVerifier("geheim")
	require.NoError(t, err)
	s := serve(t, Options{TLS: selfSigned(t), Handler: echo{}, LookupCredential: func(context.Context, Startup) (Credential, bool, error) {
		return Credential{Verifier: verifier.String()}, true, nil
	}})
	o := gwbackend.Options{
		Address: s.Address().String(), User: "u", Password: "geheim", Database: "d", TLS: &tls.Config{InsecureSkipVerify: true},
	}
	c, err := gwbackend.Dial(t.Context(), o)
	require.NoError(t, err)
	defer c.Close()
	res, err := c.Exchange(t.Context(), gwbackend.Query("x"), nil)
	require.NoError(t, err)
	require.Equal(t, []string{"SET"}, res.CommandTags)
	o.Password = "secret"
	_, err = gwbackend.Dial(t.Context(), o)
	require.Equal(t, gwbackend.KindNotSent, gwbackend.KindOf(err))
	require.Equal(t, "28P01", gwbackend.ServerError(err).Code)
}
