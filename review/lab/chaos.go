//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// judge compares what callers are told with what they were told before.
type judge struct {
	l  *lab
	g  *group
	mu sync.Mutex
	// acks has the acknowledged writes of each item in order of acknowledgment.
	acks   map[string][]ack
	broken bool
	n      int
}

type ack struct {
	at   time.Time
	n    int // of the write
	id   string
	sess int
}

func (j *judge) fault(format string, args ...any) {
	j.mu.Lock()
	j.broken = true
	j.mu.Unlock()
	j.l.note("JUDGE "+format, args...)
}

func (j *judge) next() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.n++
	return j.n
}

// promises are the codes after which nothing is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true}

// client runs operations on one kind of route. Each item has one writer, so that its writes are ordered.
func (j *judge) client(sess int, kind string, stop <-chan struct{}, wg *sync.WaitGroup) {
	defer wg.Done()
	rng := rand.New(rand.NewPCG(uint64(sess), 7))
	item := fmt.Sprintf("item%d", sess)
	var s *wire
	last := 0 // write acknowledged in this session
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+rng.IntN(120)) * time.Millisecond):
		}
		if s == nil {
			e := j.l.entries()[rng.IntN(6)]
			var err error
			if s, err = openSession(fmt.Sprintf("%s:%d", e.ip, callerPort), j.g.name+"-"+kind, 2*time.Second); err != nil {
				continue
			}
			last = 0
		}
		drop := func() { _ = s.nc.Close(); s = nil }
		n := j.next()
		id := fmt.Sprintf("c%d-%06d", sess, n)
		switch op := rng.IntN(10); {
		case op < 4: // write
			text := fmt.Sprintf("STORE %s %d", item, n)
			tx := op == 3
			var a answer
			var err error
			cid := id
			if tx {
				if a, err = s.do(id+"b", "BEGIN", 4*time.Second); err == nil {
					if a, err = s.do(id, text, 4*time.Second); err == nil && a.success() {
						cid = id + "c"
						a, err = s.do(cid, "COMMIT", 4*time.Second)
					}
				}
			} else {
				a, err = s.do(id, text, 4*time.Second)
			}
			j.l.note("CALLER %d %s %s tx=%v: %s %v", sess, id, text, tx, a, err)
			switch {
			case err == nil && a.success():
				j.g.acknowledge(id)
				j.mu.Lock()
				j.acks[item] = append(j.acks[item], ack{time.Now(), n, id, sess})
				j.mu.Unlock()
				last = n
			case err == nil && promises[a.code]:
				j.g.mu.Lock()
				j.g.refused[id] = true
				j.g.mu.Unlock()
			}
			if err != nil || a.state != "I" {
				drop()
			}
		default:
			target := sess
			if kind != "read_your_writes" && rng.IntN(2) == 0 {
				target = rng.IntN(j.clients())
			}
			it := fmt.Sprintf("item%d", target)
			began := time.Now()
			j.mu.Lock()
			must := 0
			for _, x := range j.acks[it] {
				if kind == "primary" || began.Sub(x.at) > 1600*time.Millisecond && kind == "bounded_staleness" || began.Sub(x.at) > 1600*time.Millisecond {
					must = x.n
				}
			}
			j.mu.Unlock()
			if target == sess && kind == "read_your_writes" && last > must {
				must = last
			}
			a, err := s.do(id, "FETCH "+it, 4*time.Second)
			if err == nil && a.success() {
				got, _ := strconv.Atoi(a.rows[0])
				if got < must {
					j.fault("STALE %s read %s of %s gives %q, %d was acknowledged before (%s)", kind, id, it, a.rows[0], must, a.signature)
				}
			}
			if err != nil || a.state != "I" {
				drop()
			}
		}
	}
}

func (j *judge) clients() int { return 9 }

