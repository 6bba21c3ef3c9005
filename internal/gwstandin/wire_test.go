package gwstandin

import (
	"context"
	"database/sql"
	"math"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	_ "github.com/jackc/pgx/v5/stdlib"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against values that change when pgx's default protocol transfers them, with
// described types, binary results and inferred parameters.
func TestValues(t *testing.T) {
	conn := connect(t, startServer(t, Options{}))
	assert.Equal(t, "CREATE TABLE", exec(t, conn, "create table v (id integer primary key, f real, s text, b blob, ok boolean)"))
	assert.Equal(t, "INSERT 0 1", exec(t, conn, "insert into v values ($1, $2, $3, $4, $5::bool)", 7, 1.5, "007", []byte{0, 255}, true))

	var id int64
	var f float64
	var s string
	var b []byte
	var ok bool
	row := conn.QueryRow(testContext(t), "select id, f, s, b, ok from v where ok and id + 1 <= $1", 8)
	require.NoError(t, row.Scan(&id, &f, &s, &b, &ok))
	assert.Equal(t, []any{int64(7), 1.5, "007", []byte{0, 255}, true}, []any{id, f, s, b, ok})

	assert.Equal(t, int64(1), query[int64](t, conn, "select count(*) from v"))
	assert.Nil(t, query[*string](t, conn, "select null"))
	assert.Equal(t, "x", query[string](t, conn, "select $2 || $1", "", "x"))
	assert.Equal(t, int64(8), query[int64](t, conn, "insert into v (s) values ('a') returning id"))
	assert.Equal(t, "UPDATE 2", exec(t, conn, "update v set f = 2"))
}

// Guards against database/sql or the simple protocol failing where pgx's
// default protocol works.
func TestClients(t *testing.T) {
	s := startServer(t, Options{})
	db, err := sql.Open("pgx", "postgres://test@"+s.Address()+"/db")
	require.NoError(t, err)
	defer db.Close()
	require.NoError(t, db.Ping())
	_, err = db.Exec("create table v (id integer primary key, s text); insert into v values (1, 'a;b'); insert into v values (2, 'c')")
	require.NoError(t, err)
	tx, err := db.Begin()
	require.NoError(t, err)
	_, err = tx.Exec("update v set s = $1 where id = $2", "d", 1)
	require.NoError(t, err)
	require.NoError(t, tx.Commit())
	var got string
	require.NoError(t, db.QueryRow("select s from v where id = $1", 1).Scan(&got))
	assert.Equal(t, "d", got)

	conn := connect(t, s)
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec, pgx.QueryExecModeDescribeExec, pgx.QueryExecModeCacheDescribe,
	} {
		assert.Equal(t, int64(2), query[int64](t, conn, "select id from v where s = $1", mode, "c"), mode.String())
	}
}

// Guards against statements that are skipped, repeated or split because of comments,
// empty statements or quoted semicolons.
func TestStatementBoundaries(t *testing.T) {
	conn := connect(t, startServer(t, Options{}))
	exec(t, conn, "create table v (s text)")
	tests := []struct {
		sql  string
		want string // last command tag
	}{
		{"", ""},
		{" ; -- none\n;", ""},
		{"/* a;b */ begin; commit -- c;d", "COMMIT"},
		{"/* requestKey=1 */ insert into v values ('a;b'); -- end", "INSERT 0 1"},
		{"insert into v values ('c'); select * from v; /* end; */", "SELECT 2"},
		{"create trigger r after insert on v begin delete from v; delete from v; end; delete from v", "DELETE 2"},
		{"set x = 1; show timezone; discard all", "DISCARD"},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.want, exec(t, conn, tt.sql, pgx.QueryExecModeSimpleProtocol), tt.sql)
	}
	assert.Equal(t, "UPDATE 0", exec(t, conn, "update v set s = $1; -- end", "x"))
	_, err := conn.Exec(testContext(t), "update v set s = $1; delete from v", "x")
	assert.Equal(t, stateSyntax, sqlState(t, err))
}

