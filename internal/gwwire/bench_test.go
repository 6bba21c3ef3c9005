package gwwire

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"runtime"
	"strconv"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
)

func encodeAll[M interface {
	Encode([]byte) ([]byte, error)
}](t testing.TB, messages ...M) []byte {
	var b []byte
	for _, m := range messages {
		var err error
		b, err = m.Encode(b)
		require.NoError(t, err)
	}
	return b
}

// cannedServer starts a server that sends answer in response to any request and returns
// its address.
func cannedServer(t testing.TB, answer []byte) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				buf := make([]byte, 64<<10)
				reply := encodeAll[pgproto3.BackendMessage](t, &pgproto3.AuthenticationOk{}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
				for {
					n, err := nc.Read(buf)
					if err != nil {
						return
					}
					if buf[0] == 'X' && n == headerBytes {
						return
					}
					if _, err := nc.Write(reply); err != nil {
						return
					}
					reply = answer
				}
			}()
		}
	}()
	return l.Addr().String()
}

func startupMessage() []byte {
	return []byte("\x00\x00\x00\x10\x00\x03\x00\x00user\x00u\x00\x00")
}

// open connects to address and reads up to the first ReadyForQuery.
func open(t testing.TB, address string) net.Conn {
	nc, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = nc.Write(startupMessage())
	require.NoError(t, err)
	buf := make([]byte, headerBytes)
	for buf[0] != 'Z' {
		_, err = io.ReadFull(nc, buf)
		require.NoError(t, err)
		_, err = io.CopyN(io.Discard, nc, int64(binary.BigEndian.Uint32(buf[1:]))-4)
		require.NoError(t, err)
	}
	return nc
}

// singleConnHandler is a Handler that runs all requests on one backend connection.
type singleConnHandler struct{ c *gwbackend.Conn }

func (o singleConnHandler) Authenticate(context.Context, Startup) (Session, error) { return o, nil }
func (o singleConnHandler) Close()                                                 {}
func (o singleConnHandler) Handle(ctx context.Context, req Request, w ResponseWriter) error {
	_, err := o.c.Exchange(ctx, req.BackendRequest(), w)
	return err
}

// BenchmarkRoundTrip measures one request, sent to the server directly and through the
// proxy; the difference is the overhead of the proxy. The client and the server
// themselves do not allocate.
func BenchmarkRoundTrip(b *testing.B) {
	st := gwbackend.NewPreparedStatement("select name from households where id = $1", []uint32{23})
	row := &pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte{'x'}, 100)}}
	tag := &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}
	ready := &pgproto3.ReadyForQuery{TxStatus: 'I'}
	rows := make([]pgproto3.BackendMessage, 1000)
	for i := range rows {
		rows[i] = row
	}
	simple := encodeAll[pgproto3.BackendMessage](b, fakeColumns, row, tag, ready)
	cases := []struct {
		name            string
		request, answer []byte
	}{
		{"simple", encodeAll[pgproto3.FrontendMessage](b, &pgproto3.Query{String: st.SQL}), simple},
		{
			"extended", encodeAll[pgproto3.FrontendMessage](b, &pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{{0, 0, 0, 1}}},
				&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}),
			encodeAll[pgproto3.BackendMessage](b, &pgproto3.BindComplete{}, fakeColumns, row, tag, ready),
		},
		{"1000rows", encodeAll[pgproto3.FrontendMessage](b, &pgproto3.Query{String: st.SQL}), encodeAll(b, append(rows, tag, ready)...)},
	}
	for _, c := range cases {
		address := cannedServer(b, c.answer)
		backend, err := gwbackend.Dial(b.Context(), gwbackend.Options{Address: address, User: "u", Database: "d"})
		require.NoError(b, err)
		s := serve(b, Options{Handler: singleConnHandler{backend}})
		for name, target := range map[string]string{"direct": address, "proxy": s.Address().String()} {
			b.Run(c.name+"/"+name, func(b *testing.B) {
				nc := open(b, target)
				defer nc.Close()
				answer := make([]byte, len(c.answer))
				b.ReportAllocs()
				for b.Loop() {
					_, _ = nc.Write(c.request)
					if _, err := io.ReadFull(nc, answer); err != nil {
						b.Fatal(err)
					}
				}
				require.Equal(b, c.answer, answer)
			})
		}
		require.NoError(b, backend.Close())
	}
}

// residentBytes returns the resident set size of the process.
func residentBytes(t testing.TB) float64 {
	b, err := os.ReadFile("/proc/self/statm")
	require.NoError(t, err)
	pages, err := strconv.ParseFloat(string(bytes.Fields(b)[1]), 64)
	require.NoError(t, err)
	return pages * float64(os.Getpagesize())
}

// BenchmarkIdleSessions measures the memory of 4,300 idle sessions that have each run
// one request. The target is 11 KB per session. The figures include the clients' ends of
// the connections.
func BenchmarkIdleSessions(b *testing.B) {
	const sessions = 4300
	for b.Loop() {
		s := serve(b, Options{Handler: echo{}})
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		resident := residentBytes(b)
		conns := make([]net.Conn, sessions)
		query := encodeAll[pgproto3.FrontendMessage](b, &pgproto3.Query{String: "set x"})
		answer := make([]byte, 14) // CommandComplete and ReadyForQuery
		for i := range conns {
			conns[i] = open(b, s.Address().String())
			_, _ = conns[i].Write(query)
			_, err := io.ReadFull(conns[i], answer)
			require.NoError(b, err)
		}
		b.ReportMetric((residentBytes(b)-resident)/sessions, "resident-B/session")
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/sessions, "heap-B/session")
		b.ReportMetric(float64(after.StackInuse-before.StackInuse)/sessions, "stack-B/session")
		for _, nc := range conns {
			_ = nc.Close()
		}
		require.NoError(b, s.Drain(context.Background()))
	}
}
