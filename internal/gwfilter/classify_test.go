package gwfilter

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against writes that are routed to replicas and reads that are routed to the
// primary because of a wrong classification.
func TestClassify(t *testing.T) {
	tests := []struct {
		sql  string
		want stmtKind
	}{
		{"select 1", stmtRead},
		{"  -- note\n /* requestKey=a */ SELECT 1;", stmtRead},
		{"(select 1)", stmtRead},
		{"select 1; select 2", stmtWrite},
		{"select 1; -- end", stmtRead},
		{"select * from t for update", stmtWrite},
		{"insert into t values (1)", stmtWrite},
		{"BEGIN", stmtBegin},
		{"start transaction read  only", stmtBeginReadOnly},
		{"commit", stmtEnd},
		{"set a = 'b'", stmtSet},
		{"", stmtEmpty},
		{";", stmtEmpty},
		{"/* open", stmtWrite},
		{"listen x", stmtUnsupported},
		{"vacuum", stmtWrite},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.want, classify(tt.sql), "sql %q", tt.sql)
	}
}

// Guards against session tokens and request keys that are lost because a form of SET is
// not parsed.
func TestParseSet(t *testing.T) {
	tests := []struct {
		sql  string
		want assignment
		ok   bool
	}{
		{"SET gentianward.session = 'abc'", assignment{name: "gentianward.session", value: "abc"}, true},
		{"set session a.b to 'it''s';", assignment{name: "a.b", value: "it's"}, true},
		{"set local x=1", assignment{name: "x", value: "1", local: true}, true},
		{"set x", assignment{}, false},
		{"select 1", assignment{}, false},
	}
	for _, tt := range tests {
		got, ok := parseSet(tt.sql)
		assert.Equal(t, tt.ok, ok, "sql %q", tt.sql)
		if ok {
			assert.Equal(t, tt.want, got, "sql %q", tt.sql)
		}
	}
}

// Guards against a statement that writes and is taken for a read, which is repeated when its
// answer is lost and runs without its request key.
func TestWriteIsNoRead(t *testing.T) {
	for _, sql := range []string{
		"with a as (insert into t values (1) returning *) select * from a",
		"with a as (DELETE\nFROM t returning *) select * from a",
		"with a as (update t set b = 1 returning *) select * from a",
		"explain analyze insert into t values (1)",
		"EXPLAIN (analyze) MERGE/**/INTO t using s on true when matched then delete",
		"select * into t2 from t", "select *\ninto t2 from t",
		"select * from t for\nupdate", "select * from t for\tno key update", "select * from t FOR/**/KEY SHARE", "select * from t for share",
		"select nextval ('s')", `select "nextval"('s')`, "select pg_catalog.setval('s', 1)",
		"select 1 /* ; */ ; insert into t values (1)",
		"select 1 -- a\r; insert into t values (1)",
		"-- a\rinsert into t values (1)",
		"/* /* */ select */ insert into t values (1)",
		"select 'a", "select 1 /* open", `select "a`, "/* open", "select $a$b",
		"call f()", "do $$ begin end $$", "\u017felect 1",
		"commit prepared 'a'", "rollback prepared 'a'", "begin; insert into t values (1)",
	} {
		assert.Equal(t, stmtWrite, classify(sql), "sql %q", sql)
	}
}

// Guards against a read that is taken for a write because of what a string, a name or a
// comment of it says.
func TestReadIsNoWrite(t *testing.T) {
	for _, sql := range []string{
		"select ' for update'", `select " for update" from t`, "select 1 -- for update", "select 1 /* ; select 2 */",
		"select ';select 2'", "select $$; insert into t $$", "select $a$ for update $$ ; $a$", `select e'\'; insert into t'`,
		"select 'nextval('", "select nextval from t", "select t.update, t.into from t", "select 1;;\f;\v",
		"\v\fselect 1", "/* /* a */ b */ select 1", "((select 1) union select 2)", "select 1 ; -- insert into t",
	} {
		assert.Equal(t, stmtRead, classify(sql), "sql %q", sql)
	}
}

// Guards against a transaction that runs at a replica, and fails there with its first write,
// because of a comment or a later statement, and against one that misses the replicas.
func TestBeginReadOnly(t *testing.T) {
	tests := []struct {
		sql  string
		want stmtKind
	}{
		{"begin /* read only */", stmtBegin},
		{"begin -- read only", stmtBegin},
		{"begin read write", stmtBegin},
		{"begin/**/read/**/only", stmtBeginReadOnly},
		{"BEGIN\nISOLATION LEVEL SERIALIZABLE,\vREAD ONLY;", stmtBeginReadOnly},
		{"start transaction read only, not deferrable", stmtBeginReadOnly},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.want, classify(tt.sql), "sql %q", tt.sql)
	}
}

// Guards against a SET whose value is changed or cut, or to which a comment is added.
func TestSetIsExact(t *testing.T) {
	tests := []struct {
		sql, name, value string
		ok               bool
	}{
		{"SET a.b = 'x' -- c", "a.b", "x", true},
		{"set/**/a.b\fto\v'x;'", "a.b", "x;", true},
		{"set a.b='a;''b';;", "a.b", "a;'b", true},
		{"set\nsession\na.b\nto\n'\n x \r'", "a.b", "\n x \r", true},
		{`set "A.b" = 'x'`, "a.b", "x", true},
		{"set a . b = x", "a.b", "x", true},
		{"set time zone 'UTC'", "timezone", "UTC", true},
		{"set a.b = -1 ", "a.b", "- 1", true},
		{"set a.b = 'x' 'y'", "", "", false},
		{"set a.b = e'x'", "", "", false},
		{"set a.b = 'x', 'y'", "", "", false},
		{"set a.b = 'x'; select 1", "", "", false},
		{"set a.b = 'x", "", "", false},
		{"set a.b", "", "", false},
		{"set a.b = ", "", "", false},
		{"set a b = 'x'", "", "", false},
	}
	for _, tt := range tests {
		got, ok := parseSet(tt.sql)
		assert.Equal(t, tt.ok, ok, "sql %q", tt.sql)
		if ok && tt.ok {
			assert.Equal(t, assignment{name: tt.name, value: tt.value}, got, "sql %q", tt.sql)
		}
	}
}