// Guards against undeclared parameters whose text changes or that compare wrongly
// with numbers.
func TestInferValue(t *testing.T) {
	tests := []struct {
		in   string
		want any
	}{
		{"", ""},
		{"12", int64(12)},
		{"-3", int64(-3)},
		{"007", "007"},
		{"-0", "-0"},
		{"1e3", "1e3"},
		{"1.5", 1.5},
		{"1.50", "1.50"},
		{"9223372036854775808", "9223372036854775808"},
		{`\x00ff`, []byte{0, 255}},
		{`\xzz`, `\xzz`},
		{"2026-12-04", "2026-12-04"},
		{"t", "t"},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.want, inferValue(tt.in), tt.in)
	}
}

// Guards against encodings of values that PostgreSQL clients misread.
func TestEncode(t *testing.T) {
	integer, float := cell{kind: cellInt, i: -2}, cell{kind: cellFloat, f: 1.5}
	text, blob := cell{kind: cellText, b: []byte("1")}, cell{kind: cellBytes, b: []byte{0xab}}
	tests := []struct {
		c      cell
		oid    uint32
		format int16
		want   string
	}{
		{integer, pgtype.Int8OID, formatText, "-2"},
		{integer, pgtype.BoolOID, formatText, "t"},
		{cell{kind: cellInt}, pgtype.BoolOID, formatText, "f"},
		{float, pgtype.Float8OID, formatText, "1.5"},
		{cell{kind: cellFloat, f: 1e6}, oidUnknown, formatText, "1000000"},
		{cell{kind: cellFloat, f: 1e20}, oidUnknown, formatText, "1e+20"},
		{cell{kind: cellFloat, f: math.Inf(-1)}, oidUnknown, formatText, "-Infinity"},
		{blob, pgtype.ByteaOID, formatText, `\xab`},
		{blob, pgtype.TextOID, formatText, `\xab`},
		{integer, pgtype.Int8OID, formatBinary, "\xff\xff\xff\xff\xff\xff\xff\xfe"},
		{text, pgtype.Int8OID, formatBinary, "\x00\x00\x00\x00\x00\x00\x00\x01"},
		{float, pgtype.Float8OID, formatBinary, "\x3f\xf8\x00\x00\x00\x00\x00\x00"},
		{text, pgtype.BoolOID, formatBinary, "\x01"},
		{blob, pgtype.ByteaOID, formatBinary, "\xab"},
		{integer, pgtype.TextOID, formatBinary, "-2"},
	}
	for _, tt := range tests {
		got, err := appendValue(nil, tt.c, tt.oid, tt.format)
		require.NoError(t, err)
		assert.Equal(t, tt.want, string(got[4:]), "%v as %d", tt.c, tt.oid)
	}
	_, err := appendValue(nil, float, pgtype.Int8OID, formatBinary)
	assert.Error(t, err)
}

// Guards against declared parameters that are bound with another type.
func TestDecode(t *testing.T) {
	tests := []struct {
		raw    string
		oid    uint32
		format int16
		want   any // nil is an error
	}{
		{"12", pgtype.TextOID, formatText, "12"},
		{"12", pgtype.Int4OID, formatText, int64(12)},
		{"x", pgtype.Int4OID, formatText, nil},
		{"12", pgtype.Float8OID, formatText, 12.0},
		{"t", pgtype.BoolOID, formatText, int64(1)},
		{"x", pgtype.BoolOID, formatText, nil},
		{`\xab`, pgtype.ByteaOID, formatText, []byte{0xab}},
		{"\xff", pgtype.TextOID, formatText, nil},
		{"\xff\xfe", pgtype.Int2OID, formatBinary, int64(-2)},
		{"\xff\xff\xff\xfe", pgtype.Int4OID, formatBinary, int64(-2)},
		{"\x00", pgtype.Int4OID, formatBinary, nil},
		{"\x3f\xf8\x00\x00\x00\x00\x00\x00", pgtype.Float8OID, formatBinary, 1.5},
		{"\x00", pgtype.BoolOID, formatBinary, int64(0)},
		{"a", pgtype.TextOID, formatBinary, "a"},
		{"\xff", oidUnknown, formatBinary, []byte{0xff}},
		{"\x00", pgtype.NumericOID, formatBinary, nil},
	}
	for _, tt := range tests {
		got, err := decodeParameter([]byte(tt.raw), tt.oid, tt.format)
		if tt.want == nil {
			assert.Error(t, err, "%q as %d", tt.raw, tt.oid)
			continue
		}
		assert.Equal(t, tt.want, got, "%q as %d", tt.raw, tt.oid)
	}
}

