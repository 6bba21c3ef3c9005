package gwfilter

import "strings"

// stmtKind is the kind of a request, as determined from its text without a parser.
type stmtKind int

const (
	// stmtWrite may change data or server state and must run on the primary.
	stmtWrite stmtKind = iota
	// stmtRead is expected to change nothing. If it does, a replica refuses it.
	stmtRead
	// stmtBegin starts a transaction, stmtBeginReadOnly a read-only one.
	stmtBegin
	stmtBeginReadOnly
	// stmtSet changes a session parameter.
	stmtSet
	// stmtReset resets session parameters or deallocates prepared statements.
	stmtReset
	// stmtEnd ends a transaction; it has no effect when none is open.
	stmtEnd
	// stmtEmpty is a request without a statement.
	stmtEmpty
	// stmtUnsupported relies on state that a pooled connection cannot keep for a caller.
	stmtUnsupported
)

var keywords = map[string]stmtKind{
	"select": stmtRead, "with": stmtRead, "show": stmtRead, "values": stmtRead,
	"table": stmtRead, "explain": stmtRead,
	"begin": stmtBegin, "start": stmtBegin,
	"commit": stmtEnd, "end": stmtEnd, "rollback": stmtEnd, "abort": stmtEnd,
	"set": stmtSet, "reset": stmtReset, "discard": stmtReset,
	"listen": stmtUnsupported, "unlisten": stmtUnsupported, "notify": stmtWrite,
	"prepare": stmtUnsupported, "deallocate": stmtReset,
	"declare": stmtUnsupported, "copy": stmtUnsupported, "load": stmtUnsupported,
}

// classify returns the kind of the request whose text is sql.
//
// A request with a statement after the first is a write, because separating the
// statements would need a parser.
func classify(sql string) stmtKind {
	rest := skipSpace(sql)
	if rest == "" {
		return stmtEmpty
	}
	if i := strings.IndexByte(rest, ';'); i >= 0 && skipSpace(strings.TrimLeft(rest[i:], "; \t\r\n")) != "" {
		return stmtWrite
	}
	word := leadingWord(rest)
	kind, ok := keywords[word]
	if !ok {
		return stmtWrite
	}
	if kind == stmtBegin && isReadOnly(rest) {
		return stmtBeginReadOnly
	}
	if kind == stmtRead && locksRows(rest) {
		return stmtWrite
	}
	return kind
}

// skipSpace removes leading white space, parentheses, empty statements and comments.
func skipSpace(s string) string {
	for {
		s = strings.TrimLeft(s, " \t\r\n;(")
		switch {
		case strings.HasPrefix(s, "--"):
			_, after, ok := strings.Cut(s, "\n")
			if !ok {
				return ""
			}
			s = after
		case strings.HasPrefix(s, "/*"):
			_, after, ok := strings.Cut(s, "*/")
			if !ok {
				return ""
			}
			s = after
		default:
			return s
		}
	}
}

func leadingWord(s string) string {
	n := 0
	for n < len(s) && (s[n]|0x20 >= 'a' && s[n]|0x20 <= 'z') {
		n++
	}
	return strings.ToLower(s[:n])
}

func isReadOnly(s string) bool {
	return strings.Contains(strings.ToLower(strings.Join(strings.Fields(s), " ")), "read only")
}

// locksRows reports whether a SELECT locks rows or calls nextval, which replicas refuse.
func locksRows(s string) bool {
	lower := strings.ToLower(s)
	return strings.Contains(lower, " for update") || strings.Contains(lower, " for share") ||
		strings.Contains(lower, " for no key update") || strings.Contains(lower, "nextval(")
}

// assignment is the parameter assignment of a SET statement.
type assignment struct {
	name, value string
	local       bool
}

// parseSet parses SET [SESSION|LOCAL] name {=|TO} value.
func parseSet(sql string) (assignment, bool) {
	rest := strings.TrimRight(skipSpace(sql), "; \t\r\n")
	if len(rest) < 4 || !strings.EqualFold(rest[:3], "set") {
		return assignment{}, false
	}
	rest = strings.TrimSpace(rest[3:])
	var s assignment
	for _, scope := range []string{"session ", "local "} {
		if len(rest) > len(scope) && strings.EqualFold(rest[:len(scope)], scope) {
			rest = strings.TrimSpace(rest[len(scope):])
			s.local = scope == "local "
		}
	}
	end := strings.IndexAny(rest, "= \t\r\n")
	if end <= 0 {
		return assignment{}, false
	}
	s.name = strings.ToLower(rest[:end])
	rest = strings.TrimSpace(rest[end:])
	switch {
	case strings.HasPrefix(rest, "="):
		rest = rest[1:]
	case len(rest) > 3 && strings.EqualFold(rest[:3], "to "):
		rest = rest[3:]
	}
	rest = strings.TrimSpace(rest)
	if n := len(rest); n >= 2 && rest[0] == '\'' && rest[n-1] == '\'' {
		rest = strings.ReplaceAll(rest[1:n-1], "''", "'")
	}
	s.value = rest
	return s, true
}
