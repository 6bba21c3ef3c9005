package gwload

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// BadOption means that an option has a value that is not accepted.
	BadOption Kind = iota + 1
	// BadRun means that a run file cannot be used.
	BadRun
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
	s := e.Op + ": " + e.Detail
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
