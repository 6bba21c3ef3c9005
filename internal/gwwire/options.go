package gwwire

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"gentianward.example/gentianward/internal/gwbackend"
)

// Handler accepts callers and creates their sessions.
type Handler interface {
	// Authenticate creates the session of a caller whose credential has been
	// verified. An error ends the connection; see Fatal.
	Authenticate(ctx context.Context, s Startup) (Session, error)
}

// Session runs the requests of one caller session.
type Session interface {
	// Handle runs one request and writes the response to w. The request is valid
	// until Handle returns. ctx is canceled when the caller cancels the request or is
	// found to have disconnected, and when the session is terminated; Handle must then
	// return promptly. An error ends the session.
	Handle(ctx context.Context, req Request, w ResponseWriter) error
	// Close releases the resources of the session, such as an open transaction.
	Close()
}

// Startup describes a caller that opens a session.
type Startup struct {
	User       string
	Database   string
	Parameters map[string]string // from the startup message, including those set in its "options" parameter
	TLS        bool
	Remote     net.Addr
}

// SessionTokenParameter is the startup parameter that carries a session token.
const SessionTokenParameter = "gentianward.session"

// SessionToken returns the session token that the caller presented, or "" if there is
// none.
func (s Startup) SessionToken() string { return s.Parameters[SessionTokenParameter] }

// RequestKind is the protocol form of a request.
type RequestKind uint8

// Kinds of requests.
const (
	Simple   RequestKind = iota + 1 // simple query protocol: one Query message
	Extended                        // extended query protocol: a batch of messages that ends with Sync
)

// Request is one request of a caller.
type Request struct {
	Kind RequestKind
	// SQL is the text of a simple query, or the first statement that a batch executes.
	// For a batch that executes none, it is the first one that the batch parses or
	// describes.
	SQL string
	// Several is true for a batch that executes other statements after SQL, or that
	// executes none and parses or describes others.
	Several bool
	// Executes is false for a batch that executes no statement.
	Executes bool
	// Messages are the encoded frontend messages, with global statement names.
	Messages []byte
	// Prepared lists the statements that Messages use without parsing them.
	Prepared []gwbackend.PreparedStatement
}

// BackendRequest returns the request as a gwbackend.Request.
func (r Request) BackendRequest() gwbackend.Request {
	return gwbackend.Request{Messages: r.Messages, Prepared: r.Prepared}
}

// ResponseWriter writes the response to one request. The response is buffered and sent
// when the request ends or the buffer of 16 KiB is full.
type ResponseWriter interface {
	// Write writes encoded backend messages; a call may contain partial messages.
	// ReadyForQuery is withheld until Handle returns, so that a ParameterStatus can
	// still precede it.
	io.Writer
	// Error writes an ErrorResponse. status is the transaction status in the
	// ReadyForQuery that ends the response.
	Error(e *pgconn.PgError, status byte)
	// ParameterStatus writes a ParameterStatus message.
	ParameterStatus(name, value string)
	// Complete writes the whole response to req without a backend server: the given
	// command tag and no rows. An empty tag means an empty query.
	Complete(req Request, tag string, status byte)
	// Discard drops the response written so far, so that a new one can be written.
	// It returns false if a part has already been sent or the connection has failed.
	Discard() bool
}

// Credential specifies how a caller is authenticated.
type Credential struct {
	Verifier string // SCRAM-SHA-256 verifier in PostgreSQL's format
	Trust    bool   // needs no password, over loopback and with Options.TrustLoopback only
}

// LookupCredential returns the credential of a caller; ok is false if the caller does
// not exist.
type LookupCredential func(ctx context.Context, s Startup) (c Credential, ok bool, err error)

// CancelForwarder forwards cancel requests whose key belongs to no session of this
// Server.
type CancelForwarder interface {
	ForwardCancel(ctx context.Context, key CancelKey)
}

// Limits are the resource limits of callers. Zero values mean the defaults.
type Limits struct {
	Connections      int           // open connections; default 10,000
	Handshake        time.Duration // from accept to the end of authentication; default 10 s
	MessageBytes     int           // size of one message and of one batch; default 16 MiB
	Statements       int           // named prepared statements, and named portals, per session; default 1,000
	StatementBytes   int           // size of the named prepared statements and portals of a session; default 16 MiB
	IdleTransaction  time.Duration // wait for the next message inside a transaction; 0: unlimited
	WriteTimeout     time.Duration // for one write to the caller; default 30 s
	CancelForwarding time.Duration // for forwarding one cancel request; default 5 s
}

func (l Limits) withDefaults() Limits {
	l.Connections = orDefault(l.Connections, 10_000)
	l.Handshake = orDefault(l.Handshake, 10*time.Second)
	l.MessageBytes = orDefault(l.MessageBytes, 16<<20)
	l.Statements = orDefault(l.Statements, 1000)
	l.StatementBytes = orDefault(l.StatementBytes, 16<<20)
	l.WriteTimeout = orDefault(l.WriteTimeout, 30*time.Second)
	l.CancelForwarding = orDefault(l.CancelForwarding, 5*time.Second)
	return l
}

func orDefault[T int | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

// Options configures Serve.
type Options struct {
	Listener         net.Listener
	TLS              *tls.Config // nil: TLS requests are rejected
	Handler          Handler
	LookupCredential LookupCredential
	TrustLoopback    bool            // whether Credential.Trust is honored over loopback
	CancelForwarder  CancelForwarder // nil: cancel requests with unknown keys are ignored
	// CancelPrefix is the upper 16 bits of the process ID in the cancel keys that this
	// Server issues. It identifies the issuing instance to the other instances.
	CancelPrefix uint16
	Parameters   map[string]string // reported at startup, in addition to or instead of the defaults
	Limits       Limits
	Logger       *slog.Logger
}
