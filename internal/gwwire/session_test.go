package gwwire

import (
	"context"
	"database/sql"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
)

// proxy is a minimal Handler. It runs the requests of all sessions on the given
// connections in turn, but those of a transaction on the same connection.
type proxy struct {
	mu       sync.Mutex
	conns    []*gwbackend.Conn
	requests []Request // Kind, SQL and Executes of each request
}

type proxySession struct {
	p    *proxy
	conn gwbackend.Connection // of the open transaction
}

func (p *proxy) Authenticate(context.Context, Startup) (Session, error) {
	return &proxySession{p: p}, nil
}

func (s *proxySession) Handle(ctx context.Context, req Request, w ResponseWriter) error {
	p := s.p
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, Request{Kind: req.Kind, SQL: req.SQL, Executes: req.Executes})
	c := s.conn
	if c == nil {
		c = p.conns[len(p.requests)%len(p.conns)]
	}
	res, err := c.Exchange(ctx, req.BackendRequest(), w)
	if err != nil {
		w.Discard()
		w.Error(&pgconn.PgError{Code: "08006", Message: err.Error()}, 'I')
		return nil
	}
	s.conn = nil
	if res.TxStatus != 'I' {
		s.conn = c
	}
	return nil
}

func (s *proxySession) Close() {}

func trustAll(context.Context, Startup) (Credential, bool, error) {
	return Credential{Trust: true}, true, nil
}

func serve(t testing.TB, o Options) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	o.Listener = l
	if o.LookupCredential == nil {
		o.LookupCredential, o.TrustLoopback = trustAll, true
	}
	s, err := Serve(context.Background(), o)
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_ = s.Drain(ctx)
	})
	return s
}

func (s *Server) url(user string) string {
	return fmt.Sprintf("postgres://%s@%s/db?sslmode=disable", user, s.Address())
}

func connect(t testing.TB, url string) *pgx.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, url)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// Guards against a query mode of pgx that fails when consecutive requests run on
// different pooled connections.
func TestQueryModes(t *testing.T) {
	f := startFake(t)
	p := &proxy{conns: []*gwbackend.Conn{f.dial(t), f.dial(t)}}
	s := serve(t, Options{Handler: p})
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	}
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			c := connect(t, s.url("u"))
			for i := range 6 {
				want := fmt.Sprintf("select %d /* %s */", i%2, mode)
				var got string
				require.NoError(t, c.QueryRow(t.Context(), want, mode).Scan(&got))
				require.Equal(t, want, got)
			}
		})
	}
}

// Guards against lost or reordered responses in database/sql, which prepares and closes
// statements, and in transactions.
func TestDatabaseSQL(t *testing.T) {
	f := startFake(t)
	s := serve(t, Options{Handler: &proxy{conns: []*gwbackend.Conn{f.dial(t), f.dial(t)}}})
	db, err := sql.Open("pgx", s.url("u"))
	require.NoError(t, err)
	defer db.Close()
	for range 5 {
		st, err := db.Prepare("select $1")
		require.NoError(t, err)
		var got string
		require.NoError(t, st.QueryRow("x").Scan(&got))
		require.Equal(t, "select $1", got)
		require.NoError(t, st.Close())
		tx, err := db.Begin()
		require.NoError(t, err)
		require.NoError(t, tx.QueryRow("select 2").Scan(&got))
		require.Equal(t, "select 2", got)
		require.NoError(t, tx.Commit())
	}
}
