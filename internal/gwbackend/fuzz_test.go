package gwbackend

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// answerTypes are the types of messages in an answer that are forwarded whatever they hold.
const answerTypes = "DTtn2IsHdcVN"

// FuzzAnswerIsExact guards against an answer that the sink gets with other bytes than the server
// sent, however it arrives. Notifications are left out.
func FuzzAnswerIsExact(f *testing.F) {
	f.Add([]byte("D\x00\x05a\r\n\x00\xffN\x00\x01xA\x00\x02bc"), uint16(3))
	f.Add(append([]byte("D\xff\xff"), bytes.Repeat([]byte("\nT\x00"), 30_000)...), uint16(5000))
	f.Add([]byte("E\x00\x00N\x00\x00"), uint16(1))
	f.Fuzz(func(t *testing.T, data []byte, chunk uint16) {
		var sent, want []byte
		for len(data) > 3 {
			typ := data[0]
			n := min(int(binary.BigEndian.Uint16(data[1:])), len(data)-3)
			body := data[3 : 3+n]
			switch {
			case typ == 'S':
				body = append([]byte("name\x00"), body...) // the position is hidden
			case strings.IndexByte(answerTypes+"A", typ) < 0:
				// An error of any text, of which a field is repeated up to over 1 MiB.
				text := bytes.ReplaceAll(body, []byte{0}, nil)
				body = append([]byte("SERROR\x00C22P02\x00M"), bytes.Repeat(text, 1+int(typ)*64)...)
				body = append(body, 0, 0)
				typ = 'E'
			}
			message := binary.BigEndian.AppendUint32([]byte{typ}, uint32(4+len(body)))
			message = append(message, body...)
			sent = append(sent, message...)
			if typ != 'A' {
				want = append(want, message...)
			}
			data = data[3+n:]
		}
		sent = append(sent, 'Z', 0, 0, 0, 5, 'I')
		want = append(want, 'Z', 0, 0, 0, 5, 'I')
		c := &Conn{smallBuffer: make([]byte, readBufferBytes), finished: make(chan struct{}, 1)}
		c.rbuf = c.smallBuffer
		var got bytes.Buffer
		x := &c.x
		x.sink = &got
		for len(sent) > 0 {
			n := copy(c.rbuf[c.w:], sent[:min(len(sent), 1+int(chunk))])
			require.NotZero(t, n, "no room in the buffer")
			c.w += n
			sent = sent[n:]
			require.NoError(t, c.process(x))
		}
		require.True(t, x.res.Complete)
		require.True(t, bytes.Equal(want, got.Bytes()), "%d bytes in place of %d", got.Len(), len(want))
	})
}

// FuzzStatementIsExact guards against a prepared statement that another connection gets changed.
func FuzzStatementIsExact(f *testing.F) {
	f.Add("select '\r\n\xff'", uint32(17), uint32(0))
	f.Fuzz(func(t *testing.T, sql string, first, second uint32) {
		want := NewPreparedStatement(strings.ReplaceAll(sql, "\x00", ""), []uint32{first, second})
		var c Conn
		got, ok := parseStatement(c.appendParse(nil, &c.x, want, false))
		require.True(t, ok)
		require.Equal(t, want, got)
	})
}
