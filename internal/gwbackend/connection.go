package gwbackend

import (
	"context"
	"time"
)

// Connection is one connection to a backend server in any protocol. It runs one
// exchange at a time.
type Connection interface {
	// Exchange sends one request and copies the answer to sink; see Conn.Exchange.
	Exchange(ctx context.Context, req Request, sink Sink) (Result, error)
	// Usable reports whether another exchange can run on the connection.
	Usable() bool
	// TxStatus returns the transaction status of the last answer.
	TxStatus() byte
	// Clean reports whether another caller may use the connection without a Reset.
	Clean() bool
	// Reset makes the connection clean.
	Reset(ctx context.Context) error
	// Close closes the connection and waits for its reader goroutine.
	Close() error
	// Abort closes the connection at once; an exchange in progress fails.
	Abort()
	// NotifyClose calls fn once, when the connection closes.
	NotifyClose(fn func())
}

// Recoverer is a Connection that can be used again after an exchange was abandoned,
// because the late answer can be recognized and discarded.
type Recoverer interface {
	// Recover waits for the answer to the abandoned exchange and discards it.
	Recover(ctx context.Context) error
}

// Receiver is a Connection that knows whether an answer has begun to arrive.
type Receiver interface {
	// Receiving reports whether a part of the answer that is waited for has arrived. It may be
	// called while an exchange runs.
	Receiving() bool
}

// GracefulCloser is a Connection that can wait until the server has ended it.
type GracefulCloser interface {
	// CloseGracefully asks the server to end the connection, waits until it has done so but at
	// most for a time, and closes the connection. It reports whether the server ended it.
	CloseGracefully(wait time.Duration) bool
}

var (
	_ Connection     = (*Conn)(nil)
	_ GracefulCloser = (*Conn)(nil)
)

// CloseGracefully implements GracefulCloser.
func (c *Conn) CloseGracefully(wait time.Duration) bool {
	if !c.unusable.Swap(true) {
		_ = c.nc.SetWriteDeadline(time.Now().Add(wait))
		_, _ = c.nc.Write(terminateMessage)
	}
	ended := AwaitEnd(c.readerDone, wait)
	_ = c.Close()
	return ended
}

// AwaitEnd waits for the end of a connection's reader and reports whether it ended in time.
func AwaitEnd(readerDone <-chan struct{}, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-readerDone:
		return true
	case <-t.C:
		return false
	}
}

// Clean reports whether the connection is outside of a transaction and has the
// session state of a new one.
func (c *Conn) Clean() bool { return c.txStatus == 'I' && !c.sessionDirty }

// Abort closes the connection at once; an exchange in progress fails.
func (c *Conn) Abort() {
	c.unusable.Store(true)
	_ = c.nc.Close()
}
