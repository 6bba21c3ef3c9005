// Package gwsql splits SQL text into tokens by the lexical rules of PostgreSQL.
//
// The callers' protocol and the request filters judge a statement by its keywords, names
// and ends. They share this lexer, so that both see the tokens that the server sees: a
// keyword in a comment, a string or a quoted name is none, and a statement ends at no
// semicolon inside of these. The package has no grammar. Text that PostgreSQL would not
// accept as tokens yields a token of kind Invalid.
//
// The rules are those of standard_conforming_strings = on, which is the default.
package gwsql
