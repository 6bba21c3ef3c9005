package gwcontrol

import (
	"sync"
	"time"

	"gentianward.example/gentianward/pkg/gwmember"
)

const (
	// absenceLimit is how long an instance is away until it is given up: a learner is removed, and
	// its successor takes its rank.
	absenceLimit = 10 * time.Second
	// seatLimit is how long a voter is away until a learner that is no successor of it may take its
	// seat. A plain restart takes less; with the change itself it ends before the next disk may be
	// lost, 4 s after an added instance was removed. A successor need not wait for it.
	seatLimit = 2 * time.Second
	// replyLimit is how long a new leader waits for the first reply of a voter that it takes for away.
	replyLimit = 500 * time.Millisecond
)

// presence holds when and where the instances that may vote were last live. Every instance keeps
// it, as the one that leads next must know the data centre of a voter that ended with the last.
type presence struct {
	mu     sync.Mutex
	byName map[string]lastPresence
	began  time.Time // when the process observed the others first
}

type lastPresence struct {
	dataCentre string
	at         time.Time
}

// maxPresences bounds the instances that are remembered; the ones seen last are kept.
const maxPresences = 200

// observe records the live instances.
func (p *presence) observe(live []gwmember.Member, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byName == nil {
		p.byName, p.began = make(map[string]lastPresence), now
	}
	for _, m := range live {
		if m.ControlOnly {
			p.byName[m.Instance] = lastPresence{dataCentre: m.DataCentre, at: now}
		}
	}
	for len(p.byName) > maxPresences {
		delete(p.byName, p.oldest())
	}
}

func (p *presence) oldest() string {
	var out string
	for name, l := range p.byName {
		if out == "" || l.at.Before(p.byName[out].at) {
			out = name
		}
	}
	return out
}

// dataCentres returns the known data centres by instance.
func (p *presence) dataCentres() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]string, len(p.byName))
	for name, l := range p.byName {
		out[name] = l.dataCentre
	}
	return out
}

// lastSeen returns when an instance was last live, or when this process began to observe for one
// that was never seen.
func (p *presence) lastSeen(name string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, seen := p.byName[name]; seen {
		return l.at
	}
	return p.began
}
