//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	slots             = 2
	queueLength       = 16
	handshakeTime     = 12 * time.Millisecond
	workTime          = 2 * time.Millisecond
	heartbeatInterval = 1200 * time.Millisecond
	callTimeout       = time.Second
)

// server is one backend server; the lock of its group guards its fields.
type server struct {
	g     *group
	label string
	zone  string

	id       string
	born     int64
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	primary  bool
	term     uint64
	paused   uint64
	log      []entry
	applied  position
	// deaf means that the server receives nothing from its primary.
	deaf bool
	// cut means that the server and the control instances do not reach each other.
	cut      bool
	draining bool
	// drainAcknowledged is when a control instance has acknowledged that the server is draining.
	drainAcknowledged time.Time
	// late has the statements that arrived later than allowed after that.
	late     []string
	sequence int

	wakeUp chan struct{}
	slots  chan struct{}
	queued int
}

// start starts a server of the group.
func (g *group) start(label, zone, address string) (*server, error) {
	return g.startCut(label, zone, address, false)
}

// add begins the first run of a server, which leads if it is the first one of the group.
func (g *group) add(s *server, address string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := s.open(address, ""); err != nil {
		return err
	}
	g.servers = append(g.servers, s)
	if g.leads == nil {
		s.primary, s.term, g.leads = true, 1, s
	} else {
		g.followLater(s, g.leads)
	}
	return nil
}

// open begins a run of the server, under a new id if none is given; the lock of the group is held.
func (s *server) open(address, id string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener, s.address, s.conns = l, l.Addr().String(), make(map[net.Conn]bool)
	if id == "" {
		id = newID()
	}
	s.id, s.born, s.sequence, s.down = id, time.Now().UnixMilli(), 0, false
	s.g.lab.note("SERVER %s (%s) starts at %s in %s", s.id, s.label, s.address, s.zone)
	go s.accept(l)
	go s.sendHeartbeats(s.id)
	return nil
}

// crash ends a run at once. The log stays.
func (s *server) crash() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.down = true
	_ = s.listener.Close()
	for nc := range s.conns {
		_ = nc.Close()
	}
	s.g.lab.note("SERVER %s (%s) crashes with %d commits", s.id, s.label, len(s.log))
	s.g.changed.Broadcast()
}

// restart begins a new run with the log of the last one, as a replica if another server leads.
func (s *server) restart() error {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if err := s.open(s.address, ""); err != nil {
		return err
	}
	s.paused = 0
	if s.g.leads != s {
		s.primary = false
		s.g.followLater(s, s.g.leads)
	}
	return nil
}

// restartEmpty begins a new run under the same id, which holds nothing of before.
func (s *server) restartEmpty() error {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.primary, s.term, s.paused, s.log, s.applied = false, 0, 0, nil, position{}
	if err := s.open(s.address, s.id); err != nil {
		return err
	}
	if s.g.leads != s {
		s.g.followLater(s, s.g.leads)
	}
	return nil
}

func (s *server) position() position { return position{s.term, len(s.log)} }

func (s *server) role() string {
	if s.primary {
		return "primary"
	}
	return "replica"
}

func (s *server) wake() {
	select {
	case s.wakeUp <- struct{}{}:
	default:
	}
}

func (s *server) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		s.g.mu.Lock()
		if s.down {
			_ = nc.Close()
		}
		s.conns[nc] = true
		s.g.mu.Unlock()
		go func() {
			c := connection{server: s, wire: newWire(nc), state: "I", prepared: make(map[string]string)}
			c.serve()
			_ = nc.Close()
			s.g.mu.Lock()
			delete(s.conns, nc)
			s.g.mu.Unlock()
		}()
	}
}

// heartbeat is the body of a heartbeat.
func (s *server) heartbeat() ([]byte, error) {
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	return json.Marshal(map[string]any{
		"service": s.g.name, "address": s.address, "zone": s.zone, "version": "v1", "capacity": slots, "state": state,
		"warmup_left_ms": 0, "db_role": s.role(), "sequence": s.sequence, "born": s.born,
	})
}

