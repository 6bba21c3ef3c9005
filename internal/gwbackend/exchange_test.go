package gwbackend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwsession"
)

// encodeBatch returns a batch of messages that ends in Sync.
func encodeBatch(t testing.TB, messages ...pgproto3.FrontendMessage) []byte {
	var b []byte
	var err error
	for _, m := range append(messages, &pgproto3.Sync{}) {
		b, err = m.Encode(b)
		require.NoError(t, err)
	}
	return b
}

// bindAndExecute returns a batch that binds and executes each statement.
func bindAndExecute(t testing.TB, sts ...PreparedStatement) Request {
	var messages []pgproto3.FrontendMessage
	for _, st := range sts {
		messages = append(messages, &pgproto3.Bind{PreparedStatement: st.Name}, &pgproto3.Execute{})
	}
	return Request{Messages: encodeBatch(t, messages...), Prepared: sts}
}

// messageTypes returns the message types of an answer.
func messageTypes(b []byte) string {
	var s strings.Builder
	for len(b) >= headerBytes {
		s.WriteByte(b[0])
		b = b[min(frameSize(b), len(b)):]
	}
	return s.String()
}

// Guards against superfluous or missing ParseComplete messages, and against statements
// that are parsed twice or not at all.
func TestPreparedStatements(t *testing.T) {
	f := startFake(t, nil)
	c := f.dial(t)
	a, b := NewPreparedStatement("a", nil), NewPreparedStatement("b", []uint32{23})
	parseA := &pgproto3.Parse{Name: a.Name, Query: a.SQL}
	bindA := &pgproto3.Bind{PreparedStatement: a.Name}
	steps := []struct {
		name    string
		req     Request
		answer  string
		parsed  []string
		dropped bool
	}{
		{name: "missing statement", req: bindAndExecute(t, a), answer: "2TDCZ", parsed: []string{"parse a"}},
		{name: "present statement", req: bindAndExecute(t, a), answer: "2TDCZ"},
		{name: "one of two missing", req: bindAndExecute(t, a, b), answer: "2TDC2TDCZ", parsed: []string{"parse b"}},
		{name: "Parse of a present statement", req: Request{Messages: encodeBatch(t, parseA, bindA)}, answer: "12Z"},
		{name: "Parse twice in one batch", req: Request{Messages: encodeBatch(t, parseA, parseA, &pgproto3.Close{ObjectType: 'P'})}, answer: "113Z"},
		{name: "failed Parse", req: Request{Messages: encodeBatch(t, &pgproto3.Parse{Name: "gw_1", Query: "bad"})}, answer: "EZ", parsed: []string{"parse bad"}},
		{name: "parsed again after 42P05", req: bindAndExecute(t, a), answer: "2TDCZ", parsed: []string{"parse a"}},
		{name: "unknown name", req: Request{Messages: encodeBatch(t, &pgproto3.Bind{PreparedStatement: MissingStatement})}, answer: "EZ"},
	}
	for _, s := range steps {
		var got bytes.Buffer
		res, err := c.Exchange(t.Context(), s.req, &got)
		require.NoError(t, err, s.name)
		require.True(t, res.Complete && res.Sent && res.TxStatus == 'I', s.name)
		require.Equal(t, s.answer, messageTypes(got.Bytes()), s.name)
		require.Equal(t, s.parsed, f.takeLog(), s.name)
	}
}

// Guards against a statement that runs in place of another one whose name has
// the same hash.
func TestHashCollision(t *testing.T) {
	f := startFake(t, nil)
	c := f.dial(t)
	one, two := PreparedStatement{Name: "gw_x", SQL: "one"}, PreparedStatement{Name: "gw_x", SQL: "two"}
	for _, st := range []PreparedStatement{one, two, one} {
		var got bytes.Buffer
		_, err := c.Exchange(t.Context(), bindAndExecute(t, st), &got)
		require.NoError(t, err)
		require.Contains(t, got.String(), st.SQL)
		require.Equal(t, "2TDCZ", messageTypes(got.Bytes()))
	}
}

