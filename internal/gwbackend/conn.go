package gwbackend

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"gentianward.example/gentianward/pkg/gwsession"
)

const (
	readBufferBytes   = 16 << 10
	largeBufferBytes  = 64 << 10 // reads of 64 KiB instead of 16 KiB make a 120 kB answer cheaper
	maxInspectedBytes = 1 << 20  // largest message that is read as a whole, such as an ErrorResponse
	errorStartBytes   = 4 << 10  // part of a longer ErrorResponse that is inspected; it holds the SQLSTATE
	maxDiscardedBytes = 1 << 20  // answer bytes discarded after the sink failed; above it, a new connection is cheaper

	defaultStatements    = 256
	defaultCancelGrace   = 250 * time.Millisecond
	defaultWriteTimeout  = 30 * time.Second
	positionParameter    = "gentianward.position"
	cancelRequestTimeout = time.Second
)

// Options describes how to connect to a backend server.
type Options struct {
	Name       string // name in errors; the address if empty
	Address    string // host:port
	User       string
	Password   string
	Database   string
	TLS        *tls.Config // nil: cleartext
	Parameters map[string]string

	MaxStatements int           // maximum of prepared statements per connection; 0: 256
	CancelGrace   time.Duration // wait for the answer after a cancel request; 0: 250 ms
	// DialContext opens the network connection; nil means a net.Dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// OnPosition receives each position that the server reports; nil ignores them.
	// It is called by the connection's reader goroutine and must not block.
	OnPosition func(gwsession.Position)
}

// Conn is one PostgreSQL connection. A reader goroutine runs as long as the connection
// is open, so that its end and unsolicited positions are noticed while it is idle.
type Conn struct {
	CloseNotifier

	o      Options
	nc     net.Conn
	pid    uint32
	secret []byte
	params map[string]string

	mu      sync.Mutex
	current *exchange // exchange whose answer is outstanding
	err     error     // why the connection closed

	unusable   atomic.Bool
	finished   chan struct{} // signals the end of the current exchange
	readerDone chan struct{}

	x            exchange // reused by each exchange
	statements   statementCache
	wbuf         []byte
	txStatus     byte
	sessionDirty bool // session state, such as a parameter, may differ from a new connection's

	// Used by the reader goroutine only.
	smallBuffer      []byte  // owned by the connection
	largeBuffer      *[]byte // from largeBuffers, while a long answer is read
	rbuf             []byte  // smallBuffer, *largeBuffer or a larger one
	r, w             int     // rbuf[r:w] is read and not yet processed
	forwardRemaining int     // bytes of a forwarded message that are not in rbuf yet
}

// terminateMessage ends a session.
var terminateMessage = []byte{'X', 0, 0, 0, 4}

// Dial connects and authenticates.
func Dial(ctx context.Context, o Options) (*Conn, error) {
	if o.Name == "" {
		o.Name = o.Address
	}
	cfg, err := connConfig(o)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindNotSent, Server: o.Name, Err: err}
	}
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindNotSent, Server: o.Name, Err: err}
	}
	h, err := hijack(ctx, pc)
	if err != nil {
		_ = pc.Close(ctx)
		return nil, &Error{Op: "dial", Kind: KindNotSent, Server: o.Name, Err: err}
	}
	return newConn(o, h), nil
}

// hijack takes over the network connection of pc. It first stops pgconn's background reader,
// which pgconn starts when a write takes longer than 15 ms, as the startup message does on a
// busy machine. Left running, it takes the answer to the first request, which then never ends.
func hijack(ctx context.Context, pc *pgconn.PgConn) (*pgconn.HijackedConn, error) {
	if err := pc.SyncConn(ctx); err != nil {
		return nil, err
	}
	return pc.Hijack()
}

func newConn(o Options, h *pgconn.HijackedConn) *Conn {
	if o.MaxStatements <= 0 {
		o.MaxStatements = defaultStatements
	}
	if o.CancelGrace <= 0 {
		o.CancelGrace = defaultCancelGrace
	}
	_ = h.Conn.SetDeadline(time.Time{})
	c := &Conn{
		o: o, nc: h.Conn, pid: h.PID, secret: h.SecretKey, params: h.ParameterStatuses,
		finished: make(chan struct{}, 1), readerDone: make(chan struct{}),
		txStatus: 'I', smallBuffer: make([]byte, readBufferBytes),
	}
	c.rbuf = c.smallBuffer
	c.statements.limit = o.MaxStatements
	if p, err := gwsession.ParsePosition(c.params[positionParameter]); err == nil && o.OnPosition != nil {
		o.OnPosition(p)
	}
	go c.readLoop()
	return c
}

func connConfig(o Options) (*pgconn.Config, error) {
	cfg, err := pgconn.ParseConfig("sslmode=disable host=127.0.0.1 port=5432 user=gentianward database=postgres")
	if err != nil {
		return nil, err
	}
	host, port, err := net.SplitHostPort(o.Address)
	if err != nil {
		return nil, err
	}
	p, err := net.LookupPort("tcp", port)
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port = host, uint16(p)
	cfg.User, cfg.Password, cfg.Database = o.User, o.Password, o.Database
	cfg.TLSConfig, cfg.Fallbacks = o.TLS, nil
	cfg.RuntimeParams = map[string]string{}
	for k, v := range o.Parameters {
		cfg.RuntimeParams[k] = v
	}
	if o.DialContext != nil {
		cfg.DialFunc = o.DialContext
		cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	}
	// The default reader may buffer messages that follow ReadyForQuery; they
	// would be lost when the connection is hijacked.
	cfg.BuildFrontend = func(r io.Reader, w io.Writer) *pgproto3.Frontend {
		return pgproto3.NewFrontend(&frameReader{r: r}, w)
	}
	return cfg, nil
}

// Usable reports whether another exchange can run on the connection.
func (c *Conn) Usable() bool { return !c.unusable.Load() }

// TxStatus returns the transaction status of the last ReadyForQuery.
func (c *Conn) TxStatus() byte { return c.txStatus }

// Parameter returns the value of a ParameterStatus that the server sent at startup.
func (c *Conn) Parameter(name string) string { return c.params[name] }

// Err returns why the connection closed, nil while it is open.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Close closes the connection and waits for its reader goroutine.
func (c *Conn) Close() error {
	if !c.unusable.Swap(true) {
		_ = c.nc.SetWriteDeadline(time.Now().Add(cancelRequestTimeout))
		_, _ = c.nc.Write(terminateMessage)
	}
	err := c.nc.Close()
	<-c.readerDone
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// closeWithError closes the connection and ends the current exchange with err.
func (c *Conn) closeWithError(err error) {
	c.unusable.Store(true)
	_ = c.nc.Close()
	c.mu.Lock()
	c.err = err
	x := c.current
	c.current = nil
	c.mu.Unlock()
	if x != nil {
		x.err = err
		c.finished <- struct{}{}
	}
	c.MarkClosed()
}

// sendCancelRequest asks the server to cancel the running statement.
func (c *Conn) sendCancelRequest() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelRequestTimeout)
	defer cancel()
	dial := c.o.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	nc, err := dial(ctx, "tcp", c.o.Address)
	if err != nil {
		return
	}
	defer nc.Close()
	b, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return
	}
	_ = nc.SetDeadline(time.Now().Add(cancelRequestTimeout))
	if _, err := nc.Write(b); err != nil {
		return
	}
	// The server closes the connection once it has handled the request.
	_, _ = nc.Read(make([]byte, 1))
}
