package gwtrace

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwmanifest"
)

// FuzzTrace looks for a trace that is written and then read with other texts or not at all: bytes
// that are not UTF-8 were replaced, and long lines refused by Read only.
func FuzzTrace(f *testing.F) {
	f.Add("s1", "adviser", "core", "create table t (id text)", int64(5), true)
	f.Add("\r\n", "a\"b", "\u2028</é", "select '\x00\x7f'", int64(-1), false)
	f.Add("\xff", "", "\xed\xa0\x80", "\xc3", int64(0), true)
	f.Fuzz(func(t *testing.T, session, caller, group, sql string, duration int64, flag bool) {
		d := gwmanifest.NewDuration(time.Duration(duration))
		want := &Trace{
			Header:   Header{Format: Format, Version: Version, Deployment: group, Scenario: caller, Seed: uint64(duration), Duration: d, Setup: []string{sql, ""}},
			Sessions: []Session{{Name: session, Caller: caller, Group: group, Start: d, Token: flag, Protocol: ProtocolSimple}},
			Steps: []Step{{
				Session: session, Think: d, Instance: 2, Op: OpWrite, Table: group, ID: caller, Subject: sql, Key: session,
				Expect: Expected{MustSucceed: flag, AtMostOnce: !flag, Staleness: &d},
			}},
			Faults: []Fault{{At: d, Name: FaultNames[0], Group: group}},
		}
		var b bytes.Buffer
		if want.Write(&b) != nil {
			return
		}
		got, err := Read(&b)
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

// Guards against a trace that is written, and found unreadable or changed when it is to be
// replayed.
func TestWriteRefusesWhatReadCannotRead(t *testing.T) {
	valid := Header{Format: Format, Version: Version}
	tests := []struct {
		name  string
		trace Trace
	}{
		{"no UTF-8", Trace{Header: valid, Steps: []Step{{Op: OpRead, Subject: "a\xffb"}}}},
		{"a long line", Trace{Header: valid, Steps: []Step{{Op: OpRead, Subject: strings.Repeat("x", maxLineBytes)}}}},
		{"a long header", Trace{Header: Header{Format: Format, Version: Version, Setup: []string{strings.Repeat("x", maxLineBytes)}}}},
		{"another version", Trace{Header: Header{Format: Format, Version: Version + 1}}},
		{"an unknown operation", Trace{Header: valid, Steps: []Step{{Op: "drop"}}}},
	}
	for _, tt := range tests {
		assert.Error(t, tt.trace.Write(new(bytes.Buffer)), tt.name)
	}
}
