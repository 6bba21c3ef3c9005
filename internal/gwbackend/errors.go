package gwbackend

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// Kind classifies an Error by what is known about the request.
type Kind uint8

// Kinds of errors.
const (
	KindNotSent    Kind = iota + 1 // no byte of the request was sent; it did not run
	KindIncomplete                 // bytes were sent and the complete answer did not arrive; it may have run
	KindServer                     // the server answered completely, with an error
	KindSink                       // the server answered completely, and the answer could not be delivered
)

// String returns the kind in words.
func (k Kind) String() string {
	switch k {
	case KindNotSent:
		return "not sent"
	case KindIncomplete:
		return "no complete answer"
	case KindServer:
		return "server error"
	case KindSink:
		return "answer not delivered"
	default:
		return "unknown"
	}
}

// Error is the error type of this package.
type Error struct {
	Op     string // operation, for example "dial" or "run request"
	Kind   Kind
	Server string // name or address of the backend server
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %s: %v", e.Op, e.Server, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in err's chain, and 0 if there is
// none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// ServerError returns the server's own error in err's chain, or nil.
func ServerError(err error) *pgconn.PgError {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Causes of errors that callers compare with errors.Is.
var (
	ErrClosed     = errors.New("pool is closed")
	ErrUnusable   = errors.New("connection is unusable")
	ErrBusy       = errors.New("connection has an answer outstanding")
	ErrBadRequest = errors.New("request is not a sequence of frontend messages that ends in one Query or Sync")
	ErrServerBusy = errors.New("server is alive but too busy to run a control statement")
	ErrProtocol   = errors.New("protocol violation by the server")
	// ErrUnreadable means that a reply of the statement protocol has arrived and cannot be
	// read. The cause is in the reply, such as in a row, rather than in the server's state.
	ErrUnreadable = errors.New("reply cannot be read")
	// ErrNotEncodable means that a request or the name of a group or server cannot be put
	// into a message of the statement protocol.
	ErrNotEncodable = errors.New("message cannot be encoded")
)
