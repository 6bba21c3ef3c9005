package gwstatement

import (
	"fmt"
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// Kind classifies errors of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindProtocol means that the other side violated the protocol.
	KindProtocol Kind = iota + 1
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
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// unreadableReason returns why a message cannot be read, and false if err is nil or only
// means that the connection has ended.
func unreadableReason(err error) (string, bool) {
	var network net.Error
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network) {
		return "", false
	}
	return "format", true
}
