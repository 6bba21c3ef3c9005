package gwtrace

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"

	"gentianward.example/gentianward/pkg/gwoutcome"
)

// Outcome is what a caller knows about one of its requests.
type Outcome string

// Outcomes of requests.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
	// Failed is an SQL error: the request ran and failed.
	Failed Outcome = "failed"
)

// codeAdminShutdown ends a session between requests: a planned stop cuts no
// request in flight, so one that crosses it did not run.
const codeAdminShutdown = "57P01"

// Classify returns the outcome that an error tells a caller, as an ordinary
// client judges it by SQLSTATE.
func Classify(err error) Outcome {
	if err == nil {
		return Done
	}
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		switch pg.Code {
		case gwoutcome.SQLStateNotRun, codeAdminShutdown:
			return NotRun
		case gwoutcome.SQLStateConnectionUnknown, gwoutcome.SQLStateCompletionUnknown:
			return Unknown
		default:
			return Failed
		}
	}
	var connect *pgconn.ConnectError
	if errors.As(err, &connect) || pgconn.SafeToRetry(err) {
		return NotRun
	}
	return Unknown
}
