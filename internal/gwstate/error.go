package gwstate

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind uint8

// Kinds of errors.
const (
	KindEncode   ErrorKind = iota + 1 // a command or snapshot cannot be encoded
	KindDecode                        // data is not the encoding of a known command
	KindSnapshot                      // a snapshot cannot be read
)

// String returns the kind's name.
func (k ErrorKind) String() string {
	names := [...]string{"unknown", "encode", "decode", "snapshot"}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error describes the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func wrap(op string, kind ErrorKind, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Kind: kind, Err: err}
}
