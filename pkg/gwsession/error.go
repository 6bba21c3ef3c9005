package gwsession

import "fmt"

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// Malformed means that a token could not be decoded.
	Malformed Kind = iota + 1
	// Forged means that no known key signed the token.
	Forged
	// Expired means that the token is older than its lifetime.
	Expired
	// WrongCaller means that the token was issued to another caller.
	WrongCaller
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Malformed:
		return "malformed"
	case Forged:
		return "forged"
	case Expired:
		return "expired"
	case WrongCaller:
		return "issued to another caller"
	default:
		return fmt.Sprintf("kind %d", int(k))
	}
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