// Guards against an unbounded number of prepared statements on a server connection.
func TestStatementLimit(t *testing.T) {
	f := startFake(t, nil)
	o := f.options()
	o.MaxStatements = 2
	c, err := Dial(t.Context(), o)
	require.NoError(t, err)
	defer c.Close()
	for _, sql := range []string{"a", "b", "c", "d", "a", "e", "f"} {
		var got bytes.Buffer
		_, err := c.Exchange(t.Context(), bindAndExecute(t, NewPreparedStatement(sql, nil)), &got)
		require.NoError(t, err)
		require.Equal(t, "2TDCZ", messageTypes(got.Bytes()))
	}
	f.eachSession(func(s *fakeSession) { require.LessOrEqual(t, len(s.statements), 3) })
}

// Guards against positions that are forwarded to the caller or lost.
func TestPosition(t *testing.T) {
	f := startFake(t, map[string]func(s *fakeSession){
		"write": func(s *fakeSession) {
			s.send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")},
				&pgproto3.ParameterStatus{Name: "gentianward.position", Value: "3/14"},
				&pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"})
		},
	})
	o := f.options()
	seen := make(chan gwsession.Position, 4)
	o.OnPosition = func(p gwsession.Position) { seen <- p }
	c, err := Dial(t.Context(), o)
	require.NoError(t, err)
	defer c.Close()
	require.Equal(t, gwsession.Position{Term: 1, Offset: 1}, <-seen, "sent together with ReadyForQuery at startup")
	var got bytes.Buffer
	res, err := c.Exchange(t.Context(), Query("write"), &got)
	require.NoError(t, err)
	require.Equal(t, "CSZ", messageTypes(got.Bytes()))
	require.Equal(t, gwsession.Position{Term: 3, Offset: 14}, res.Position)
	require.Equal(t, []string{"INSERT 0 1"}, res.CommandTags)
	require.Equal(t, res.Position, <-seen)
	f.sendUnsolicited(t, &pgproto3.ParameterStatus{Name: "gentianward.position", Value: "3/15"})
	require.Equal(t, gwsession.Position{Term: 3, Offset: 15}, <-seen)
}

// Guards against a wrong result of a request: "not sent" for one that may have run, or
// the reuse of a connection whose answer is outstanding.
func TestOutcomes(t *testing.T) {
	cancelable := func(s *fakeSession) {
		<-s.f.canceled
		s.sendError("ERROR", "57014", "canceling statement due to user request")
	}
	f := startFake(t, map[string]func(s *fakeSession){
		"cut":    func(s *fakeSession) { _ = s.nc.Close() },
		"half":   func(s *fakeSession) { s.row("a", "b"); _ = s.be.Flush(); _ = s.nc.Close() },
		"fatal":  func(s *fakeSession) { s.sendError("FATAL", "57P01", "stop"); _ = s.be.Flush(); _ = s.nc.Close() },
		"error":  func(s *fakeSession) { s.sendError("ERROR", "22012", "division by zero") },
		"wait":   cancelable,
		"frozen": func(s *fakeSession) { <-s.f.canceled; time.Sleep(100 * time.Millisecond); _ = s.nc.Close() },
		"copy": func(s *fakeSession) {
			s.send(&pgproto3.CopyInResponse{})
			_ = s.be.Flush()
			_, _ = s.be.Receive()
			s.sendError("ERROR", "57014", "COPY failed")
		},
	})
	tests := []struct {
		sql, answer, code string
		kind              Kind
		usable            bool
	}{
		{sql: "ok", answer: "TDCZ", usable: true},
		{sql: "error", answer: "EZ", code: "22012", usable: true},
		{sql: "copy", answer: "EZ", code: "0A000", usable: true},
		{sql: "cut", kind: KindIncomplete},
		{sql: "half", answer: "TDC", kind: KindIncomplete},
		{sql: "fatal", code: "57P01", kind: KindIncomplete},
		{sql: "wait", answer: "EZ", code: "57014"},
		{sql: "frozen", kind: KindIncomplete},
	}
	for _, tt := range tests {
		t.Run(tt.sql, func(t *testing.T) {
			o := f.options()
			o.CancelGrace = 50 * time.Millisecond
			c, err := Dial(t.Context(), o)
			require.NoError(t, err)
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			var got bytes.Buffer
			res, err := c.Exchange(ctx, Query(tt.sql), &got)
			require.Equal(t, tt.kind, KindOf(err), "%v", err)
			require.Equal(t, tt.answer, messageTypes(got.Bytes()))
			require.True(t, res.Sent)
			require.Equal(t, tt.kind == 0, res.Complete)
			require.Equal(t, tt.usable, c.Usable())
			if tt.code != "" {
				require.Equal(t, tt.code, res.ServerError.Code)
			}
			if !tt.usable {
				res, err = c.Exchange(t.Context(), Query("ok"), nil)
				require.Equal(t, KindNotSent, KindOf(err))
				require.False(t, res.Sent)
			}
		})
	}
}

