package gwstandin

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// hostileTexts are values that a server which trims, splits or unquotes returns changed.
func hostileTexts() []string {
	texts := []string{
		"", " ", "a\r", "\n", "\r\na\r\n", "a\nb", "\t\v\f", "'", "''", `"`, `\`, `\'`, "\\\n", "a;b", "--", "/* */ /*", "$1 $$", "%s%00",
		"é \u00a0\u2028\u0085\ufeff 漢字 🜚", "\x01\x1f\x7f", "NULL", "12", "-0", "007", "1.50", "1e3", " 1", "true", `\x`, `\x41`, `\xAB`, `\xzz`, "{}", "[1]",
		"'); delete from v; --", strings.Repeat("long\r\n'", 20_000),
	}
	rng := rand.New(rand.NewPCG(45, 1))
	for range 50 {
		var b strings.Builder
		for range rng.IntN(40) {
			b.WriteRune([]rune("\r\n\t '\"\\;$x-/*\x01\x7fé漢🜚0")[rng.IntN(18)])
		}
		texts = append(texts, b.String())
	}
	return texts
}

var allModes = []pgx.QueryExecMode{
	pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec, pgx.QueryExecModeDescribeExec, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeCacheStatement,
}

// Guards against a stand-in that returns other values than were written, so that no test
// with it can find such a fault elsewhere.
func TestValuesAreExact(t *testing.T) {
	conn := connect(t, startServer(t, Options{}))
	exec(t, conn, "create table v (id integer primary key, s text, b bytea)")
	for i, text := range hostileTexts() {
		data := text + []string{"", "\x00", "\x00\xff"}[i%3]
		for _, write := range allModes {
			exec(t, conn, "delete from v")
			exec(t, conn, "insert into v (id, s, b) values ($1, $2, $3)", write, i, text, []byte(data))
			for _, read := range allModes {
				var s string
				var b []byte
				row := conn.QueryRow(testContext(t), "select s, b from v where id = $1", read, i)
				require.NoError(t, row.Scan(&s, &b), "%q written by %s", text, write)
				assert.Equal(t, text, s, "written by %s, read by %s", write, read)
				assert.Equal(t, data, string(b), "written by %s, read by %s", write, read)
				if write == read {
					assert.Equal(t, int64(1), query[int64](t, conn, "select count(*) from v where s = $1", read, text), "%q compared by %s", text, read)
				}
			}
			if t.Failed() {
				return
			}
		}
	}
}

// Guards against text of a quoted value or a comment that runs as a statement, and against
// comments that hide one.
func TestQuotedTextIsNoStatement(t *testing.T) {
	conn := connect(t, startServer(t, Options{}))
	exec(t, conn, "create table v (s text)")
	exec(t, conn, "insert into v values ('a')")
	for _, sql := range []string{
		"set x = 'a; delete from v; --'", "set x = 'a--'", "set x = '/*'; select 1", `deallocate "a; delete from v; --"`,
		"/* /* */ ; delete from v; */ select 1", "-- ; delete from v\rselect 1", "begin /* read only */; delete from v; rollback",
		"begin\v;rollback/* to */", "select '--', '/*' -- '\r, 2",
	} {
		_, err := conn.Exec(testContext(t), sql, pgx.QueryExecModeSimpleProtocol)
		assert.NoError(t, err, "sql %q", sql)
		assert.Equal(t, int64(1), query[int64](t, conn, "select count(*) from v"), "sql %q", sql)
	}
	exec(t, conn, "-- a\rinsert into v values ('b')", pgx.QueryExecModeSimpleProtocol)
	exec(t, conn, "/* /* */ */ insert into v values ('c')")
	assert.Equal(t, int64(3), query[int64](t, conn, "select count(*) from v"))
	_, err := conn.Exec(testContext(t), "select 1 /* /* */", pgx.QueryExecModeSimpleProtocol)
	assert.Equal(t, stateSyntax, sqlState(t, err))
}

// Guards against an address or a name that is cut or loses its quotes.
func TestOperandsAreExact(t *testing.T) {
	tests := []struct {
		sql  string
		want []string
	}{
		{"GENTIANWARD\tFOLLOW\n3 'a ''b''; c' ;", []string{"FOLLOW", "3", "'a ''b''; c'"}},
		{`deallocate prepare "A ""b"`, []string{"prepare", `"A ""b"`}},
		{"show gentianward.position;", []string{"gentianward.position"}},
		{"begin read\vonly", []string{"read", "only"}},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.want, operands(tt.sql), "sql %q", tt.sql)
	}
	_, err := connect(t, startServer(t, Options{Role: RoleReplica, Term: 1})).Exec(testContext(t), "GENTIANWARD FOLLOW 2 'a ''b'''", pgx.QueryExecModeSimpleProtocol)
	assert.ErrorContains(t, err, "a 'b'")
}
