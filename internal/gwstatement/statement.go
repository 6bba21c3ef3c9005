package gwstatement

// Statement is a parsed statement of a caller: Begin, Commit, Rollback, Read, Write,
// Set, Prepare, Execute, Deallocate, Invalid or Refused.
type Statement interface{ statement() }

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit commits a transaction.
type Commit struct{}

// Rollback rolls back a transaction.
type Rollback struct{}

// Read is a single read.
type Read struct{}

// Write is a single write.
type Write struct{}

// Set sets a session variable.
type Set struct{ Name, Value string }

// Prepare defines a prepared statement of the session.
type Prepare struct {
	Name string
	// Writes is true for a prepared write, false for a prepared read.
	Writes bool
	// Shape is the statement without its arguments.
	Shape string
}

// Execute runs a prepared statement.
type Execute struct{ Name, Arguments string }

// Deallocate removes a prepared statement.
type Deallocate struct{ Name string }

// Invalid is a statement that cannot be parsed.
type Invalid struct{ Reason string }

// Refused is a statement that is not run because the instance has no memory for it.
type Refused struct{ Reason string }

func (Begin) statement()      {}
func (Commit) statement()     {}
func (Rollback) statement()   {}
func (Read) statement()       {}
func (Write) statement()      {}
func (Set) statement()        {}
func (Prepare) statement()    {}
func (Execute) statement()    {}
func (Deallocate) statement() {}
func (Invalid) statement()    {}
func (Refused) statement()    {}

// Message is one message of a caller: Startup, Query, Terminate or Unparsed.
type Message interface{ message() }

// Startup opens a session on a database.
type Startup struct {
	Database string
	// Key is the caller's API key; empty if it sent none.
	Key string
}

// Query is one statement with the id that the caller gave it.
type Query struct {
	ID        string
	Text      string
	Statement Statement
}

// Terminate ends the session.
type Terminate struct{}

// Unparsed is a message that was read completely and cannot be parsed. It fails alone: the
// next message can be read.
type Unparsed struct {
	// Reason is one of few constants, for metrics, and Text the failure's text.
	Reason, Text string
	// Bytes is the length of the message.
	Bytes int
}

func (Startup) message()   {}
func (Query) message()     {}
func (Terminate) message() {}
func (Unparsed) message()  {}

// Reply is one message of a backend server: Row, Complete, Failure or Ready.
type Reply interface{ reply() }

// Row is one row of an answer.
type Row struct{ Text string }

// Complete ends a successful answer.
type Complete struct{}

// Failure is the error that a statement ended with.
type Failure struct {
	Code Code
	Text string
}

// Ready ends every answer; the position is zero if the server sent none.
type Ready struct {
	Status   byte
	Position Position
}

func (Row) reply()      {}
func (Complete) reply() {}
func (Failure) reply()  {}
func (Ready) reply()    {}