// Guards against requests for whose end the server would wait, and against requests
// that would be answered by more than one ReadyForQuery.
func TestBadRequest(t *testing.T) {
	c := startFake(t, nil).dial(t)
	query := Query("x").Messages
	bad := [][]byte{
		nil, query[:3], query[:len(query)-1], append(bytes.Clone(query), query...),
		{'H', 0, 0, 0, 4},
		{'S', 0, 0, 0, 4, 'S', 0, 0, 0, 4},
		{'Q', 0, 0, 0, 1},
		{'X', 0, 0, 0, 4},
	}
	for _, messages := range bad {
		_, err := c.Exchange(t.Context(), Request{Messages: messages}, nil)
		require.ErrorIs(t, err, ErrBadRequest)
		require.Equal(t, KindNotSent, KindOf(err))
	}
	_, err := c.Exchange(t.Context(), Query("x"), nil)
	require.NoError(t, err)
}

type failingSink struct{}

func (failingSink) Write([]byte) (int, error) { return 0, errors.New("caller disconnected") }

// Guards against the loss of a connection when only the caller has disconnected, and
// against a session that inherits an open transaction.
func TestSinkFailureAndReset(t *testing.T) {
	f := startFake(t, nil)
	c := f.dial(t)
	res, err := c.Exchange(t.Context(), Query("BEGIN"), failingSink{})
	require.Equal(t, KindSink, KindOf(err))
	require.True(t, res.Complete && c.Usable())
	require.Equal(t, byte('T'), c.TxStatus())
	require.NoError(t, c.Reset(t.Context()))
	require.Equal(t, byte('I'), c.TxStatus())
	require.Equal(t, []string{"query BEGIN", "query ROLLBACK"}, f.takeLog())
}

type panickingSink struct{}

func (panickingSink) Write([]byte) (int, error) { panic("unexpected answer") }

// Guards against an answer whose processing panics and ends the process: answers are read
// outside of the session.
func TestPanicClosesConnection(t *testing.T) {
	c := startFake(t, nil).dial(t)
	_, err := c.Exchange(t.Context(), Query("x"), panickingSink{})
	require.ErrorIs(t, err, ErrProtocol)
	require.False(t, c.Usable())
}

// discardingConn discards what is written to it.
type discardingConn struct{ net.Conn }

func (discardingConn) Write(b []byte) (int, error) { return len(b), nil }

// FuzzAnswer guards against panics on arbitrary bytes of a server, in and outside of an
// answer.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("C\x00\x00\x00\x06x\x00Z\x00\x00\x00\x05I"), true)
	f.Add([]byte("1\x00\x00\x00\x043\x00\x00\x00\x04D\x00\x00\x00\x0a\x00\x01\xff\xff\xff\xffZ\x00\x00\x00\x05T"), true)
	f.Add([]byte("E\x00\x00\x00\x0cSFATAL\x00\x00"), false)
	f.Add([]byte("G\x00\x00\x00\x07\x00\x00\x00A\x00\x00\x00\x04"), true)
	f.Fuzz(func(_ *testing.T, sent []byte, asked bool) {
		c := &Conn{nc: discardingConn{}, smallBuffer: make([]byte, readBufferBytes), finished: make(chan struct{}, 1), statements: statementCache{limit: 4}}
		c.rbuf = c.smallBuffer
		var x *exchange
		if asked {
			c.x.reset(io.Discard)
			c.x.parses, c.x.closes = append(c.x.parses, parseOp{}), append(c.x.closes, closeHide)
			x = &c.x
		}
		for len(sent) > 0 {
			n := copy(c.rbuf[c.w:], sent)
			c.w, sent = c.w+n, sent[n:]
			if c.process(x) != nil || n == 0 {
				return
			}
			select {
			case <-c.finished:
				x = nil
			default:
			}
		}
	})
}

