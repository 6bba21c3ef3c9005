package gwstatement

import (
	"bufio"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Position is a place in a group's replication log.
type Position = gwsession.Position

// ServerStatus is a backend server's account of itself.
type ServerStatus struct {
	gwbackend.Report
	// PausedTerm is the term for which the server was told to stop receiving, 0 if it
	// receives.
	PausedTerm uint64
}

// Codec spells the messages of one protocol. It decides nothing. Its methods may
// be called from several goroutines.
type Codec interface {
	CallerCodec
	ServerCodec
}

// CallerCodec spells the messages between callers and an instance.
type CallerCodec interface {
	// ReadMessage reads one message of a caller. An error ends the connection.
	ReadMessage(r *bufio.Reader) (Message, error)
	// AppendComplete appends the end of a successful answer that no server gave.
	AppendComplete(b []byte) []byte
	AppendFailure(b []byte, f Failure) []byte
	AppendReady(b []byte, status byte) []byte
}

// ServerCodec spells the messages between an instance and a backend server.
type ServerCodec interface {
	// AppendStartup opens a connection to the server of a group.
	AppendStartup(b []byte, group, user, server string) []byte
	// AppendQuery sends a statement; an empty id marks a statement of the
	// instance's own. A position other than zero must be in the server's log.
	AppendQuery(b []byte, id string, after Position, text string) []byte
	// ReadReply reads one message and returns it with its bytes, which are
	// valid until the next call.
	ReadReply(r *bufio.Reader) (Reply, []byte, error)

	// Texts of statements.
	BeginText(readOnly bool) string
	RollbackText() string
	DiscardText() string
	SetText(name, value string) string
	PrepareText(p gwbackend.PreparedStatement) string
	ExecuteText(name, arguments string) string
	// ShapeText returns what identifies a prepared statement.
	ShapeText(p Prepare) string

	// Texts of control statements, each answered with a row of the status.
	StatusText() string
	PauseText(term uint64) string
	ResumeText() string
	StepDownText(term uint64) string
	ParseStatus(row Row) (ServerStatus, error)
}
