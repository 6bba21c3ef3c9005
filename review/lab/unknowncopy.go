//go:build review

package main

import "time"

// unknownCopy replaces a replica. The new server is cut off from the control instances from its start,
// and receives from the primary. The other replicas receive nothing for a while, and the primary
// crashes meanwhile. The rule is that the promoted server has every acknowledged write.
func unknownCopy(l *lab, trouble bool) (bool, error) {
	g, err := l.startGroup()
	if err != nil {
		return false, err
	}
	if err := l.startAll(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	stop, done := make(chan struct{}), make(chan struct{})
	go l.keepWriting(g, stop, done)
	time.Sleep(2 * time.Second)

	primary, replicas := g.servers[0], g.servers[1:3]
	l.note("PLAN a new server starts, which is to replace %s", replicas[1].label)
	if trouble {
		l.note("DISRUPTION S4 and the control instances do not reach each other")
	}
	fresh, err := g.startCut("S4", zones[2], l.prefix+".54:0", trouble)
	if err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		l.note("DISRUPTION replicas S2 and S3 receive nothing")
		g.set(func() { replicas[0].deaf, replicas[1].deaf = true, true })
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		l.note("DISRUPTION the primary crashes")
		primary.crash()
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		l.note("DISRUPTION ends: S4 reaches the control instances again, S2 and S3 receive again")
		g.set(func() { fresh.cut, replicas[0].deaf, replicas[1].deaf = false, false, false })
		time.Sleep(4500 * time.Millisecond)
		l.note("DISRUPTION ends: the primary is back")
		if err := primary.restart(); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	close(stop)
	<-done
	return len(g.lost) > 0, nil
}
