package gwstate

import "time"

// GroupTerm identifies a group at one term.
type GroupTerm struct {
	Group string `cbor:"1,keyasint" json:"group"`
	Term  uint64 `cbor:"2,keyasint" json:"term"`
}

// Renew extends the holder's leases without a log entry, and returns the groups
// that it refused. A lease that the LeaseClock counts as expired, or has told expired, is
// refused with LeaseExpired: the leader may have proposed to give it to another holder. Its
// holder needs a grant in the log.
//
// Only a leader whose leadership a quorum confirmed after the request arrived
// may call it. A later leader restarts the waits of all leases when it becomes
// ready, which is after that confirmation, so the renewal need not be recorded.
func (s *State) Renew(holder string, incarnation uint64, groups []GroupTerm, now time.Time) map[string]Refusal {
	s.mu.RLock()
	defer s.mu.RUnlock()
	refused := make(map[string]Refusal)
	for _, gt := range groups {
		refusal := s.checkRenewal(holder, incarnation, gt)
		if refusal == Accepted && !s.clock.renew(s.leases[gt.Group], now) {
			refusal = LeaseExpired
		}
		if refusal != Accepted {
			refused[gt.Group] = refusal
		}
	}
	return refused
}

func (s *State) checkRenewal(holder string, incarnation uint64, gt GroupTerm) Refusal {
	g, known := s.groups[gt.Group]
	lease, leased := s.leases[gt.Group]
	switch {
	case !known:
		return GroupUnknown
	case g.Phase == Changing:
		return GroupChanging
	case g.Term != gt.Term || lease.Term != gt.Term:
		return TermMismatch
	case !leased || !lease.heldBy(holder, incarnation):
		return LeaseNotHeld
	}
	return Accepted
}
