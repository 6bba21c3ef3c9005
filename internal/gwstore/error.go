package gwstore

import (
	"fmt"
)

// ErrorKind classifies an Error.
type ErrorKind uint8

// Kinds of errors.
const (
	KindIO      ErrorKind = iota + 1 // the file system failed
	KindCorrupt                      // a synced record is damaged or missing
	KindStopped                      // an earlier save failed or the log is closed
	KindInvalid                      // the arguments do not continue the saved state
	KindEncode                       // a value cannot be encoded
	KindLocked                       // another process uses the folder
)

// String returns the kind's name.
func (k ErrorKind) String() string {
	names := [...]string{"unknown", "i/o", "corrupt", "stopped", "invalid", "encode", "locked"}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// Error is the error type of this package.
type Error struct {
	Op     string
	Kind   ErrorKind
	File   string
	Offset int64 // of the corrupt record in bytes; for KindCorrupt only
	Err    error
}

// Error returns the operation, kind, file and cause as text.
func (e *Error) Error() string {
	if e.Kind == KindCorrupt {
		return fmt.Sprintf("%s: %s: file %s, offset %d: %v", e.Op, e.Kind, e.File, e.Offset, e.Err)
	}
	return fmt.Sprintf("%s: %s: file %s: %v", e.Op, e.Kind, e.File, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
