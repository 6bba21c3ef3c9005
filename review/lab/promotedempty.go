//go:build review

package main

import "time"

// promotedEmpty replaces a primary by plan while the platform is down. The replica that the platform
// was asked to promote starts again under its id, which then holds nothing of before. The rule is that
// the promoted server has every acknowledged write.
func promotedEmpty(l *lab, trouble bool) (bool, error) {
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

	named := make(chan string, 1)
	l.mu.Lock()
	l.called = func(id string) {
		select {
		case named <- id:
		default:
		}
	}
	l.mu.Unlock()
	if trouble {
		l.setPlatform(platformDown)
	}
	l.note("PLAN a new server starts, which is to replace S1; S1 leaves")
	if _, err := g.start("S4", zones[0], l.prefix+".54:0"); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	g.set(func() { g.servers[0].draining = true })
	g.servers[0].wake()
	if trouble {
		id := <-named
		time.Sleep(200 * time.Millisecond)
		for _, s := range g.servers {
			if s.id == id {
				l.note("DISRUPTION %s, which was named, crashes and starts again", s.label)
				s.crash()
				time.Sleep(300 * time.Millisecond)
				if err := s.restartEmpty(); err != nil {
					return false, err
				}
			}
		}
		time.Sleep(4 * time.Second)
		l.setPlatform(platformUp)
	}
	time.Sleep(12 * time.Second)
	close(stop)
	<-done
	return len(g.lost) > 0, nil
}
