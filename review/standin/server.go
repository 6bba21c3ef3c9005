//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// workTime is how long a statement occupies a slot, connectTime a new connection.
	workTime    = time.Millisecond
	connectTime = 12 * time.Millisecond
	// promoteTime is the time from a call of promote until the server leads.
	promoteTime = 300 * time.Millisecond
	// stepDownTime is the time after which an old primary that can reach the new one
	// becomes its replica.
	stepDownTime = time.Second
	serverSlots  = 2
	serverQueue  = 16
	// warmUp is how long a new server is slow, and warmUpFactor by how much.
	warmUp       = 5 * time.Second
	warmUpFactor = 1.6
)

// entry is one commit in a server's log.
type entry struct {
	term int
	id   string
}

// group is a service: a primary and its replicas.
type group struct {
	world *world
	name  string

	mu      sync.Mutex
	changed *sync.Cond
	servers []*server
	term    int
	// acked holds the ids of the writes that a client has got a success for.
	acked map[string]time.Time
	// leads is the server that leads the newest term.
	leads *server
	// busy means that the sessions of the group write without a pause.
	busy bool
	// atOld holds the ids of the writes that were committed at an old primary after a
	// promotion had taken effect, with the server.
	atOld map[string]string
}

// server is one backend server.
type server struct {
	g        *group
	id, zone string
	listener net.Listener
	born     int64
	slots    chan struct{}
	waiting  int
	primary  bool
	follows  *server
	term     int
	paused   int
	log      []entry
	draining bool
	gone     bool
	conns    map[net.Conn]bool
	sequence int
	beatNow  chan struct{}
	old      bool
}

func newGroup(w *world, name string, zones []string) *group {
	g := &group{world: w, name: name, term: 1, acked: make(map[string]time.Time), atOld: make(map[string]string)}
	g.changed = sync.NewCond(&g.mu)
	for i, z := range zones {
		s := g.start(z)
		s.old = true
		if i == 0 {
			s.primary, g.leads = true, s
			continue
		}
		s.follows = g.leads
	}
	return g
}

// start starts a server in a zone. It follows the primary with a copy of its log.
func (g *group) start(zone string) *server {
	l, err := net.Listen("tcp", g.world.nextServerAddress())
	check(err)
	s := &server{
		g: g, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zone, listener: l, born: time.Now().UnixMilli(), term: 1,
		slots: make(chan struct{}, serverSlots), conns: make(map[net.Conn]bool), beatNow: make(chan struct{}, 1),
	}
	g.mu.Lock()
	if p := g.leads; p != nil {
		s.follows, s.term, s.log = p, p.term, append([]entry(nil), p.log...)
	}
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	go s.accept()
	go s.beat()
	return s
}

// release replaces a server: the new one starts first, the old one drains and ends.
func (s *server) release() {
	n := s.g.start(s.zone)
	s.g.world.logf("release %s: %s in %s is replaced by %s", s.g.name, s.id, s.zone, n.id)
	time.Sleep(time.Second)
	s.g.mu.Lock()
	s.draining = true
	s.g.mu.Unlock()
	s.wake()
	time.Sleep(12 * time.Second)
	s.end()
}

// end deregisters the server and stops it.
func (s *server) end() {
	s.g.mu.Lock()
	s.gone = true
	conns := s.conns
	s.conns = nil
	s.g.changed.Broadcast()
	s.g.mu.Unlock()
	s.g.world.deregister(s)
	_ = s.listener.Close()
	for c := range conns {
		_ = c.Close()
	}
	s.g.world.logf("%s %s has ended", s.g.name, s.id)
}

func (s *server) wake() {
	select {
	case s.beatNow <- struct{}{}:
	default:
	}
}

