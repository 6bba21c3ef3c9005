package gwwire

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
)

// Guards against a BEGIN or COMMIT of a batch that is not recognized, so that a Flush in the
// transaction is refused, and against one that is seen where there is none, so that the
// statements of one implicit transaction run in two.
func TestTransactionOfBatch(t *testing.T) {
	tests := []struct {
		sql  []string
		want bool
	}{
		{[]string{"BEGIN\nISOLATION LEVEL SERIALIZABLE", "q"}, true},
		{[]string{"/* a */ begin", "q"}, true},
		{[]string{"-- a\r\nstart\ttransaction", "q"}, true},
		{[]string{"begin;", "q"}, true},
		{[]string{"\v\fbegin/**/read only", "q"}, true},
		{[]string{"begin", "savepoint a", "rollback to a", "q"}, true},
		{[]string{"begin", "rollback/**/transaction to savepoint a"}, true},
		{[]string{"begin", "commit and chain", "q"}, true},
		{[]string{"begin", "commit and no chain"}, false},
		{[]string{"begin", "commit\n"}, false},
		{[]string{"begin", "prepare transaction 'a'"}, false},
		{[]string{"begin", "prepare a as select 1"}, true},
		{[]string{"begin", "END;", "q"}, false},
		{[]string{"-- begin", "q"}, false},
		{[]string{"/* /* */ begin */", "q"}, false},
		{[]string{"beginning", "q"}, false},
		{nil, false},
	}
	for _, tt := range tests {
		var b batch
		for _, sql := range tt.sql {
			b.executed = append(b.executed, &statement{PreparedStatement: gwbackend.NewPreparedStatement(sql, nil)})
		}
		require.Equal(t, tt.want, b.opensTransaction(), "%q", tt.sql)
	}
}

// Guards against a DEALLOCATE that leaves its statement or drops another one.
func TestDeallocate(t *testing.T) {
	tests := []struct {
		sql  string
		tag  string
		left []string
	}{
		{"DEALLOCATE\ta", "DEALLOCATE", []string{"B", `c"d`, "e;f"}},
		{"/* x */ deallocate a -- y", "DEALLOCATE", []string{"B", `c"d`, "e;f"}},
		{"deallocate prepare A;", "DEALLOCATE", []string{"B", `c"d`, "e;f"}},
		{"deallocate B", "", []string{"B", `c"d`, "e;f", "a"}},
		{`deallocate "B"`, "DEALLOCATE", []string{`c"d`, "e;f", "a"}},
		{`deallocate "c""d"`, "DEALLOCATE", []string{"B", "e;f", "a"}},
		{`deallocate "e;f";`, "DEALLOCATE", []string{"B", `c"d`, "a"}},
		{"deallocate\nALL", "DEALLOCATE ALL", nil},
		{"deallocate prepare all;;", "DEALLOCATE ALL", nil},
		{`deallocate "all"`, "", []string{"B", `c"d`, "e;f", "a"}},
		{"deallocate a; select 1", "", []string{"B", `c"d`, "e;f", "a"}},
		{"deallocate", "", []string{"B", `c"d`, "e;f", "a"}},
	}
	for _, tt := range tests {
		var s statements
		for _, name := range []string{"a", "B", `c"d`, "e;f"} {
			s.set(name, &statement{})
		}
		require.Equal(t, tt.tag, s.deallocate(tt.sql), "sql %q", tt.sql)
		var left []string
		for name := range s.named {
			left = append(left, name)
		}
		require.ElementsMatch(t, tt.left, left, "sql %q", tt.sql)
	}
}

