package gwowner

import (
	"context"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwcontrol"
)

// RecordCopiesFunc makes the leader record servers that may confirm writes, see
// gwcontrol.RecordCopiesRequest.
type RecordCopiesFunc func(ctx context.Context, r gwcontrol.RecordCopiesRequest) (gwcontrol.RecordCopiesResponse, error)

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
// term, and for the wanted keepers of the acknowledged position, unless their holder is empty. It
// returns a channel that is closed when the question ends, nil if all are recorded.
func (s *server) recordCopies(term uint64, keepers gwcontrol.AckKeepersRequest) <-chan struct{} {
	if s.owner.recordCopies == nil {
		return nil
	}
	r := &s.copies
	r.mu.Lock()
	defer r.mu.Unlock()
	missing := r.unrecorded(term, s.owner.directory.Group(s.facts().Group))
	if len(missing) == 0 && (keepers.Holder == "" || s.groupBackup().isRecorded(term, keepers)) {
		return nil
	}
	if r.asking == nil {
		r.asking = make(chan struct{})
		go s.askToRecord(term, missing, keepers, r.asking)
	}
	return r.asking
}

func (s *server) askToRecord(term uint64, missing []gwcontrol.ServerFacts, keepers gwcontrol.AckKeepersRequest, done chan struct{}) {
	ctx, cancel := context.WithTimeout(s.owner.ctx, requestTimeout)
	defer cancel()
	if keepers.Holder != "" {
		s.storeAcked(term, s.group().Start, false)
	}
	res, err := s.owner.recordCopies(ctx, gwcontrol.RecordCopiesRequest{Group: s.facts().Group, Term: term, Servers: missing, Keepers: keepers})
	if err != nil && !gwcontrol.IsRefused(err) {
		s.owner.log.Warn("copies of a group not recorded yet", "group", s.facts().Group, "term", term, "copies", len(missing), "error", err.Error())
	}
	if err == nil && res.OtherHolder {
		// What that one acknowledged is read from the primary, and then stored by the backup.
		_, err = s.barrier(ctx)
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
		if keepers.Holder != "" && !res.OtherHolder {
			s.groupBackup().setRecorded(term, keepers)
		}
	}
	r.asking = nil
	close(done)
}

// recordPresent is recordCopies for the keepers that this instance wants now.
func (s *server) recordPresent(term uint64) <-chan struct{} {
	var keepers gwcontrol.AckKeepersRequest
	if s.guardsAcks() {
		keepers = s.wantedKeepers(term)
	}
	return s.recordCopies(term, keepers)
}

// recorded reports whether the leader has recorded all servers that are known, and a backup from the
// given choice on unless that is 0.
func (s *server) recorded(term, choice uint64) bool {
	if s.owner.recordCopies == nil {
		return true
	}
	r := &s.copies
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unrecorded(term, s.owner.directory.Group(s.facts().Group))) == 0 && (choice == 0 || s.backupRecorded(term, choice))
}

// awaitRecordedCopies waits until the leader has recorded all servers that are known and may have
// confirmed a write of the term, and a backup from the given choice on unless that is 0. It returns
// false if ctx or the term ends before.
func (s *server) awaitRecordedCopies(ctx context.Context, term, choice uint64) bool {
	for {
		asking := s.recordPresent(term)
		if s.recorded(term, choice) {
			return true
		}
		if g := s.group(); g.Term != term || g.Changing {
			return false
		}
		if asking == nil { // the backup has to store something first
			select {
			case <-s.owner.clock.After(recordCopiesDelay):
			case <-ctx.Done():
				return false
			}
			continue
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
			s.recordPresent(g.Term)
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
