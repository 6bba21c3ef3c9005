package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/platform/platformtest"
)

// standinGroup is a primary and its replicas that speak the platform's published protocol.
// Replication is immediate. A commit requires at least one replica that is not paused.
type standinGroup struct {
	t    *testing.T
	name string

	mu      sync.Mutex
	servers map[string]*standinServer
	// promotions holds the fencing tokens of the calls of promote, in order.
	promotions []string
	// beforePromote, if set, runs when a call that names a server has arrived. ctx ends when
	// the connection of the call breaks.
	beforePromote func(ctx context.Context, id string)
	// cost is how long a write or a commit runs, and loses reports whether the connection
	// closes in place of the answer to such a statement, if set.
	cost  time.Duration
	loses func(statement string) bool
	// check compares what the servers run with what callers sent.
	check *platformtest.StatementCheck
}

type standinCommit struct {
	term int
	platformtest.Write
}

type standinServer struct {
	g          *standinGroup
	id         string
	l          net.Listener
	primary    bool
	down       bool
	term       int
	pausedTerm int
	log        []standinCommit
	conns      map[net.Conn]bool
}

// standinService is the name of the servers' service.
const standinService = "core"

// maxViolations is how many violations a test reports.
const maxViolations = 20

func newStandinGroup(t *testing.T, name string, ids ...string) *standinGroup {
	g := &standinGroup{t: t, name: name, servers: make(map[string]*standinServer)}
	broken := 0
	g.check = platformtest.NewStatementCheck(func(rule, group, detail string) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if broken++; broken <= maxViolations {
			t.Errorf("%s %s: %s", rule, group, detail)
		}
	})
	t.Cleanup(func() {
		for _, s := range g.servers {
			if (standinDatabase{s}).IsPrimary() {
				g.check.CheckKept(name, s.ids())
			}
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		broken = maxViolations // the test has ended
	})
	for i, id := range ids {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s := &standinServer{g: g, id: id, l: l, primary: i == 0, term: 1, conns: make(map[net.Conn]bool)}
		g.servers[id] = s
		t.Cleanup(func() { _ = l.Close() })
		go s.accept()
	}
	return g
}

func (s *standinServer) accept() {
	for {
		nc, err := s.l.Accept()
		if err != nil {
			return
		}
		s.g.mu.Lock()
		if s.down { // an outage, or crashed after the connection was accepted
			_ = nc.Close()
		}
		s.conns[nc] = true
		s.g.mu.Unlock()
		go s.serve(nc)
	}
}

func (s *standinServer) serve(nc net.Conn) {
	defer nc.Close()
	platformtest.ServeConnection(nc, standinDatabase{s})
}

// ids returns the ids of the writes in the log.
func (s *standinServer) ids() []string {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	ids := make([]string, len(s.log))
	for i, c := range s.log {
		ids[i] = c.ID
	}
	return ids
}

// crash stops the server and closes its connections.
func (s *standinServer) crash() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.down = true
	_ = s.l.Close()
	for nc := range s.conns {
		_ = nc.Close()
	}
}

// brokenCallLimit is how long a call to the platform may still take effect after its
// connection broke, see docs/decisions/duties.md. A leader that is replaced closes the
// connections of its calls, and its successor waits for them for 4 s.
const brokenCallLimit = 3 * time.Second

// outage makes the server refuse all connections while a call to the platform is under way:
// for the time d, but at most until brokenCallLimit after the call's connection broke, which
// ends ctx. It keeps its log.
func (s *standinServer) outage(ctx context.Context, d time.Duration) {
	s.setDown(true)
	defer s.setDown(false)
	end := time.NewTimer(d)
	defer end.Stop()
	select {
	case <-end.C:
		return
	case <-ctx.Done():
	}
	select {
	case <-end.C:
	case <-time.After(brokenCallLimit):
	}
}

func (s *standinServer) setDown(down bool) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.down = down
	for nc := range s.conns {
		_ = nc.Close()
	}
}

