package gwsoak

import "fmt"

// Kind classifies errors of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindStart means that a run could not start.
	KindStart Kind = iota + 1
	// KindInvalid means that an option is not valid.
	KindInvalid
)

// String returns the kind as text for messages.
func (k Kind) String() string {
	if k == KindInvalid {
		return "not valid"
	}
	return "not started"
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
