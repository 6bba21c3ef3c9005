package gwcontrol

import "fmt"

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// BadManifest means that a committed manifest could not be decompressed or parsed.
	BadManifest Kind = iota + 1
	// Gap means that a delta starts at a later index than the state that it is applied to.
	Gap
	// NotLeader means that the instance is not the leader of the replicated log.
	NotLeader
	// Refused means that a request was invalid or that the state machine rejected it.
	Refused
	// Unavailable means that the request could not be completed now, for example because
	// no quorum or no leader was reached in time.
	Unavailable
	// UnknownServer means that no backend server of that name has announced itself.
	UnknownServer
	// BadServer means that what is said of a backend server cannot be used.
	BadServer
)

// String returns the name of the kind; that of Refused is also an error code between peers.
func (k Kind) String() string {
	switch k {
	case BadManifest:
		return "bad manifest"
	case Gap:
		return "missing earlier changes"
	case NotLeader:
		return "not the leader"
	case Refused:
		return "refused"
	case Unavailable:
		return "unavailable"
	case UnknownServer:
		return "unknown backend server"
	case BadServer:
		return "unusable backend server"
	default:
		return fmt.Sprintf("kind %d", int(k))
	}
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Detail adds to the kind, for example the name of the leader or the reason of a refusal.
	Detail string
	Err    error
}

// Error formats the operation, the kind, the detail and the cause.
func (e *Error) Error() string {
	s := e.Op + ": " + e.Kind.String()
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
