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

// Transaction status bytes of ReadyForQuery.
const (
	txIdle   byte = 'I'
	txOpen   byte = 'T'
	txFailed byte = 'E'
)

// session is one client connection. Only the goroutine that serves the
// connection uses its fields, except for those that mu guards.
type session struct {
	server  *Server
	run     *serverRun
	conn    *faultConn
	backend *pgproto3.Backend
	output  []byte
	id      uint32
	user    string
	secret  []byte

	txStatus       byte
	readOnly       bool               // the transaction block began with READ ONLY
	txn            *writeTxn          // the open write transaction, if any
	implicit       bool               // txn is outside a transaction block and ends with the request
	commitPosition gwsession.Position // of a commit not yet reported to the client
	disconnect     bool               // end the connection without sending the pending output

	stmts      map[string]*prepared
	portals    map[string]*portal
	skipToSync bool // after an error: ignore messages up to Sync

	mu      sync.Mutex      // guards the fields below
	ctx     context.Context // of the current request; ended by a cancel request
	cancel  context.CancelFunc
	busy    bool      // a request is being handled
	running *database // executes a statement; interrupted by a cancel request
}

// errTerminate ends a session without a message.
var errTerminate = errors.New("session ended")

// serve handles one accepted connection until it ends.
func (s *Server) serve(r *serverRun, conn net.Conn) {
	fc := &faultConn{Conn: conn, ctx: r.ctx, faults: s.faults}
	c := &session{
		server: s, run: r, conn: fc,
		backend:  pgproto3.NewBackend(fc, fc),
		txStatus: txIdle,
		stmts:    make(map[string]*prepared),
		portals:  make(map[string]*portal),
	}
	c.backend.SetMaxBodyLen(maxMessageBytes)
	c.ctx, c.cancel = context.WithCancel(r.ctx)
	defer func() { c.cancel() }()
	params, err := c.receiveStartup()
	if err != nil || params == nil {
		return
	}
	if params[replicationParameter] == replicationValue {
		s.replicateTo(r, conn, c.backend)
		return
	}
	c.user = params["user"]
	if !c.register() {
		c.fatal(newError("start session", KindLimit, stateTooManyConnections, "sorry, too many clients already"))
		return
	}
	defer c.unregister()
	if err := s.sleep(r.ctx, s.o.ConnectCost); err != nil {
		return
	}
	c.finishStartup()
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

// receiveStartup returns the parameters of the startup message, nil if the
// connection carried a cancel request.
func (c *session) receiveStartup() (map[string]string, error) {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		if m, ok := msg.(*pgproto3.StartupMessage); ok && m.Parameters[replicationParameter] == replicationValue {
			return m.Parameters, nil
		}
		if err := c.conn.markClient(); err != nil {
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

// register adds the session to the run. It returns false if the connection limit
// is reached or no cancel key can be generated.
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

// unregister rolls back the open transaction and removes the session from the run.
func (c *session) unregister() {
	c.rollback()
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	delete(c.run.sessions, c.id)
}

// finishStartup completes the startup; every user is accepted without a password.
func (c *session) finishStartup() {
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
	c.send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus})
}

// handle processes one message. An error ends the connection.
func (c *session) handle(msg pgproto3.FrontendMessage) error {
	c.beginRequest()
	defer c.endRequest()
	switch m := msg.(type) {
	case *pgproto3.Query:
		c.simpleQuery(m.String)
		c.finishRequest()
	case *pgproto3.Sync:
		c.skipToSync = false
		c.commitImplicit()
		clear(c.portals)
		c.finishRequest()
	case *pgproto3.Terminate:
		return errTerminate
	case *pgproto3.Flush:
		return c.flush()
	default:
		if !c.skipToSync {
			if err := c.handleExtended(msg); err != nil {
				c.fail(err)
				c.skipToSync = true
			}
		}
		if len(c.output) < maxOutstandingOutputBytes {
			return c.disconnectError()
		}
	}
	return c.flush()
}

// disconnectError returns errTerminate if the connection must end.
func (c *session) disconnectError() error {
	if c.disconnect {
		return errTerminate
	}
	return nil
}

// beginRequest makes the session accept cancel requests.
func (c *session) beginRequest() {
	c.mu.Lock()
	c.busy = true
	c.mu.Unlock()
}

// endRequest makes the session ignore cancel requests and replaces the context if
// one has ended it.
func (c *session) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if c.ctx.Err() != nil && c.run.ctx.Err() == nil {
		c.ctx, c.cancel = context.WithCancel(c.run.ctx)
	}
}

// cancelSession cancels the current request of a session if the cancel key matches.
func (r *serverRun) cancelSession(id uint32, secret []byte) {
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

// execInterruptible runs st on its database such that a cancel request interrupts it.
func (c *session) execInterruptible(st *stmt, args []any, row func(st *stmt) error) (int64, error) {
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

// send appends a message to the pending output.
func (c *session) send(msg pgproto3.BackendMessage) {
	out, err := msg.Encode(c.output)
	if err != nil {
		c.server.o.Logger.Error("encoding a message to a client failed", "error", err)
		c.disconnect = true
		return
	}
	c.output = out
}

func (c *session) flush() error {
	if c.disconnect {
		return errTerminate
	}
	if len(c.output) == 0 {
		return nil
	}
	_, err := c.conn.Write(c.output)
	c.output = c.output[:0]
	if cap(c.output) > maxOutstandingOutputBytes*4 {
		c.output = nil
	}
	return err
}

// fail reports an error to the client. It rolls back an implicit transaction and
// marks a transaction block as failed.
func (c *session) fail(err error) {
	if errors.Is(err, context.Canceled) {
		if c.run.ctx.Err() != nil {
			c.disconnect = true
			return
		}
		err = newError("execute statement", KindStatement, stateQueryCanceled, "canceling statement due to user request")
	}
	c.send(errorResponse(severityError, err))
	switch {
	case c.implicit:
		c.rollback()
	case c.txStatus == txOpen:
		c.txStatus = txFailed
	}
}

// fatal reports an error that ends the connection.
func (c *session) fatal(err error) {
	c.send(errorResponse(severityFatal, err))
	if err := c.flush(); err != nil {
		c.server.o.Logger.Debug("sending the reason to a refused client failed", "error", err)
	}
}

// finishRequest appends ReadyForQuery. The position of a commit precedes it, so
// that a client knows the position when it learns that its write is committed.
func (c *session) finishRequest() {
	if !c.commitPosition.IsZero() {
		c.send(&pgproto3.ParameterStatus{Name: positionParameter, Value: c.commitPosition.String()})
		c.commitPosition = gwsession.Position{}
	}
	c.send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus})
}
