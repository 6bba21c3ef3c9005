package gwtrace

import (
	"bufio"
	"fmt"
	"io"
	"slices"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"

	"gentianward.example/gentianward/internal/gwmanifest"
)

// Format and Version identify the format of a trace file.
const (
	Format  = "gentianwardTrace"
	Version = 1
)

// Header is the first line of a trace.
type Header struct {
	Format     string              `json:"format"`
	Version    int                 `json:"version"`
	Deployment string              `json:"deployment"`
	Scenario   string              `json:"scenario"`
	Seed       uint64              `json:"seed"`
	Duration   gwmanifest.Duration `json:"duration"`
	// Setup lists the SQL statements to run on each group before the sessions start.
	Setup []string `json:"setup"`
}

// Line is one line after the header: a Session, Step or Fault.
type Line interface{ line() }

// Session is one session of a caller. Its steps run sequentially.
type Session struct {
	Name   string `json:"session"`
	Caller string `json:"caller"`
	Group  string `json:"group"`
	// Start is the time at which the session starts.
	Start gwmanifest.Duration `json:"start"`
	// Token means that the session presents its token when it reconnects.
	Token bool `json:"token,omitempty"`
	// Protocol is ProtocolSimple, ProtocolExtended or ProtocolPrepared.
	Protocol string `json:"protocol"`
}

// Protocols of a session: the simple query protocol, the extended one with an
// unnamed statement, and the extended one with named statements.
const (
	ProtocolSimple   = "simple"
	ProtocolExtended = "extended"
	ProtocolPrepared = "prepared"
)

// Operations of a step.
const (
	// OpWrite inserts one record with a unique id.
	OpWrite = "write"
	// OpRead reads the records of one subject.
	OpRead = "read"
	// OpSlotRead reads the holder of a slot.
	OpSlotRead = "slotRead"
	// OpSlotHold reads the holder of a slot and replaces it in one transaction.
	OpSlotHold = "slotHold"
)

// Step is one operation of a session.
type Step struct {
	Session string `json:"session"`
	// Think is the pause before the step.
	Think gwmanifest.Duration `json:"think"`
	// Instance is the index of the instance that the session tries first.
	Instance int    `json:"instance"`
	Op       string `json:"op"`
	// Table, ID and Subject identify the record that is written. A read selects the
	// records of Subject in Table, and ID identifies the step. For a slot, Subject is its id.
	Table   string `json:"table"`
	ID      string `json:"id"`
	Subject string `json:"subject"`
	// Key is the request key of a write, empty for a write without one.
	Key    string   `json:"key,omitempty"`
	Expect Expected `json:"expect"`
}

// Expected holds the expected outcomes of a step. Two expectations hold for every
// step and have no field: a request that was not run has no effect, and a response
// belongs to its request.
type Expected struct {
	// MustSucceed means that the step must be done in the end, after retries.
	MustSucceed bool `json:"done,omitempty"`
	// MayBeUnknown means that the outcome may remain unknown.
	MayBeUnknown bool `json:"mayBeUnknown,omitempty"`
	// AtMostOnce means that the record must not be stored more than once.
	AtMostOnce bool `json:"once,omitempty"`
	// ReadYourWrites means that the response includes all acknowledged writes of the
	// session to the subject.
	ReadYourWrites bool `json:"ownWrites,omitempty"`
	// Staleness bounds the staleness of a response: it must include every write to the
	// subject that was acknowledged to any session at least this long before the last
	// attempt at the read. Nil means no bound.
	Staleness *gwmanifest.Duration `json:"staleness,omitempty"`
}

// Fault is a fault, or the repair of one, at a point in time.
type Fault struct {
	At gwmanifest.Duration `json:"at"`
	// Name is one of FaultNames.
	Name  string `json:"fault"`
	Group string `json:"group,omitempty"`
	// Instance is the index of the instance to stop or start.
	Instance int `json:"instance,omitempty"`
}

// String formats the fault with its group or instance.
func (f Fault) String() string {
	if f.Group != "" {
		return f.Name + " " + f.Group
	}
	if f.Name == FaultInstanceStop || f.Name == FaultInstanceStart {
		return fmt.Sprintf("%s %d", f.Name, f.Instance)
	}
	return f.Name
}

func (Session) line() {}
func (Step) line()    {}
func (Fault) line()   {}

// Trace is the content of a trace file.
type Trace struct {
	Header   Header
	Sessions []Session
	Steps    []Step
	Faults   []Fault
}

// lineEnvelope is the encoding of a line together with its kind.
type lineEnvelope struct {
	Kind string         `json:"kind"`
	Data jsontext.Value `json:"data"`
}

