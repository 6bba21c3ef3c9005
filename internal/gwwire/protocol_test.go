package gwwire

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"math/big"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// logBuffer is a log destination that collects lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) lines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Split(strings.TrimSuffix(l.buf.String(), "\n"), "\n")
}

func (l *logBuffer) logger() *slog.Logger { return slog.New(slog.NewJSONHandler(l, nil)) }

func selfSigned(t testing.TB) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

func codeOf(err error) string {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return pe.Code
	}
	return ""
}

// echo is a Handler whose sessions respond to each request with the command tag SET,
// unless handle is set.
type echo struct {
	started chan Startup
	handle  func(ctx context.Context, req Request, w ResponseWriter) error
}

func (e echo) Authenticate(_ context.Context, s Startup) (Session, error) {
	if e.started != nil {
		e.started <- s
	}
	return e, nil
}

func (e echo) Handle(ctx context.Context, req Request, w ResponseWriter) error {
	if e.handle != nil {
		return e.handle(ctx, req, w)
	}
	status := byte('I')
	if req.SQL == "begin" {
		status = 'T'
	}
	w.Complete(req, "SET", status)
	return nil
}

func (e echo) Close() {}

// Guards against callers that are accepted with a wrong password or refused with the
// right one. The first verifier is that of the example in RFC 7677.
func TestAuthentication(t *testing.T) {
	verifier, err := NewVerifier("geheim")
	require.NoError(t, err)
	credentials := map[string]Credential{
		"user":    {Verifier: "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="},
		"other":   {Verifier: verifier.String()},
		"trusted": {Trust: true},
		"broken":  {Verifier: "md5abc"},
	}
	lookup := func(_ context.Context, s Startup) (Credential, bool, error) {
		c, ok := credentials[s.User]
		return c, ok, nil
	}
	tests := []struct {
		user, password, code string
		trust, tls           bool
	}{
		{user: "user", password: "pencil"},
		{user: "user", password: "pencil", tls: true},
		{user: "other", password: "geheim", tls: true},
		{user: "user", password: "pen", code: "28P01"},
		{user: "nobody", password: "pencil", code: "28P01"},
		{user: "broken", password: "x", code: "28000"},
		{user: "trusted", code: "28000"},
		{user: "trusted", trust: true},
	}
	for _, tt := range tests {
		var log logBuffer
		s := serve(t, Options{Handler: echo{}, LookupCredential: lookup, TrustLoopback: tt.trust, TLS: selfSigned(t), Logger: log.logger()})
		url := "postgres://" + tt.user + ":" + tt.password + "@" + s.Address().String() + "/db?sslmode=disable"
		if tt.tls {
			url = strings.Replace(url, "disable", "require", 1)
		}
		c, err := pgx.Connect(t.Context(), url)
		require.Equal(t, tt.code, codeOf(err), "%+v: %v", tt, err)
		if tt.code == "" {
			require.NoError(t, err)
			_, err = c.Exec(t.Context(), "set x", pgx.QueryExecModeSimpleProtocol)
			require.NoError(t, err)
			require.NoError(t, c.Close(t.Context()))
		} else {
			require.Len(t, log.lines(), 1)
		}
	}
}

// Guards against startup parameters, such as the session token, that do not reach the
// handler.
func TestStartupParameters(t *testing.T) {
	e := echo{started: make(chan Startup, 1)}
	s := serve(t, Options{Handler: e})
	for _, query := range []string{
		"&gentianward.session=a%20b", "&options=-c%20gentianward.session%3Da%5C%20b", "&options=--gentianward.session%3Da%5C%20b",
	} {
		connect(t, s.url("u")+query)
		st := <-e.started
		require.Equal(t, "a b", st.SessionToken(), query)
		require.Equal(t, "u", st.User)
		require.Equal(t, "db", st.Database)
	}
}

// rawConn is a client connection that sends and receives single protocol messages.
type rawConn struct {
	t  testing.TB
	nc net.Conn
	fe *pgproto3.Frontend
}

func rawConnect(t testing.TB, s *Server) *rawConn {
	nc, err := net.Dial("tcp", s.Address().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	r := &rawConn{t: t, nc: nc, fe: pgproto3.NewFrontend(nc, nc)}
	r.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}})
	require.True(t, strings.HasSuffix(r.receive('Z'), "KZ"))
	return r
}

func (r *rawConn) send(messages ...pgproto3.FrontendMessage) {
	for _, m := range messages {
		r.fe.Send(m)
	}
	require.NoError(r.t, r.fe.Flush())
}

