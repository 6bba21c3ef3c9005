package gwstatement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// setAnswer changes the answer to a statement; an empty one is that to any statement.
func (s *scriptedServer) setAnswer(text, answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer == "" {
		delete(s.answers, text)
		return
	}
	s.answers[text] = answer
}

// Guards against a transaction that ends because a server was busy once when a value or a
// prepared statement was to be set, and against a name that is prepared twice after that.
func TestRefusedSessionControlLeavesStateKnown(t *testing.T) {
	const inTransaction = "done\nready T 1\n"
	s := startScriptedServer(t, map[string]string{"begin false": inTransaction, "x": inTransaction})
	c := s.dial(t)
	for i := range len(preparedNames) { // so that the next shape takes a name in use
		req := textRequest("y")
		req.Prepared = []gwbackend.PreparedStatement{gwbackend.NewPreparedStatement(fmt.Sprint("shape ", i), nil)}
		_, err := c.Exchange(t.Context(), req, nil)
		require.NoError(t, err)
	}
	req := textRequest("x")
	req.Statement.Begin = gwbackend.BeginWrite
	_, err := c.Exchange(t.Context(), req, nil)
	require.NoError(t, err)
	s.takeReceived()

	req = textRequest("x")
	req.Statement.Variables = []gwbackend.SessionVariable{{Name: "n", Value: "v"}}
	req.Prepared = []gwbackend.PreparedStatement{gwbackend.NewPreparedStatement("shape new", nil)}
	steps := []string{"set n v", "deallocate a", "prepare a shape new"}
	for i, refused := range steps {
		s.setAnswer(refused, "error busy x\nready T 1\n")
		res, err := c.Exchange(t.Context(), req, nil)
		require.NoError(t, err)
		assert.False(t, res.Sent)
		assert.Equal(t, gwoutcome.QueueFull, res.Refusal)
		got := s.takeReceived()
		assert.Equal(t, "|"+refused, got[len(got)-1])
		s.setAnswer(refused, inTransaction)
		assert.False(t, c.sessionUnknown, "after step %d", i)
	}
	_, err = c.Exchange(t.Context(), req, nil)
	require.NoError(t, err)
	assert.Equal(t, []string{"|prepare a shape new", "1|x"}, s.takeReceived())
}

// Guards against a server that is ejected for the proxy's own decision to run nothing more in
// a transaction in which a value could not be set.
func TestUnknownSessionInTransactionIsNoFailureOfServer(t *testing.T) {
	s := startScriptedServer(t, map[string]string{
		"begin false": "done\nready T 1\n", "x": "done\nready T 1\n", "set n v": "error failed x\nready T 1\n",
	})
	c := s.dial(t)
	req := textRequest("x")
	req.Statement.Begin = gwbackend.BeginWrite
	_, err := c.Exchange(t.Context(), req, nil)
	require.NoError(t, err)
	req = textRequest("x")
	req.Statement.Variables = []gwbackend.SessionVariable{{Name: "n", Value: "v"}}
	_, err = c.Exchange(t.Context(), req, nil)
	require.NoError(t, err)
	s.takeReceived()
	res, err := c.Exchange(t.Context(), req, nil)
	assert.ErrorIs(t, err, gwbackend.ErrSessionUnknown)
	assert.False(t, res.Sent)
	assert.Empty(t, s.takeReceived())
}

// Guards against a failed transaction that cannot be rolled back, and a connection that is closed
// for it, because the server refuses the values that its session lacks.
func TestFailedTransactionIsRolledBackWithoutSession(t *testing.T) {
	s := startScriptedServer(t, map[string]string{
		"begin false": "done\nready T 1\n", "x": "done\nready T 1\n", "set n v": "error failed x\nready E 1\n",
	})
	c := s.dial(t)
	req := textRequest("x")
	req.Statement.Begin = gwbackend.BeginWrite
	_, err := c.Exchange(t.Context(), req, nil)
	require.NoError(t, err)
	for _, text := range []string{"x", "rollback"} {
		req = textRequest(text)
		req.Statement.Variables = []gwbackend.SessionVariable{{Name: "n", Value: "v"}}
		s.takeReceived()
		_, err = c.Exchange(t.Context(), req, nil)
		require.NoError(t, err, text)
	}
	assert.Equal(t, []string{"1|rollback"}, s.takeReceived())
	assert.True(t, c.Clean())
	_, err = c.Exchange(t.Context(), textRequest("y"), nil)
	require.NoError(t, err)
	assert.Equal(t, []string{"|discard", "1|y"}, s.takeReceived(), "the failed SET may have had an effect")
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