// Guards against answers that are truncated or reordered when messages are larger
// than the read buffer or span several reads.
func TestLargeAnswer(t *testing.T) {
	f := startFake(t, map[string]func(s *fakeSession){"large": func(s *fakeSession) {
		for i := range 40 {
			s.send(&pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte{byte(i)}, i*i*40)}})
		}
		s.sendError("ERROR", "22012", strings.Repeat("long", 10_000))
	}})
	c := f.dial(t)
	for range 3 {
		var got bytes.Buffer
		res, err := c.Exchange(t.Context(), Query("large"), &got)
		require.NoError(t, err)
		require.Equal(t, strings.Repeat("D", 40)+"EZ", messageTypes(got.Bytes()))
		require.Len(t, res.ServerError.Message, 40_000)
		require.Equal(t, int64(got.Len()), res.AnswerBytes)
	}
}

// FuzzPrepare guards against panics on malformed batches, and against rewriting them
// wrongly; other instances forward such batches.
func FuzzPrepare(f *testing.F) {
	f.Add(encodeBatch(f, &pgproto3.Parse{Name: "gw_1", Query: "q", ParameterOIDs: []uint32{1}}, &pgproto3.Close{ObjectType: 'S', Name: "x"}))
	f.Add(Query("x").Messages)
	f.Fuzz(func(t *testing.T, messages []byte) {
		c := &Conn{statements: statementCache{limit: 4}}
		c.statements.add(NewPreparedStatement("q", nil))
		out, err := c.buildMessages(&c.x, Request{Messages: messages})
		if err != nil {
			return
		}
		require.Equal(t, len(messageTypes(messages)), len(messageTypes(out)))
		require.Len(t, c.x.parses, strings.Count(messageTypes(out), "P"))
		if strings.Contains(messageTypes(out), "P") {
			require.Len(t, c.x.closes, strings.Count(messageTypes(out), "C"))
		}
	})
}

// Guards against a message of any length that ends the connection, after which the request's
// outcome is unknown and the server counts as broken. Texts of errors and notices hold what a
// caller has sent.
func TestLongMessages(t *testing.T) {
	long := strings.Repeat("x\r\n\xff", 1<<19)
	tests := []struct {
		name string
		send pgproto3.BackendMessage
	}{
		{"error", &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: "22P02", Message: "invalid: " + long, Detail: long}},
		{"notice", &pgproto3.NoticeResponse{Severity: "NOTICE", Code: "00000", Message: long}},
		{"parameter", &pgproto3.ParameterStatus{Name: "search_path", Value: long}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startFake(t, map[string]func(*fakeSession){"long": func(s *fakeSession) { s.send(tt.send) }})
			c := f.dial(t)
			var got bytes.Buffer
			res, err := c.Exchange(t.Context(), Query("long"), &got)
			require.NoError(t, err)
			want, err := (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(encode(t, tt.send))
			require.NoError(t, err)
			require.True(t, bytes.Equal(want, got.Bytes()), "answer of %d bytes in place of %d", got.Len(), len(want))
			if e, ok := tt.send.(*pgproto3.ErrorResponse); ok {
				require.Equal(t, e.Code, res.ServerError.Code)
				require.True(t, strings.HasPrefix(e.Message, res.ServerError.Message))
				require.NotEmpty(t, res.ServerError.Message)
			}
			_, err = c.QueryRow(t.Context(), "next")
			require.NoError(t, err)
			require.NoError(t, c.Close())
			<-c.readerDone
			require.LessOrEqual(t, len(c.rbuf), largeBufferBytes, "read buffer")
		})
	}
}

func encode(t testing.TB, m pgproto3.BackendMessage) []byte {
	b, err := m.Encode(nil)
	require.NoError(t, err)
	return b
}

// Guards against prepared statements of a connection that hold memory without a bound, each
// being within the limits of their number and of the size of a message.
func TestCachedBytes(t *testing.T) {
	s := statementCache{limit: defaultStatements}
	for i := range 20 {
		s.add(NewPreparedStatement(strings.Repeat("x", maxCachedBytes/4+i), nil))
		kept := 0
		for e := s.order.Front(); e != nil; e = e.Next() {
			kept += e.Value.(*PreparedStatement).size()
		}
		require.Equal(t, kept, s.bytes)
		require.LessOrEqual(t, kept, maxCachedBytes)
	}
	require.Len(t, s.evicted, 17)
	last := NewPreparedStatement(strings.Repeat("y", 2*maxCachedBytes), nil)
	s.add(last)
	require.True(t, s.has(last), "a statement over the limit")
	s.add(NewPreparedStatement("z", nil))
	require.False(t, s.has(last))
}
