package gwstatement

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// scripted is a backend server that answers by the text of a statement and
// records what it is sent.
type scripted struct {
	l net.Listener

	mu      sync.Mutex
	answers map[string]string
	seen    []string
	hold    chan struct{} // answers to "slow" wait for it
}

func startScripted(t *testing.T, answers map[string]string) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scripted{l: l, answers: answers, hold: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	return s
}

func (s *scripted) serve(nc net.Conn) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSpace(line)
		_, text, _ := strings.Cut(line, "|")
		s.mu.Lock()
		s.seen = append(s.seen, line)
		answer, ok := s.answers[text]
		s.mu.Unlock()
		if text == "slow" {
			<-s.hold
		}
		if !ok {
			answer = "done\nready I 0\n"
		}
		if answer == "hang up" {
			return
		}
		if _, err := nc.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// take returns what the server was sent since the last call, without the start.
func (s *scripted) take() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.seen
	s.seen = nil
	return out
}

func (s *scripted) dial(t *testing.T) *Conn {
	t.Helper()
	c, err := Dial(t.Context(), testCodec{}, gwbackend.Options{Name: "s", Address: s.l.Addr().String(), Database: "g", User: "u"})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.Equal(t, []string{"start g u s"}, s.take())
	return c
}

func line(text string) gwbackend.Request {
	return gwbackend.Request{Statement: &gwbackend.StatementRequest{ID: "1", Text: text}}
}

// Guards against a statement that runs with another session's values or without
// its own prepared statement.
func TestExchangeBringsConnectionToSession(t *testing.T) {
	s := startScripted(t, nil)
	c := s.dial(t)
	run := func(values []gwbackend.SessionVariable, prepared ...gwbackend.PreparedStatement) []string {
		req := line("x")
		req.Statement.Variables, req.Prepared = values, prepared
		_, err := c.Exchange(t.Context(), req, nil)
		require.NoError(t, err)
		return s.take()
	}
	a, b := gwbackend.SessionVariable{Name: "a", Value: "1"}, gwbackend.SessionVariable{Name: "b", Value: "2"}
	st := gwbackend.NewPreparedStatement("shape", nil)
	assert.Equal(t, []string{"|set a 1", "1|x"}, run([]gwbackend.SessionVariable{a}))
	assert.Equal(t, []string{"1|x"}, run([]gwbackend.SessionVariable{a}), "nothing changed")
	assert.Equal(t, []string{"|set b 2", "1|x"}, run([]gwbackend.SessionVariable{a, b}))
	assert.Equal(t, []string{"|set a 9", "1|x"}, run([]gwbackend.SessionVariable{{Name: "a", Value: "9"}, b}))
	assert.Equal(t, []string{"|discard", "|set a 1", "1|x"}, run([]gwbackend.SessionVariable{a}), "a session without b")
	assert.Equal(t, []string{"|prepare " + st.Name + " shape", "1|x"}, run([]gwbackend.SessionVariable{a}, st))
	assert.Equal(t, []string{"1|x"}, run([]gwbackend.SessionVariable{a}, st))
	assert.Equal(t, []string{"|discard", "|prepare " + st.Name + " shape", "1|x"}, run(nil, st), "a discard forgets prepared statements")
}

// Guards against a statement that runs outside of its transaction because the
// transaction could not be opened.
func TestExchangeOpensTransaction(t *testing.T) {
	s := startScripted(t, map[string]string{"begin false": "error readOnly x\nready I 7\n", "begin true": "done\nready T 7\n", "x": "done\nready T 7\n"})
	c := s.dial(t)
	req := line("x")
	req.Statement.Begin = gwbackend.BeginWrite
	res, err := c.Exchange(t.Context(), req, nil)
	require.NoError(t, err)
	assert.False(t, res.Sent)
	assert.Equal(t, gwoutcome.ServerReadOnly, res.Refusal)
	assert.Equal(t, []string{"|begin false"}, s.take())

	req.Statement.Begin, req.Statement.After = gwbackend.BeginRead, Position{Term: 1, Offset: 5}
	res, err = c.Exchange(t.Context(), req, nil)
	require.NoError(t, err)
	assert.Equal(t, byte('T'), res.TxStatus)
	assert.False(t, c.Clean())
	assert.Equal(t, []string{"|after 1/5 begin true", "1|x"}, s.take(), "the position is checked once")
	require.NoError(t, c.Reset(t.Context()))
	assert.True(t, c.Clean())
}

