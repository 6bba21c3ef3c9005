package gwwire

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// discardConn is a net.Conn that is at its end of input and discards output.
type discardConn struct{ net.Conn }

func (discardConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (discardConn) Write(p []byte) (int, error)      { return len(p), nil }
func (discardConn) Close() error                     { return nil }
func (discardConn) SetDeadline(time.Time) error      { return nil }
func (discardConn) SetReadDeadline(time.Time) error  { return nil }
func (discardConn) SetWriteDeadline(time.Time) error { return nil }
func (discardConn) RemoteAddr() net.Addr             { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// scriptedConn is a net.Conn that delivers in, at most chunk bytes per read.
type scriptedConn struct {
	discardConn
	in    *bytes.Reader
	chunk int
	out   bytes.Buffer
}

func (c *scriptedConn) Read(p []byte) (int, error)  { return c.in.Read(p[:min(len(p), c.chunk)]) }
func (c *scriptedConn) Write(p []byte) (int, error) { return c.out.Write(p) }

// FuzzSession guards against panics, responses that are not a sequence of complete
// messages, and requests that gwbackend would reject, for arbitrary input of a caller.
func FuzzSession(f *testing.F) {
	var batch []byte
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: "a", Query: "select 1", ParameterOIDs: []uint32{23}}, &pgproto3.Describe{ObjectType: 'S', Name: "a"},
		&pgproto3.Flush{}, &pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{{1}}}, &pgproto3.Execute{},
		&pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{}, &pgproto3.Query{String: "begin"}, &pgproto3.Terminate{},
	} {
		var err error
		batch, err = m.Encode(batch)
		require.NoError(f, err)
	}
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "options": "-c a=b"}}).Encode(nil)
	require.NoError(f, err)
	f.Add(append(bytes.Clone(startup), batch...), 7)
	f.Add([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2f"+string(startup)), 1)
	f.Add([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x01"), 100)
	f.Fuzz(func(t *testing.T, input []byte, chunk int) {
		s := &Server{log: slog.New(slog.DiscardHandler), options: Options{LookupCredential: trustAll, TrustLoopback: true, Handler: echo{handle: checkRequest(t)}}}
		s.SetLimits(Limits{MessageBytes: 1 << 16, Statements: 4})
		s.ctx, s.cancelCtx = context.WithCancel(context.Background())
		defer s.cancelCtx()
		nc := &scriptedConn{in: bytes.NewReader(input), chunk: max(1, chunk)}
		s.openConns.Add(1)
		s.wg.Add(1)
		s.startSession(nc)
		s.wg.Wait()
		out := bytes.TrimLeft(nc.out.Bytes(), "N") // answers to TLS and GSS requests
		for len(out) > 0 {
			require.GreaterOrEqual(t, len(out), headerBytes)
			require.LessOrEqual(t, frameSize(out), len(out))
			out = out[frameSize(out):]
		}
	})
}

// checkRequest returns a Session.Handle function that checks the framing of the request
// messages.
func checkRequest(t *testing.T) func(context.Context, Request, ResponseWriter) error {
	return func(_ context.Context, req Request, w ResponseWriter) error {
		rest := req.Messages
		last := byte(0)
		for len(rest) > 0 {
			require.GreaterOrEqual(t, len(rest), headerBytes)
			require.LessOrEqual(t, frameSize(rest), len(rest))
			last = rest[0]
			rest = rest[frameSize(rest):]
		}
		require.Contains(t, "QS", string(last))
		w.Complete(req, "SET", 'I')
		return nil
	}
}
