package gwfilter

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstatement"
)

// stateCodec encodes the answers of an instance as one word.
type stateCodec struct{ gwstatement.Codec }

func (stateCodec) AppendComplete(b []byte) []byte { return append(b, "ok"...) }
func (stateCodec) AppendFailure(b []byte, f gwstatement.Failure) []byte {
	return fmt.Append(b, "failed ", f.Code == gwstatement.Malformed)
}
func (stateCodec) AppendReady(b []byte, _ byte) []byte    { return b }
func (stateCodec) ShapeText(p gwstatement.Prepare) string { return "FETCH " + p.Shape }
func (stateCodec) ExecuteText(name string) string         { return "EXECUTE " + name + " " }

func openState(e *Entry) *statementSession {
	return &statementSession{session: session{entry: e}, codec: stateCodec{}, status: 'I', prepared: make(map[string]preparedStatement)}
}

// Guards against a caller whose values and prepared statements fill the memory of the process
// or no frame can hold, and against space that is not given back.
func TestSessionStateIsBounded(t *testing.T) {
	open := func() *statementSession { return openState(&Entry{}) }
	ask := func(s *statementSession, st gwstatement.Statement) string {
		return string(s.Handle(t.Context(), gwstatement.Query{ID: "1", Statement: st}, nil))
	}
	const large = 1 << 20
	value := strings.Repeat("\xff", large)
	s := open()
	for i := range 7 {
		assert.Equal(t, "ok", ask(s, gwstatement.Set{Name: fmt.Sprint(i), Value: value}))
	}
	assert.Equal(t, "failed true", ask(s, gwstatement.Set{Name: "8", Value: value}))
	assert.Equal(t, "failed true", ask(s, gwstatement.Prepare{Name: "8", Shape: value}))
	assert.Len(t, s.values, 7)
	for range 20 {
		assert.Equal(t, "ok", ask(s, gwstatement.Set{Name: "1", Value: value}), "in place of the old value")
		assert.Equal(t, "ok", ask(s, gwstatement.Prepare{Name: "p", Shape: value[:large/2]}))
		assert.Equal(t, "ok", ask(s, gwstatement.Prepare{Name: "p", Shape: value[:large/2]}), "in place of the old shape")
		assert.Equal(t, "ok", ask(s, gwstatement.Deallocate{Name: "p"}))
		assert.Equal(t, "ok", ask(s, gwstatement.Deallocate{Name: "p"}), "it is gone")
	}
	data, err := gwpeer.Marshal(gwowner.Request{Request: gwbackend.Request{Statement: &gwbackend.StatementRequest{Text: value, Variables: s.values}}})
	assert.NoError(t, err, "a frame holds the state with the largest statement")
	assert.LessOrEqual(t, len(data), gwpeer.MaxFrameBytes)

	s = open()
	for i := 0; ask(s, gwstatement.Set{Name: fmt.Sprint(i)}) == "ok"; i++ {
		if i > maxStateEntries {
			t.Fatal("the number of values is not bounded")
		}
	}
	assert.Len(t, s.values, maxStateEntries)
	assert.Equal(t, "failed true", ask(s, gwstatement.Prepare{Name: "p", Shape: "q"}))
	assert.Equal(t, "ok", ask(s, gwstatement.Set{Name: "1", Value: "in place of another one"}))
}

// Guards against SETs that are refused, each of which ends its session, on an instance with as many
// sessions as the design has: a bound that counted 1 KiB for each value was reached by 65,536 of them.
func TestUsualStateOfManySessionsFits(t *testing.T) {
	const sessions, entries = 4400, 20
	e := &Entry{}
	for range sessions {
		s := openState(e)
		for i := range entries / 2 {
			require.Nil(t, s.setValue(gwstatement.Set{Name: fmt.Sprint("value", i), Value: "Europe/Paris"}))
			require.Nil(t, s.prepare(gwstatement.Prepare{Name: fmt.Sprint("s", i), Shape: "visits by household"}))
		}
	}
}

// Guards against many sessions, each within its bound, whose values and prepared statements
// together fill the memory of the process, and against space that ended sessions keep.
func TestStateOfAllSessionsIsBounded(t *testing.T) {
	e := &Entry{Options: Options{Views: gwcontrol.NewViews(gwcontrol.ManifestFormat{})}}
	ask := func(s *statementSession, st gwstatement.Statement) string {
		return string(s.Handle(t.Context(), gwstatement.Query{ID: "1", Statement: st}, nil))
	}
	value := strings.Repeat("v", maxStateBytes-2*entryOverhead)
	var full []*statementSession
	for range 2 * maxTotalStateBytes / maxStateBytes {
		s := openState(e)
		if ask(s, gwstatement.Set{Name: "n", Value: value}) != "ok" {
			break
		}
		full = append(full, s)
	}
	assert.Len(t, full, maxTotalStateBytes/maxStateBytes)
	s := openState(e)
	s.status = 'T'
	assert.Equal(t, "failed false", ask(s, gwstatement.Set{Name: "n", Value: value}), "another session may have space later")
	assert.Equal(t, byte('E'), s.status, "nothing of the attempt is kept")
	s.Close()
	for _, s := range full {
		assert.Equal(t, "ok", ask(s, gwstatement.Set{Name: "n", Value: "v"}))
		s.Close()
	}
	assert.Zero(t, e.stateBytes.Load())
	assert.Equal(t, "ok", ask(openState(e), gwstatement.Prepare{Name: "p", Shape: value}))
}
