//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// readInterval is the time between two statements of the caller.
	readInterval = 200 * time.Millisecond
	// crashDelay is from an answer to the crash of the primary, restartTime from there to its start.
	crashDelay  = 10 * time.Millisecond
	restartTime = 150 * time.Millisecond
)

// emptyPrimary cuts a primary off from the control instances, where it crashes and starts again under
// its id, which then holds nothing of before. The rule is that a read on a route of kind primary runs
// on a log that has every commit which was acknowledged before.
func emptyPrimary(l *lab, trouble bool) (bool, error) {
	g, err := l.startGroup()
	if err != nil {
		return false, err
	}
	if err := l.startAll(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	session, err := openSession(fmt.Sprintf("%s:%d", l.entries()[1].ip, callerPort), g.name+"-primary", 2*time.Second)
	if err != nil {
		return false, err
	}
	primary := g.servers[0]
	broken, acknowledged := false, "none"
	for n := 1; n <= 40; n++ {
		began := time.Now()
		text := "FETCH item1"
		if n%10 == 1 {
			text = fmt.Sprintf("STORE item1 data%d", n)
		}
		id := fmt.Sprintf("q%04d", n)
		a, err := session.do(id, text, 3*time.Second)
		l.note("CALLER QUERY %s %s: %q %s, error %v", id, text, a.rows, a, err)
		if err != nil {
			return broken, fmt.Errorf("the session has ended: %w", err)
		}
		switch success := a.success(); {
		case success && n%10 == 1:
			acknowledged = fmt.Sprintf("data%d", n)
		case success && a.rows[0] != acknowledged:
			l.note("JUDGE the read %s ran on a log that lacks the write of %s, which was acknowledged before", id, acknowledged)
			broken = true
		}
		if trouble {
			switch n {
			case 15:
				l.note("DISRUPTION S1 and the control instances do not reach each other")
				g.set(func() { primary.cut = true })
			case 25:
				l.note("DISRUPTION S1 crashes and starts again")
				time.Sleep(crashDelay)
				primary.crash()
				time.AfterFunc(restartTime, func() { _ = primary.restartEmpty() })
			case 35:
				l.note("DISRUPTION ends: S1 reaches the control instances again")
				g.set(func() { primary.cut = false })
			}
		}
		time.Sleep(time.Until(began.Add(readInterval)))
	}
	return broken, nil
}
