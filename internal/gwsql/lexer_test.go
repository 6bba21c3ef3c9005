package gwsql

import (
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against keywords and statement ends that are seen inside of comments, strings and
// quoted names, or missed after them.
func TestTokens(t *testing.T) {
	tests := []struct {
		sql  string
		want []string
	}{
		{"select\v1\f;\r\n", []string{"select", "1", ";"}},
		{"-- a\rselect--b", []string{"select"}},
		{"/* /* */ x */begin/**/isolation", []string{"begin", "isolation"}},
		{"a'b;''c'd", []string{"a", "'b;''c'", "d"}},
		{`e'\';' E'a'` + "\n" + `'\';'`, []string{`e'\';'`, "E'a'\n'\\';'"}},
		{`'\';`, []string{`'\'`, ";"}},
		{"'a' --b\n -- c\r'd' 'e'", []string{"'a' --b\n -- c\r'd'", "'e'"}},
		{`"a"";b"u&"c;"U&'\0027;'`, []string{`"a"";b"`, `u&"c;"`, `U&'\0027;'`}},
		{"$$;$a$;$$a$b$;$1$a$;$b$$a$", []string{"$$;$a$;$$", "a$b$", ";", "$1", "$a$;$b$$a$"}},
		{"1+é$x$;", []string{"1", "+", "é$x$", ";"}},
		{"$a'b'", []string{"$", "a", "'b'"}},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, texts(tt.sql), "sql %q", tt.sql)
	}
}

// Guards against text that ends inside a comment, a string or a quoted name and is taken
// for the end of the text.
func TestInvalid(t *testing.T) {
	for _, sql := range []string{"/* /* */", "'a''", `"a`, `e'\'`, "$$a", "$a$b$$", `u&'`, "x'"} {
		l := NewLexer("a " + sql)
		require.Equal(t, Word, l.Next().Kind)
		require.Equal(t, Token{Kind: Invalid, Text: sql}, l.Next(), "sql %q", sql)
		require.Equal(t, Token{}, l.Next(), "sql %q", sql)
	}
}

// Guards against names and values that differ from those that the server reads.
func TestNameAndValue(t *testing.T) {
	tests := []struct {
		sql, name, value string
		ok               bool
	}{
		{sql: "S_É", name: "s_É", ok: true},
		{sql: `"S ""x"`, name: `S "x`, ok: true},
		{sql: `u&"a"`},
		{sql: "'it''s'", value: "it's", ok: true},
		{sql: "''", ok: true},
		{sql: "'a'''\n'b'"},
		{sql: "e'a'"},
		{sql: "$$a$$"},
		{sql: "1"},
	}
	for _, tt := range tests {
		l := NewLexer(tt.sql)
		tok := l.Next()
		require.True(t, l.AtEnd(), "sql %q", tt.sql)
		name, isName := tok.Name()
		value, isValue := tok.Value()
		require.Equal(t, tt.ok, isName || isValue, "sql %q", tt.sql)
		require.Equal(t, tt.name, name, "sql %q", tt.sql)
		require.Equal(t, tt.value, value, "sql %q", tt.sql)
	}
}

// Guards against a keyword that is matched by letters outside of ASCII, which fold to ASCII
// letters in Unicode, and against a request key that is taken from a later comment.
func TestKeywordAndComment(t *testing.T) {
	require.Equal(t, "select", LeadingWord(" ;/* a */ SELECT 1"))
	require.Equal(t, "", LeadingWord("'select'"))
	l := NewLexer("\u017fet SET")
	require.False(t, l.Next().Is("set"))
	require.True(t, l.Next().Is("set"))
	for sql, want := range map[string]string{"\t/* a /* b */*/": " a /* b */", "--c\n/* a */": "", "/* a": "", "/**/": ""} {
		got, _ := LeadingComment(sql)
		require.Equal(t, want, got, "sql %q", sql)
	}
}

func texts(sql string) []string {
	var out []string
	l := NewLexer(sql)
	for t := l.Next(); t.Kind != End; t = l.Next() {
		out = append(out, t.Text)
	}
	return out
}

