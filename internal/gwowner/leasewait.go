package gwowner

import (
	"context"
	"time"
)

const (
	// leaseReturnWait is how long a commit waits for a lease that has run out. A new leader
	// of the replicated log is elected, and answers the next renewal, within about a second.
	leaseReturnWait = time.Second
	// leasePollInterval is the time between two checks of the lease meanwhile.
	leasePollInterval = 10 * time.Millisecond
)

// awaitLease reports whether the lease for term is held, and waits for a lease that has run
// out, as when the leader of the replicated log is replaced. The lease of a term is granted
// only while its primary has not been replaced, so that a commit of the term, made before or
// after, may be acknowledged under it. It returns false once the term has ended or is ending,
// after leaseReturnWait, or when ctx ends. The wait is counted in checks: the time in which
// this process stood still, and could not renew the lease, does not count.
func (s *server) awaitLease(ctx context.Context, term uint64) bool {
	clock := s.owner.clock
	for checks := 0; !s.holdsLease(term); checks++ {
		g := s.group()
		if g.Term != term || g.Changing || checks >= int(leaseReturnWait/leasePollInterval) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-clock.After(leasePollInterval):
		}
	}
	return true
}
