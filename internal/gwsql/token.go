package gwsql

import "strings"

// Is reports whether the token is the keyword, which is given in lower case. Only ASCII
// letters match in either case.
func (t Token) Is(keyword string) bool {
	if t.Kind != Word || len(t.Text) != len(keyword) {
		return false
	}
	for i := range len(keyword) {
		if lower(t.Text[i]) != keyword[i] {
			return false
		}
	}
	return true
}

// IsSymbol reports whether the token is the symbol c.
func (t Token) IsSymbol(c byte) bool { return t.Kind == Symbol && t.Text[0] == c }

// Lower returns the text of the token with ASCII letters in lower case.
func (t Token) Lower() string {
	for i := range len(t.Text) {
		if c := t.Text[i]; lower(c) != c {
			return lowerASCII(t.Text)
		}
	}
	return t.Text
}

func lowerASCII(s string) string {
	b := []byte(s)
	for i := range b {
		b[i] = lower(b[i])
	}
	return string(b)
}

// Name returns the name that a word or a quoted name stands for: a word in lower case, a
// quoted name without its quotes. It returns false for other tokens and for names with
// Unicode escapes.
func (t Token) Name() (string, bool) {
	switch {
	case t.Kind == Word:
		return t.Lower(), true
	case t.Kind == QuotedName && t.Text[0] == '"':
		return strings.ReplaceAll(t.Text[1:len(t.Text)-1], `""`, `"`), true
	}
	return "", false
}

// Value returns the value of a string constant in single quotes without a prefix and
// without a continuation on another line. It returns false for other tokens.
func (t Token) Value() (string, bool) {
	if t.Kind != String || t.Text[0] != '\'' {
		return "", false
	}
	body := t.Text[1 : len(t.Text)-1]
	value := strings.ReplaceAll(body, "''", "'")
	if strings.Count(body, "'") != 2*(len(body)-len(value)) {
		return "", false // the quote that ends one part is not doubled
	}
	return value, true
}

// LeadingWord returns the first word of text in lower case, and "" if its first token is
// none. Empty statements before it are skipped.
func LeadingWord(text string) string {
	l := NewLexer(text)
	if t := l.First(); t.Kind == Word {
		return t.Lower()
	}
	return ""
}

// First returns the next token that is not the end of an empty statement.
func (l *Lexer) First() Token {
	for {
		if t := l.Next(); !t.IsSymbol(';') {
			return t
		}
	}
}

// AtEnd reports whether nothing but empty statements follows.
func (l Lexer) AtEnd() bool {
	return l.First().Kind == End
}

// LeadingComment returns the content of the block comment with which text starts, after
// white space.
func LeadingComment(text string) (string, bool) {
	for text != "" && isSpace(text[0]) {
		text = text[1:]
	}
	if !strings.HasPrefix(text, "/*") {
		return "", false
	}
	n := blockCommentLen(text)
	if n < 0 {
		return "", false
	}
	return text[2 : n-2], true
}
