package gwdeploy

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// UnknownDeployment means that there is no deployment of that name.
	UnknownDeployment Kind = iota + 1
	// UnknownFault means that there is no fault of that name.
	UnknownFault
	// NotReady means that the deployment did not become ready in time.
	NotReady
)

// Error is the error type of this package.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
	Err    error
}

// Error returns the operation, the detail and the cause in one line.
func (e *Error) Error() string {
	s := e.Op + ": " + e.Detail
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }
