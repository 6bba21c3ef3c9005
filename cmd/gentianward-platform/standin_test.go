package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
}

type standinCommit struct {
	term  int
	item  string
	value string
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

func newStandinGroup(t *testing.T, name string, ids ...string) *standinGroup {
	g := &standinGroup{t: t, name: name, servers: make(map[string]*standinServer)}
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

// standinSession is the state of one connection.
type standinSession struct {
	s        *standinServer
	status   byte
	writes   []standinCommit
	prepared map[string]string
}

func (s *standinServer) serve(nc net.Conn) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	ses := &standinSession{s: s, status: 'I', prepared: make(map[string]string)}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.Fields(line)
		s.g.mu.Lock()
		cost, loses := s.g.cost, s.g.loses
		s.g.mu.Unlock()
		writes := f[0] == "QUERY" && (f[2] == "STORE" || f[2] == "COMMIT")
		if writes {
			time.Sleep(cost)
		}
		s.g.mu.Lock()
		answer := ses.handle(f)
		s.g.mu.Unlock()
		if writes && loses != nil && loses(f[2]) {
			return
		}
		if _, err := nc.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func (s *standinServer) position() string {
	term := 1
	if n := len(s.log); n > 0 {
		term = s.log[n-1].term
	}
	return fmt.Sprintf("%d.%d", term, len(s.log))
}

func (ses *standinSession) ready() string {
	return fmt.Sprintf("READY %c %s\r\n", ses.status, ses.s.position())
}

func (ses *standinSession) handle(f []string) string {
	if f[0] == "STARTUP" {
		if f[1] != ses.s.g.name || len(f) > 3 && f[3] != ses.s.id {
			return "ERROR MISROUTED x\r\n"
		}
		return ses.ready()
	}
	return ses.query(f[2:]) + ses.ready()
}

func (ses *standinSession) query(f []string) string {
	s := ses.s
	const ok = "COMPLETE 7.1f3\r\n"
	if f[0] == "AFTER" {
		var term, n int
		_, _ = fmt.Sscanf(f[1], "%d.%d", &term, &n)
		if len(s.log) < n {
			return "ERROR LAGGING x\r\n"
		}
		f = f[2:]
	}
	switch f[0] {
	case "BEGIN":
		if len(f) == 1 && !s.primary {
			return "ERROR READONLY x\r\n"
		}
		ses.status, ses.writes = 'T', nil
	case "ROLLBACK", "DISCARD":
		ses.status, ses.writes = 'I', nil
	case "COMMIT":
		ses.status = 'I'
		return ses.commit()
	case "PREPARE":
		ses.prepared[f[1]] = f[2]
	case "EXECUTE":
		return ses.query(append([]string{ses.prepared[f[1]]}, f[2:]...))
	case "FETCH":
		return ses.fetch(f[1])
	case "STORE":
		ses.writes = append(ses.writes, standinCommit{item: f[1], value: f[2]})
		if ses.status == 'I' {
			return ses.commit()
		}
		return ok
	case "SET":
	default:
		return s.controlStatement(f)
	}
	return "COMPLETE -\r\n"
}

func (ses *standinSession) fetch(item string) string {
	value := "none"
	for _, c := range append(append([]standinCommit(nil), ses.s.log...), ses.writes...) {
		if c.item == item {
			value = c.value
		}
	}
	return "DATAROW " + value + "\r\nCOMPLETE 7.1f3\r\n"
}

func (ses *standinSession) commit() string {
	s := ses.s
	writes := ses.writes
	ses.writes = nil
	if len(writes) == 0 {
		return "COMPLETE 7.1f3\r\n"
	}
	if !s.primary {
		return "ERROR READONLY x\r\n"
	}
	received := false
	for _, o := range s.g.servers {
		received = received || o != s && !o.down && o.pausedTerm == 0
	}
	if !received {
		return "ERROR BUSY x\r\n"
	}
	for _, c := range writes {
		c.term = s.term
		for _, o := range s.g.servers {
			if o == s || !o.down && o.pausedTerm == 0 {
				o.log = append(o.log, c)
			}
		}
	}
	return "COMPLETE 7.1f3\r\n"
}

func (s *standinServer) controlStatement(f []string) string {
	term := 0
	if len(f) > 1 {
		_, _ = fmt.Sscanf(f[1], "%d", &term)
	}
	switch f[0] {
	case "PAUSE":
		s.pausedTerm = term
	case "RESUME":
		s.pausedTerm = 0
	case "STEPDOWN":
		s.primary = s.primary && s.term >= term
	case "STATUS":
	default:
		return "ERROR MALFORMED " + f[0] + "\r\n"
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 0 1\r\nCOMPLETE -\r\n", role, s.term, s.position(), s.pausedTerm)
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
