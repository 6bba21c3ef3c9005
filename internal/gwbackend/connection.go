package gwbackend

import "context"

// Connection is one connection to a backend server in any protocol. It runs one
// exchange at a time.
type Connection interface {
	// Exchange sends one request and copies the answer to sink; see Conn.Exchange.
	Exchange(ctx context.Context, req Request, sink Sink) (Result, error)
	// Usable reports whether another exchange can run on the connection.
	Usable() bool
	// TxStatus returns the transaction status of the last answer.
	TxStatus() byte
	// Clean reports whether any other caller may use the connection as it is.
	Clean() bool
	// Reset makes the connection clean.
	Reset(ctx context.Context) error
	// Close ends the connection and waits for its reader.
	Close() error
	// Abort closes the connection at once; an exchange in progress fails.
	Abort()
	// NotifyClose calls fn once, when the connection ends.
	NotifyClose(fn func())
}

// Recoverer is a Connection that can be used again after its exchange was given
// up, because the answer can be told apart and dropped.
type Recoverer interface {
	// Recover waits until the answer to the exchange that was given up has come.
	Recover(ctx context.Context) error
}

var _ Connection = (*Conn)(nil)

// Clean reports whether the connection is outside of a transaction and has the
// session state of a new one.
func (c *Conn) Clean() bool { return c.tx == 'I' && !c.stateful }

// Abort closes the connection at once; an exchange in progress fails.
func (c *Conn) Abort() {
	c.unusable.Store(true)
	_ = c.nc.Close()
}