// chaos plays random disruptions.
func chaos(l *lab, trouble bool) (bool, error) {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	rng := rand.New(rand.NewPCG(uint64(seed), 1))
	g, err := l.startGroup("huvo11a")
	if err != nil {
		return false, err
	}
	if err := l.startAll(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	j := &judge{l: l, g: g, acks: make(map[string][]ack)}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	kinds := []string{"primary", "read_your_writes", "bounded_staleness"}
	for c := range j.clients() {
		wg.Add(1)
		go j.client(c, kinds[c%3], stop, &wg)
	}
	deadline := time.Now().Add(80 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(time.Duration(500+rng.IntN(5000)) * time.Millisecond)
		l.act(g, rng)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
	g.mu.Lock()
	for id := range g.refused {
		if g.has(g.leads, id) {
			l.note("JUDGE REFUSED %s is in the log", id)
			j.broken = true
		}
	}
	seen := map[string]int{}
	for _, e := range g.leads.log {
		for _, id := range e.ids {
			seen[id]++
			if seen[id] > 1 {
				l.note("JUDGE TWICE %s", id)
				j.broken = true
			}
		}
	}
	broken := j.broken || len(g.lost) > 0
	g.mu.Unlock()
	return broken, nil
}

// act brings one random disruption about.
func (l *lab) act(g *group, rng *rand.Rand) {
	pickServer := func(f func(*server) bool) *server {
		g.mu.Lock()
		defer g.mu.Unlock()
		var out []*server
		for _, s := range g.servers {
			if !s.down && f(s) {
				out = append(out, s)
			}
		}
		if len(out) == 0 {
			return nil
		}
		return out[rng.IntN(len(out))]
	}
	anyDown := func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, s := range g.servers {
			if s.down || s.cut || s.term != g.term {
				return true
			}
		}
		return false
	}
	i := l.instances[rng.IntN(len(l.instances))]
	for _, o := range l.instances {
		if o.control && o.down && i.control {
			return
		}
	}
	switch k := rng.IntN(9); {
	case k < 2 && !anyDown(): // primary crashes and comes back with its log
		if s := pickServer(func(s *server) bool { return s.primary }); s != nil {
			s.crash()
			time.AfterFunc(time.Duration(100+rng.IntN(6000))*time.Millisecond, func() { _ = s.restart() })
		}
	case k == 2 && !anyDown(): // replica starts again empty under its id
		if s := pickServer(func(s *server) bool { return !s.primary }); s != nil {
			cut := rng.IntN(2) == 0
			g.set(func() { s.cut = cut })
			s.crash()
			time.AfterFunc(time.Duration(50+rng.IntN(2000))*time.Millisecond, func() { _ = s.restartEmpty() })
			time.AfterFunc(5*time.Second, func() { g.set(func() { s.cut = false }) })
		}
	case k == 3: // replica receives nothing
		if s := pickServer(func(s *server) bool { return !s.primary }); s != nil {
			l.note("DISRUPTION %s deaf", s.label)
			g.set(func() { s.deaf = true })
			time.AfterFunc(time.Duration(500+rng.IntN(5000))*time.Millisecond, func() {
				g.set(func() {
					s.deaf = false
					g.receive(s, g.leads)
				})
			})
		}
	case k == 4: // replica crashes, comes back with its log
		if s := pickServer(func(s *server) bool { return !s.primary }); s != nil && !anyDown() {
			s.crash()
			time.AfterFunc(time.Duration(100+rng.IntN(4000))*time.Millisecond, func() { _ = s.restart() })
		}
	case k == 5:
		i.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(100+rng.IntN(4000)) * time.Millisecond)
		i.signal(syscall.SIGCONT)
	case k == 6:
		i.down = true
		i.signal(syscall.SIGKILL)
		<-i.done
		time.Sleep(time.Duration(100+rng.IntN(2500)) * time.Millisecond)
		_ = i.start()
		time.AfterFunc(4*time.Second, func() { i.down = false })
	case k == 7:
		i.down = true
		i.signal(syscall.SIGTERM)
		select {
		case <-i.done:
		case <-time.After(6 * time.Second):
			l.note("PROCESS %s still runs after the grace", i.name)
			i.kill()
		}
		_ = i.start()
		time.AfterFunc(4*time.Second, func() { i.down = false })
	case k == 8: // the platform loses answers, or acts late
		l.setPlatform(platformState(1 + rng.IntN(4)))
		time.AfterFunc(time.Duration(1000+rng.IntN(5000))*time.Millisecond, func() { l.setPlatform(platformUp) })
	}
}
