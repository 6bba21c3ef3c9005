package gwstatement

import (
	"bufio"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Position is a position in a group's replication log.
type Position = gwsession.Position

// ServerStatus is the status that a backend server reports.
type ServerStatus struct {
	gwbackend.Report
	// PausedTerm is the term for which the server was told to stop receiving, 0 if it
	// receives.
	PausedTerm uint64
}

// Codec encodes and decodes the messages of one protocol and makes no decisions. Its
// methods are safe for concurrent use.
type Codec interface {
	CallerCodec
	ServerCodec
}

// CallerCodec encodes and decodes the messages between callers and an instance.
type CallerCodec interface {
	// ReadMessage reads one message of a caller. A message that is complete and cannot be
	// parsed is Unparsed; an error ends the connection.
	ReadMessage(r *bufio.Reader) (Message, error)
	// AppendComplete appends the end of a successful answer that the instance gives
	// without a backend server.
	AppendComplete(b []byte) []byte
	// AppendFailure appends a failure that the instance itself reports. Its text is
	// shortened and escaped as far as a message requires.
	AppendFailure(b []byte, f Failure) []byte
	AppendReady(b []byte, status byte) []byte
}

// ServerCodec encodes and decodes the messages between an instance and a backend server. A
// message or text that its fields would change or end early, or that is too long, is an
// Error of KindEncode.
type ServerCodec interface {
	// AppendStartup appends the message that opens a session on the server of a group.
	AppendStartup(b []byte, group, user, server string) ([]byte, error)
	// AppendQuery appends a statement; an empty id marks a statement that the
	// instance itself issues. If after is not zero, the server runs the statement
	// only if its log contains that position. arguments continue the text.
	AppendQuery(b []byte, id string, after Position, text, arguments string) ([]byte, error)
	// ReadReply reads one message and returns it decoded and raw; the raw bytes are
	// valid until the next call. A reply that cannot be read is an Error of
	// KindProtocol.
	ReadReply(r *bufio.Reader) (Reply, []byte, error)

	// Texts of statements.
	BeginText(readOnly bool) string
	RollbackText() string
	DiscardText() string
	SetText(name, value string) (string, error)
	// PrepareText and the following texts take the name of a prepared statement at the
	// server, and PrepareText the text that identifies the statement.
	PrepareText(name, shape string) (string, error)
	DeallocateText(name string) string
	// ExecuteText returns the text that executes a prepared statement, up to its
	// arguments.
	ExecuteText(name string) string
	// ShapeText returns the text that identifies a prepared statement.
	ShapeText(p Prepare) string

	// Texts of control statements; each is answered with one row, the server's status.
	StatusText() string
	PauseText(term uint64) string
	ResumeText() string
	StepDownText(term uint64) string
	ParseStatus(row Row) (ServerStatus, error)
}
