package gwload

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// BadOption means that an option has an invalid value, or an instance is not running.
	BadOption Kind = iota + 1
	// BadRun means that a run file is malformed or has another version.
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