// receive returns the types of the messages up to and including one of type until. An
// error message is followed by its SQLSTATE, and "!" stands for the end of the connection.
func (r *rawConn) receive(until byte) string {
	var types strings.Builder
	for {
		m, err := r.fe.Receive()
		if err != nil {
			return types.String() + "!"
		}
		b, err := m.Encode(nil)
		require.NoError(r.t, err)
		types.WriteByte(b[0])
		if e, ok := m.(*pgproto3.ErrorResponse); ok {
			types.WriteString(e.Code)
		}
		if b[0] == until {
			return types.String()
		}
	}
}

// Guards against missing, superfluous or reordered responses to the messages of a batch,
// in the sequences that drivers send.
func TestBatches(t *testing.T) {
	f := startFake(t)
	s := serve(t, Options{Handler: &proxy{conns: conns(f.dial(t), f.dial(t))}})
	r := rawConnect(t, s)
	parse := func(name, sql string) pgproto3.FrontendMessage { return &pgproto3.Parse{Name: name, Query: sql} }
	bind := func(name string) pgproto3.FrontendMessage { return &pgproto3.Bind{PreparedStatement: name} }
	run, sync, flush := &pgproto3.Execute{}, &pgproto3.Sync{}, &pgproto3.Flush{}
	closing := func(name string) pgproto3.FrontendMessage { return &pgproto3.Close{ObjectType: 'S', Name: name} }
	describe := &pgproto3.Describe{ObjectType: 'S', Name: "a"}
	steps := []struct {
		name string
		send []pgproto3.FrontendMessage
		want []string
	}{
		{"sync alone", list(sync), responses("Z")},
		{"parse, then bind in the next batch", list(parse("", "q"), sync, bind(""), run, sync), responses("1Z", "2DCZ")},
		{"two statements in a pipeline", list(parse("a", "x"), bind("a"), run, sync, bind(""), run, bind("a"), run, sync), responses("12DCZ", "2DC2DCZ")},
		{"flush before bind", list(parse("a", "y"), describe, flush), responses("1tT")},
		{"bind after flush", list(bind("a"), run, sync), responses("2DCZ")},
		{"flush after an error", list(parse("b", "syntax"), flush, parse("c", "x"), flush, sync), responses("E42601Z")},
		{"failed parse leaves no name", list(bind("b"), run, sync), responses("E26000Z")},
		{"close alone", list(closing("a"), closing("zz"), sync), responses("33Z")},
		{"closed name", list(bind("a"), run, sync), responses("E26000Z")},
		{"close in order", list(parse("a", "x"), closing("a"), bind(""), run, closing(""), sync), responses("132DC3Z")},
		{"flush in a transaction", list(&pgproto3.Query{String: "begin"}, parse("", "w"), bind(""), run, flush), responses("CZ", "12DC")},
		{"the transaction's end", list(sync, &pgproto3.Query{String: "commit"}), responses("Z", "CZ")},
		{"flush after begin in the batch", list(parse("", "begin"), bind(""), run, parse("", "w"), bind(""), run, flush), responses("12C", "12DC")},
		{"commit in the batch", list(parse("", "commit"), bind(""), run, sync), responses("12CZ")},
		{"flush without sync", list(parse("b", "x"), bind("b"), run, flush), responses("E0A000")},
		{"sync after it", list(sync, bind("b"), sync), responses("Z", "E26000Z")},
		{"deallocate", list(parse("a", "x"), sync, &pgproto3.Query{String: "DEALLOCATE \"a\";"}, bind("a"), sync), responses("1Z", "CZ", "E26000Z")},
		{"deallocate in a batch", list(parse("a", "x"), sync, parse("", "deallocate\ta"), bind(""), run, sync, bind("a"), sync), responses("1Z", "12CZ", "E26000Z")},
		{"deallocate in a transaction", list(parse("a", "x"), sync, &pgproto3.Query{String: "begin"}, parse("", "deallocate all"), bind(""), run, sync, bind("a"), sync, &pgproto3.Query{String: "rollback"}), responses("1Z", "CZ", "12CZ", "E26000Z", "CZ")},
		{"deallocate in a failed transaction, which the server refuses", list(&pgproto3.Query{String: "begin"}, parse("a", "x"), sync, &pgproto3.Query{String: "fail"}, &pgproto3.Query{String: "deallocate a"}, &pgproto3.Query{String: "rollback"}, bind("a"), sync), responses("CZ", "1Z", "E22012Z", "TDCZ", "CZ", "2Z")},
		{"stray copy data", list(&pgproto3.CopyDone{}, sync), responses("Z")},
		{"function call", list(&pgproto3.FunctionCall{}), responses("E0A000Z")},
	}
	for _, step := range steps {
		r.send(step.send...)
		for _, want := range step.want {
			last := want[len(want)-1]
			if last == '0' { // the last digit of an error's SQLSTATE
				last = 'E'
			}
			require.Equal(t, want, r.receive(last), step.name)
		}
	}
}

