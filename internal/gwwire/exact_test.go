package gwwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
)

// Guards against a text with a NUL, which ends a field of a message, so that the rest of the
// text becomes fields or values of its own.
func TestNULInTexts(t *testing.T) {
	nc := &scriptedConn{in: bytes.NewReader(nil), chunk: 1}
	w := &responder{nc: nc, timeout: time.Second}
	w.reset()
	w.Error(&pgconn.PgError{Code: "57P03", Message: "a\x00C00000\x00b", Hint: "\x00"}, 'I')
	require.False(t, w.corrupt)
	require.NoError(t, w.release())
	var e pgproto3.ErrorResponse
	require.NoError(t, e.Decode(nc.out.Bytes()[headerBytes:]))
	require.Equal(t, pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: "57P03", Message: `a\0C00000\0b`, Hint: `\0`,
	}, e)
	for _, write := range []func(){
		func() { w.ParameterStatus("a", "b\x00c") },
		func() { w.ParameterStatus("a\x00", "b") },
		func() { w.Complete(Request{Kind: Simple}, "SELECT\x001", 'I') },
	} {
		w.reset()
		write()
		require.True(t, w.corrupt, "values are not replaced: the session ends")
	}
}

// Guards against settings in the startup message that are split at other bytes than the
// server splits them at.
func TestSplitOptions(t *testing.T) {
	require.Equal(t, []string{"-c", "a=b c", "--d=\u00a0\\"}, splitOptions("-c\fa=b\\ c\r\v--d=\u00a0\\\\"))
}

// cutMessages cuts data into messages of any type and body, as they are sent. In the body
// of a message of type Z there is one byte.
func cutMessages(data []byte) (messages [][]byte) {
	for len(data) > 3 {
		n := min(int(binary.BigEndian.Uint16(data[1:])), len(data)-3)
		if data[0] == 'Z' {
			n = 1
		}
		message := append([]byte{data[0], 0, 0, 0, 0}, data[3:3+n]...)
		binary.BigEndian.PutUint32(message[1:], uint32(4+n))
		messages = append(messages, message)
		data = data[3+n:]
	}
	return messages
}

var messageSeeds = [][]byte{
	[]byte("Q\x00\x05a\r\n\x00\xffZ\x00\x01I"), append([]byte("d\x02\x58"), bytes.Repeat([]byte("\n"), 600)...),
	append([]byte("D\xff\xffZ\x00\x00\x00E\x00\x03"), bytes.Repeat([]byte("E\x00\x00"), 30_000)...),
}

// FuzzReader guards against messages of a caller that are cut, joined or changed, however
// they arrive.
func FuzzReader(f *testing.F) {
	for _, seed := range messageSeeds {
		f.Add(seed, 7)
	}
	f.Fuzz(func(t *testing.T, data []byte, chunk int) {
		messages := cutMessages(data)
		in := &reader{nc: &scriptedConn{in: bytes.NewReader(bytes.Join(messages, nil)), chunk: max(1, chunk)}}
		in.release()
		for _, want := range messages {
			got, err := in.next(1 << 16)
			require.NoError(t, err)
			require.True(t, bytes.Equal(want, got), "message %q", want[0])
		}
		_, err := in.next(1 << 16)
		require.ErrorIs(t, err, io.EOF)
		in.release()
	})
}

// FuzzResponder guards against an answer of a server that a caller gets with other bytes,
// however it is cut. ReadyForQuery is withheld.
func FuzzResponder(f *testing.F) {
	for _, seed := range messageSeeds {
		f.Add(seed, 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, chunk int) {
		nc := &scriptedConn{in: bytes.NewReader(nil), chunk: 1}
		w := &responder{nc: nc, timeout: time.Second}
		w.reset()
		var answer, want []byte
		status := byte(0)
		for _, m := range cutMessages(data) {
			answer = append(answer, m...)
			if m[0] == 'Z' {
				status = m[headerBytes]
			} else {
				want = append(want, m...)
			}
		}
		for n := 0; len(answer) > 0; answer = answer[n:] {
			n = min(max(1, chunk), len(answer))
			written, err := w.Write(answer[:n])
			require.NoError(t, err)
			require.Equal(t, n, written)
		}
		require.NoError(t, w.release())
		require.False(t, w.midMessage())
		require.True(t, bytes.Equal(want, nc.out.Bytes()))
		require.Equal(t, status, w.txStatus)
	})
}

// FuzzBatch guards against a statement, a name or a value of a caller that the server gets
// changed. Only the names of statements are replaced.
func FuzzBatch(f *testing.F) {
	f.Add("a", "p", "select '\r\n'", []byte("\x00\r\n\xff"), uint32(17))
	f.Add("", "", "", []byte(nil), uint32(0))
	f.Fuzz(func(t *testing.T, name, portal, sql string, value []byte, oid uint32) {
		s := &Server{}
		s.SetLimits(Limits{})
		c := &conn{srv: s}
		defer c.batch.release()
		sent := []pgproto3.FrontendMessage{
			&pgproto3.Parse{Name: name, Query: sql, ParameterOIDs: []uint32{oid}},
			&pgproto3.Describe{ObjectType: 'S', Name: name},
			&pgproto3.Bind{DestinationPortal: portal, PreparedStatement: name, ParameterFormatCodes: []int16{1}, Parameters: [][]byte{value, nil, {}}, ResultFormatCodes: []int16{1}},
			&pgproto3.Describe{ObjectType: 'P', Name: portal},
			&pgproto3.Execute{Portal: portal, MaxRows: oid},
			&pgproto3.Close{ObjectType: 'P', Name: portal},
		}
		for _, m := range sent {
			frame, err := m.Encode(nil)
			require.NoError(t, err)
			if err := c.addMessage(frame); err != nil {
				// Not one string, as NUL ends it.
				require.True(t, errors.Is(err, errMalformed) && bytes.IndexByte([]byte(name+portal+sql), 0) >= 0, "%T: %v", m, err)
				return
			}
		}
		if bytes.IndexByte([]byte(name+portal+sql), 0) >= 0 {
			return
		}
		st := gwbackend.NewPreparedStatement(sql, []uint32{oid})
		sent[0].(*pgproto3.Parse).Name = st.Name
		sent[1].(*pgproto3.Describe).Name = st.Name
		sent[2].(*pgproto3.Bind).PreparedStatement = st.Name
		var want []byte
		for _, m := range sent {
			var err error
			want, err = m.Encode(want)
			require.NoError(t, err)
		}
		require.True(t, bytes.Equal(want, c.batch.buf), "got %q\nwant %q", c.batch.buf, want)
	})
}
