package gwquorum

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrorKind classifies an Error.
type ErrorKind uint8

// Kinds of errors.
const (
	KindInvalid      ErrorKind = iota + 1 // the argument is invalid in this state
	KindNotLeader                         // only the leader can do this; Error.Leader names it if known
	KindBusy                              // too many uncommitted entries or unanswered reads
	KindPending                           // a membership change or leadership transfer is in progress
	KindNotCaughtUp                       // the learner has not synced enough of the log
	KindNoQuorum                          // the change would leave too few responsive voters
	KindInconsistent                      // saved state or a message contradicts the log
)

// String returns the name of the kind.
func (k ErrorKind) String() string {
	names := [...]string{"unknown", "invalid", "not leader", "busy", "pending", "not caught up", "no quorum", "inconsistent"}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// Error is the error type of this package.
type Error struct {
	Op     string
	Kind   ErrorKind
	Leader string
	Err    error
}

// Error returns the operation, kind, leader if known, and cause.
func (e *Error) Error() string {
	if e.Leader != "" {
		return fmt.Sprintf("%s: %s (leader %s): %v", e.Op, e.Kind, e.Leader, e.Err)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first *Error in err's chain, or 0.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func newError(op string, kind ErrorKind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, Err: errors.Newf(format, args...)}
}