// Guards against a position that is taken for that of a commit, and against a
// refusal that is taken for a run.
func TestExchangeResult(t *testing.T) {
	s := startScripted(t, map[string]string{
		"store": "done\nready I 9\n", "full": "error busy x\nready I 9\n", "late": "error lagging x\nready I 9\n",
		"failed": "row 1\nerror failed x\nready I 9\n", "gone": "hang up",
	})
	c := s.dial(t)
	tests := []struct {
		text     string
		commits  bool
		position uint64
		refusal  gwoutcome.Event
	}{
		{"store", true, 9, 0},
		{"store", false, 0, 0},
		{"full", true, 0, gwoutcome.QueueFull},
		{"late", false, 0, gwoutcome.TooStale},
		{"failed", true, 0, 0},
	}
	for _, tt := range tests {
		req := line(tt.text)
		req.Statement.Commits = tt.commits
		var sink collector
		res, err := c.Exchange(t.Context(), req, &sink)
		require.NoError(t, err)
		assert.Equal(t, tt.position, res.Position.Offset, tt.text)
		assert.Equal(t, tt.refusal, res.Refusal, tt.text)
		assert.True(t, res.Sent)
		assert.NotContains(t, string(sink), "ready", "the caller's state is not the server's")
	}
	res, err := c.Exchange(t.Context(), line("gone"), nil)
	assert.Equal(t, gwbackend.KindIncomplete, gwbackend.KindOf(err))
	assert.True(t, res.Sent)
	_, err = c.Exchange(t.Context(), line("x"), nil)
	assert.Equal(t, gwbackend.KindNotSent, gwbackend.KindOf(err))
}

type collector []byte

func (c *collector) Write(b []byte) (int, error) {
	*c = append(*c, b...)
	return len(b), nil
}

// Guards against the answer to a statement that was given up which reaches the
// next one, and against a new connection for each such statement.
func TestRecoverDropsLateAnswer(t *testing.T) {
	s := startScripted(t, map[string]string{"slow": "row late\ndone\nready I 3\n", "next": "row next\ndone\nready I 4\n"})
	c := s.dial(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	res, err := c.Exchange(ctx, line("slow"), nil)
	assert.Error(t, err)
	assert.True(t, res.Sent)
	assert.False(t, c.Usable())
	_, err = c.Exchange(t.Context(), line("next"), nil)
	assert.Equal(t, gwbackend.KindNotSent, gwbackend.KindOf(err))
	close(s.hold)
	require.NoError(t, c.Recover(t.Context()))
	var sink collector
	_, err = c.Exchange(t.Context(), line("next"), &sink)
	require.NoError(t, err)
	assert.Equal(t, "row next\ndone\n", string(sink))
}

// Guards against a fence that counts although the server still leads or receives.
func TestDialectFence(t *testing.T) {
	answers := map[string]string{
		"status": "row primary 2 0\ndone\nready I 1\n", "stepDown 3": "row replica 2 0\ndone\nready I 1\n",
	}
	s := startScripted(t, answers)
	c := s.dial(t)
	d := Dialect{Codec: testCodec{}}
	_, err := d.Fence(t.Context(), c, 3)
	require.NoError(t, err)
	assert.Equal(t, []string{"|status", "|stepDown 3"}, s.take())
	answers["stepDown 3"] = answers["status"]
	_, err = d.Fence(t.Context(), c, 3)
	assert.Error(t, err, "it still leads")
	s.take()
	answers["status"] = "row replica 2 3\ndone\nready I 1\n"
	_, err = d.Fence(t.Context(), c, 3)
	require.NoError(t, err)
	assert.Equal(t, []string{"|status"}, s.take(), "it is paused already")
	answers["status"] = "error busy x\nready I 1\n"
	_, err = d.Position(t.Context(), c)
	assert.ErrorIs(t, err, gwbackend.ErrServerBusy)
}
