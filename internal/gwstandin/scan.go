package gwstandin

import "strings"

// sqlSpace holds the characters that PostgreSQL takes for white space.
const sqlSpace = " \t\r\n\f\v"

// plainSQL returns sql with a space in place of each comment and vertical tab outside of
// quotes, by the rules of PostgreSQL: comments can be nested, and one that starts with two
// hyphens ends at a line feed or a carriage return. SQLite has other rules for these.
func plainSQL(sql string) (string, error) {
	if !strings.Contains(sql, "--") && !strings.Contains(sql, "/*") && !strings.Contains(sql, "\v") {
		return sql, nil
	}
	var b strings.Builder
	for sql != "" {
		n := 1
		switch {
		case sql[0] == '\'' || sql[0] == '"':
			n = quotedLen(sql)
			b.WriteString(sql[:n])
		case sql[0] == '\v':
			b.WriteByte(' ')
		case strings.HasPrefix(sql, "--"):
			if n = strings.IndexAny(sql, "\r\n"); n < 0 {
				n = len(sql)
			}
			b.WriteByte(' ')
		case strings.HasPrefix(sql, "/*"):
			if n = commentLen(sql); n < 0 {
				return "", newError("parse statement", KindStatement, stateSyntax, "unterminated /* comment")
			}
			b.WriteByte(' ')
		default:
			b.WriteByte(sql[0])
		}
		sql = sql[n:]
	}
	return b.String(), nil
}

// quotedLen returns the length of the quoted text with which s starts, in which a doubled
// quote stands for itself. Without an end, it is the length of s.
func quotedLen(s string) int {
	quote := s[:1]
	for n := 1; ; n += 2 {
		i := strings.Index(s[n:], quote)
		if i < 0 {
			return len(s)
		}
		n += i
		if !strings.HasPrefix(s[n+1:], quote) {
			return n + 1
		}
	}
}

// commentLen returns the length of the comment with which s starts, and -1 if it has no
// end.
func commentLen(s string) int {
	n := 2
	for {
		end, nested := strings.Index(s[n:], "*/"), strings.Index(s[n:], "/*")
		if end < 0 {
			return -1
		}
		if nested < 0 || nested > end {
			return n + end + 2
		}
		inner := commentLen(s[n+nested:])
		if inner < 0 {
			return -1
		}
		n += nested + inner
	}
}

// cutToken returns the first token of plain SQL and what follows it: a word with its dots,
// a quoted text with its quotes, or another character. The token is empty at the end.
func cutToken(sql string) (token, rest string) {
	sql = strings.TrimLeft(sql, sqlSpace)
	if sql == "" {
		return "", ""
	}
	n := 1
	switch {
	case sql[0] == '\'' || sql[0] == '"':
		n = quotedLen(sql)
	case isWordByte(sql[0]):
		for n < len(sql) && isWordByte(sql[n]) {
			n++
		}
	}
	return sql[:n], sql[n:]
}

func isWordByte(c byte) bool {
	return c|0x20 >= 'a' && c|0x20 <= 'z' || c >= '0' && c <= '9' || c >= 0x80 || strings.IndexByte("_$.", c) >= 0
}

// operands returns the tokens after the leading keyword, up to the end of the statement.
func operands(sql string) []string {
	var tokens []string
	_, rest := leadingKeyword(sql)
	for {
		var token string
		if token, rest = cutToken(rest); token == "" || token == ";" {
			return tokens
		}
		tokens = append(tokens, token)
	}
}

// unquote returns the value of a quoted token, and any other token as it is.
func unquote(token string) string {
	if n := len(token); n >= 2 && (token[0] == '\'' || token[0] == '"') && token[n-1] == token[0] {
		quote := token[:1]
		return strings.ReplaceAll(token[1:n-1], quote+quote, quote)
	}
	return token
}
