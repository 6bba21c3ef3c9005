package gwbackend

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeServer is a scripted database server. It keeps prepared statements as
// PostgreSQL does and answers each statement with one row that holds its SQL, unless
// the test gives a handler for the SQL.
type fakeServer struct {
	listener     net.Listener
	handlers     map[string]func(s *fakeSession)
	connectDelay time.Duration // before each session starts

	mu           sync.Mutex
	log          []string // received messages: type and name or SQL
	sessions     []*fakeSession
	peakSessions int // highest number of sessions at once
	canceled     chan struct{}
	wg           sync.WaitGroup
}

type fakeSession struct {
	f          *fakeServer
	nc         net.Conn
	be         *pgproto3.Backend
	statements map[string]string
	portal     string
	txStatus   byte
	failed     bool
}

func startFake(t testing.TB, handlers map[string]func(s *fakeSession)) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeServer{listener: l, handlers: handlers, canceled: make(chan struct{}, 8)}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			f.wg.Add(1)
			go f.serve(nc)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		f.eachSession(func(s *fakeSession) { _ = s.nc.Close() })
		f.wg.Wait()
	})
	return f
}

func (f *fakeServer) options() Options {
	return Options{Address: f.listener.Addr().String(), User: "u", Database: "d"}
}

func (f *fakeServer) eachSession(fn func(*fakeSession)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sessions {
		fn(s)
	}
}

// takeLog returns the messages received since the last call.
func (f *fakeServer) takeLog() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	log := f.log
	f.log = nil
	return log
}

func (f *fakeServer) serve(nc net.Conn) {
	defer f.wg.Done()
	defer nc.Close()
	s := &fakeSession{f: f, nc: nc, be: pgproto3.NewBackend(nc, nc), statements: map[string]string{}, txStatus: 'I'}
	m, err := s.be.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if _, ok := m.(*pgproto3.CancelRequest); ok {
		f.canceled <- struct{}{}
		return
	}
	time.Sleep(f.connectDelay)
	f.mu.Lock()
	f.sessions = append(f.sessions, s)
	f.peakSessions = max(f.peakSessions, len(f.sessions))
	f.mu.Unlock()
	s.send(&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{SecretKey: make([]byte, 4)}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
		&pgproto3.ParameterStatus{Name: positionParameter, Value: "1/1"}) // follows ReadyForQuery in one packet
	for s.be.Flush() == nil {
		if m, err = s.be.Receive(); err != nil {
			break
		}
		s.handle(m)
	}
	f.mu.Lock()
	for i := range f.sessions {
		if f.sessions[i] == s {
			f.sessions = append(f.sessions[:i], f.sessions[i+1:]...)
			break
		}
	}
	f.mu.Unlock()
}

func (s *fakeSession) send(messages ...pgproto3.BackendMessage) {
	for _, m := range messages {
		s.be.Send(m)
	}
}

// sendUnsolicited sends a message outside of any answer to all sessions.
func (f *fakeServer) sendUnsolicited(t testing.TB, m pgproto3.BackendMessage) {
	b, err := m.Encode(nil)
	require.NoError(t, err)
	f.eachSession(func(s *fakeSession) { _, _ = s.nc.Write(b) })
}

func (s *fakeSession) sendError(severity, code, message string) {
	s.failed = true
	s.send(&pgproto3.ErrorResponse{Severity: severity, Code: code, Message: message})
}

func (s *fakeSession) row(columns, values string) {
	d, r := &pgproto3.RowDescription{}, &pgproto3.DataRow{}
	for _, name := range strings.Fields(columns) {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: 25})
	}
	for _, v := range strings.Fields(values) {
		r.Values = append(r.Values, []byte(v))
	}
	s.send(d, r, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

func (s *fakeSession) logMessage(parts ...string) {
	s.f.mu.Lock()
	s.f.log = append(s.f.log, strings.Join(parts, " "))
	s.f.mu.Unlock()
}

func (s *fakeSession) handle(m pgproto3.FrontendMessage) {
	_, sync := m.(*pgproto3.Sync)
	if s.failed && !sync {
		return
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		s.logMessage("query", m.String)
		s.run(m.String)
		s.failed = false
		s.send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus})
	case *pgproto3.Sync:
		s.failed = false
		s.send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus})
	case *pgproto3.Parse:
		s.logMessage("parse", m.Query)
		if _, ok := s.statements[m.Name]; ok || m.Query == "bad" {
			s.sendError("ERROR", "42P05", "already exists or bad")
			return
		}
		s.statements[m.Name] = m.Query
		s.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := s.statements[m.PreparedStatement]
		if !ok {
			s.sendError("ERROR", "26000", "does not exist")
			return
		}
		s.portal = sql
		s.send(&pgproto3.BindComplete{})
	case *pgproto3.Execute:
		s.run(s.portal)
	case *pgproto3.Close:
		delete(s.statements, m.Name)
		s.send(&pgproto3.CloseComplete{})
	}
}

func (s *fakeSession) run(sql string) {
	if fn, ok := s.f.handlers[sql]; ok {
		fn(s)
		return
	}
	switch sql {
	case "BEGIN":
		s.txStatus = 'T'
		s.send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
	case "ROLLBACK", "COMMIT":
		s.txStatus = 'I'
		s.send(&pgproto3.CommandComplete{CommandTag: []byte(sql)})
	default:
		s.row("sql", strings.ReplaceAll(sql, " ", "_"))
	}
}

func timeoutContext(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func (f *fakeServer) dial(t testing.TB) *Conn {
	c, err := Dial(timeoutContext(t, 5*time.Second), f.options())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}
