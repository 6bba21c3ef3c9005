package gwmanifest

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindSyntax  Kind = "syntax"  // not JSON with comments
	KindUnknown Kind = "unknown" // the field does not exist
	KindType    Kind = "type"    // the value has the wrong type or format
	KindValue   Kind = "value"   // the value is not one of the accepted values
	KindMissing Kind = "missing" // a required field is absent
)

// Error is one problem found in a configuration file.
type Error struct {
	Op       string `json:"op"` // "parse manifest", "parse settings" or "check settings"
	Kind     Kind   `json:"kind"`
	File     string `json:"file"`
	Line     int    `json:"line"`   // from 1
	Column   int    `json:"column"` // in bytes, from 1
	Field    string `json:"field"`  // path such as "classes[1].staleness"
	Accepted string `json:"accepted,omitempty"`
	Message  string `json:"message"`
}

// Error formats the problem as "file:line:column: field: message (accepted: …)".
func (e *Error) Error() string {
	s := fmt.Sprintf("%s:%d:%d: ", e.File, e.Line, e.Column)
	if e.Field != "" {
		s += e.Field + ": "
	}
	s += e.Message
	if e.Accepted != "" {
		s += " (accepted: " + e.Accepted + ")"
	}
	return s
}

// Problems returns every *Error in the tree of joined and wrapped errors below err.
func Problems(err error) []*Error {
	var one *Error
	switch e := err.(type) { //nolint:errorlint // traverses the joined errors itself
	case nil:
		return nil
	case *Error:
		return []*Error{e}
	case interface{ Unwrap() []error }:
		var all []*Error
		for _, sub := range e.Unwrap() {
			all = append(all, Problems(sub)...)
		}
		return all
	}
	if errors.As(err, &one) {
		return []*Error{one}
	}
	return nil
}
