package gwowner

import (
	"sync"

	"gentianward.example/gentianward/internal/gwbackend"
)

// received remembers up to where a run of a server was seen to have received the log. A
// server may start again under its name, without data, before its new run is announced.
// Its answers must not be taken for those of the run that had the data.
type received struct {
	mu   sync.Mutex
	last gwbackend.Report
}

// record notes a report. A server drops the end of its log only for a later term.
func (r *received) record(rep gwbackend.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rep.Term > r.last.Term || rep.Position.AtLeast(r.last.Position) {
		r.last = rep
	}
}

// latest returns the report that a later one must not be behind.
func (r *received) latest() gwbackend.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// reset forgets the reports, as after an order upon which the server may drop writes.
func (r *received) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = gwbackend.Report{}
}

// lostData reports whether a report shows that the server has lost data since an earlier one.
func lostData(earlier, rep gwbackend.Report) bool {
	return rep.Term <= earlier.Term && !rep.Position.AtLeast(earlier.Position)
}
