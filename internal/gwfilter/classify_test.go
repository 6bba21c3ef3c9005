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
		{"/* open", stmtEmpty},
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
