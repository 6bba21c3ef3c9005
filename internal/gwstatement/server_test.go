package gwstatement

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// echoHandler answers every statement with its text; tests set openTransactions.
type echoHandler struct {
	openTransactions atomic.Int32
	handled          atomic.Int64
}

func (e *echoHandler) Open(_ context.Context, startup Startup) (Session, *Failure) {
	switch startup.Database {
	case "none":
		return nil, &Failure{Code: NoDatabase, Text: "no such database"}
	case "short":
		return endedSession{e}, nil
	}
	return e, nil
}

// endedSession ends after its first statement.
type endedSession struct{ *echoHandler }

func (endedSession) Ended() bool { return true }

func (e *echoHandler) Handle(_ context.Context, q Query, b []byte) []byte {
	e.handled.Add(1)
	return fmt.Appendf(b, "row %s\ndone\nready I\n", q.Text)
}
func (e *echoHandler) Idle() bool  { return e.openTransactions.Load() == 0 }
func (e *echoHandler) Ended() bool { return false }
func (e *echoHandler) Close()      {}

func startServer(t *testing.T, h Handler) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	return Serve(ctx, Options{Listener: l, Codec: testCodec{}, Handler: h, Logger: slog.New(slog.DiscardHandler)})
}

func openSession(t *testing.T, s *Server, database string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", s.Address().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	_, err = nc.Write([]byte("start " + database + "\n"))
	require.NoError(t, err)
	return nc, bufio.NewReader(nc)
}

func TestServerAnswers(t *testing.T) {
	s := startServer(t, &echoHandler{})
	nc, r := openSession(t, s, "d")
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "ready I\n", line)
	_, _ = nc.Write([]byte("ask 1 x y\n"))
	line, err = r.ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "row x y\n", line)

	_, r = openSession(t, s, "none")
	got, err := io.ReadAll(r)
	require.NoError(t, err)
	assert.Equal(t, fmt.Sprintf("error %d no such database\n", NoDatabase), string(got))
}

// Guards against a caller whose malformed messages disturb other callers.
func TestServerClosesMalformedSessions(t *testing.T) {
	s := startServer(t, &echoHandler{})
	good, r := openSession(t, s, "d")
	_, _ = r.ReadString('\n')
	for _, text := range []string{"nonsense\n", "\x00\xff\n", "ask"} {
		nc, br := openSession(t, s, "d")
		_, _ = br.ReadString('\n')
		_, _ = nc.Write([]byte(text))
		_ = nc.(*net.TCPConn).CloseWrite()
		_, err := br.ReadString('\n')
		assert.ErrorIs(t, err, io.EOF, text)
	}
	_, _ = good.Write([]byte("ask 1 x\n"))
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "row x\n", line)
}

// Guards against a graceful stop that does not answer a request that has been read:
// sessions that seemed idle were closed between the read and the answer.
func TestDrainAnswersReceivedRequests(t *testing.T) {
	h := &echoHandler{}
	s := startServer(t, h)
	const callers = 40
	var sent, answered atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range callers {
		nc, r := openSession(t, s, "d")
		_, err := r.ReadString('\n')
		require.NoError(t, err)
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if _, err := nc.Write([]byte("ask 1 x\n")); err != nil {
					return
				}
				sent.Add(1)
				for _, want := range []string{"row x\n", "done\n", "ready I\n"} {
					if line, err := r.ReadString('\n'); err != nil || line != want {
						return
					}
				}
				answered.Add(1)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, s.Drain(t.Context()))
	close(stop)
	wg.Wait()
	assert.Equal(t, h.handled.Load(), answered.Load(), "statements handled and answered")
}

// slowHandler does not answer a statement before its context ends, and panics at "panic".
type slowHandler struct{ started chan struct{} }

func (h *slowHandler) Open(context.Context, Startup) (Session, *Failure) { return h, nil }
func (h *slowHandler) Handle(ctx context.Context, q Query, b []byte) []byte {
	if q.Text == "panic" {
		panic("unexpected statement")
	}
	h.started <- struct{}{}
	<-ctx.Done()
	time.Sleep(20 * time.Millisecond) // the time that an abandoned statement takes to end
	return fmt.Appendf(b, "error %d ended\nready I\n", Aborted)
}
func (h *slowHandler) Idle() bool  { return true }
func (h *slowHandler) Ended() bool { return false }
func (h *slowHandler) Close()      {}

// Guards against a graceful stop that closes the connection of a statement that is still
// waiting at its end: the caller got no answer (carnes-barrio, trouble-2 of fad2215).
func TestDrainAnswersStatementsAtItsEnd(t *testing.T) {
	h := &slowHandler{started: make(chan struct{}, 1)}
	s := startServer(t, h)
	nc, r := openSession(t, s, "d")
	_, err := r.ReadString('\n')
	require.NoError(t, err)
	_, err = nc.Write([]byte("ask 1 x\n"))
	require.NoError(t, err)
	<-h.started
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Error(t, s.Drain(ctx))
	got, err := io.ReadAll(r)
	require.NoError(t, err)
	assert.Equal(t, fmt.Sprintf("error %d ended\nready I\n", Aborted), string(got))
}