// promote handles the platform's call that makes a server the primary of the next term.
// The other servers get a copy of its log.
func (g *standinGroup) promote(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	named := ""
	for id := range g.servers {
		if strings.Contains(string(body), `"`+id+`"`) {
			named = id
		}
	}
	if g.beforePromote != nil {
		g.beforePromote(r.Context(), named)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promotions = append(g.promotions, platformtest.FencingToken(r))
	if s := g.servers[named]; s == nil || s.down {
		w.WriteHeader(http.StatusConflict)
		return
	}
	for id, s := range g.servers {
		if id != named || s.primary {
			continue
		}
		term := 0
		for _, o := range g.servers {
			term = max(term, o.term)
			o.primary = false
		}
		s.primary, s.pausedTerm, s.term = true, 0, term+1
		for _, o := range g.servers {
			if !o.down && !o.primary {
				o.log, o.term = append([]standinCommit(nil), s.log...), s.term
			}
		}
	}
	w.WriteHeader(http.StatusOK)
}

// standinDatabase is what the connections to a server run statements on.
type standinDatabase struct{ *standinServer }

func (s standinDatabase) Names() (service, id string) { return s.g.name, s.id }

func (s standinDatabase) Occupy(verb platformtest.Verb) {
	if verb == platformtest.Store || verb == platformtest.Commit {
		s.g.mu.Lock()
		cost := s.g.cost
		s.g.mu.Unlock()
		time.Sleep(cost)
	}
}

func (s standinDatabase) Answers(verb platformtest.Verb) bool {
	s.g.mu.Lock()
	loses := s.g.loses
	s.g.mu.Unlock()
	writes := verb == platformtest.Store || verb == platformtest.Commit
	return !writes || loses == nil || !loses(string(verb))
}

func (s standinDatabase) Ran(r platformtest.Ran) { s.g.check.Ran(r) }

func (s standinDatabase) Refused(err error) { s.g.check.Refused(s.g.name, err) }

func (s standinDatabase) Position() string {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.position()
}

func (s *standinServer) position() string {
	term := 1
	if n := len(s.log); n > 0 {
		term = s.log[n-1].term
	}
	return fmt.Sprintf("%d.%d", term, len(s.log))
}

func (s standinDatabase) Contains(position string) bool {
	var term, n int
	_, _ = fmt.Sscanf(position, "%d.%d", &term, &n)
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return len(s.log) >= n
}

func (s standinDatabase) IsPrimary() bool {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.primary
}

func (s standinDatabase) Value(item string) string {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	for _, c := range slices.Backward(s.log) {
		if c.Item == item {
			return c.Data
		}
	}
	return "none"
}

func (s standinDatabase) Commit(writes []platformtest.Write) (code string, answered bool) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if !s.primary {
		return "READONLY", true
	}
	received := false
	for _, o := range s.g.servers {
		received = received || o != s.standinServer && !o.down && o.pausedTerm == 0
	}
	if !received {
		return "BUSY", true
	}
	for _, w := range writes {
		for _, o := range s.g.servers {
			if o == s.standinServer || !o.down && o.pausedTerm == 0 {
				o.log = append(o.log, standinCommit{s.term, w})
			}
		}
	}
	return "", true
}

func (s standinDatabase) Control(st platformtest.Statement) string {
	term, _ := strconv.Atoi(st.Rest)
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	switch st.Verb {
	case platformtest.Pause:
		s.pausedTerm = term
	case platformtest.Resume:
		s.pausedTerm = 0
	case platformtest.StepDown:
		s.primary = s.primary && s.term >= term
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s %d 0 0 1", role, s.term, s.position(), s.pausedTerm)
}

// sendHeartbeats sends the heartbeats of the servers, each round to the next control
// instance, until the test ends.
func (g *standinGroup) sendHeartbeats(caller *platformtest.Client, addresses []string, zones map[string]string) {
	for sequence := 1; g.t.Context().Err() == nil; sequence++ {
		for id, s := range g.servers {
			g.mu.Lock()
			down, role := s.down, "replica"
			if s.primary {
				role = "primary"
			}
			g.mu.Unlock()
			if down {
				continue
			}
			// After a failed call the next heartbeat goes to another instance.
			_ = caller.SendHeartbeat(addresses[sequence%len(addresses)], platformtest.Heartbeat{
				Server: id, Service: g.name, Address: s.l.Addr().String(), Zone: zones[id], Role: role, Sequence: sequence,
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
}
