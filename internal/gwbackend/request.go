package gwbackend

import (
	"encoding/binary"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgconn"

	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// PreparedStatement is a prepared statement under its global name.
type PreparedStatement struct {
	Name          string   `json:"name" cbor:"1,keyasint"` // result of GlobalName for the other fields
	SQL           string   `json:"sql" cbor:"2,keyasint"`
	ParameterOIDs []uint32 `json:"parameterOids,omitempty" cbor:"3,keyasint,omitempty"`
}

// NamePrefix begins the global name of each prepared statement.
const NamePrefix = "gw_"

// MissingStatement is a statement name that is never prepared: a Close of it
// does nothing, and a Bind of it fails with SQLSTATE 26000.
const MissingStatement = NamePrefix + "missing"

// NewPreparedStatement returns the statement of sql and oids under its global name.
func NewPreparedStatement(sql string, oids []uint32) PreparedStatement {
	return PreparedStatement{Name: GlobalName(sql, oids), SQL: sql, ParameterOIDs: oids}
}

// GlobalName returns "gw_" and the xxhash of the SQL and parameter OIDs in hex.
func GlobalName(sql string, oids []uint32) string {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(sql)
	b := make([]byte, 0, 64)
	b = append(b, 0)
	for _, oid := range oids {
		b = binary.BigEndian.AppendUint32(b, oid)
	}
	_, _ = d.Write(b)
	const digits = "0123456789abcdef"
	name := make([]byte, 0, len(NamePrefix)+16)
	name = append(name, NamePrefix...)
	for sum, shift := d.Sum64(), 60; shift >= 0; shift -= 4 {
		name = append(name, digits[sum>>shift&0xf])
	}
	return string(name)
}

// Equal reports whether s and t are the same statement. Equal names do not
// suffice: a caller can construct SQL whose hash equals that of other SQL.
func (s PreparedStatement) Equal(t PreparedStatement) bool {
	return s.Name == t.Name && s.SQL == t.SQL && slices.Equal(s.ParameterOIDs, t.ParameterOIDs)
}

// Request is one request to a backend server.
type Request struct {
	// Messages are raw frontend messages that end in one Query or one Sync.
	// Statement names are global names.
	Messages []byte `json:"messages" cbor:"1,keyasint"`
	// Prepared lists the statements that Messages use without a preceding
	// Parse. Exchange parses those that the connection does not have.
	Prepared []PreparedStatement `json:"prepared,omitempty" cbor:"2,keyasint,omitempty"`
	// Statement is set for requests of the statement protocol (package gwstatement)
	// instead of Messages.
	Statement *StatementRequest `json:"line,omitempty" cbor:"3,keyasint,omitempty"`
}

// StatementRequest is a request of the statement protocol (package gwstatement).
type StatementRequest struct {
	ID   string `json:"id,omitempty" cbor:"1,keyasint,omitempty"`
	Text string `json:"text" cbor:"2,keyasint"`
	// Variables are those that the session has set, ordered by name.
	Variables []SessionVariable `json:"values,omitempty" cbor:"3,keyasint,omitempty"`
	// Begin says which transaction to open before the statement.
	Begin Begin `json:"begin,omitempty" cbor:"4,keyasint,omitempty"`
	// After is the position that the server's log must contain; the server
	// checks it. Zero requires nothing.
	After gwsession.Position `json:"after,omitzero" cbor:"5,keyasint,omitzero"`
	// Commits means that success of the statement commits writes.
	Commits bool `json:"commits,omitempty" cbor:"6,keyasint,omitempty"`
}

// SessionVariable is a variable of a session and its value.
type SessionVariable struct {
	Name  string `json:"name" cbor:"1,keyasint"`
	Value string `json:"value" cbor:"2,keyasint"`
}

// Begin says which transaction a request opens before its statement.
type Begin uint8

// Transactions that a request opens.
const (
	NoBegin Begin = iota
	BeginWrite
	BeginRead
)

// Query returns the request of a simple query.
func Query(sql string) Request {
	b := make([]byte, 0, len(sql)+6)
	b = append(b, 'Q')
	b = binary.BigEndian.AppendUint32(b, uint32(len(sql)+5))
	b = append(b, sql...)
	return Request{Messages: append(b, 0)}
}

// Sink receives raw backend messages. Write must not keep the slice, and must
// return within a bounded time.
type Sink = io.Writer

// Result describes how an exchange ended.
type Result struct {
	Sent        bool               // bytes of the request may have reached the server
	Complete    bool               // ReadyForQuery has arrived
	Delivered   bool               // bytes of the answer were passed to the sink
	TxStatus    byte               // 'I', 'T' or 'E' of ReadyForQuery; 0 if not complete
	Position    gwsession.Position // last position reported during the exchange; zero if none
	ServerError *pgconn.PgError    // last ErrorResponse, nil if none
	CommandTags []string           // valid until the next exchange on the connection
	AnswerBytes int64              // bytes passed to the sink
	// Refusal is the event that ServerError stands for if it means that the statement
	// certainly has not run; 0 for other errors.
	Refusal gwoutcome.Event
}

// OwnedWriter is implemented by a Sink that may keep the slice of WriteOwned, which its caller
// does not use again, so that a large answer is not copied.
type OwnedWriter interface{ WriteOwned(b []byte) error }

// WriteOwned writes b, which the caller does not use again, to a sink.
func WriteOwned(sink Sink, b []byte) error {
	if w, ok := sink.(OwnedWriter); ok {
		return w.WriteOwned(b)
	}
	_, err := sink.Write(b)
	return err
}