// beat sends heartbeats, and at once after a change.
func (s *server) beat() {
	for at := 0; ; at++ {
		s.g.mu.Lock()
		gone := s.gone
		s.sequence++
		body := s.heartbeat()
		s.g.mu.Unlock()
		if gone {
			return
		}
		for range 3 {
			if s.g.world.callControl(at, "/Instances.Heartbeat/"+s.id, body) {
				break
			}
			at++
		}
		select {
		case <-s.beatNow:
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// heartbeat returns the body of a heartbeat; g.mu is held.
func (s *server) heartbeat() string {
	state, role := "ready", "replica"
	if s.draining {
		state = "draining"
	}
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":%d,"state":%q,"warmup_left_ms":%d,"db_role":%q,"sequence":%d,"born":%d}`,
		s.g.name, s.listener.Addr().String(), s.zone, serverSlots, state, s.warmUpLeft().Milliseconds(), role, s.sequence, s.born)
}

// promote makes the named server lead the next term with what it has received. The
// others learn of it over the network.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	var s *server
	for _, o := range g.servers {
		if o.id == id && !o.gone {
			s = o
		}
	}
	primary := s != nil && s == g.leads && s.primary
	g.mu.Unlock()
	if s == nil {
		return false
	}
	if primary {
		return true // nothing changes
	}
	time.AfterFunc(promoteTime, func() { g.lead(s) })
	return true
}

// lead makes s the primary of the next term.
func (g *group) lead(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.gone || s == g.leads && s.primary {
		return
	}
	g.world.judgePromotion(g, s)
	g.term++
	s.primary, s.follows, s.paused, s.term, g.leads = true, nil, 0, g.term, s
	g.world.logf("%s: %s in %s leads term %d with %d commits", g.name, s.id, s.zone, s.term, len(s.log))
	s.wake()
	for _, o := range g.servers {
		if o != s && !o.gone {
			time.AfterFunc(g.world.delay(s.zone, o.zone), func() { o.learn(s, s.term) })
		}
	}
	g.changed.Broadcast()
}

// learn makes the server follow the primary of a newer term. An old primary does so
// after stepDownTime.
func (s *server) learn(p *server, term int) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if s.gone || p != s.g.leads || s.term >= term && s.primary {
		return
	}
	if s.primary {
		time.AfterFunc(stepDownTime, func() {
			s.g.mu.Lock()
			defer s.g.mu.Unlock()
			if s.primary && s != s.g.leads {
				s.primary = false
				s.follow(s.g.leads)
				s.wake()
			}
		})
		return
	}
	s.follow(p)
}

// follow makes the server receive from p, unless it is paused; g.mu is held.
func (s *server) follow(p *server) {
	s.follows = p
	if s.paused > 0 {
		return
	}
	s.receive(p, len(p.log))
	s.g.changed.Broadcast()
}

// receive makes the log of a replica equal to the first n commits of p's; g.mu is held.
func (s *server) receive(p *server, n int) {
	if s.follows != p || s.paused > 0 || s.gone || s.primary {
		return
	}
	if s.term == p.term && len(s.log) >= n {
		return
	}
	s.log, s.term = append([]entry(nil), p.log[:n]...), p.term
	s.g.changed.Broadcast()
}

// commit appends a commit and waits until a replica has received it. It returns false if
// the server has lost the lead before it wrote, and answers nothing (lost) if it lost the
// lead while it waited.
func (s *server) commit(id string) (ok, lost bool) {
	g := s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.primary {
		return false, false
	}
	s.log = append(s.log, entry{s.term, id})
	if g.leads != s {
		g.atOld[id] = s.id
	}
	n, term := len(s.log), s.term
	for _, o := range g.servers {
		if o != s && !o.gone {
			time.AfterFunc(g.world.delay(s.zone, o.zone), func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if s.primary && s.term == term {
					o.receive(s, n)
				}
			})
		}
	}
	for s.primary && s.term == term && !s.gone {
		for _, o := range g.servers {
			if o != s && o.follows == s && o.term == term && len(o.log) >= n {
				return true, false
			}
		}
		g.changed.Wait()
	}
	return false, true
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.g.mu.Lock()
		if s.gone {
			s.g.mu.Unlock()
			_ = c.Close()
			continue
		}
		s.conns[c] = true
		s.g.mu.Unlock()
		go s.serve(c)
	}
}

// session is the state of one connection to a server.
type session struct {
	s        *server
	status   byte
	readOnly bool
	writes   []string
	prepared map[string]string
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.g.mu.Lock()
		delete(s.conns, c)
		s.g.mu.Unlock()
	}()
	ses := &session{s: s, status: 'I', prepared: make(map[string]string)}
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		answer, lost := ses.handle(strings.TrimRight(line, "\r\n"))
		if lost {
			return
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// warmUpLeft returns how much longer the server is slow after its start. The first servers
// of a group have been running for long.
func (s *server) warmUpLeft() time.Duration {
	if s.old {
		return 0
	}
	return max(0, warmUp-time.Since(time.UnixMilli(s.born)))
}

// occupy takes a slot for a time; it returns false if the queue is full.
func (s *server) occupy(d time.Duration) bool {
	s.g.mu.Lock()
	if s.waiting >= serverQueue+serverSlots {
		s.g.mu.Unlock()
		return false
	}
	s.waiting++
	s.g.mu.Unlock()
	if s.warmUpLeft() > 0 {
		d = time.Duration(warmUpFactor * float64(d))
	}
	s.slots <- struct{}{}
	time.Sleep(d)
	<-s.slots
	s.g.mu.Lock()
	s.waiting--
	s.g.mu.Unlock()
	return true
}

func (ses *session) ready() string {
	s := ses.s
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return fmt.Sprintf("READY %c %s\r\n", ses.status, s.position())
}

// position returns the position of the log; g.mu is held.
func (s *server) position() string { return fmt.Sprintf("%d.%d", s.term, len(s.log)) }

func (ses *session) handle(line string) (answer string, lost bool) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "STARTUP":
		f := strings.Fields(rest)
		if len(f) == 0 || f[0] != ses.s.g.name || len(f) > 2 && f[2] != ses.s.id {
			return "ERROR MISROUTED " + ses.s.id + "\r\n", false
		}
		ses.s.occupy(connectTime)
		return ses.ready(), false
	case "QUERY":
		id, text, _ := strings.Cut(rest, " ")
		answer, lost := ses.query(id, text)
		if lost {
			return "", true
		}
		return answer + ses.ready(), false
	default:
		return "", true
	}
}

