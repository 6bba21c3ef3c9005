package gwtrace

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// Malformed means that a trace file is not in the trace format.
	Malformed Kind = iota + 1
	// UnknownName means that a trace or a flag has an unknown scenario or fault.
	UnknownName
	// NotReplayed means that the replay could not start or complete.
	NotReplayed
	// NothingToRepair means that a repair is not preceded by a fault that it could repair.
	NothingToRepair
)

// Error is the error type of this package.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
	Err    error
}

// Error formats the operation, the detail and the cause.
func (e *Error) Error() string {
	s := e.Op
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
