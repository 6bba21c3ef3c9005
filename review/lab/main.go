//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld = iota
	ruleBroken
	notRun
)

// scenarios has the scenario of each case. A scenario returns true if the rule was broken.
var scenarios = map[string]func(l *lab, trouble bool) (broken bool, err error){
	"unknown-copy":   unknownCopy,
	"empty-primary":  emptyPrimary,
	"promoted-empty": promotedEmpty,
	"odd-heartbeat":  oddHeartbeat,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: lab SCENARIO RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	l, err := newLab(record)
	if err != nil {
		fmt.Println("not run:", err)
		return notRun
	}
	defer l.end()
	go l.endEarly()
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("CASE %s, disruption: %v", name, trouble)
	broken, err := scenarios[name](l, trouble)
	switch {
	case err != nil:
		l.note("CASE not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	case broken:
		l.note("CASE the rule was broken")
		fmt.Println("the rule was broken")
		return ruleBroken
	default:
		l.note("CASE the rule held")
		fmt.Println("the rule held")
		return ruleHeld
	}
}

// maxRunTime bounds the time of a run.
const maxRunTime = 110 * time.Second

// endEarly ends a run that takes too long or is ended by a signal.
func (l *lab) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	l.note("CASE ended early")
	l.end()
	os.Exit(notRun)
}

// groupName is the name of the service.
const groupName = "huvo11a"

// startGroup starts a group with a server in each zone; the first one leads.
func (l *lab) startGroup() (*group, error) {
	g := newGroup(l, groupName)
	l.groups[g.name] = g
	for n, z := range zones {
		if _, err := g.start(fmt.Sprintf("S%d", n+1), z, fmt.Sprintf("%s.%d:0", l.prefix, 51+n)); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// keepWriting writes through one entry instance after the other until stop is closed.
func (l *lab) keepWriting(g *group, stop <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	var session *wire
	entries := l.entries()
	for n := 1; ; n++ {
		select {
		case <-stop:
			if session != nil {
				_ = session.nc.Close()
			}
			return
		case <-time.After(40 * time.Millisecond):
		}
		if session == nil {
			var err error
			if session, err = openSession(fmt.Sprintf("%s:%d", entries[n%len(entries)].ip, callerPort), g.name+"-primary", 2*time.Second); err != nil {
				l.note("CALLER no session at %s: %v", entries[n%len(entries)].name, err)
				continue
			}
		}
		id, text := fmt.Sprintf("w%06d", n), fmt.Sprintf("STORE item%d data%d", n%7, n)
		a, err := session.do(id, text, 3*time.Second)
		if err == nil && a.success() {
			g.acknowledge(id)
			l.note("CALLER QUERY %s %s: %s", id, text, a)
			continue
		}
		l.note("CALLER QUERY %s %s: %s, error %v", id, text, a, err)
		if err != nil || a.state != "I" {
			_ = session.nc.Close()
			session = nil
		}
	}
}