// sendHeartbeats sends the heartbeats of one run, each to the control instances in turn until one
// has acknowledged it.
func (s *server) sendHeartbeats(id string) {
	client := http.Client{Timeout: callTimeout}
	at := int(serial.Add(1))
	for {
		s.g.mu.Lock()
		if s.down || s.id != id {
			s.g.mu.Unlock()
			return
		}
		body, err := s.heartbeat()
		cut, sequence, draining := s.cut, s.sequence, s.draining
		s.g.mu.Unlock()
		if err != nil {
			return
		}
		acknowledged := false
		controls := s.g.lab.controlAddresses()
		for range controls {
			address := controls[at%len(controls)]
			if cut {
				address = s.g.lab.silent // a peer that does not answer
			}
			if acknowledged = post(&client, "http://"+address+"/Instances.Heartbeat/"+id, body); acknowledged {
				break
			}
			at++
		}
		s.g.mu.Lock()
		first := acknowledged && draining && s.drainAcknowledged.IsZero()
		if first {
			s.drainAcknowledged = time.Now()
		}
		s.g.mu.Unlock()
		if !acknowledged || sequence == 1 || first {
			s.g.lab.note("SERVER %s (%s) heartbeat %d acknowledged: %v", id, s.label, sequence, acknowledged)
		}
		select {
		case <-s.wakeUp:
		case <-time.After(heartbeatInterval):
		}
	}
}

