package gwwire

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
)

// fakeServer is a backend server that responds to every statement with one row that
// contains the SQL of the statement. It also implements BEGIN, COMMIT, ROLLBACK, "fail"
// (returns an error) and "wait" (blocks until canceled).
type fakeServer struct {
	listener net.Listener
	mu       sync.Mutex
	parses   int
	cancels  chan struct{}
}

func startFake(t testing.TB) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeServer{listener: l, cancels: make(chan struct{}, 1)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(nc)
		}
	}()
	return f
}

func (f *fakeServer) dial(t testing.TB) *gwbackend.Conn {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c, err := gwbackend.Dial(ctx, gwbackend.Options{Address: f.listener.Addr().String(), User: "u", Database: "d"})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

type fakeSession struct {
	*fakeServer
	be         *pgproto3.Backend
	statements map[string]string
	portal     string
	tx         byte
	failed     bool
}

func (f *fakeServer) serve(nc net.Conn) {
	defer nc.Close()
	s := &fakeSession{fakeServer: f, be: pgproto3.NewBackend(nc, nc), statements: map[string]string{}, tx: 'I'}
	start, err := s.be.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if _, ok := start.(*pgproto3.CancelRequest); ok {
		f.cancels <- struct{}{}
		return
	}
	s.be.Send(&pgproto3.AuthenticationOk{})
	s.be.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for s.be.Flush() == nil {
		m, err := s.be.Receive()
		if err != nil {
			return
		}
		s.message(m)
	}
}

func (s *fakeSession) message(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Query:
		s.run(m.String, true)
		s.failed = false
		s.be.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx})
	case *pgproto3.Sync:
		s.failed = false
		s.be.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx})
	default:
		if !s.failed {
			s.extended(m)
		}
	}
}

var fakeColumns = &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("sql"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}

func (s *fakeSession) extended(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		s.mu.Lock()
		s.parses++
		s.mu.Unlock()
		if _, ok := s.statements[m.Name]; ok {
			s.error("42P05", "prepared statement already exists")
			return
		}
		if strings.HasPrefix(m.Query, "syntax") {
			s.error("42601", "syntax error")
			return
		}
		s.statements[m.Name] = m.Query
		s.be.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := s.statements[m.PreparedStatement]
		if !ok {
			s.error("26000", "prepared statement does not exist")
			return
		}
		s.portal = sql
		s.be.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			s.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: []uint32{25}[:strings.Count(s.statements[m.Name], "$1")]})
		}
		s.be.Send(fakeColumns)
	case *pgproto3.Execute:
		s.run(s.portal, false)
	case *pgproto3.Close:
		delete(s.statements, m.Name)
		s.be.Send(&pgproto3.CloseComplete{})
	}
}

func (s *fakeSession) run(sql string, describe bool) {
	tag := "SELECT 1"
	switch strings.ToUpper(sql) {
	case "BEGIN":
		s.tx, tag = 'T', "BEGIN"
	case "COMMIT", "ROLLBACK":
		s.tx, tag = 'I', strings.ToUpper(sql)
	case "FAIL":
		s.error("22012", "division by zero")
		return
	case "WAIT":
		<-s.cancels
		s.error("57014", "canceling statement due to user request")
		return
	default:
		if describe {
			s.be.Send(fakeColumns)
		}
		s.be.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(sql)}})
	}
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (s *fakeSession) error(code, message string) {
	s.failed = true
	if s.tx == 'T' {
		s.tx = 'E'
	}
	s.be.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
}