// Write writes the trace as JSON lines. It fails for one that Read would refuse or read differently,
// such as one with a text that is not UTF-8.
func (t *Trace) Write(w io.Writer) error {
	if err := t.Header.check(); err != nil {
		return writeError(1, err)
	}
	b := bufio.NewWriter(w)
	if err := writeLine(b, 1, t.Header); err != nil {
		return err
	}
	var lines []Line
	for _, f := range t.Faults {
		lines = append(lines, f)
	}
	for _, s := range t.Sessions {
		lines = append(lines, s)
	}
	for _, s := range t.Steps {
		lines = append(lines, s)
	}
	for i, l := range lines {
		n := i + 2 // after the header
		err := validate(l)
		if err != nil {
			return writeError(n, err)
		}
		data, err := encode(l)
		if err != nil {
			return writeError(n, err)
		}
		if err := writeLine(b, n, lineEnvelope{Kind: kindOf(l), Data: data}); err != nil {
			return err
		}
	}
	return b.Flush()
}

// encode encodes v without the fields that are marked omitempty and zero. Unlike encoding/json, it
// fails for a text that is not UTF-8 instead of replacing it.
func encode(v any) ([]byte, error) {
	return json.Marshal(v, jsonv1.OmitEmptyWithLegacySemantics(true), json.FormatNilSliceAsNull(true))
}

func writeLine(w io.Writer, n int, v any) error {
	line, err := encode(v)
	if err != nil {
		return writeError(n, err)
	}
	if len(line) >= maxLineBytes {
		return writeError(n, fmt.Errorf("%d bytes, under %d are allowed", len(line), maxLineBytes))
	}
	_, err = w.Write(append(line, '\n'))
	return err
}

func writeError(line int, err error) error {
	return &Error{Op: "write trace", Kind: Malformed, Detail: fmt.Sprintf("line %d", line), Err: err}
}

func kindOf(l Line) string {
	switch l.(type) {
	case Session:
		return "session"
	case Step:
		return "step"
	default:
		return "fault"
	}
}

// maxLineBytes bounds the length of one line of a trace file.
const maxLineBytes = 1 << 20

// Read reads a trace and validates its header, protocols, operations and faults.
func Read(r io.Reader) (*Trace, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	t := &Trace{}
	for n := 1; sc.Scan(); n++ {
		var err error
		if n == 1 {
			err = t.readHeader(sc.Bytes())
		} else {
			err = t.readLine(sc.Bytes())
		}
		if err != nil {
			return nil, &Error{Op: "read trace", Kind: Malformed, Detail: fmt.Sprintf("line %d", n), Err: err}
		}
	}
	if err := sc.Err(); err != nil {
		return nil, &Error{Op: "read trace", Kind: Malformed, Err: err}
	}
	if t.Header.Format == "" {
		return nil, &Error{Op: "read trace", Kind: Malformed, Detail: "file is empty"}
	}
	return t, nil
}

func (t *Trace) readHeader(b []byte) error {
	if err := json.Unmarshal(b, &t.Header); err != nil {
		return err
	}
	return t.Header.check()
}

func (h Header) check() error {
	if h.Format != Format || h.Version != Version {
		return fmt.Errorf("format %q version %d is not %q version %d", h.Format, h.Version, Format, Version)
	}
	return nil
}

func (t *Trace) readLine(b []byte) error {
	var envelope lineEnvelope
	if err := json.Unmarshal(b, &envelope); err != nil {
		return err
	}
	switch envelope.Kind {
	case "session":
		return appendLine(&t.Sessions, envelope.Data)
	case "step":
		return appendLine(&t.Steps, envelope.Data)
	case "fault":
		return appendLine(&t.Faults, envelope.Data)
	default:
		return fmt.Errorf("kind %q is not session, step or fault", envelope.Kind)
	}
}

func appendLine[L Line](list *[]L, data []byte) error {
	var l L
	if err := json.Unmarshal(data, &l); err != nil {
		return err
	}
	if err := validate(l); err != nil {
		return err
	}
	*list = append(*list, l)
	return nil
}

func validate(l Line) error {
	switch v := l.(type) {
	case Session:
		if !slices.Contains([]string{ProtocolSimple, ProtocolExtended, ProtocolPrepared}, v.Protocol) {
			return fmt.Errorf("protocol %q is not simple, extended or prepared", v.Protocol)
		}
	case Step:
		if !slices.Contains([]string{OpWrite, OpRead, OpSlotRead, OpSlotHold}, v.Op) {
			return fmt.Errorf("unknown operation %q", v.Op)
		}
	case Fault:
		if !slices.Contains(FaultNames, v.Name) {
			return fmt.Errorf("unknown fault %q", v.Name)
		}
	}
	return nil
}