// Guards against wrong SQLSTATE codes and transaction states, by which callers
// decide whether a statement ran.
func TestErrors(t *testing.T) {
	conn := connect(t, startServer(t, Options{}))
	exec(t, conn, "create table v (id integer primary key, s text not null)")
	exec(t, conn, "insert into v values (1, 'a')")
	tests := []struct{ sql, want string }{
		{"insert into v values (1, 'b')", stateUnique},
		{"insert into v values (2, null)", stateNotNull},
		{"select * from missing", stateUndefinedTable},
		{"select missing from v", stateUndefinedColumn},
		{"selec 1", stateSyntax},
		{"attach 'x' as y", stateNotSupported},
		{"show missing", stateUndefinedObject},
		{"select '\xff'", stateInvalidEncoding},
	}
	for _, tt := range tests {
		_, err := conn.Exec(testContext(t), tt.sql)
		assert.Equal(t, tt.want, sqlState(t, err), tt.sql)
		_, err = conn.Exec(testContext(t), tt.sql, pgx.QueryExecModeCacheDescribe)
		assert.Equal(t, tt.want, sqlState(t, err), tt.sql)
		assert.Equal(t, txIdle, conn.PgConn().TxStatus())
	}

	exec(t, conn, "begin")
	_, err := conn.Exec(testContext(t), "insert into v values (1, 'b')")
	require.Error(t, err)
	assert.Equal(t, txFailed, conn.PgConn().TxStatus())
	_, err = conn.Exec(testContext(t), "select 1")
	assert.Equal(t, stateFailedTransaction, sqlState(t, err))
	assert.Equal(t, "ROLLBACK", exec(t, conn, "commit"))
	assert.Equal(t, txIdle, conn.PgConn().TxStatus())
}

// Guards against reads that see uncommitted writes, that wait for them, or
// that miss committed ones.
func TestIsolation(t *testing.T) {
	s := startServer(t, Options{})
	a, b := connect(t, s), connect(t, s)
	exec(t, a, "create table v (id integer primary key)")
	exec(t, a, "begin")
	exec(t, a, "insert into v values (1)")
	assert.Equal(t, int64(1), query[int64](t, a, "select count(*) from v"))
	assert.Equal(t, int64(0), query[int64](t, b, "select count(*) from v"))
	exec(t, a, "savepoint p")
	exec(t, a, "insert into v values (2)")
	exec(t, a, "rollback to savepoint p")
	exec(t, a, "commit")
	assert.Equal(t, int64(1), query[int64](t, b, "select count(*) from v"))
	exec(t, a, "begin")
	exec(t, a, "delete from v")
	exec(t, a, "rollback")
	assert.Equal(t, int64(1), query[int64](t, b, "select count(*) from v"))

	// The statements of one batch up to Sync are one transaction.
	batch := &pgx.Batch{}
	batch.Queue("insert into v values ($1)", 5)
	batch.Queue("insert into v values ($1)", 1)
	require.Error(t, b.SendBatch(testContext(t), batch).Close())
	assert.Equal(t, int64(1), query[int64](t, a, "select count(*) from v"))
}

// Guards against a position that is missing after a commit, reported before it, or
// counted per statement.
func TestPositionAfterCommit(t *testing.T) {
	s := startServer(t, Options{Term: 3})
	conn := connect(t, s)
	position := func() string { return conn.PgConn().ParameterStatus(positionParameter) }
	exec(t, conn, "create table v (id integer)")
	assert.Equal(t, "3/1", position())
	exec(t, conn, "begin")
	exec(t, conn, "insert into v values ($1)", 1)
	exec(t, conn, "insert into v values ($1)", 2)
	assert.Equal(t, "3/1", position())
	exec(t, conn, "commit")
	assert.Equal(t, "3/2", position())
	query[int64](t, conn, "select count(*) from v")
	exec(t, conn, "begin")
	exec(t, conn, "commit")
	assert.Equal(t, "3/2", position())
	var role, term, offset, previousTermEnd string
	require.NoError(t, conn.QueryRow(testContext(t), "SHOW gentianward.position").Scan(&role, &term, &offset, &previousTermEnd))
	assert.Equal(t, []string{"primary", "3", "2", "0"}, []string{role, term, offset, previousTermEnd})
}

