package gwstandin

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds every wait of the tests; only failing tests reach it.
const testTimeout = 10 * time.Second

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startServer(t testing.TB, o Options) *Server {
	s, err := Start(testContext(t), o)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Stop(context.Background())) })
	return s
}

// startGroup starts a primary and two replicas.
func startGroup(t testing.TB) (p, r1, r2 *Server) {
	p = startServer(t, Options{Name: "a", Group: "g", Term: 1})
	replica := Options{Name: "b", Group: "g", Role: RoleReplica, PrimaryAddress: p.Address()}
	r1 = startServer(t, replica)
	replica.Name = "c"
	return p, r1, startServer(t, replica)
}

func connect(t testing.TB, s *Server) *pgx.Conn {
	conn, err := pgx.Connect(testContext(t), "postgres://test@"+s.Address()+"/db?sslmode=prefer")
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func exec(t testing.TB, conn *pgx.Conn, sql string, args ...any) string {
	tag, err := conn.Exec(testContext(t), sql, args...)
	require.NoError(t, err, sql)
	return tag.String()
}

func query[T any](t testing.TB, conn *pgx.Conn, sql string, args ...any) T {
	var v T
	require.NoError(t, conn.QueryRow(testContext(t), sql, args...).Scan(&v), sql)
	return v
}

// sqlState returns the SQLSTATE of err.
func sqlState(t testing.TB, err error) string {
	var e *pgconn.PgError
	require.ErrorAs(t, err, &e)
	return e.Code
}

func eventually(t testing.TB, what string, cond func() bool) {
	deadline := time.Now().Add(testTimeout)
	for !cond() {
		require.True(t, time.Now().Before(deadline), what)
		time.Sleep(time.Millisecond)
	}
}

func waitCaughtUp(t testing.TB, from, to *Server) {
	eventually(t, "replica reaches the primary's position", func() bool { return to.Position() == from.Position() })
}

// receiveTypes returns the type bytes of the messages up to ReadyForQuery.
func receiveTypes(t testing.TB, f *pgproto3.Frontend) string {
	types := ""
	for {
		msg, err := f.Receive()
		require.NoError(t, err)
		encoded, err := msg.Encode(nil)
		require.NoError(t, err)
		types += string(encoded[0])
		if encoded[0] == 'Z' {
			return types
		}
	}
}
