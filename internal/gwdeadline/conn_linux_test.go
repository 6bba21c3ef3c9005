package gwdeadline

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"gentianward.example/gentianward/internal/gwclock"
)

// helperAddress names the environment variable that makes the test's program a sender.
const helperAddress = "GWDEADLINE_HELPER_ADDRESS"

func TestMain(m *testing.M) {
	if address := os.Getenv(helperAddress); address != "" {
		runSender(address)
		return
	}
	os.Exit(m.Run())
}

const senderLimit = time.Second

// runSender opens a connection, waits for a byte of its standard input and sends.
func runSender(address string) {
	clock := gwclock.NewBootTime()
	until := clock.Now().Add(senderLimit)
	c, err := Dial(context.Background(), clock, address, until)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("connected")
	_, _ = os.Stdin.Read(make([]byte, 1))
	_, err = c.Write([]byte("late"))
	_ = c.Close()
	_, sent := c.Sent()
	fmt.Println(sent, err)
}

// listen returns an address and a function that returns what its first connection received.
func listen(t *testing.T) (address string, received func() string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	got := make(chan string, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			got <- err.Error()
			return
		}
		b, _ := io.ReadAll(nc)
		got <- string(b)
	}()
	return l.Addr().String(), func() string { return <-got }
}

// Guards against data that is sent after its time, because the caller stood still between the
// decision to send and the sending.
func TestWriteInTimeOnly(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
		sent  bool
	}{
		{"in time", time.Second - 1, true},
		{"at the end of the time", time.Second, false},
		{"long after", time.Minute, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, received := listen(t)
			clock := clockwork.NewFakeClock()
			c, err := Dial(t.Context(), clock, address, clock.Now().Add(time.Second))
			require.NoError(t, err)
			clock.Advance(tt.pause)
			n, err := c.Write([]byte("call"))
			_, sent := c.Sent()
			assert.Equal(t, tt.sent, sent)
			if tt.sent {
				require.NoError(t, err)
				assert.Equal(t, 4, n)
				require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
				assert.Equal(t, "call", received())
				return
			}
			var e *Error
			require.True(t, errors.As(err, &e) && e.Kind == KindLate, "%v", err)
			require.NoError(t, c.Close())
			assert.Empty(t, received())
		})
	}
}

// Guards against a process that is stopped between the decision to send and the sending, and
// sends when it continues.
func TestStoppedProcessSendsNothing(t *testing.T) {
	for _, pause := range []time.Duration{0, senderLimit + 100*time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			address, received := listen(t)
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), helperAddress+"="+address)
			in, err := cmd.StdinPipe()
			require.NoError(t, err)
			out, err := cmd.StdoutPipe()
			require.NoError(t, err)
			require.NoError(t, cmd.Start())
			lines := bufio.NewScanner(out)
			require.True(t, lines.Scan())
			require.Equal(t, "connected", lines.Text())
			if pause > 0 {
				require.NoError(t, cmd.Process.Signal(syscall.SIGSTOP))
				time.Sleep(pause)
			}
			_, err = in.Write([]byte("."))
			require.NoError(t, err)
			require.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
			require.True(t, lines.Scan())
			sent := pause == 0
			assert.Regexp(t, "^"+strconv.FormatBool(sent), lines.Text())
			assert.Equal(t, sent, received() == "late")
			require.NoError(t, cmd.Wait())
		})
	}
}

// Guards against data that the kernel keeps for a peer that does not acknowledge it, and
// delivers after its time. A peer that does not read stands for one that is cut off.
func TestUnacknowledgedDataIsGivenUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	clock := gwclock.NewBootTime()
	const limit = 300 * time.Millisecond
	c, err := Dial(t.Context(), clock, l.Addr().String(), clock.Now().Add(limit))
	require.NoError(t, err)
	defer c.Close()
	began := time.Now()
	_, err = c.Write(make([]byte, 64<<20))
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.Less(t, time.Since(began), 3*time.Second, "the kernel's timer doubles its steps")
	var ms int
	require.NoError(t, c.raw.Control(func(fd uintptr) { ms, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }))
	assert.True(t, ms > 0 && ms <= int(limit.Milliseconds()), "%d ms", ms)
}

// Guards against a connection that is opened after the time to send has passed.
func TestDialIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	_, err := Dial(t.Context(), clock, "127.0.0.1:1", clock.Now())
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, KindLate, e.Kind)
}