// The patterns of the reference are those of PostgreSQL's scanner, one for each kind of
// token. Each matches as much as it can.
const (
	reContinuation = `'(?:[ \t\f\v]|--[^\r\n]*)*[\r\n](?:[ \t\f\v\r\n]|--[^\r\n]*[\r\n])*'`
	reNameStart    = `(?:[A-Za-z_]|[^\x00-\x7f])`
	reNamePart     = `(?:[A-Za-z_0-9]|[^\x00-\x7f])`
)

// referenceQuoted are the patterns of quoted tokens without and with their last quote. Text
// of which the first matches no less than the second ends inside of the token.
var referenceQuoted = [][2]*regexp.Regexp{
	quotedPattern('\'', `(?i:b|x|n|u&)?'(?:[^']|''|`+reContinuation+`)*`),
	quotedPattern('\'', `(?i:e)'(?:[^'\\]|\\(?s:.)|''|`+reContinuation+`)*`),
	quotedPattern('"', `(?i:u&)?"(?:[^"]|"")*`),
}

func quotedPattern(quote byte, open string) [2]*regexp.Regexp {
	return [2]*regexp.Regexp{pattern(open), pattern(open + string(quote))}
}

var (
	referenceWord   = pattern(reNameStart + `(?:` + reNamePart + `|\$)*`)
	referenceNumber = pattern(`\$?[0-9]+`)
	referenceDollar = pattern(`\$(?:` + reNameStart + reNamePart + `*)?\$`)
	referenceSpace  = pattern(`(?:[ \t\f\v\r\n]|--[^\r\n]*)*`)
)

func pattern(s string) *regexp.Regexp {
	re := regexp.MustCompile(`^(?:` + s + `)`)
	re.Longest()
	return re
}

// reference returns the tokens of sql, slowly, and whether the text ends inside of one.
func reference(sql string) (out []string, invalid bool) {
	for {
		sql = sql[len(referenceSpace.FindString(sql)):]
		switch {
		case sql == "":
			return out, false
		case strings.HasPrefix(sql, "/*"):
			rest, ok := referenceComment(sql[2:])
			if !ok {
				return append(out, sql), true
			}
			sql = rest
			continue
		}
		n, ok := referenceToken(sql)
		out = append(out, sql[:n])
		if !ok {
			return out, true
		}
		sql = sql[n:]
	}
}

// referenceComment returns what follows a comment, whose start has been removed.
func referenceComment(s string) (rest string, ok bool) {
	for s != "" {
		switch {
		case strings.HasPrefix(s, "*/"):
			return s[2:], true
		case strings.HasPrefix(s, "/*"):
			if s, ok = referenceComment(s[2:]); !ok {
				return "", false
			}
		default:
			s = s[1:]
		}
	}
	return "", false
}

func referenceToken(sql string) (n int, ok bool) {
	if d := referenceDollar.FindString(sql); d != "" {
		at := strings.Index(sql[len(d):], d)
		if at < 0 {
			return len(sql), false
		}
		return len(d) + at + len(d), true
	}
	for _, q := range referenceQuoted {
		open, whole := len(q[0].FindString(sql)), len(q[1].FindString(sql))
		switch {
		case open >= whole && open > 0:
			return len(sql), false
		case open > 0:
			return whole, true
		}
	}
	return max(1, len(referenceWord.FindString(sql)), len(referenceNumber.FindString(sql))), true
}

// FuzzLexer guards against tokens that differ from those of PostgreSQL's own patterns, and
// against bytes that are lost between tokens.
func FuzzLexer(f *testing.F) {
	for _, sql := range []string{
		"select 'a''b' -- c\r\"d\"\"\" /* /* */ */ $$;$$", "E'\\'' \n '\\'' U&\"x\" u&'y' n'z' x'1' b'0'",
		"$1$a$b$a$ $ $a a$b$ \xff$\xff$ 1e'\\''", "/* /* */", "'a'\n--b\r'c", "\u017fet a.b\v=\f'c'",
	} {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		want, invalid := reference(sql)
		require.Equal(t, want, texts(sql), "sql %q", sql)
		l := NewLexer(sql)
		rest, last := sql, End
		for tok := l.Next(); tok.Kind != End; tok = l.Next() {
			at := strings.Index(rest, tok.Text)
			require.GreaterOrEqual(t, at, 0)
			rest, last = rest[at+len(tok.Text):], tok.Kind
		}
		require.Equal(t, invalid, last == Invalid, "sql %q", sql)
	})
}