// Guards against rows lost or repeated when a portal is read with several Executes.
func TestPortalSuspension(t *testing.T) {
	conn := connect(t, startServer(t, Options{}))
	exec(t, conn, "create table v (id integer)")
	exec(t, conn, "insert into v values (1), (2), (3)")
	f := conn.PgConn().Frontend()
	f.SendParse(&pgproto3.Parse{Query: "select id from v order by id"})
	f.SendBind(&pgproto3.Bind{})
	f.SendDescribe(&pgproto3.Describe{ObjectType: 'P'})
	for range 3 {
		f.SendExecute(&pgproto3.Execute{MaxRows: 2})
	}
	f.SendClose(&pgproto3.Close{ObjectType: 'P'})
	f.SendExecute(&pgproto3.Execute{})
	f.SendExecute(&pgproto3.Execute{}) // ignored after the error
	f.SendSync(&pgproto3.Sync{})
	require.NoError(t, f.Flush())
	assert.Equal(t, "12TDDsDCC3EZ", receiveTypes(t, f))
}

// Guards against a cancel request that is ignored in one of the places where a
// statement can wait, and against one that also cancels the next statement.
func TestCancel(t *testing.T) {
	s := startServer(t, Options{Slots: 2})
	slow := startServer(t, Options{StatementCost: time.Hour})
	holder := connect(t, s)
	exec(t, holder, "create table v (id integer)")
	exec(t, holder, "begin; insert into v values (1)")
	tests := []struct {
		name   string
		server *Server
		sql    string
	}{
		{"running", s, "with recursive n(i) as (select 1 union all select i + 1 from n) select count(*) from n"},
		{"waiting for the write lock", s, "insert into v values (2)"},
		{"occupying a slot", slow, "select 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn := connect(t, tt.server)
			done := make(chan error, 1)
			go func() {
				_, err := conn.Exec(context.Background(), tt.sql)
				done <- err
			}()
			var err error
			eventually(t, "the statement is canceled", func() bool {
				assert.NoError(t, conn.PgConn().CancelRequest(testContext(t)))
				select {
				case err = <-done:
					return true
				case <-time.After(10 * time.Millisecond):
					return false
				}
			})
			assert.Equal(t, stateQueryCanceled, sqlState(t, err))
			exec(t, conn, "set x = 1")
		})
	}
	exec(t, holder, "commit")
	assert.Equal(t, int64(1), query[int64](t, holder, "select count(*) from v"))
}

// Guards against more clients than the limit, and against closed connections that
// still count.
func TestConnectionLimit(t *testing.T) {
	s := startServer(t, Options{Connections: 1})
	conn := connect(t, s)
	_, err := pgx.Connect(testContext(t), "postgres://test@"+s.Address()+"/db")
	assert.Equal(t, stateTooManyConnections, sqlState(t, err))
	require.NoError(t, conn.Close(testContext(t)))
	eventually(t, "the closed connection no longer counts", func() bool {
		again, err := pgx.Connect(testContext(t), "postgres://test@"+s.Address()+"/db")
		return err == nil && again.Close(testContext(t)) == nil
	})
}

// Guards against statements that run without a slot, and against a deadlock between
// waiting for a slot and waiting for the write lock.
func TestSlots(t *testing.T) {
	const cost, statements = 20 * time.Millisecond, 6
	s := startServer(t, Options{Slots: 2, StatementCost: cost})
	writer := connect(t, s)
	exec(t, writer, "create table v (id integer)")
	exec(t, writer, "begin")
	exec(t, writer, "insert into v values (0)")
	done := make(chan error, statements)
	start := time.Now()
	for i := range statements {
		conn := connect(t, s)
		go func() {
			_, err := conn.Exec(context.Background(), "insert into v values ($1)", i)
			done <- err
		}()
	}
	exec(t, writer, "insert into v values (0)")
	exec(t, writer, "commit")
	for range statements {
		require.NoError(t, <-done)
	}
	assert.GreaterOrEqual(t, time.Since(start), (statements+2)/2*cost)
	assert.Equal(t, int64(statements+2), query[int64](t, writer, "select count(*) from v"))
}
