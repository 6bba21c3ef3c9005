package gwdeadline

import "fmt"

// Kind classifies errors of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindDial means that no connection was opened.
	KindDial Kind = iota + 1
	// KindLate means that the time after which nothing is sent has passed.
	KindLate
	// KindSend means that the data was not or not completely accepted by the kernel.
	KindSend
)

// String returns the kind in words.
func (k Kind) String() string {
	switch k {
	case KindDial:
		return "not connected"
	case KindLate:
		return "the time to send has passed"
	default:
		return "not sent completely"
	}
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
