//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// keepReading reads through each entry instance until stop is closed.
func (l *lab) keepReading(g *group, stop <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	var sessions []*wire
	for _, e := range l.entries() {
		if s, err := openSession(fmt.Sprintf("%s:%d", e.ip, callerPort), g.name+"-bounded_staleness", 2*time.Second); err == nil {
			sessions = append(sessions, s)
		}
	}
	for n := 0; ; n++ {
		select {
		case <-stop:
			for _, s := range sessions {
				_ = s.nc.Close()
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		id := fmt.Sprintf("r%06d", n)
		a, err := sessions[n%len(sessions)].do(id, "FETCH item1", 3*time.Second)
		l.note("CALLER QUERY %s FETCH item1: %s, error %v", id, a, err)
	}
}

// oddHeartbeat sends a heartbeat of another writer for a replica that has reported that it leaves. The
// heartbeat lacks a field and has one of another type, so that it names no backend to use. The rule is
// that no request reaches the replica later than drain_ms after its own report was acknowledged.
func oddHeartbeat(l *lab, trouble bool) (bool, error) {
	g, err := l.startGroup()
	if err != nil {
		return false, err
	}
	if err := l.startAll(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	stop, done := make(chan struct{}), make(chan struct{})
	go l.keepReading(g, stop, done)
	time.Sleep(2 * time.Second)
	l.note("PLAN a new server starts, which is to replace S2")
	if _, err := g.start("S4", zones[1], l.prefix+".54:0"); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	leaves := g.servers[1]
	l.note("PLAN S2 leaves")
	g.set(func() { leaves.draining = true })
	leaves.wake()
	time.Sleep(time.Second)
	if trouble {
		body, err := json.Marshal(map[string]any{
			"service": g.name, "address": leaves.address, "zone": leaves.zone, "capacity": slots, "state": "ready",
			"warmup_left_ms": "none", "db_role": "replica", "sequence": 100000, "born": leaves.born,
		})
		if err != nil {
			return false, err
		}
		client := http.Client{Timeout: callTimeout}
		accepted := post(&client, "http://"+l.controlAddresses()[0]+"/Instances.Heartbeat/"+leaves.id, body)
		l.note("DISRUPTION heartbeat of another writer for %s: %s: accepted %v", leaves.id, body, accepted)
	}
	time.Sleep(drainTime + 3*time.Second)
	leaves.crash() // it leaves
	time.Sleep(2 * time.Second)
	close(stop)
	<-done
	return len(leaves.late) > 0, nil
}
