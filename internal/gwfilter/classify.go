package gwfilter

import (
	"strings"

	"gentianward.example/gentianward/internal/gwsql"
)

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
// statements would need a parser, as is text that ends inside a comment or a string: the
// server answers it with an error.
func classify(sql string) stmtKind {
	l := gwsql.NewLexer(sql)
	word := l.First()
	nested := word.IsSymbol('(')
	for word.IsSymbol('(') {
		word = l.Next()
	}
	if word.Kind == gwsql.End && !nested {
		return stmtEmpty
	}
	kind, ok := keywords[word.Lower()]
	if !ok || word.Kind != gwsql.Word || nested && kind != stmtRead {
		return stmtWrite
	}
	for previous := word; kind != stmtWrite; {
		t := l.Next()
		switch {
		case t.Kind == gwsql.Invalid || t.IsSymbol(';') && !l.AtEnd():
			return stmtWrite
		case t.Kind == gwsql.End || t.IsSymbol(';'):
			return kind
		}
		kind = refine(kind, previous, t)
		previous = t
	}
	return kind
}

// refine returns the kind of a statement so far of the kind, whose latest tokens are
// previous and t.
func refine(kind stmtKind, previous, t gwsql.Token) stmtKind {
	switch {
	case kind == stmtRead && writes(previous, t):
		return stmtWrite
	case kind == stmtBegin && previous.Is("read") && t.Is("only"):
		return stmtBeginReadOnly
	case kind == stmtEnd && t.Is("prepared"):
		return stmtWrite // ends a prepared transaction, whether or not one is open here
	}
	return kind
}

// writes reports whether two tokens of a statement that begins like a read show that it
// changes data, locks rows or takes a value of a sequence. A column that has the name of a
// keyword makes some reads writes, which run at the primary. A function that writes and is
// not known here does not show.
func writes(previous, t gwsql.Token) bool {
	if t.IsSymbol('(') {
		name, _ := previous.Name()
		return name == "nextval" || name == "setval"
	}
	if t.Kind != gwsql.Word || previous.IsSymbol('.') {
		return false
	}
	switch t.Lower() {
	case "into", "update", "create": // into: of SELECT, INSERT and MERGE; update: also FOR UPDATE
		return true
	case "from":
		return previous.Is("delete")
	case "share":
		return previous.Is("for") || previous.Is("key")
	}
	return false
}

// controlsTransaction reports whether a statement of the text begins or ends a transaction.
func controlsTransaction(sql string) bool {
	l := gwsql.NewLexer(sql)
	for first, t := true, l.Next(); t.Kind != gwsql.End; t = l.Next() {
		if first && t.Kind == gwsql.Word {
			switch keywords[t.Lower()] {
			case stmtBegin, stmtEnd:
				return true
			}
		}
		first = t.IsSymbol(';')
	}
	return false
}

// assignment is the parameter assignment of a SET statement.
type assignment struct {
	name, value string
	local       bool
}

// parseSet parses a text that consists of SET [SESSION|LOCAL] name {=|TO} value, or of
// SET [SESSION|LOCAL] TIME ZONE value. The value is one string constant in single quotes,
// or other tokens, which are returned with a space between them.
func parseSet(sql string) (assignment, bool) {
	l := gwsql.NewLexer(sql)
	if !l.First().Is("set") {
		return assignment{}, false
	}
	var s assignment
	t, local := skipScope(&l)
	s.local = local
	name, t, ok := parameterName(t, &l)
	switch {
	case !ok:
		return assignment{}, false
	case name == "time" && t.Is("zone"):
		name = "timezone"
	case !t.IsSymbol('=') && !t.Is("to"):
		return assignment{}, false
	}
	s.name = name
	s.value, ok = parameterValue(&l)
	return s, ok
}

// skipScope returns the token behind SET and an optional SESSION or LOCAL, and whether LOCAL is
// there.
func skipScope(l *gwsql.Lexer) (t gwsql.Token, local bool) {
	t = l.Next()
	if local = t.Is("local"); local || t.Is("session") {
		t = l.Next()
	}
	return t, local
}

// parameterName returns the name, of parts separated by dots, that begins with t, in lower
// case, and the token that follows it.
func parameterName(t gwsql.Token, l *gwsql.Lexer) (string, gwsql.Token, bool) {
	name, ok := t.Name()
	t = l.Next()
	for ok && t.IsSymbol('.') {
		var part string
		part, ok = l.Next().Name()
		name += "." + part
		t = l.Next()
	}
	return strings.ToLower(name), t, ok
}

// parameterValue returns the value up to the end of the text.
func parameterValue(l *gwsql.Lexer) (string, bool) {
	t := l.Next()
	if value, ok := t.Value(); ok {
		return value, l.AtEnd()
	}
	var value []string
	for ; t.Kind != gwsql.End && !t.IsSymbol(';'); t = l.Next() {
		if t.Kind == gwsql.String || t.Kind == gwsql.Invalid {
			return "", false
		}
		value = append(value, t.Text)
	}
	return strings.Join(value, " "), len(value) > 0 && l.AtEnd()
}
