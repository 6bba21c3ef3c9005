package gwowner

import (
	"context"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwcontrol"
)

// RecordCopiesFunc makes the leader record servers that may confirm writes, see
// gwcontrol.RecordCopiesRequest.
type RecordCopiesFunc func(ctx context.Context, r gwcontrol.RecordCopiesRequest) error

// recordCopiesDelay is the wait before the leader is asked again after an error.
const recordCopiesDelay = 50 * time.Millisecond

// recordedCopies holds the runs of servers that the leader is known to have recorded as copies in a
// term. Any server that receives may confirm a write, and the primary does not tell which has: if
// the leader did not know of one, a copy without the write might be promoted.
type recordedCopies struct {
	mu   sync.Mutex
	term uint64
	runs map[copyRun]bool
	// asking is closed when the question under way ends; nil if there is none.
	asking chan struct{}
}

type copyRun struct {
	server string
	born   uint64
}

// unrecorded returns the servers of the group that are not known to be recorded. r.mu is held.
func (r *recordedCopies) unrecorded(term uint64, servers []gwcontrol.ServerFacts) []gwcontrol.ServerFacts {
	if r.term != term {
		r.term, r.runs = term, make(map[copyRun]bool)
	}
	var out []gwcontrol.ServerFacts
	for _, f := range servers {
		if !f.Gone && !r.runs[copyRun{f.Server, f.Born}] {
			out = append(out, f)
		}
	}
	return out
}

// recordCopies asks the leader for the servers of the group that are not known to be recorded in the
// term. It returns a channel that is closed when the question ends, nil if all are recorded.
func (s *server) recordCopies(term uint64) <-chan struct{} {
	if s.owner.recordCopies == nil {
		return nil
	}
	r := &s.copies
	r.mu.Lock()
	defer r.mu.Unlock()
	missing := r.unrecorded(term, s.owner.directory.Group(s.facts().Group))
	if len(missing) == 0 {
		return nil
	}
	if r.asking == nil {
		r.asking = make(chan struct{})
		go s.askToRecord(term, missing, r.asking)
	}
	return r.asking
}

func (s *server) askToRecord(term uint64, missing []gwcontrol.ServerFacts, done chan struct{}) {
	ctx, cancel := context.WithTimeout(s.owner.ctx, requestTimeout)
	defer cancel()
	err := s.owner.recordCopies(ctx, gwcontrol.RecordCopiesRequest{Group: s.facts().Group, Term: term, Servers: missing})
	if err != nil && !gwcontrol.IsRefused(err) {
		s.owner.log.Warn("copies of a group not recorded yet", "group", s.facts().Group, "term", term, "copies", len(missing), "error", err.Error())
	}
	if err != nil {
		s.owner.clock.Sleep(recordCopiesDelay)
	}
	r := &s.copies
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && r.term == term {
		for _, f := range missing {
			r.runs[copyRun{f.Server, f.Born}] = true
		}
	}
	r.asking = nil
	close(done)
}

// awaitRecordedCopies waits until the leader has recorded all servers that are known and may have
// confirmed a write of the term. It returns false if ctx or the term ends before.
func (s *server) awaitRecordedCopies(ctx context.Context, term uint64) bool {
	for {
		asking := s.recordCopies(term)
		if asking == nil {
			return true
		}
		if g := s.group(); g.Term != term || g.Changing {
			return false
		}
		select {
		case <-asking:
		case <-ctx.Done():
			return false
		}
	}
}

// recordCopiesOfPrimaries asks the leader to record the copies of the primaries that this instance
// owns, so that a write need not wait for it.
func (o *Owner) recordCopiesOfPrimaries() {
	for _, s := range o.ownedServers() {
		if g := s.group(); g.Term != 0 && g.Primary == s.facts().Server && !g.Changing {
			s.recordCopies(g.Term)
		}
	}
}

// replicas returns the names of the group's servers other than primary.
func (o *Owner) replicas(group, primary string) []string {
	var out []string
	for _, f := range o.directory.Group(group) {
		if f.Server != primary && !f.Gone {
			out = append(out, f.Server)
		}
	}
	return out
}
