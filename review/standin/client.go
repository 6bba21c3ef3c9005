//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// writePause is the pause of a session between two writes, and busyPause that in a
	// busy group.
	writePause    = 200 * time.Millisecond
	busyPause     = time.Millisecond
	clientTimeout = 5 * time.Second
	retryPause    = 50 * time.Millisecond
)

// write runs one client session after another: single writes, one after the other.
func (w *world) write(g *group, number int) {
	for !w.over() {
		edge := w.edges[rand.IntN(len(w.edges))]
		if !w.ready(edge) {
			time.Sleep(retryPause)
			continue
		}
		w.session(g, number, edge)
		time.Sleep(retryPause)
	}
}

func (w *world) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

func (w *world) ready(i *instance) bool {
	resp, err := httpClient.Get(fmt.Sprintf("http://%s:%d/readyz", i.ip, w.ports[1]))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// session opens one session and writes until an operation fails.
func (w *world) session(g *group, number int, edge *instance) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", edge.ip, w.ports[0]), time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "STARTUP host-%s u%d\r\n", g.name, number); err != nil {
		return
	}
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY I") {
		return
	}
	for !w.over() {
		id := fmt.Sprintf("%016x", rand.Uint64())
		_ = c.SetDeadline(time.Now().Add(clientTimeout))
		if _, err := fmt.Fprintf(c, "QUERY %s STORE %x data%s\r\n", id, rand.IntN(2000), id); err != nil {
			return
		}
		answer, err := readAnswer(r)
		if err != nil {
			w.fail(g, id, "no answer")
			return
		}
		if !strings.HasPrefix(answer, "COMPLETE 7.") {
			w.fail(g, id, answer)
			return
		}
		g.mu.Lock()
		g.acked[id] = time.Now()
		old, pause := g.atOld[id], writePause
		if g.busy {
			pause = busyPause
		}
		g.mu.Unlock()
		if old != "" {
			w.judgeOld(g, id, old)
		}
		w.mu.Lock()
		w.successes++
		w.mu.Unlock()
		w.logf("%s write %s by %s: %s", g.name, id, edge.name, answer)
		time.Sleep(pause)
	}
}

// readAnswer reads an answer up to READY and returns its last message before that.
func readAnswer(r *bufio.Reader) (string, error) {
	last := ""
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return last, err
		}
		line = strings.TrimRight(line, "\r\n")
		if strings.HasPrefix(line, "READY ") {
			return last, nil
		}
		last = line
	}
}

func (w *world) fail(g *group, id, answer string) {
	w.logf("%s write %s: %s", g.name, id, answer)
	f := strings.Fields(answer)
	key := answer
	if len(f) > 1 {
		key = f[0] + " " + f[1]
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures[key]++
}