func list(m ...pgproto3.FrontendMessage) []pgproto3.FrontendMessage { return m }

func responses(a ...string) []string { return a }

// Guards against invalid input that affects other connections, is neither reported nor
// logged, or makes the instance buffer an unlimited amount of data.
func TestBadInput(t *testing.T) {
	startup := "\x00\x00\x00\x10\x00\x03\x00\x00user\x00u\x00\x00"
	startup = string([]byte{0, 0, 0, byte(len(startup))}) + startup[4:]
	tests := []struct{ name, input, code string }{
		{"message length below 4", startup + "Q\x00\x00\x00\x01", "08P01"},
		{"message over the limit", startup + "Q\x7f\x00\x00\x00", "54000"},
		{"batch over the limit", startup + strings.Repeat("P\x00\x00\x03\xf0"+"\x00"+strings.Repeat("x", 1000)+"\x00\x00\x00", 5), "54000"},
		{"unknown message", startup + "y\x00\x00\x00\x04", "08P01"},
		{"query without NUL", startup + "Q\x00\x00\x00\x05x", "08P01"},
		{"parse without types", startup + "P\x00\x00\x00\x06\x00\x00", "08P01"},
		{"bind without names", startup + "B\x00\x00\x00\x04", "08P01"},
		{"describe of nothing", startup + "D\x00\x00\x00\x06x\x00", "08P01"},
		{"old protocol", "\x00\x00\x00\x08\x00\x02\x00\x00", "0A000"},
		{"startup without user", "\x00\x00\x00\x09\x00\x03\x00\x00\x00", "28000"},
		{"replication", "\x00\x00\x00\x21\x00\x03\x00\x00user\x00u\x00replication\x00true\x00\x00", "0A000"},
		{"startup over the limit", "\x00\x01\x00\x00", ""},
		{"HTTP", "GET / HTTP/1.1\r\n\r\n", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var log logBuffer
			s := serve(t, Options{Handler: echo{}, Logger: log.logger(), Limits: Limits{MessageBytes: 4000}})
			nc, err := net.Dial("tcp", s.Address().String())
			require.NoError(t, err)
			defer nc.Close()
			_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
			_, err = nc.Write([]byte(tt.input))
			require.NoError(t, err)
			r := &rawConn{t: t, nc: nc, fe: pgproto3.NewFrontend(nc, nc)}
			got := r.receive('!')
			require.True(t, strings.HasSuffix(got, "!"), "not closed: %s", got)
			if tt.code != "" {
				require.True(t, strings.HasSuffix(got, "E"+tt.code+"!"), got)
			}
			require.Eventually(t, func() bool { return s.Stats().Open == 0 }, 5*time.Second, time.Millisecond)
			require.Len(t, log.lines(), 1)
			require.Contains(t, log.lines()[0], `"kind":"input"`)
			connect(t, s.url("u"))
		})
	}
}

// Guards against an unlimited number of callers, and against a listener that accepts no
// callers after the limit has once been reached.
func TestConnectionLimit(t *testing.T) {
	s := serve(t, Options{Handler: echo{}, Limits: Limits{Connections: 2}})
	first := connect(t, s.url("u"))
	connect(t, s.url("u"))
	_, err := pgx.Connect(t.Context(), s.url("u"))
	require.Equal(t, "53300", codeOf(err), "%v", err)
	require.NoError(t, first.Close(t.Context()))
	require.Eventually(t, func() bool { return s.Stats().Open < 2 }, 5*time.Second, time.Millisecond)
	connect(t, s.url("u"))
}

// Guards against connections that hold resources without ever authenticating.
func TestHandshakeTimeout(t *testing.T) {
	s := serve(t, Options{Handler: echo{}, Limits: Limits{Handshake: 30 * time.Millisecond}})
	nc, err := net.Dial("tcp", s.Address().String())
	require.NoError(t, err)
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = nc.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, context.DeadlineExceeded)
	require.Eventually(t, func() bool { return s.Stats().Open == 0 }, 5*time.Second, time.Millisecond)
}