// post makes a call and reports whether it was answered with a status of success.
func post(client *http.Client, url string, body []byte) bool {
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// connection is one connection to a server.
type connection struct {
	*server
	*wire
	id       string // of the run that accepted it
	state    string
	readOnly bool
	writes   []entry
	ids      []string
	prepared map[string]string
}

func (c *connection) serve() {
	line, err := c.read()
	if err != nil {
		return
	}
	f := strings.Split(line, " ")
	c.g.mu.Lock()
	c.id = c.server.id
	known := len(f) >= 3 && f[0] == "STARTUP" && f[1] == c.g.name && (len(f) < 4 || f[3] == c.id)
	c.g.mu.Unlock()
	if !known {
		_ = c.write("ERROR MISROUTED " + c.id)
		return
	}
	time.Sleep(handshakeTime)
	if c.write(c.ready()) != nil {
		return
	}
	for {
		line, err := c.read()
		if err != nil || line == "TERMINATE" {
			return
		}
		f := strings.SplitN(line, " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		out, ok := c.query(f[1], f[2])
		if !ok || c.write(append(out, c.ready())...) != nil {
			return
		}
	}
}

func (c *connection) ready() string {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return "READY " + c.state + " " + c.applied.String()
}

// occupy takes a slot for the time of a statement; it returns false if the queue is full.
func (c *connection) occupy() bool {
	c.g.mu.Lock()
	full := c.queued >= queueLength+slots
	if !full {
		c.queued++
	}
	c.g.mu.Unlock()
	if full {
		return false
	}
	c.slots <- struct{}{}
	time.Sleep(workTime)
	<-c.slots
	c.g.mu.Lock()
	c.queued--
	c.g.mu.Unlock()
	return true
}

func (c *connection) fail(code string) ([]string, bool) {
	if c.state == "T" {
		c.state, c.writes, c.ids = "E", nil, nil
	}
	return []string{"ERROR " + code + " " + c.id}, true
}

func (c *connection) done(rows ...string) ([]string, bool) {
	var out []string
	for _, r := range rows {
		out = append(out, "DATAROW "+r)
	}
	return append(out, fmt.Sprintf("COMPLETE 7.%s.%d", c.id, serial.Add(1))), true
}

// checkPosition cuts a position that the log must contain off a statement, and reports whether the log
// does.
func (c *connection) checkPosition(text string) (statement string, contained bool) {
	rest, ok := strings.CutPrefix(text, "AFTER ")
	if !ok {
		return text, true
	}
	var after position
	place, statement, _ := strings.Cut(rest, " ")
	_, _ = fmt.Sscanf(place, "%d.%d", &after.term, &after.n)
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return statement, c.applied.atLeast(after)
}

// query runs a statement. It returns false if the connection ends without an answer.
func (c *connection) query(id, text string) ([]string, bool) {
	text, contained := c.checkPosition(text)
	if !contained {
		return c.fail("LAGGING")
	}
	word, rest, _ := strings.Cut(text, " ")
	if c.state == "E" && word != "COMMIT" && word != "ROLLBACK" {
		return c.fail("MALFORMED")
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.control(word, rest)
	case "BEGIN":
		if rest == "" && !c.leads() {
			return c.fail("READONLY")
		}
		c.state, c.readOnly = "T", rest != ""
	case "ROLLBACK":
		c.state, c.writes, c.ids = "I", nil, nil
	case "FETCH", "STORE", "COMMIT":
		return c.work(id, word, rest)
	case "SET", "DEALLOC":
	case "DISCARD":
		c.prepared = make(map[string]string)
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		shape, ok := c.prepared[name]
		if !ok {
			return c.fail("NOSTMT")
		}
		kind, _, _ := strings.Cut(shape, " ")
		return c.work(id, kind, arguments)
	default:
		return c.fail("MALFORMED")
	}
	return []string{"COMPLETE -"}, true
}

func (c *connection) leads() bool {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return c.primary
}

// drainTime is drain_ms of the settings.
const drainTime = 7 * time.Second

// noteLate records a single statement that arrives although the server has been known to leave for
// longer than drainTime.
func (c *connection) noteLate(id, word string) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if at := c.drainAcknowledged; id != "-" && c.state == "I" && !at.IsZero() && time.Since(at) > drainTime {
		c.late = append(c.late, id)
		c.g.lab.note("JUDGE %s %s arrived at %s (%s) %.1f s after it was acknowledged that the server is draining", id, word, c.id, c.label, time.Since(at).Seconds())
	}
}

// work runs a read, a write or a commit.
func (c *connection) work(id, word, rest string) ([]string, bool) {
	c.noteLate(id, word)
	if !c.occupy() {
		return c.fail("BUSY")
	}
	if word == "FETCH" {
		c.g.mu.Lock()
		defer c.g.mu.Unlock()
		data := "none"
		for _, e := range c.log[:min(len(c.log), c.applied.n)] {
			if e.item == rest {
				data = e.data
			}
		}
		return c.done(data)
	}
	if word == "STORE" {
		item, data, _ := strings.Cut(rest, " ")
		if !c.leads() {
			return c.fail("READONLY")
		}
		c.writes, c.ids = append(c.writes, entry{item: item, data: data}), append(c.ids, id)
		if c.state == "T" {
			return c.done()
		}
	}
	writes, ids := c.writes, c.ids
	failed := c.state == "E"
	c.writes, c.ids, c.state = nil, nil, "I"
	switch {
	case failed:
		return c.fail("ABORTED")
	case len(writes) == 0:
		return c.done()
	case !c.leads():
		return c.fail("READONLY")
	}
	if word == "COMMIT" {
		ids = append(ids, id)
	}
	e := entry{ids: ids, item: writes[len(writes)-1].item, data: writes[len(writes)-1].data}
	if !c.commit(e) {
		return nil, false
	}
	return c.done()
}

// control runs a statement of the system and returns the row with the status.
func (c *connection) control(word, rest string) ([]string, bool) {
	if !c.occupy() {
		return c.fail("BUSY")
	}
	term, _ := strconv.ParseUint(rest, 10, 64)
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	switch word {
	case "PAUSE":
		if !c.primary && term > c.term {
			c.paused = term
		}
	case "RESUME":
		c.paused = 0
		c.g.followLater(c.server, c.g.leads)
	case "STEPDOWN":
		if c.primary && c.term < term {
			c.primary = false
			c.g.changed.Broadcast()
		}
	}
	if word != "STATUS" {
		c.g.lab.note("SERVER %s (%s) %s %s: received %s", c.id, c.label, word, rest, c.position())
	}
	row := fmt.Sprintf("%s %d %s %d 0 %d %d", c.role(), c.term, c.position(), c.paused, c.queued, len(c.conns))
	return []string{"DATAROW " + row, "COMPLETE -"}, true
}

// startCut starts a server that is cut off from the control instances from its start if cut is set.
func (g *group) startCut(label, zone, address string, cut bool) (*server, error) {
	s := &server{g: g, label: label, zone: zone, cut: cut, wakeUp: make(chan struct{}, 1), slots: make(chan struct{}, slots)}
	return s, g.add(s, address)
}

// set changes fields of servers.
func (g *group) set(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}
