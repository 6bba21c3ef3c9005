package gwstatement

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"

	"gentianward.example/gentianward/internal/gwbackend"
)

// testCodec is an encoding of the protocol for tests: each line has a word and its fields.
type testCodec struct{}

var testCodes = map[string]Code{"busy": Busy, "lagging": Lagging, "noStatement": NoStatement, "failed": Failed, "readOnly": ReadOnly}

func readLine(r *bufio.Reader) (string, string, []byte, error) {
	raw, err := r.ReadBytes('\n')
	if err != nil {
		return "", "", nil, err
	}
	word, rest, _ := strings.Cut(strings.TrimSpace(string(raw)), " ")
	return word, rest, raw, nil
}

func (testCodec) ReadMessage(r *bufio.Reader) (Message, error) {
	word, rest, _, err := readLine(r)
	switch {
	case err != nil:
		return nil, err
	case word == "start":
		return Startup{Database: rest}, nil
	case word == "ask":
		id, text, _ := strings.Cut(rest, " ")
		return Query{ID: id, Text: text, Statement: Read{}}, nil
	default:
		return nil, &Error{Op: "read message", Kind: KindProtocol, Err: fmt.Errorf("message %q", word)}
	}
}

func (testCodec) AppendComplete(b []byte) []byte { return append(b, "done\n"...) }
func (testCodec) AppendFailure(b []byte, f Failure) []byte {
	return fmt.Appendf(b, "error %d %s\n", f.Code, f.Text)
}

func (testCodec) AppendReady(b []byte, status byte) []byte {
	return fmt.Appendf(b, "ready %c\n", status)
}

func (testCodec) AppendStartup(b []byte, group, user, server string) ([]byte, error) {
	if strings.Contains(group, " ") {
		return nil, &Error{Op: "encode startup", Kind: KindEncode, Err: fmt.Errorf("group %q", group)}
	}
	return fmt.Appendf(b, "start %s %s %s\n", group, user, server), nil
}

// maxTestQuery is the greatest length of a query of the test's encoding.
const maxTestQuery = 100

func (testCodec) AppendQuery(b []byte, id string, after Position, text, arguments string) ([]byte, error) {
	if !after.IsZero() {
		text = "after " + after.String() + " " + text
	}
	if n := len(id) + len(text) + len(arguments); n > maxTestQuery {
		return nil, &Error{Op: "encode query", Kind: KindEncode, Err: fmt.Errorf("%d bytes", n)}
	}
	return fmt.Appendf(b, "%s|%s%s\n", id, text, arguments), nil
}

func (testCodec) ReadReply(r *bufio.Reader) (Reply, []byte, error) {
	word, rest, raw, err := readLine(r)
	if err != nil {
		return nil, nil, err
	}
	switch word {
	case "row":
		return Row{Text: rest}, raw, nil
	case "done":
		return Complete{}, raw, nil
	case "error":
		code, text, _ := strings.Cut(rest, " ")
		return Failure{Code: testCodes[code], Text: text}, raw, nil
	case "ready":
		status, offset, _ := strings.Cut(rest, " ")
		n, _ := strconv.ParseUint(offset, 10, 64)
		ready := Ready{Status: status[0]}
		if n > 0 {
			ready.Position = Position{Term: 1, Offset: n}
		}
		return ready, raw, nil
	}
	return nil, nil, &Error{Op: "read reply", Kind: KindProtocol, Err: fmt.Errorf("reply %q", word)}
}

func (testCodec) BeginText(readOnly bool) string { return fmt.Sprintf("begin %v", readOnly) }
func (testCodec) RollbackText() string           { return "rollback" }
func (testCodec) DiscardText() string            { return "discard" }
func (testCodec) SetText(name, value string) (string, error) {
	return "set " + name + " " + value, nil
}

func (testCodec) PrepareText(name, shape string) (string, error) {
	return "prepare " + name + " " + shape, nil
}
func (testCodec) DeallocateText(name string) string { return "deallocate " + name }
func (testCodec) ExecuteText(name string) string    { return "execute " + name + " " }
func (testCodec) ShapeText(p Prepare) string        { return p.Shape }
func (testCodec) StatusText() string                { return "status" }
func (testCodec) PauseText(term uint64) string      { return fmt.Sprintf("pause %d", term) }
func (testCodec) ResumeText() string                { return "resume" }
func (testCodec) StepDownText(term uint64) string   { return fmt.Sprintf("stepDown %d", term) }

func (testCodec) ParseStatus(row Row) (ServerStatus, error) {
	f := strings.Fields(row.Text)
	if len(f) != 3 {
		return ServerStatus{}, &Error{Op: "read status", Kind: KindProtocol, Err: fmt.Errorf("row %q", row.Text)}
	}
	var s ServerStatus
	s.Role = gwbackend.Role(f[0])
	s.Position.Term, _ = strconv.ParseUint(f[1], 10, 64)
	s.PausedTerm, _ = strconv.ParseUint(f[2], 10, 64)
	s.Paused = s.PausedTerm > 0
	return s, nil
}
