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

// Handler decides about new sessions and runs their requests.
type Handler interface {
	// Authenticate creates the session of a caller that has proved its
	// identity. An error ends the connection; see Fatal.
	Authenticate(ctx context.Context, s Startup) (Session, error)
}

// Session is one caller's session.
type Session interface {
	// Handle runs one request and writes its answer to w. The request is valid
	// until Handle returns. ctx ends when the caller cancels the request, is
	// found to have disconnected, or the session is ended; Handle then returns
	// soon. An error ends the session.
	Handle(ctx context.Context, req Request, w ResponseWriter) error
	// Close releases what the session holds, such as an open transaction.
	Close()
}

// Startup describes a new session.
type Startup struct {
	User       string
	Database   string
	Parameters map[string]string // of the startup message, and those set with -c in its options
	TLS        bool
	Remote     net.Addr
}

// SessionTokenParameter is the startup parameter that carries a session token.
const SessionTokenParameter = "gentianward.session"

// SessionToken returns the session token that the caller brought, "" if none.
func (s Startup) SessionToken() string { return s.Parameters[SessionTokenParameter] }

// RequestKind tells the two forms of requests apart.
type RequestKind uint8

// Kinds of requests.
const (
	Simple   RequestKind = iota + 1 // one Query message
	Extended                        // a batch that ends in Sync
)

// Request is one request of a caller.
type Request struct {
	Kind RequestKind
	// SQL is the text of a simple query, or the statements that the batch
	// executes, joined by ";". If it executes none, it is the statements that
	// it parses or describes.
	SQL string
	// Executes is false for a batch that only parses, describes or closes.
	Executes bool
	// Messages are the raw frontend messages, with global statement names.
	Messages []byte
	// Prepared lists the statements that Messages use without a Parse.
	Prepared []gwbackend.Statement
}

// BackendRequest returns the request in the form that gwbackend sends.
func (r Request) BackendRequest() gwbackend.Request {
	return gwbackend.Request{Messages: r.Messages, Prepared: r.Prepared}
}

// ResponseWriter receives the answer of one request. The answer is buffered
// and is sent when the request ends or 16 KiB have accumulated.
type ResponseWriter interface {
	// Write takes raw backend messages; a call may hold parts of messages.
	// ReadyForQuery is held back until Handle returns, so that a
	// ParameterStatus can still precede it.
	io.Writer
	// Error writes an ErrorResponse and sets the transaction status of the
	// ReadyForQuery that ends the answer.
	Error(e *pgconn.PgError, status byte)
	// ParameterStatus reports a parameter to the caller.
	ParameterStatus(name, value string)
	// Complete answers the whole request without a server, with a command tag
	// and no rows. An empty tag stands for an empty query.
	Complete(req Request, tag string, status byte)
	// Discard drops what was written, so that the request can be answered
	// anew. It reports false if the caller has received a part of it.
	Discard() bool
}

// Credential says how a caller proves its identity.
type Credential struct {
	Verifier string // SCRAM-SHA-256 verifier in PostgreSQL's format
	Trust    bool   // no proof is needed on loopback, if Options.TrustLoopback is set
}

// LookupCredential returns the credential of a caller; ok is false if it is unknown.
type LookupCredential func(ctx context.Context, s Startup) (c Credential, ok bool, err error)

// CancelForwarder passes on cancel requests whose key is not this server's.
type CancelForwarder interface {
	ForwardCancel(ctx context.Context, key CancelKey)
}

// Limits bound what callers can use. Zero values take the defaults.
type Limits struct {
	Connections      int           // sessions; default 10,000
	Handshake        time.Duration // from accept to the end of authentication; default 10 s
	MessageBytes     int           // one message, and one batch; default 16 MiB
	Statements       int           // prepared statements per session; default 1,000
	IdleTransaction  time.Duration // wait for the next request inside a transaction; 0: unbounded
	WriteTimeout     time.Duration // one write to the caller; default 30 s
	CancelForwarding time.Duration // one forwarded cancel request; default 5 s
}

func (l Limits) withDefaults() Limits {
	l.Connections = orDefault(l.Connections, 10_000)
	l.Handshake = orDefault(l.Handshake, 10*time.Second)
	l.MessageBytes = orDefault(l.MessageBytes, 16<<20)
	l.Statements = orDefault(l.Statements, 1000)
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
	TLS              *tls.Config // nil: TLS requests are declined
	Handler          Handler
	LookupCredential LookupCredential
	TrustLoopback    bool
	CancelForwarder  CancelForwarder // nil: unknown keys are ignored
	// CancelPrefix is the upper half of the process identifier in the cancel
	// keys, so that an instance can tell which instance issued a key.
	CancelPrefix uint16
	Parameters   map[string]string // ParameterStatus at startup, in addition to the defaults
	Limits       Limits
	Logger       *slog.Logger
}