// Guards against a message of a caller that the server can't read, upon which it may close
// the connection: the server would be taken for broken.
func TestMalformedMessageIsNotForwarded(t *testing.T) {
	bind := func(rest string) []byte { return append([]byte("\x00a\x00"), rest...) }
	tests := []struct {
		name string
		typ  byte
		body []byte
		ok   bool
	}{
		{"bind", 'B', bind("\x00\x01\x00\x01\x00\x02\x00\x00\x00\x01x\xff\xff\xff\xff\x00\x01\x00\x00"), true},
		{"bind without results", 'B', bind("\x00\x00\x00\x00"), false},
		{"bind with more", 'B', bind("\x00\x00\x00\x00\x00\x00x"), false},
		{"bind with a long value", 'B', bind("\x00\x00\x00\x01\x00\x00\x00\x02x\x00\x00"), false},
		{"bind with a negative length", 'B', bind("\x00\x00\x00\x01\xff\xff\xff\xfe\x00\x00"), false},
		{"bind with missing formats", 'B', bind("\x00\x02\x00\x01\x00\x00"), false},
		{"describe", 'D', []byte("Pa\x00"), true},
		{"describe with more", 'D', []byte("Pa\x00b\x00"), false},
		{"describe statement with more", 'D', []byte("Sa\x00b\x00"), false},
		{"close with more", 'C', []byte("Pa\x00b\x00"), false},
		{"close statement with more", 'C', []byte("Sa\x00b\x00"), false},
		{"close", 'C', []byte("S\x00"), true},
	}
	for _, tt := range tests {
		s := &Server{}
		s.SetLimits(Limits{})
		c := &conn{srv: s}
		frame := append([]byte{tt.typ, 0, 0, 0, byte(4 + len(tt.body))}, tt.body...)
		err := c.addMessage(frame)
		require.Equal(t, tt.ok, err == nil, "%s: %v", tt.name, err)
		c.batch.release()
	}
}

// Guards against two statements of one hash in one batch, of which the server would run the
// later one in place of the first.
func TestEqualHashesInOneBatch(t *testing.T) {
	s := &Server{}
	s.SetLimits(Limits{})
	c := &conn{srv: s}
	first := &statement{PreparedStatement: gwbackend.NewPreparedStatement("select 1", nil)}
	second := &statement{PreparedStatement: gwbackend.NewPreparedStatement("select 2", nil)}
	second.Name = first.Name
	c.statements.set("a", first)
	c.statements.set("b", second)
	add := func(m pgproto3.FrontendMessage) error {
		frame, err := m.Encode(nil)
		require.NoError(t, err)
		return c.addMessage(frame)
	}
	defer c.batch.release()
	require.NoError(t, add(&pgproto3.Bind{PreparedStatement: "a"}))
	require.NoError(t, add(&pgproto3.Bind{PreparedStatement: "a"}))
	require.Error(t, add(&pgproto3.Bind{PreparedStatement: "b"}))
}

// Guards against prepared statements and portals that hold memory without a bound, each
// being within the limits of their number and of the size of a message.
func TestStatementBytes(t *testing.T) {
	s := &Server{}
	s.SetLimits(Limits{MessageBytes: 1000, Statements: 100, StatementBytes: 1000})
	c := &conn{srv: s}
	parse := func(name, sql string) error {
		frame, err := (&pgproto3.Parse{Name: name, Query: sql}).Encode(nil)
		require.NoError(t, err)
		defer c.batch.clear()
		return c.addMessage(frame)
	}
	long := "select '" + strings.Repeat("x", 400) + "'"
	require.NoError(t, parse("a", long))
	require.NoError(t, parse("b", long+" "))
	require.NoError(t, parse("b", long), "replaced")
	require.NoError(t, parse("", long), "unnamed")
	require.Error(t, parse("c", long+"  "))
	c.statements.closeStatement([]byte("a"))
	require.NoError(t, parse("c", long+"  "))
}

// Guards against a batch that fits no frame between instances because of the statements that
// it uses, and that fails only there.
func TestBatchWithItsStatementsFitsFrame(t *testing.T) {
	s := &Server{}
	s.SetLimits(Limits{MessageBytes: 15 << 20})
	c := &conn{srv: s}
	add := func(m pgproto3.FrontendMessage) error {
		frame, err := m.Encode(nil)
		require.NoError(t, err)
		return c.addMessage(frame)
	}
	const names = 5 // bytes of the Parse message beside the text
	require.NoError(t, add(&pgproto3.Parse{Name: "a", Query: strings.Repeat("x", 15<<20-4-names)}))
	c.batch.clear()
	c.statements.endBatch(true)
	require.NoError(t, add(&pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{make([]byte, 1000)}}))
	c.batch.clear()
	require.Error(t, add(&pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{make([]byte, 1<<20)}}))
	c.batch.clear()
}

// Guards against a batch of the shortest messages, each of which costs the instance more than
// 20 times its bytes.
func TestParsesOfBatch(t *testing.T) {
	s := &Server{}
	s.SetLimits(Limits{})
	c := &conn{srv: s}
	frame, err := (&pgproto3.Parse{}).Encode(nil)
	require.NoError(t, err)
	for range maxBatchParses {
		require.NoError(t, c.addMessage(frame))
	}
	require.Error(t, c.addMessage(frame))
	c.batch.release()
}
