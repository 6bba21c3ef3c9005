package gwstatement

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwtelemetry"
)

// kindHandler answers with the type of the statement.
type kindHandler struct{ echoHandler }

func (h *kindHandler) Open(context.Context, Startup) (Session, *Failure) { return h, nil }

func (h *kindHandler) Ended() bool { return false }

func (h *kindHandler) Handle(_ context.Context, q Query, b []byte) []byte {
	return fmt.Appendf(b, "%T\n", q.Statement)
}

func startWithBudget(t *testing.T, b *gwbudget.Budget, places *gwbudget.Connections) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	return Serve(ctx, Options{Listener: l, Codec: testCodec{}, Handler: &kindHandler{}, Logger: slog.New(slog.DiscardHandler), Budget: b, Places: places})
}

// dialFrom opens a session from an address.
func dialFrom(t *testing.T, s *Server, ip string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}).Dial("tcp", s.Address().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = io.WriteString(nc, "start d\n")
	require.NoError(t, err)
	r := bufio.NewReader(nc)
	_, err = r.ReadString('\n')
	require.NoError(t, err)
	return nc, r
}

// gauges returns the metrics of a budget.
func gauges(b *gwbudget.Budget) map[string]func() float64 {
	out := make(map[string]func() float64)
	b.Expose(func(name string, f func() float64, labels ...gwtelemetry.Label) { out[name+" "+labels[0].Value] = f })
	return out
}

// Guards against a message that is read without memory for it, a small one that has to wait
// beside it, and memory that is not given back after the answer or the end of a connection.
func TestLongMessagesTakeMemory(t *testing.T) {
	b := gwbudget.New(8<<20, nil)
	metrics := gauges(b)
	s := startWithBudget(t, b, nil)
	other := b.Messages.Open("", nil)
	other.Force(int64(metrics["gentianward_budget_limit_bytes messages"]()))
	nc, r := dialFrom(t, s, "127.0.0.1")
	go func() { _, _ = io.WriteString(nc, "ask 1 "+strings.Repeat("x", 100<<10)+"\n") }()
	require.Eventually(t, func() bool { return metrics["gentianward_budget_waits messages"]() == 1 }, 10*time.Second, time.Millisecond)
	small, sr := dialFrom(t, s, "127.0.0.1")
	_, _ = io.WriteString(small, "ask 1 x\n")
	line, err := sr.ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "gwstatement.Read\n", line)
	other.Release()
	line, err = r.ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "gwstatement.Read\n", line)
	assert.Eventually(t, func() bool { return b.Messages.Used() == 0 }, 10*time.Second, time.Millisecond)

	_, _ = io.WriteString(nc, "ask 1 "+strings.Repeat("x", 100<<10))
	assert.Eventually(t, func() bool { return b.Messages.Used() >= 2*100<<10 }, 10*time.Second, time.Millisecond)
	_ = nc.Close()
	assert.Eventually(t, func() bool { return b.Messages.Used() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against reads whose answers fill the memory because their address does not read, and
// against other addresses that are refused with it.
func TestReadsOfFullHostAreRefused(t *testing.T) {
	b := gwbudget.New(8<<20, nil)
	s := startWithBudget(t, b, nil)
	unread := b.Answers.Open("127.0.0.1", nil)
	unread.Force(int64(gauges(b)["gentianward_budget_limit_bytes answers"]()))
	for ip, want := range map[string]string{"127.0.0.1": "gwstatement.Refused\n", "127.0.0.2": "gwstatement.Read\n"} {
		nc, r := dialFrom(t, s, ip)
		_, _ = io.WriteString(nc, "ask 1 x\n")
		line, err := r.ReadString('\n')
		require.NoError(t, err)
		assert.Equal(t, want, line, ip)
	}
}

// Guards against one address whose open sessions keep all others out.
func TestSessionsOfLargestHostAreReplaced(t *testing.T) {
	s := startWithBudget(t, nil, gwbudget.NewConnections("callers", 2, false, nil))
	_, first := dialFrom(t, s, "127.0.0.1")
	dialFrom(t, s, "127.0.0.1")
	nc, r := dialFrom(t, s, "127.0.0.2")
	_, err := first.ReadString('\n')
	assert.Error(t, err, "closed")
	_, _ = io.WriteString(nc, "ask 1 x\n")
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "gwstatement.Read\n", line)
}
