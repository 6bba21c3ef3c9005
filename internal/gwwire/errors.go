package gwwire

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors.
const (
	KindInput    Kind = iota + 1 // the caller violated the protocol or a size limit
	KindAuth                     // the caller could not be authenticated
	KindLimit                    // a limit of the instance was reached
	KindNetwork                  // the connection failed
	KindShutdown                 // the instance is shutting down
	KindHandler                  // the Handler or Session returned an error
)

// String returns the kind as one word.
func (k Kind) String() string {
	names := [...]string{"unknown", "input", "authentication", "limit", "network", "shutdown", "handler"}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// Error is the error type of this package.
type Error struct {
	Op   string // operation that failed, such as "start session" or "run request"
	Kind Kind
	Code string // SQLSTATE sent to the caller, if any
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// SQLSTATEs that this package sends.
const (
	codeProtocolViolation  = "08P01"
	codeFeatureUnsupported = "0A000"
	codeInvalidAuth        = "28000"
	codeInvalidPassword    = "28P01"
	codeTooManyConnections = "53300"
	codeLimitExceeded      = "54000"
	codeAdminShutdown      = "57P01"
	codeIdleInTransaction  = "25P03"
	codeInternal           = "XX000"
)

var (
	errNoUser       = errors.New("no user name in the startup message")
	errIdleTimeout  = errors.New("idle-in-transaction timeout")
	errShutdown     = errors.New("the instance is shutting down")
	errPanic        = errors.New("the session ended because of an internal error")
	errFrameTooLong = errors.New("message exceeds the limit")
	errMalformed    = errors.New("malformed message")
)

// ErrCallerDisconnected is the cancellation cause of a request's context after the
// caller has disconnected.
var ErrCallerDisconnected = errors.New("the caller has disconnected")

// ErrCanceled is the cancellation cause of a request's context after a cancel request.
var ErrCanceled = errors.New("canceled by the caller")

// Fatal returns an error that ends a session with the given SQLSTATE and message.
// Handler.Authenticate and Session.Handle return it.
func Fatal(code, message string) error {
	return &pgconn.PgError{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message}
}

func newError(op string, kind Kind, code string, err error) *Error {
	return &Error{Op: op, Kind: kind, Code: code, Err: err}
}

// pgError returns the error message of severity FATAL that reports err to the caller.
func pgError(err error) *pgconn.PgError {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		p := *pe
		p.Severity, p.SeverityUnlocalized = "FATAL", "FATAL"
		return &p
	}
	p := &pgconn.PgError{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: codeInternal, Message: "internal error"}
	var e *Error
	if errors.As(err, &e) && e.Code != "" {
		p.Code, p.Message = e.Code, e.Err.Error()
	}
	return p
}
