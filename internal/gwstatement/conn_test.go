package gwstatement

import (
	"bufio"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
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

// scriptedServer is a backend server that looks up its answers by the text of the
// statement and records the statements that it receives.
type scriptedServer struct {
	l net.Listener

	mu          sync.Mutex
	answers     map[string]string
	received    []string
	releaseSlow chan struct{} // the answer to "slow" waits until it is closed
}

func startScriptedServer(t *testing.T, answers map[string]string) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedServer{l: l, answers: answers, releaseSlow: make(chan struct{})}
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

func (s *scriptedServer) serve(nc net.Conn) {
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
		s.received = append(s.received, line)
		answer, ok := s.answers[text]
		s.mu.Unlock()
		if text == "slow" {
			<-s.releaseSlow
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

// takeReceived returns the messages that the server received since the last call.
func (s *scriptedServer) takeReceived() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.received
	s.received = nil
	return out
}

func (s *scriptedServer) dial(t *testing.T) *Conn {
	t.Helper()
	c, err := Dialect{Codec: testCodec{}}.dial(t.Context(), gwbackend.Options{Name: "s", Address: s.l.Addr().String(), Database: "g", User: "u"})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.Equal(t, []string{"start g u s"}, s.takeReceived())
	return c
}

func textRequest(text string) gwbackend.Request {
	return gwbackend.Request{Statement: &gwbackend.StatementRequest{ID: "1", Text: text}}
}

// Guards against a statement that runs with another session's variables or without its
// own prepared statement.
func TestExchangeAppliesSession(t *testing.T) {
	s := startScriptedServer(t, nil)
	c := s.dial(t)
	run := func(variables []gwbackend.SessionVariable, prepared ...gwbackend.PreparedStatement) []string {
		req := textRequest("x")
		req.Statement.Variables, req.Prepared = variables, prepared
		_, err := c.Exchange(t.Context(), req, nil)
		require.NoError(t, err)
		return s.takeReceived()
	}
	a, b := gwbackend.SessionVariable{Name: "a", Value: "1"}, gwbackend.SessionVariable{Name: "b", Value: "2"}
	st := gwbackend.NewPreparedStatement("shape", nil)
	assert.Equal(t, []string{"|set a 1", "1|x"}, run([]gwbackend.SessionVariable{a}))
	assert.Equal(t, []string{"1|x"}, run([]gwbackend.SessionVariable{a}), "nothing changed")
	assert.Equal(t, []string{"|set b 2", "1|x"}, run([]gwbackend.SessionVariable{a, b}))
	assert.Equal(t, []string{"|set a 9", "1|x"}, run([]gwbackend.SessionVariable{{Name: "a", Value: "9"}, b}))
	assert.Equal(t, []string{"|discard", "|set a 1", "1|x"}, run([]gwbackend.SessionVariable{a}), "a session without b")
	assert.Equal(t, []string{"|prepare a shape", "1|x"}, run([]gwbackend.SessionVariable{a}, st), "under a name of the connection")
	assert.Equal(t, []string{"1|x"}, run([]gwbackend.SessionVariable{a}, st))
	assert.Equal(t, []string{"|discard", "|prepare a shape", "1|x"}, run(nil, st), "a discard removes prepared statements")
}

// Guards against a statement that runs outside of its transaction because the
// transaction could not be opened.
func TestExchangeOpensTransaction(t *testing.T) {
	s := startScriptedServer(t, map[string]string{"begin false": "error readOnly x\nready I 7\n", "begin true": "done\nready T 7\n", "x": "done\nready T 7\n"})
	c := s.dial(t)
	req := textRequest("x")
	req.Statement.Begin = gwbackend.BeginWrite
	res, err := c.Exchange(t.Context(), req, nil)
	require.NoError(t, err)
	assert.False(t, res.Sent)
	assert.Equal(t, gwoutcome.ServerReadOnly, res.Refusal)
	assert.Equal(t, []string{"|begin false"}, s.takeReceived())

	req.Statement.Begin, req.Statement.After = gwbackend.BeginRead, Position{Term: 1, Offset: 5}
	res, err = c.Exchange(t.Context(), req, nil)
	require.NoError(t, err)
	assert.Equal(t, byte('T'), res.TxStatus)
	assert.False(t, c.Clean())
	assert.Equal(t, []string{"|after 1/5 begin true", "1|x"}, s.takeReceived(), "the position is checked once")
	require.NoError(t, c.Reset(t.Context()))
	assert.True(t, c.Clean())
}

// Guards against reporting a position that is not that of a commit, and against
// reporting a refused statement as run.
func TestExchangeResult(t *testing.T) {
	s := startScriptedServer(t, map[string]string{
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
		req := textRequest(tt.text)
		req.Statement.Commits = tt.commits
		var sink sinkBuffer
		res, err := c.Exchange(t.Context(), req, &sink)
		require.NoError(t, err)
		assert.Equal(t, tt.position, res.Position.Offset, tt.text)
		assert.Equal(t, tt.refusal, res.Refusal, tt.text)
		assert.True(t, res.Sent)
		assert.NotContains(t, string(sink), "ready", "the caller's state is not the server's")
	}
	res, err := c.Exchange(t.Context(), textRequest("gone"), nil)
	assert.Equal(t, gwbackend.KindIncomplete, gwbackend.KindOf(err))
	assert.True(t, res.Sent)
	_, err = c.Exchange(t.Context(), textRequest("x"), nil)
	assert.Equal(t, gwbackend.KindNotSent, gwbackend.KindOf(err))
}

type sinkBuffer []byte

func (c *sinkBuffer) Write(b []byte) (int, error) {
	*c = append(*c, b...)
	return len(b), nil
}

// Guards against delivering the late answer to an abandoned statement to the next
// statement, and against a new connection for each abandoned statement.
func TestRecoverDiscardsLateAnswer(t *testing.T) {
	s := startScriptedServer(t, map[string]string{"slow": "row late\ndone\nready I 3\n", "next": "row next\ndone\nready I 4\n"})
	c := s.dial(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	res, err := c.Exchange(ctx, textRequest("slow"), nil)
	assert.Error(t, err)
	assert.True(t, res.Sent)
	assert.False(t, c.Usable())
	_, err = c.Exchange(t.Context(), textRequest("next"), nil)
	assert.Equal(t, gwbackend.KindNotSent, gwbackend.KindOf(err))
	close(s.releaseSlow)
	require.NoError(t, c.Recover(t.Context()))
	var sink sinkBuffer
	_, err = c.Exchange(t.Context(), textRequest("next"), &sink)
	require.NoError(t, err)
	assert.Equal(t, "row next\ndone\n", string(sink))
}

// Guards against a fence that succeeds although the server still leads or receives.
func TestDialectFence(t *testing.T) {
	answers := map[string]string{
		"status": "row primary 2 0\ndone\nready I 1\n", "stepDown 3": "row replica 2 0\ndone\nready I 1\n",
	}
	s := startScriptedServer(t, answers)
	c := s.dial(t)
	d := Dialect{Codec: testCodec{}}
	_, err := d.Fence(t.Context(), c, 3)
	require.NoError(t, err)
	assert.Equal(t, []string{"|status", "|stepDown 3"}, s.takeReceived())
	answers["stepDown 3"] = answers["status"]
	_, err = d.Fence(t.Context(), c, 3)
	assert.Error(t, err, "it still leads")
	s.takeReceived()
	answers["status"] = "row replica 2 3\ndone\nready I 1\n"
	_, err = d.Fence(t.Context(), c, 3)
	require.NoError(t, err)
	assert.Equal(t, []string{"|status"}, s.takeReceived(), "it is paused already")
	answers["status"] = "error busy x\nready I 1\n"
	_, err = d.Position(t.Context(), c)
	assert.ErrorIs(t, err, gwbackend.ErrServerBusy)
}

// Guards against a malformed answer that ends the process: answers are read outside of the
// session. The codec of this test panics on a ready message without a status.
func TestPanicClosesConnection(t *testing.T) {
	s := startScriptedServer(t, map[string]string{"odd": "ready\n"})
	c := s.dial(t)
	_, err := c.Exchange(t.Context(), textRequest("odd"), nil)
	require.Error(t, err)
	assert.False(t, c.Usable())
}

// Guards against a statement that runs another caller's shape, whose name has the same hash.
func TestCollidingPreparedNames(t *testing.T) {
	s := startScriptedServer(t, nil)
	c := s.dial(t)
	first := gwbackend.NewPreparedStatement("shape one", nil)
	second := gwbackend.PreparedStatement{Name: first.Name, SQL: "shape two"}
	prepared := make(map[string]string) // shapes by name, as the server has them
	run := func(p gwbackend.PreparedStatement) string {
		req := textRequest("execute " + p.Name + " k v")
		req.Prepared = []gwbackend.PreparedStatement{p}
		_, err := c.Exchange(t.Context(), req, nil)
		require.NoError(t, err)
		ran := ""
		for _, line := range s.takeReceived() {
			_, text, _ := strings.Cut(line, "|")
			f := strings.SplitN(text, " ", 3)
			switch f[0] {
			case "prepare":
				prepared[f[1]] = f[2]
			case "execute":
				ran = prepared[f[1]]
			}
		}
		return ran
	}
	assert.Equal(t, "shape one", run(first))
	assert.Equal(t, "shape two", run(second))
	assert.Equal(t, "shape one", run(first))
}

// Guards against names that end up at two shapes, or an unbounded number of shapes at the
// server, when more are used than a connection has names.
func TestPreparedNamesAreReused(t *testing.T) {
	s := startScriptedServer(t, nil)
	c := s.dial(t)
	prepared := make(map[string]string) // shapes by name, as the server has them
	rng := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		p := gwbackend.NewPreparedStatement(fmt.Sprint("shape ", rng.IntN(2*len(preparedNames))), nil)
		req := textRequest("execute " + p.Name + " k")
		req.Prepared = []gwbackend.PreparedStatement{p}
		_, err := c.Exchange(t.Context(), req, nil)
		require.NoError(t, err)
		ran := ""
		for _, line := range s.takeReceived() {
			_, text, _ := strings.Cut(line, "|")
			f := strings.SplitN(text, " ", 3)
			switch f[0] {
			case "prepare":
				assert.NotContains(t, prepared, f[1], "the name is in use")
				prepared[f[1]] = f[2]
			case "deallocate":
				delete(prepared, f[1])
			case "execute":
				ran = prepared[f[1]]
			}
		}
		require.Equal(t, p.SQL, ran)
	}
	assert.LessOrEqual(t, len(prepared), len(preparedNames))
}

// Guards against a statement that runs an earlier shape of its name, because the server has
// kept statements that the connection takes for unknown.
func TestUnknownSessionIsDiscarded(t *testing.T) {
	answers := map[string]string{"execute a k": "error noStatement x\nready I 1\n", "set n v": "error failed x\nready I 1\n"}
	s := startScriptedServer(t, answers)
	c := s.dial(t)
	p := gwbackend.NewPreparedStatement("shape", nil)
	req := textRequest("execute " + p.Name + " k")
	req.Prepared = []gwbackend.PreparedStatement{p}
	for _, want := range [][]string{{"|prepare a shape", "1|execute a k"}, {"|discard", "|prepare a shape", "1|execute a k"}} {
		_, err := c.Exchange(t.Context(), req, nil)
		require.NoError(t, err)
		assert.Equal(t, want, s.takeReceived())
	}
	req = textRequest("x")
	req.Statement.Variables = []gwbackend.SessionVariable{{Name: "n", Value: "v"}}
	res, err := c.Exchange(t.Context(), req, nil)
	require.NoError(t, err)
	assert.False(t, res.Sent)
	assert.Equal(t, []string{"|discard", "|set n v"}, s.takeReceived())
	_, err = c.Exchange(t.Context(), textRequest("x"), nil)
	require.NoError(t, err)
	assert.Equal(t, []string{"|discard", "1|x"}, s.takeReceived(), "the failed SET may have had an effect")
}

// Guards against a read that a server refuses because the position in front of it makes its
// message too long, and against one that runs although the position is missing.
func TestPositionOfLongStatement(t *testing.T) {
	answers := map[string]string{"begin true": "done\nready T 7\n", "after 1/9 begin true": "error lagging x\nready I 7\n"}
	s := startScriptedServer(t, answers)
	c := s.dial(t)
	long := strings.Repeat("x", maxTestQuery-1)
	req := textRequest(long)
	req.Statement.After = Position{Term: 1, Offset: 5}
	res, err := c.Exchange(t.Context(), req, nil)
	require.NoError(t, err)
	assert.True(t, res.Sent)
	assert.Equal(t, []string{"|after 1/5 begin true", "|rollback", "1|" + long}, s.takeReceived())

	req.Statement.After.Offset = 9
	res, err = c.Exchange(t.Context(), req, nil)
	require.NoError(t, err)
	assert.False(t, res.Sent)
	assert.Equal(t, gwoutcome.TooStale, res.Refusal)
	assert.Equal(t, []string{"|after 1/9 begin true"}, s.takeReceived())

	_, err = c.Exchange(t.Context(), textRequest(long+"x"), nil)
	assert.ErrorIs(t, err, gwbackend.ErrNotEncodable)
	assert.Equal(t, gwbackend.KindNotSent, gwbackend.KindOf(err))
	assert.True(t, c.Usable(), "the connection goes on")
	assert.Empty(t, s.takeReceived())
}

// Guards against an answer that cannot be read, or that is too long to be kept, and that is
// taken for a broken server; and against the error of one request that is reported for another.
func TestUnreadableReplies(t *testing.T) {
	s := startScriptedServer(t, map[string]string{
		"odd": "what is this\n", "set n v": "what is this\n", "many": strings.Repeat("row "+strings.Repeat("x", 1<<20)+"\n", 9) + "done\nready I 1\n", "gone": "hang up",
	})
	tests := []struct {
		text       string
		variables  []gwbackend.SessionVariable
		unreadable bool
		sent       bool
	}{
		{text: "odd", unreadable: true, sent: true},
		{text: "many", unreadable: true, sent: true},
		{text: "x", variables: []gwbackend.SessionVariable{{Name: "n", Value: "v"}}, unreadable: true},
		{text: "gone", sent: true},
	}
	for _, tt := range tests {
		c := s.dial(t)
		req := textRequest(tt.text)
		req.Statement.Variables = tt.variables
		res, err := c.Exchange(t.Context(), req, nil)
		require.Error(t, err)
		assert.Equal(t, tt.unreadable, errors.Is(err, gwbackend.ErrUnreadable), "%s: %v", tt.text, err)
		assert.Equal(t, tt.sent, res.Sent, tt.text)
		assert.False(t, c.Usable())
		_, err = c.Exchange(t.Context(), textRequest("x"), nil)
		assert.NotErrorIs(t, err, gwbackend.ErrUnreadable, "the next request")
		s.takeReceived()
	}
}

// Guards against a connection that keeps the values of all its callers in memory, and against
// a long value that is taken for another one.
func TestLongValuesAreNotKept(t *testing.T) {
	long := strings.Repeat("v", maxKeptText+1)
	digest := sha256.Sum256([]byte(long))
	texts := []string{"", "v", long, long + "v", string(digest[:])}
	for i, a := range texts {
		assert.LessOrEqual(t, len(digestOf(a).short), maxKeptText)
		for j, b := range texts {
			assert.Equal(t, i == j, digestOf(a) == digestOf(b))
		}
	}
	s := startScriptedServer(t, nil)
	c := s.dial(t)
	for _, value := range []string{long, long, long + "v"} {
		req := textRequest("x")
		req.Statement.Variables = []gwbackend.SessionVariable{{Name: "n", Value: value}}
		_, err := c.Exchange(t.Context(), req, nil)
		require.NoError(t, err)
	}
	assert.Equal(t, []string{"|set n " + long, "1|x", "1|x", "|set n " + long + "v", "1|x"}, s.takeReceived())
}

// Guards against a name that is given to a second shape while the server still has the first
// one, because it refused to deallocate it; and against a transaction that is lost for that.
func TestRefusedDeallocation(t *testing.T) {
	answers := map[string]string{}
	s := startScriptedServer(t, answers)
	c := s.dial(t)
	run := func(i int) ([]string, gwbackend.Result) {
		p := gwbackend.NewPreparedStatement(fmt.Sprint("shape ", i), nil)
		req := textRequest("execute " + p.Name + " k")
		req.Prepared = []gwbackend.PreparedStatement{p}
		res, err := c.Exchange(t.Context(), req, nil)
		require.NoError(t, err)
		return s.takeReceived(), res
	}
	for i := range len(preparedNames) {
		run(i)
	}
	s.mu.Lock()
	answers["deallocate a"] = "error busy x\nready T 7\n"
	s.mu.Unlock()
	got, res := run(100)
	assert.Equal(t, []string{"|deallocate a"}, got)
	assert.Equal(t, gwoutcome.QueueFull, res.Refusal)
	got, _ = run(0)
	assert.Equal(t, []string{"1|execute a k"}, got, "it is still prepared")
	s.mu.Lock()
	delete(answers, "deallocate a")
	s.mu.Unlock()
	got, _ = run(100)
	assert.Equal(t, []string{"|deallocate a", "|prepare a shape 100", "1|execute a k"}, got)
}
