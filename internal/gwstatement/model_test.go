package gwstatement

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
)

// strictServer is a server with one connection that refuses names that are prepared twice or
// not known, and some statements at random.
type strictServer struct {
	rng *rand.Rand

	mu               sync.Mutex
	status           byte
	values, prepared map[string]string
	// ran is the last statement "run": its values, and its shape if it executed one.
	ranValues   map[string]string
	ranShape    string
	deallocated int
	// wrong holds statements that no correct connection sends.
	wrong []string
}

func (s *strictServer) serve(nc net.Conn) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		s.mu.Lock()
		code := s.handle(strings.TrimSuffix(line, "\n"))
		if code != "" && s.status == 'T' && s.rng.IntN(2) == 0 {
			s.status = 'E'
		}
		answer := "done\n"
		if code != "" {
			answer = "error " + code + " x\n"
		}
		answer += fmt.Sprintf("ready %c 1\n", s.status)
		s.mu.Unlock()
		if _, err := nc.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func (s *strictServer) handle(line string) (code string) {
	_, text, _ := strings.Cut(line, "|")
	word, rest, _ := strings.Cut(text, " ")
	name, last, _ := strings.Cut(rest, " ")
	switch {
	case strings.HasPrefix(line, "start"):
		return ""
	case word == "rollback":
		s.status = 'I'
		return ""
	case s.status == 'E':
		s.wrong = append(s.wrong, "in a failed transaction: "+line)
		return "failed"
	case s.rng.IntN(8) == 0:
		return "busy"
	}
	_, known := s.prepared[name]
	switch word {
	case "begin":
		s.status = 'T'
	case "set":
		s.values[name] = last
	case "discard":
		if s.status != 'I' {
			s.wrong = append(s.wrong, "in a transaction: "+line)
		}
		clear(s.values)
		clear(s.prepared)
	case "prepare":
		if known {
			s.wrong = append(s.wrong, "known already: "+line)
		}
		s.prepared[name] = last
	case "deallocate":
		if !known {
			return "noStatement"
		}
		delete(s.prepared, name)
		s.deallocated++
	case "execute":
		if !known {
			return "noStatement"
		}
		s.ranValues, s.ranShape = maps.Clone(s.values), s.prepared[name]
	default:
		s.ranValues, s.ranShape = maps.Clone(s.values), ""
	}
	if s.rng.IntN(16) == 0 {
		return "failed" // it had an effect
	}
	return ""
}

// Guards against a statement that runs with the values or the shape of another session, or that
// fails for a name of another one, where sessions share a connection whose server refuses some
// statements, inside and outside of transactions.
func TestSharedConnectionKeepsSessionsApart(t *testing.T) {
	deallocated := 0
	for seed := range uint64(20) {
		s := &strictServer{rng: rand.New(rand.NewPCG(seed, 1)), status: 'I', values: map[string]string{}, prepared: map[string]string{}}
		client, server := net.Pipe()
		go s.serve(server)
		c, err := Dialect{Codec: testCodec{}}.dial(t.Context(), gwbackend.Options{Name: "s", Database: "g", User: "u", DialContext: pipeDialer(client)})
		require.NoError(t, err)
		rng := rand.New(rand.NewPCG(seed, 2))
		sessions := make([]map[string]string, 4)
		for i := range sessions {
			sessions[i] = make(map[string]string)
		}
		ran := 0
		current := 0
		for range 1000 {
			if c.Clean() {
				current = rng.IntN(len(sessions))
			}
			values := sessions[current]
			if rng.IntN(4) == 0 && seed%2 == 0 { // without values, names are used up
				values[fmt.Sprint("n", rng.IntN(3))] = fmt.Sprint(rng.IntN(3))
			}
			if rng.IntN(50) == 0 && c.Clean() { // a new session
				clear(values)
			}
			req := textRequest("x")
			if c.Clean() && rng.IntN(4) == 0 {
				req.Statement.Begin = gwbackend.BeginWrite
			}
			for n, v := range values {
				req.Statement.Variables = append(req.Statement.Variables, gwbackend.SessionVariable{Name: n, Value: v})
			}
			shape := ""
			if rng.IntN(2) == 0 {
				shape = fmt.Sprint("shape ", rng.IntN(3*len(preparedNames)/2))
				p := gwbackend.NewPreparedStatement(shape, nil)
				req.Statement.Text, req.Prepared = "execute "+p.Name+" k", []gwbackend.PreparedStatement{p}
			}
			if !c.Clean() && (c.TxStatus() == 'E' || rng.IntN(4) == 0) {
				req.Statement.Text, req.Prepared = "rollback", nil
			}
			res, err := c.Exchange(t.Context(), req, nil)
			s.mu.Lock()
			if err == nil && res.Sent && res.ServerError == nil && req.Statement.Text != "rollback" {
				ran++
				assert.Equal(t, shape, s.ranShape, "seed %d", seed)
				assert.Equal(t, values, s.ranValues, "seed %d", seed)
			}
			s.mu.Unlock()
			if err != nil { // the owner closes the connection; here it is rolled back
				require.ErrorIs(t, err, gwbackend.ErrSessionUnknown, "seed %d", seed)
				require.NoError(t, c.Reset(t.Context()))
			}
			if t.Failed() {
				t.FailNow()
			}
		}
		assert.Greater(t, ran, 300)
		assert.Empty(t, s.wrong[:min(len(s.wrong), 3)], "seed %d", seed)
		deallocated += s.deallocated
		_ = c.Close()
	}
	assert.Positive(t, deallocated, "a shape has taken the name of another one")
}

func pipeDialer(nc net.Conn) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) { return nc, nil }
}