// busyHandler answers a statement after a while.
type busyHandler struct{ echoHandler }

func (h *busyHandler) Open(context.Context, Startup) (Session, *Failure) { return h, nil }
func (h *busyHandler) Handle(ctx context.Context, q Query, b []byte) []byte {
	select {
	case <-ctx.Done():
		return fmt.Appendf(b, "error %d ended\nready I\n", Unknown)
	case <-time.After(200 * time.Millisecond):
		return h.echoHandler.Handle(ctx, q, b)
	}
}

// Guards against a planned stop that ends statements at its limit, with an outcome that their
// callers don't know, because sessions that send the next one at once never seem idle.
func TestDrainEndsBusySessions(t *testing.T) {
	h := &busyHandler{}
	s := startServer(t, h)
	var wg sync.WaitGroup
	var answered, ended atomic.Int64
	for range 20 {
		nc, r := openSession(t, s, "d")
		_, err := r.ReadString('\n')
		require.NoError(t, err)
		wg.Go(func() {
			for {
				_, _ = nc.Write([]byte("ask 1 x\n"))
				line, err := r.ReadString('\n')
				if strings.HasPrefix(line, "error") {
					ended.Add(1)
				}
				if err != nil || line != "row x\n" {
					return
				}
				for range 2 {
					_, _ = r.ReadString('\n')
				}
				answered.Add(1)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	assert.NoError(t, s.Drain(ctx))
	wg.Wait()
	assert.Zero(t, ended.Load(), "statements ended by the stop")
	assert.Equal(t, h.handled.Load(), answered.Load(), "statements handled and answered")
}

// Guards against a process that ends because of one unexpected statement.
func TestServerSurvivesPanic(t *testing.T) {
	h := &slowHandler{started: make(chan struct{}, 1)}
	s := startServer(t, h)
	nc, r := openSession(t, s, "d")
	_, _ = nc.Write([]byte("ask 1 panic\n"))
	got, err := io.ReadAll(r)
	require.NoError(t, err)
	assert.Equal(t, "ready I\n", string(got))
	_, r = openSession(t, s, "d")
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "ready I\n", line)
}

// Guards against a graceful stop that rolls back transactions that could have committed.
func TestDrainWaitsForTransactions(t *testing.T) {
	h := &echoHandler{}
	h.openTransactions.Store(1)
	s := startServer(t, h)
	nc, r := openSession(t, s, "d")
	_, err := r.ReadString('\n')
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Drain(t.Context()) }()
	time.Sleep(60 * time.Millisecond)
	_, _ = nc.Write([]byte("ask 1 x\n"))
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "row x\n", line)
	select {
	case <-done:
		t.Fatal("the drain ended with a transaction open")
	case <-time.After(60 * time.Millisecond):
	}
	h.openTransactions.Store(0)
	require.NoError(t, <-done)
}

// slowConn records how much is written under each deadline.
type slowConn struct {
	net.Conn
	writes []int // bytes by deadline
}

func (c *slowConn) SetWriteDeadline(time.Time) error {
	c.writes = append(c.writes, 0)
	return nil
}

func (c *slowConn) Write(b []byte) (int, error) {
	c.writes[len(c.writes)-1] += len(b)
	return len(b), nil
}

// Guards against a caller that reads all the time and is cut off inside a long answer, because
// its link takes more than answerWriteTimeout for it.
func TestLongAnswerIsBoundedByProgress(t *testing.T) {
	nc := &slowConn{}
	c := &callerConn{nc: nc}
	answer := make([]byte, 1<<20+1)
	require.NoError(t, c.write(answer))
	total := 0
	for _, n := range nc.writes {
		total += n
		assert.LessOrEqual(t, n, answerPartBytes, "under one deadline")
	}
	assert.Equal(t, len(answer), total)
}

// Guards against a session that stays open after its caller has lost its access, and against
// a last answer that is cut off.
func TestEndedSessionIsClosedAfterAnswer(t *testing.T) {
	s := startServer(t, &echoHandler{})
	nc, r := openSession(t, s, "short")
	_, err := nc.Write([]byte("ask 1 x\nask 2 y\n"))
	require.NoError(t, err)
	got, err := io.ReadAll(r)
	if err != nil { // the second statement was not read before the connection was closed
		assert.ErrorContains(t, err, "reset")
	}
	assert.Equal(t, "ready I\nrow x\ndone\nready I\n", string(got))
}