func (ses *session) signature() string { return "COMPLETE 7." + ses.s.id + "\r\n" }

// query runs one statement and returns its answer without READY.
func (ses *session) query(id, text string) (answer string, lost bool) {
	s := ses.s
	f := strings.Fields(text)
	if len(f) > 2 && f[0] == "AFTER" {
		if !s.contains(f[1]) {
			return "ERROR LAGGING " + s.id + "\r\n", false
		}
		f = f[2:]
	}
	if len(f) == 0 {
		return "ERROR MALFORMED x\r\n", false
	}
	switch f[0] {
	case "BEGIN":
		ses.readOnly = len(f) > 1
		if !ses.readOnly && !s.isPrimary() {
			return "ERROR READONLY " + s.id + "\r\n", false
		}
		ses.status, ses.writes = 'T', nil
	case "ROLLBACK":
		ses.status, ses.writes = 'I', nil
	case "DISCARD":
		ses.prepared = make(map[string]string)
	case "SET":
	case "PREPARE":
		ses.prepared[f[1]] = f[2]
	case "EXECUTE":
		kind, ok := ses.prepared[f[1]]
		if !ok {
			return "ERROR NOSTMT " + f[1] + "\r\n", false
		}
		return ses.run(id, kind)
	case "FETCH", "STORE", "COMMIT":
		return ses.run(id, f[0])
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.control(f), false
	default:
		return "ERROR MALFORMED " + f[0] + "\r\n", false
	}
	return "COMPLETE -\r\n", false
}

func (s *server) isPrimary() bool {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.primary
}

// contains reports whether the log contains a position.
func (s *server) contains(position string) bool {
	var term, n int
	_, _ = fmt.Sscanf(position, "%d.%d", &term, &n)
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.term >= term && len(s.log) >= n
}

// run runs a read, a write or a commit.
func (ses *session) run(id, kind string) (answer string, lost bool) {
	s := ses.s
	if !s.occupy(workTime) {
		return "ERROR BUSY " + s.id + "\r\n", false
	}
	if ses.status == 'T' && !ses.readOnly && !s.isPrimary() && (kind != "COMMIT" || len(ses.writes) > 0) {
		ses.status, ses.writes = 'E', nil
		if kind == "COMMIT" {
			ses.status = 'I'
		}
		return "ERROR READONLY " + s.id + "\r\n", false
	}
	switch kind {
	case "FETCH":
		return "DATAROW x\r\n" + ses.signature(), false
	case "STORE":
		if ses.status == 'T' {
			ses.writes = append(ses.writes, id)
			return ses.signature(), false
		}
		return ses.store(id)
	default:
		writes := ses.writes
		ses.status, ses.writes = 'I', nil
		if len(writes) == 0 {
			return ses.signature(), false
		}
		return ses.store(id)
	}
}

func (ses *session) store(id string) (answer string, lost bool) {
	ok, lost := ses.s.commit(id)
	if lost {
		return "", true
	}
	if !ok {
		return "ERROR READONLY " + ses.s.id + "\r\n", false
	}
	return ses.signature(), false
}

// control runs a control statement and returns the row of the server's status.
func (s *server) control(f []string) string {
	term := 0
	if len(f) > 1 {
		_, _ = fmt.Sscanf(f[1], "%d", &term)
	}
	if f[0] == "STATUS" && !s.occupy(time.Millisecond) {
		return "ERROR BUSY " + s.id + "\r\n"
	}
	if f[0] == "PAUSE" || f[0] == "STEPDOWN" {
		// The instances have no delay between them: that of an order from the other
		// region, where most of the core is, is added here.
		time.Sleep(s.g.world.orderDelay(s.zone))
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	switch f[0] {
	case "PAUSE":
		if !s.primary && term > s.term {
			s.paused = term
		}
	case "RESUME":
		s.paused = 0
		if p := s.g.leads; !s.primary && p != s && p.primary {
			s.follows = p
			time.AfterFunc(s.g.world.delay(p.zone, s.zone), func() {
				s.g.mu.Lock()
				defer s.g.mu.Unlock()
				s.receive(p, len(p.log))
			})
		}
	case "STEPDOWN":
		if s.primary && s.term < term {
			s.primary, s.follows = false, nil
			s.g.changed.Broadcast()
			s.wake()
		}
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 %d %d\r\nCOMPLETE -\r\n", role, s.term, s.position(), s.paused, s.waiting, len(s.conns))
}
