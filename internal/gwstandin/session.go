package gwstandin

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"gentianward.example/gentianward/pkg/gwsession"
)

// Transaction states of ReadyForQuery.
const (
	txIdle   byte = 'I'
	txOpen   byte = 'T'
	txFailed byte = 'E'
)

// session is one client connection. Its fields belong to the goroutine that
// serves the connection, except for those under mu.
type session struct {
	server  *Server
	run     *run
	conn    *gatedConn
	backend *pgproto3.Backend
	out     []byte
	id      uint32
	secret  []byte

	status    byte
	readOnly  bool      // BEGIN READ ONLY
	txn       *writeTxn // the open write transaction, if any
	implicit  bool      // txn ends with the request, not with COMMIT
	committed gwsession.Position
	lost      bool // the connection ends without the outstanding answers

	stmts   map[string]*prepared
	portals map[string]*portal
	skip    bool // an error occurred; messages up to Sync are ignored

	mu      sync.Mutex
	ctx     context.Context // of the current statement
	cancel  context.CancelFunc
	busy    bool
	running *database // interrupted by a cancel request
}

// errTerminate ends a session without a message.
var errTerminate = errors.New("session ended")

// serve handles one accepted connection until it ends.
func (s *Server) serve(r *run, conn net.Conn) {
	gated := &gatedConn{Conn: conn, ctx: r.ctx, faults: s.faults}
	c := &session{
		server: s, run: r, conn: gated,
		backend: pgproto3.NewBackend(gated, gated),
		status:  txIdle,
		stmts:   make(map[string]*prepared),
		portals: make(map[string]*portal),
	}
	c.backend.SetMaxBodyLen(maxMessageBytes)
	c.ctx, c.cancel = context.WithCancel(r.ctx)
	defer func() { c.cancel() }()
	params, err := c.startup()
	if err != nil || params == nil {
		return
	}
	if params[replicationParameter] == replicationValue {
		s.serveReplica(r, conn, c.backend)
		return
	}
	if !c.register() {
		c.fatal(newError("connect", KindLimit, stateTooManyConnections, "sorry, too many clients already"))
		return
	}
	defer c.unregister()
	if err := s.sleep(r.ctx, s.o.ConnectCost); err != nil {
		return
	}
	c.welcome()
	if err := c.flush(); err != nil {
		return
	}
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			return
		}
		if err := c.handle(msg); err != nil {
			return
		}
	}
}

// startup returns the parameters of the startup message, nil if the
// connection carried a cancel request.
func (c *session) startup() (map[string]string, error) {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		if m, ok := msg.(*pgproto3.StartupMessage); ok && m.Parameters[replicationParameter] == replicationValue {
			return m.Parameters, nil
		}
		if err := c.conn.isClient(); err != nil {
			return nil, err
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			c.run.cancelSession(m.ProcessID, m.SecretKey)
			return nil, nil
		case *pgproto3.StartupMessage:
			if m.ProtocolVersion > pgproto3.ProtocolVersion30 {
				c.send(&pgproto3.NegotiateProtocolVersion{})
			}
			return m.Parameters, nil
		}
	}
}

const secretBytes = 4 // length of the key in protocol 3.0

// register takes a place under the connection limit.
func (c *session) register() bool {
	c.secret = make([]byte, secretBytes)
	if _, err := rand.Read(c.secret); err != nil {
		return false
	}
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	if limit := c.server.o.Connections; limit > 0 && len(c.run.sessions) >= limit {
		return false
	}
	c.run.nextID++
	c.id = c.run.nextID
	c.run.sessions[c.id] = c
	return true
}

func (c *session) unregister() {
	c.rollback()
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	delete(c.run.sessions, c.id)
}

// welcome accepts every user without a password.
func (c *session) welcome() {
	c.send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		c.send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.send(&pgproto3.BackendKeyData{ProcessID: c.id, SecretKey: c.secret})
	c.send(&pgproto3.ReadyForQuery{TxStatus: c.status})
}

// handle processes one message. An error ends the connection.
func (c *session) handle(msg pgproto3.FrontendMessage) error {
	c.begin()
	defer c.end()
	switch m := msg.(type) {
	case *pgproto3.Query:
		c.simpleQuery(m.String)
		c.ready()
	case *pgproto3.Sync:
		c.skip = false
		c.endImplicit()
		clear(c.portals)
		c.ready()
	case *pgproto3.Terminate:
		return errTerminate
	case *pgproto3.Flush:
		return c.flush()
	default:
		if !c.skip {
			if err := c.extended(msg); err != nil {
				c.fail(err)
				c.skip = true
			}
		}
		if len(c.out) < maxOutstandingOutputBytes {
			return c.lostError()
		}
	}
	return c.flush()
}

func (c *session) lostError() error {
	if c.lost {
		return errTerminate
	}
	return nil
}

// begin makes the session accept cancel requests.
func (c *session) begin() {
	c.mu.Lock()
	c.busy = true
	c.mu.Unlock()
}

func (c *session) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if c.ctx.Err() != nil && c.run.ctx.Err() == nil {
		c.ctx, c.cancel = context.WithCancel(c.run.ctx)
	}
}

func (r *run) cancelSession(id uint32, secret []byte) {
	r.mu.Lock()
	c := r.sessions[id]
	r.mu.Unlock()
	if c == nil || subtle.ConstantTimeCompare(c.secret, secret) != 1 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		return
	}
	c.cancel()
	if c.running != nil {
		c.running.interrupt()
	}
}

// execOn runs st on its database such that a cancel request interrupts it.
func (c *session) execOn(st *stmt, args []any, row func(st *stmt) error) (int64, error) {
	c.mu.Lock()
	if err := c.ctx.Err(); err != nil {
		c.mu.Unlock()
		return 0, err
	}
	c.running = st.db
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.running = nil
		c.mu.Unlock()
	}()
	return st.run(args, row)
}

// send adds a message to the output.
func (c *session) send(msg pgproto3.BackendMessage) {
	out, err := msg.Encode(c.out)
	if err != nil {
		c.server.o.Logger.Error("encoding a message failed", "error", err)
		c.lost = true
		return
	}
	c.out = out
}

func (c *session) flush() error {
	if c.lost {
		return errTerminate
	}
	if len(c.out) == 0 {
		return nil
	}
	_, err := c.conn.Write(c.out)
	c.out = c.out[:0]
	if cap(c.out) > maxOutstandingOutputBytes*4 {
		c.out = nil
	}
	return err
}

// fail reports an error to the client and fails the open transaction.
func (c *session) fail(err error) {
	if errors.Is(err, context.Canceled) {
		if c.run.ctx.Err() != nil {
			c.lost = true
			return
		}
		err = newError("execute", KindStatement, stateQueryCanceled, "canceling statement due to user request")
	}
	c.send(errorResponse(severityError, err))
	switch {
	case c.implicit:
		c.rollback()
	case c.status == txOpen:
		c.status = txFailed
	}
}

func (c *session) fatal(err error) {
	c.send(errorResponse(severityFatal, err))
	if err := c.flush(); err != nil {
		c.server.o.Logger.Debug("refused connection ended early", "error", err)
	}
}

// ready ends a request. The position comes before ReadyForQuery, so that a
// client knows it when it learns that its write is committed.
func (c *session) ready() {
	if !c.committed.IsZero() {
		c.send(&pgproto3.ParameterStatus{Name: positionParameter, Value: c.committed.String()})
		c.committed = gwsession.Position{}
	}
	c.send(&pgproto3.ReadyForQuery{TxStatus: c.status})
}
