package gwstatement

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwtelemetry"
)

// Kind classifies errors of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindProtocol means that the other side violated the protocol.
	KindProtocol Kind = iota + 1
	// KindEncode means that a message cannot be encoded, so that nothing was sent.
	KindEncode
	// KindNetwork means that a connection failed.
	KindNetwork
	// KindShutdown means that the server is stopping.
	KindShutdown
)

// String returns the kind in words.
func (k Kind) String() string {
	switch k {
	case KindProtocol:
		return "protocol violation"
	case KindEncode:
		return "not encodable"
	case KindNetwork:
		return "network failure"
	default:
		return "shutting down"
	}
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Reason is one of few constants that tell why a message cannot be read, for metrics,
	// and Bytes the length of that message as far as it was read.
	Reason string
	Bytes  int
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether e means that a reply cannot be read, or that a message cannot be encoded,
// in the terms of package gwbackend.
func (e *Error) Is(target error) bool {
	switch e.Kind {
	case KindProtocol:
		return target == gwbackend.ErrUnreadable
	case KindEncode:
		return target == gwbackend.ErrNotEncodable
	default:
		return false
	}
}

// recordUnreadable records err if it means that a message cannot be read, rather than that
// the connection has ended between two messages.
func recordUnreadable(u *gwtelemetry.Unreadable, from, peer string, err error) {
	var own *Error
	switch {
	case errors.As(err, &own) && own.Kind == KindProtocol:
		u.Record(from, peer, own.Reason, own.Bytes, err)
	case errors.Is(err, io.ErrUnexpectedEOF):
		u.Record(from, peer, "cut", 0, err)
	}
}
