package gwstandin

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	sqlite3 "modernc.org/sqlite/lib"
)

// Kind classifies the errors of this package.
type Kind int

const (
	// KindStatement is a statement that the server rejected or that failed.
	KindStatement Kind = iota + 1
	// KindRole is a request that the server's role, term or fence does not allow.
	KindRole
	// KindLimit is an exceeded limit.
	KindLimit
	// KindConnection is a failed or refused connection.
	KindConnection
	// KindOption is an invalid option.
	KindOption
)

// Error is the error type of this package.
type Error struct {
	Op       string
	Kind     Kind
	SQLState string // empty when the error is not sent to a client
	Err      error
}

// Error formats the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// SQLSTATE codes (appendix A of the PostgreSQL documentation), severities and limits.
const (
	stateConnectionFailure      = "08006"
	stateProtocolViolation      = "08P01"
	stateNotSupported           = "0A000"
	stateInvalidEncoding        = "22021"
	stateInvalidText            = "22P02"
	stateInvalidBinary          = "22P03"
	stateConstraint             = "23000"
	stateNotNull                = "23502"
	stateForeignKey             = "23503"
	stateUnique                 = "23505"
	stateCheck                  = "23514"
	stateReadOnly               = "25006"
	stateNoTransaction          = "25P01"
	stateFailedTransaction      = "25P02"
	stateUndefinedStatement     = "26000"
	stateUndefinedPortal        = "34000"
	stateSyntax                 = "42601"
	stateUndefinedColumn        = "42703"
	stateUndefinedObject        = "42704"
	stateMismatch               = "42804"
	stateUndefinedFunction      = "42883"
	stateUndefinedTable         = "42P01"
	stateDuplicateTable         = "42P07"
	stateTooManyConnections     = "53300"
	stateLimitExceeded          = "54000"
	stateNotInPrerequisiteState = "55000"
	stateLockNotAvailable       = "55P03"
	stateQueryCanceled          = "57014"
	stateAdminShutdown          = "57P01"
	stateInternal               = "XX000"
	severityError               = "ERROR"
	severityFatal               = "FATAL"
	maxResultBytes              = 64 << 20 // bounds the memory of one result
	maxMessageBytes             = 16 << 20 // bounds the memory of one request
	maxCachedStatements         = 512      // per copy; keeps the statements of a load test compiled
	maxOutstandingOutputBytes   = 64 << 10 // more is sent before a batch ends, which bounds its memory
)

func newError(op string, kind Kind, state, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, SQLState: state, Err: errors.Newf(format, args...)}
}

// errorResponse converts err to the message that the client receives.
func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	state, text := stateInternal, err.Error()
	var e *Error
	if errors.As(err, &e) {
		text = e.Err.Error()
		if e.SQLState != "" {
			state = e.SQLState
		}
	}
	return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: state, Message: text}
}

// sqliteStates maps extended result codes of SQLite to SQLSTATE codes.
var sqliteStates = map[int32]string{
	sqlite3.SQLITE_CONSTRAINT_UNIQUE:     stateUnique,
	sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY: stateUnique,
	sqlite3.SQLITE_CONSTRAINT_ROWID:      stateUnique,
	sqlite3.SQLITE_CONSTRAINT_NOTNULL:    stateNotNull,
	sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY: stateForeignKey,
	sqlite3.SQLITE_CONSTRAINT_CHECK:      stateCheck,
	sqlite3.SQLITE_CONSTRAINT_DATATYPE:   stateMismatch,
	sqlite3.SQLITE_CONSTRAINT:            stateConstraint,
	sqlite3.SQLITE_INTERRUPT:             stateQueryCanceled,
	sqlite3.SQLITE_BUSY:                  stateLockNotAvailable,
	sqlite3.SQLITE_LOCKED:                stateLockNotAvailable,
	sqlite3.SQLITE_MISMATCH:              stateInvalidText,
	sqlite3.SQLITE_TOOBIG:                stateLimitExceeded,
}

// sqliteMessages maps substrings of SQLite's messages to SQLSTATE codes, because
// SQLite reports all these errors with the same result code.
var sqliteMessages = []struct{ part, state string }{
	{"no such table", stateUndefinedTable},
	{"no such column", stateUndefinedColumn},
	{"has no column named", stateUndefinedColumn},
	{"no such function", stateUndefinedFunction},
	{"already exists", stateDuplicateTable},
	{"syntax error", stateSyntax},
	{"incomplete input", stateSyntax},
	{"unrecognized token", stateSyntax},
}

// sqliteError converts an error of SQLite; code is an extended result code.
func sqliteError(op string, code int32, text string) *Error {
	state, ok := sqliteStates[code]
	if !ok {
		state, ok = sqliteStates[code&0xff]
	}
	if !ok {
		state = stateInternal
		for _, t := range sqliteMessages {
			if strings.Contains(text, t.part) {
				state = t.state
				break
			}
		}
	}
	return newError(op, KindStatement, state, "%s", text)
}
