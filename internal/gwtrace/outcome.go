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
	// Failed means that the request ran and failed with an SQL error.
	Failed Outcome = "failed"
)

// codeAdminShutdown is the SQLSTATE with which a planned stop ends a session between
// requests. The stop interrupts no request in flight, so a request that fails with
// this code did not run.
const codeAdminShutdown = "57P01"

// Classify returns the outcome that an ordinary client infers from the SQLSTATE of an error
// or, if it has none, from whether the request was sent.
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
