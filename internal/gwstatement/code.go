package gwstatement

import (
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// Code says why a statement failed.
type Code uint8

// Codes of failures. The codes up to TooMany guarantee that nothing of the caller's
// attempt was committed.
const (
	Busy Code = iota + 1
	Aborted
	Lagging
	ReadOnly
	Misrouted
	TooMany
	// Failed means that the statement ran and failed.
	Failed
	// TimedOut means that the statement was abandoned while it ran.
	TimedOut
	// Unknown means that the statement may have run.
	Unknown
	// NoStatement means that no statement is prepared under the name.
	NoStatement
	// Malformed means that the statement cannot be parsed or is not allowed at this point.
	Malformed
	// NoDatabase means that the database does not exist.
	NoDatabase
	// NotAuthenticated means that the caller's API key is unknown or has been withdrawn.
	NotAuthenticated
	// Other is any code that this version does not know.
	Other
)

// sqlStates maps codes to the SQLSTATEs that package gwbackend reports.
var sqlStates = map[Code]string{
	Busy: "53000", Aborted: "40000", Lagging: "55000", ReadOnly: "25006", Misrouted: "57P03", TooMany: "53300",
	Failed: "XX000", TimedOut: "57014", Unknown: "40003", NoStatement: "26000", Malformed: "42601", NoDatabase: "3D000", NotAuthenticated: "28000", Other: "XX000",
}

// SQLState returns the SQLSTATE of the code.
func (c Code) SQLState() string { return sqlStates[c] }

// refusalEvents maps the codes after which the statement certainly has not run to events.
var refusalEvents = map[Code]gwoutcome.Event{
	Busy: gwoutcome.QueueFull, Lagging: gwoutcome.TooStale, ReadOnly: gwoutcome.ServerReadOnly, Misrouted: gwoutcome.ServerRefused, TooMany: gwoutcome.ServerRefused,
}

// Scope describes the context of a failed statement.
type Scope struct {
	// Transaction means that the statement belongs to a transaction.
	Transaction bool
	// Commits means that success would have committed writes: a single write, or the
	// commit of a transaction that may write.
	Commits bool
}

// CodeOf returns the code with which to answer the caller of an attempt that ended
// with e.
//
// If success would not have committed anything, nothing is committed, whether the
// statement ran or not: its transaction ends without a commit.
func CodeOf(e gwoutcome.Event, s Scope) Code {
	if _, unknown := gwoutcome.Of(e, Position{}).(gwoutcome.Unknown); unknown {
		if s.Commits {
			return Unknown
		}
		return Aborted
	}
	switch {
	case e == gwoutcome.OverQuota:
		return Busy // the first statement of a transaction, of which nothing ran
	case s.Transaction:
		return Aborted
	case e == gwoutcome.TooStale, e == gwoutcome.FreshnessUnknown:
		return Lagging
	default:
		return Busy
	}
}
