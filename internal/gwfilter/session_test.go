package gwfilter

import (
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwwire"
)

// answerRecorder is a ResponseWriter that keeps the command tag or the SQLSTATE.
type answerRecorder struct {
	gwwire.ResponseWriter
	answer string
}

func (r *answerRecorder) Complete(_ gwwire.Request, tag string, _ byte) { r.answer = tag }
func (r *answerRecorder) Error(e *pgconn.PgError, _ byte)               { r.answer = e.Code }

// answerTo returns the answer of a session to a request outside of a transaction, and ""
// if the request is to be run.
func answerTo(s *session, req gwwire.Request) string {
	var w answerRecorder
	if !s.answer(classify(req.SQL), req, &w) {
		return ""
	}
	return w.answer
}

// Guards against requests that are answered without an effect that the caller relies on:
// the end of a prepared transaction, a SET that the server gets in place of the entry, and a
// request key that splits a transaction.
func TestAnswersWithoutServer(t *testing.T) {
	tests := []struct {
		sql, key, want string
	}{
		{sql: "end", want: "COMMIT"},
		{sql: "/* a */ abort;", want: "ROLLBACK"},
		{sql: "commit prepared 'a'"},
		{sql: "discard all", want: "DISCARD ALL"},
		{sql: "deallocate\nall", want: "DEALLOCATE ALL"},
		{sql: `deallocate "x"`, want: "DEALLOCATE"},
		{sql: "SET application_name = 'a;b'", want: "SET"},
		{sql: "set gentianward.requestKey = 'a'", want: "SET"},
		{sql: "set gentianward.requestKey = 'a b'", want: sqlstateInvalidValue},
		{sql: "set gentianward.requestKey = 'a' 'b'", want: sqlstateUnsupported},
		{sql: "set gentianward.requestKey = 'a'; insert into t values (1)", want: sqlstateUnsupported},
		{sql: "set\tlocal Gentianward . session = 'a'; select 1", want: sqlstateUnsupported},
		{sql: "set search_path = a; select 1"},
		{sql: "begin"},
		{sql: "begin", key: "a", want: sqlstateUnsupported},
		{sql: "/* requestKey=a */ begin; insert into t values (1); commit", want: sqlstateUnsupported},
		{sql: "/* requestKey=a */ insert into t values ('; commit')"},
	}
	for _, tt := range tests {
		s := &session{requestKey: tt.key}
		assert.Equal(t, tt.want, answerTo(s, gwwire.Request{Kind: gwwire.Simple, SQL: tt.sql, Executes: true}), "sql %q", tt.sql)
	}
}

// Guards against a request key that outlives the reset of a session, so that the write of
// the next user of a pooled connection runs under it.
func TestResetDropsRequestKey(t *testing.T) {
	for sql, want := range map[string]string{
		"DISCARD/**/ALL": "", "reset all": "", "RESET gentianward.requestKey;": "", "deallocate all": "a", "reset search_path": "a",
	} {
		s := &session{requestKey: "a"}
		assert.NotEmpty(t, answerTo(s, gwwire.Request{Kind: gwwire.Simple, SQL: sql, Executes: true}))
		assert.Equal(t, want, s.requestKey, "sql %q", sql)
	}
}

// Guards against a SET that takes effect when it is only parsed or described.
func TestParsedSetChangesNothing(t *testing.T) {
	s := &session{requestKey: "a"}
	assert.Equal(t, "SET", answerTo(s, gwwire.Request{Kind: gwwire.Extended, SQL: "set gentianward.requestKey = 'b'"}))
	assert.Equal(t, "a", s.requestKey)
}

// Guards against a caller that is told that its encoding or its reading of backslashes holds,
// while the server reads its texts in another way: a quote after a backslash would end a
// string there.
func TestEncodingIsNotIgnored(t *testing.T) {
	for sql, want := range map[string]string{
		"set client_encoding = 'UTF8'": "SET", "set client_encoding to utf8": "SET", `set client_encoding to "Utf-8"`: "SET",
		"set client_encoding = 'unicode'": "SET", "set client_encoding to default": "SET",
		"set client_encoding = 'LATIN1'": sqlstateUnsupported, "set client_encoding to sql_ascii": sqlstateUnsupported,
		"set standard_conforming_strings = on": "SET", "set standard_conforming_strings to 'TRUE'": "SET",
		"set standard_conforming_strings = off": sqlstateUnsupported, "set standard_conforming_strings = '0'": sqlstateUnsupported,
		"set datestyle = iso, mdy": "SET",
	} {
		assert.Equal(t, want, answerTo(&session{}, gwwire.Request{Kind: gwwire.Simple, SQL: sql, Executes: true}), "sql %q", sql)
	}
}
