package gwsql

import "strings"

// Kind is the kind of a token.
type Kind uint8

// Kinds of tokens.
const (
	// End is the end of the text.
	End Kind = iota
	// Word is a keyword or an unquoted name.
	Word
	// QuotedName is a name in double quotes.
	QuotedName
	// String is a string constant of any form, with all of its continuations.
	String
	// Number is a sequence of decimal digits.
	Number
	// Parameter is a parameter such as $1.
	Parameter
	// Symbol is any other single byte, such as a parenthesis or a part of an operator.
	Symbol
	// Invalid is the rest of a text that ends inside a comment, a string or a quoted name.
	Invalid
)

// Token is one token. Text is its part of the SQL text, unchanged.
type Token struct {
	Kind Kind
	Text string
}

// Lexer returns the tokens of a text in order. White space and comments are skipped.
type Lexer struct {
	text string
	at   int
}

// NewLexer returns a lexer at the start of text.
func NewLexer(text string) Lexer { return Lexer{text: text} }

// Next returns the next token. At the end of the text and after an Invalid token it
// returns End.
func (l *Lexer) Next() Token {
	if !l.skipSpace() {
		return l.invalid()
	}
	if l.at == len(l.text) {
		return Token{}
	}
	start := l.at
	switch c := l.text[start]; {
	case c == '\'':
		return l.stringConstant(start, start+1, false)
	case c == '"':
		return l.quotedName(start, start+1)
	case isNameStart(c):
		return l.wordOrPrefixed(start)
	case isDigit(c):
		l.skipDigits()
		return Token{Kind: Number, Text: l.text[start:l.at]}
	case c == '$':
		return l.dollar(start)
	}
	l.at++
	return Token{Kind: Symbol, Text: l.text[start:l.at]}
}

// invalid returns the rest of the text as an Invalid token.
func (l *Lexer) invalid() Token {
	t := Token{Kind: Invalid, Text: l.text[l.at:]}
	l.at = len(l.text)
	return t
}

// skipSpace skips white space and comments. It returns false, at the start of the comment,
// if the text ends inside a comment.
func (l *Lexer) skipSpace() bool {
	for l.at < len(l.text) {
		rest := l.text[l.at:]
		switch {
		case isSpace(rest[0]):
			l.at++
		case strings.HasPrefix(rest, "--"):
			l.at += lineCommentLen(rest)
		case strings.HasPrefix(rest, "/*"):
			n := blockCommentLen(rest)
			if n < 0 {
				return false
			}
			l.at += n
		default:
			return true
		}
	}
	return true
}

// lineCommentLen returns the length of the comment at the start of s, without the line
// feed or carriage return that ends it.
func lineCommentLen(s string) int {
	if n := strings.IndexAny(s, "\r\n"); n >= 0 {
		return n
	}
	return len(s)
}

// blockCommentLen returns the length of the comment at the start of s, in which comments
// can be nested, and -1 if it does not end.
func blockCommentLen(s string) int {
	depth := 0
	for i := 0; i+1 < len(s); i++ {
		switch s[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
			if depth == 0 {
				return i + 1
			}
		}
	}
	return -1
}

// wordOrPrefixed returns the word at start, or the constant or quoted name of which a
// prefix (E, B, X, N or U&) is at start.
func (l *Lexer) wordOrPrefixed(start int) Token {
	prefix := 1
	if strings.HasPrefix(l.text[start+1:], "&") {
		prefix = 2
	}
	kind, quote := lower(l.text[start]), byte(0)
	if start+prefix < len(l.text) {
		quote = l.text[start+prefix]
	}
	body := start + prefix + 1
	switch {
	case quote == '\'' && prefix == 1 && strings.IndexByte("ebxn", kind) >= 0:
		return l.stringConstant(start, body, kind == 'e')
	case quote == '\'' && prefix == 2 && kind == 'u':
		return l.stringConstant(start, body, false)
	case quote == '"' && prefix == 2 && kind == 'u':
		return l.quotedName(start, body)
	}
	for l.at < len(l.text) && isNamePart(l.text[l.at]) {
		l.at++
	}
	return Token{Kind: Word, Text: l.text[start:l.at]}
}

// stringConstant returns the string constant at start, whose content begins at body.
// A backslash escapes the byte after it if escapes is set.
func (l *Lexer) stringConstant(start, body int, escapes bool) Token {
	special := "'"
	if escapes {
		special = `'\`
	}
	for i := body; ; i++ {
		n := -1
		if i < len(l.text) {
			n = strings.IndexAny(l.text[i:], special)
		}
		if n < 0 {
			return l.invalid()
		}
		i += n
		if l.text[i] == '\\' {
			i++
			continue
		}
		next, ok := l.continuation(i + 1)
		if !ok {
			l.at = i + 1
			return Token{Kind: String, Text: l.text[start:l.at]}
		}
		i = next
	}
}

// continuation returns the offset of the quote with which a string constant goes on after
// its quote before offset i: at i itself, for a doubled quote, or after white space and
// line comments with at least one line break.
func (l *Lexer) continuation(i int) (int, bool) {
	if i < len(l.text) && l.text[i] == '\'' {
		return i, true
	}
	newline := false
	for i < len(l.text) {
		rest := l.text[i:]
		switch {
		case isSpace(rest[0]):
			newline = newline || rest[0] == '\n' || rest[0] == '\r'
			i++
		case strings.HasPrefix(rest, "--"):
			i += lineCommentLen(rest)
		default:
			return i, newline && rest[0] == '\''
		}
	}
	return i, false
}

// quotedName returns the quoted name at start, whose content begins at body.
func (l *Lexer) quotedName(start, body int) Token {
	for i := body; i < len(l.text); i++ {
		if l.text[i] != '"' {
			continue
		}
		if i+1 < len(l.text) && l.text[i+1] == '"' {
			i++
			continue
		}
		l.at = i + 1
		return Token{Kind: QuotedName, Text: l.text[start:l.at]}
	}
	return l.invalid()
}

// dollar returns the parameter, the dollar-quoted string or the single dollar sign at
// start.
func (l *Lexer) dollar(start int) Token {
	l.at++
	if l.at < len(l.text) && isDigit(l.text[l.at]) {
		l.skipDigits()
		return Token{Kind: Parameter, Text: l.text[start:l.at]}
	}
	end := l.at
	for end < len(l.text) && isNamePart(l.text[end]) && l.text[end] != '$' {
		end++
	}
	if end == len(l.text) || l.text[end] != '$' {
		return Token{Kind: Symbol, Text: l.text[start:l.at]}
	}
	delimiter := l.text[start : end+1]
	n := strings.Index(l.text[end+1:], delimiter)
	if n < 0 {
		l.at = start
		return l.invalid()
	}
	l.at = end + 1 + n + len(delimiter)
	return Token{Kind: String, Text: l.text[start:l.at]}
}

func (l *Lexer) skipDigits() {
	for l.at < len(l.text) && isDigit(l.text[l.at]) {
		l.at++
	}
}

func isSpace(c byte) bool { return c == ' ' || c >= '\t' && c <= '\r' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isNameStart(c byte) bool {
	return c|0x20 >= 'a' && c|0x20 <= 'z' || c == '_' || c >= 0x80
}

func isNamePart(c byte) bool { return isNameStart(c) || isDigit(c) || c == '$' }

func lower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c | 0x20
	}
	return c
}
