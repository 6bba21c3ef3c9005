package gwpeer

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrorKind classifies an Error by what is known about the request.
type ErrorKind uint8

// Kinds of errors.
const (
	// KindUnknown means that the request may or may not have reached the handler.
	KindUnknown ErrorKind = iota
	// KindNotSent means that the request certainly did not reach the handler.
	KindNotSent
	// KindRemote means that the handler ran and returned this error.
	KindRemote
	// KindInvalid means that a message is malformed or exceeds a limit.
	KindInvalid
	// KindCanceled means that the peer or the caller canceled the stream.
	KindCanceled
	// KindKeys means that a certificate or key is missing, invalid or rejected.
	KindKeys
)

// String returns the text of the kind in error messages.
func (k ErrorKind) String() string {
	switch k {
	case KindNotSent:
		return "not sent"
	case KindRemote:
		return "remote error"
	case KindInvalid:
		return "invalid message"
	case KindCanceled:
		return "canceled"
	case KindKeys:
		return "keys"
	default:
		return "outcome unknown"
	}
}

// Error is the error type of this package.
type Error struct {
	Op      string    // operation: "call", "open stream", "read frame", ...
	Kind    ErrorKind // what is known about the request
	Address string    // peer address, empty if no peer is involved
	Code    string    // code of the handler's error, for KindRemote
	Err     error
}

// Error formats the operation, peer, kind and cause.
func (e *Error) Error() string {
	if e.Kind == KindKeys {
		return "keys " + e.Op + ": " + e.Err.Error()
	}
	s := "peer " + e.Op
	if e.Address != "" {
		s += " " + e.Address
	}
	s += ": " + e.Kind.String()
	if e.Code != "" {
		s += " " + e.Code
	}
	return s + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// CodedError is an error of a handler with a code that reaches the caller.
type CodedError struct {
	Code    string
	Message string
}

// Error formats the code and the message.
func (c *CodedError) Error() string { return c.Code + ": " + c.Message }

// Codef returns a *CodedError; the caller of the handler gets its code from RemoteCode.
func Codef(code, format string, args ...any) error {
	return &CodedError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// IsNotSent reports whether err means that the request certainly did not reach the
// peer's handler.
func IsNotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindNotSent
}

// RemoteCode returns the code of the handler's error; ok is false if err is
// not an error that a remote handler returned.
func RemoteCode(err error) (code string, ok bool) {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindRemote {
		return e.Code, true
	}
	return "", false
}

func newError(op string, kind ErrorKind, address string, err error) *Error {
	return &Error{Op: op, Kind: kind, Address: address, Err: err}
}
