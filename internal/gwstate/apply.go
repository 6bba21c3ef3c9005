package gwstate

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// maxLeaseDuration bounds the time for which an erroneous lease request can block a group.
const maxLeaseDuration = time.Minute

// Apply applies the log entry at index. The local time now is used only by the
// LeaseClock, not for the replicated state.
func (s *State) Apply(index uint64, data []byte, now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.index {
		return Repeated{Applied: s.index}
	}
	s.index = index
	cmd, stamp, err := Decode(data)
	if err != nil {
		return Unreadable{Err: err}
	}
	return s.apply(cmd, Timestamp(stamp.UnixMilli()), now)
}

func (s *State) apply(cmd Command, stamp Timestamp, now time.Time) Result {
	switch c := cmd.(type) {
	case PublishManifest:
		return s.publishManifest(c, stamp)
	case StartGroup:
		return s.startGroup(c, stamp)
	case BeginChange:
		return s.beginChange(c, stamp)
	case FinishChange:
		return s.finishChange(c, stamp)
	case SetCopies:
		return s.setCopies(c)
	case NamePromotion:
		return s.namePromotion(c)
	case SetWait:
		return s.setWait(c)
	case SetProof:
		return s.setProof(c)
	case SetAckKeepers:
		return s.setAckKeepers(c)
	case SetQuotaHolders:
		s.quotaHolders = append([]string{}, c.Names...)
		return QuotaHoldersResult{}
	case GrantLeases:
		return s.grantLeases(c, now)
	case ReturnLeases:
		return s.returnLeases(c)
	case Batch:
		results := make([]Result, len(c.Commands))
		for i, part := range c.Commands {
			results[i] = s.apply(part, stamp, now)
		}
		return BatchResult{Results: results}
	}
	return Unreadable{}
}

func (s *State) publishManifest(c PublishManifest, stamp Timestamp) Result {
	current := s.current()
	res := ManifestResult{Current: current.Number}
	if c.AnyLater && current.Number != 0 && c.Number <= current.Number {
		res.Resent, res.AcceptedDigest = true, current.Digest
		return res
	}
	sum := sha256.Sum256([]byte(c.Text))
	switch {
	case c.Number == 0:
		res.Refusal = InvalidArgument
		return res
	case c.Digest != hex.EncodeToString(sum[:]):
		res.Refusal = DigestMismatch
		return res
	case current.Number != 0 && c.Number <= current.Number:
		return s.resultForOldNumber(c, res)
	case current.Number != 0 && c.Number != current.Number+1 && !c.AnyLater:
		res.Refusal = NotSuccessor
		return res
	}
	s.addManifest(Manifest{Number: c.Number, Digest: c.Digest, Text: c.Text, Published: stamp})
	res.Current, res.AcceptedDigest = c.Number, c.Digest
	return res
}

func (s *State) resultForOldNumber(c PublishManifest, res ManifestResult) Result {
	oldest := s.manifests[0].Manifest.Number
	if c.Number < oldest {
		res.Refusal = NumberForgotten
		return res
	}
	res.AcceptedDigest = s.manifests[c.Number-oldest].Manifest.Digest
	res.Resent = res.AcceptedDigest == c.Digest
	if !res.Resent {
		res.Refusal = NumberTaken
	}
	return res
}

func (s *State) addManifest(m Manifest) {
	if last := len(s.manifests) - 1; last >= 0 {
		s.manifests[last].CompressedText = compress([]byte(s.manifests[last].Manifest.Text))
		s.manifests[last].Manifest.Text = ""
	}
	s.manifests = append(s.manifests, manifestRecord{Manifest: m})
	s.dropTexts()
	if len(s.manifests) > keptDigests {
		s.manifests = slices.Delete(s.manifests, 0, 1)
	}
}

// dropTexts drops the texts before the latest keptTexts, and the oldest of these while they exceed
// keptTextBytes.
func (s *State) dropTexts() {
	size, kept := 0, len(s.manifests)-keptTexts
	for i := len(s.manifests) - 1; i >= 0; i-- {
		r := &s.manifests[i]
		if size += len(r.CompressedText); i < kept || size > keptTextBytes {
			r.CompressedText = nil
		}
	}
}

func (s *State) groupResult(group string, refusal Refusal) Result {
	return GroupResult{Refusal: refusal, Group: s.groups[group], Lease: s.leases[group]}
}

func (s *State) startGroup(c StartGroup, stamp Timestamp) Result {
	g, known := s.groups[c.Group]
	switch {
	case c.Group == "" || c.Primary == "" || c.Term == 0:
		return s.groupResult(c.Group, InvalidArgument)
	case known && g.Primary == c.Primary && g.Term == c.Term && g.Start == c.Start:
		return s.groupResult(c.Group, Accepted) // a resend
	case known:
		return s.groupResult(c.Group, GroupExists)
	}
	s.groups[c.Group] = Group{Name: c.Group, Primary: c.Primary, Term: c.Term, Start: c.Start, Since: stamp}
	return s.groupResult(c.Group, Accepted)
}

func (s *State) beginChange(c BeginChange, stamp Timestamp) Result {
	g, known := s.groups[c.Group]
	switch {
	case !known:
		return s.groupResult(c.Group, GroupUnknown)
	case g.Term != c.FromTerm:
		return s.groupResult(c.Group, TermMismatch)
	}
	if g.Phase != Changing {
		g.Phase, g.Since, g.NextTerm = Changing, stamp, g.Term
	}
	g.NextTerm++
	g.Reason, g.Attempt = c.Reason, s.index
	s.groups[c.Group] = g
	return s.groupResult(c.Group, Accepted)
}

func (s *State) finishChange(c FinishChange, stamp Timestamp) Result {
	g, known := s.groups[c.Group]
	lease, leased := s.leases[c.Group]
	switch {
	case !known:
		return s.groupResult(c.Group, GroupUnknown)
	case g.Term == c.Term && g.Primary == c.Primary && g.Start == c.Start && c.FromTerm < c.Term:
		return s.groupResult(c.Group, Accepted) // a resend
	case g.Term != c.FromTerm:
		return s.groupResult(c.Group, TermMismatch)
	case g.Phase != Changing:
		return s.groupResult(c.Group, GroupNotChanging)
	case c.attempt() != g.NextTerm:
		return s.groupResult(c.Group, ChangeSuperseded)
	case c.Primary == "" || c.Term < c.FromTerm || c.Term == c.FromTerm && c.Primary != g.Primary:
		return s.groupResult(c.Group, InvalidArgument)
	case leased && lease.Sequence != c.Previous:
		return s.groupResult(c.Group, LeaseHeld)
	}
	s.endLease(c.Group)
	s.groups[c.Group] = Group{
		Name: c.Group, Primary: c.Primary, Term: c.Term, Start: c.Start, Since: stamp, Reason: g.Reason,
		Copies: c.Copies, Call: g.Call,
	}
	return s.groupResult(c.Group, Accepted)
}

func (s *State) namePromotion(c NamePromotion) Result {
	g, known := s.groups[c.Group]
	closes := c.Server == "" && c.Fence != 0 && g.Call.Fence == c.Fence && g.Call.Sequence == c.Previous
	switch {
	case !known:
		return s.groupResult(c.Group, GroupUnknown)
	case closes:
	case g.Phase != Changing:
		return s.groupResult(c.Group, GroupNotChanging)
	case g.NextTerm != c.Attempt:
		return s.groupResult(c.Group, ChangeSuperseded)
	case c.Server != "" && c.Fence != 0 && !g.Call.mayBeFollowedBy(c):
		return s.groupResult(c.Group, CallOpen)
	}
	if g.Phase == Changing && g.NextTerm == c.Attempt {
		g.Promoting = c.Server
	}
	switch {
	case closes:
		g.Call = PromotionCall{}
	case c.Server != "" && c.Fence != 0:
		g.Call = PromotionCall{Server: c.Server, Fence: c.Fence, Holder: c.Holder, Sequence: s.index, Born: c.Born}
	}
	s.groups[c.Group] = g
	return s.groupResult(c.Group, Accepted)
}

// mayBeFollowedBy reports whether n may replace the record: there is none, or the leader that
// proposes n has seen it and judged that the call cannot conflict with its own.
func (c PromotionCall) mayBeFollowedBy(n NamePromotion) bool {
	return c.Fence == 0 || n.Fence >= c.Fence && n.Previous == c.Sequence
}

func (s *State) setWait(c SetWait) Result {
	return s.duringChange(c.Group, c.Term, func(g *Group) { g.Wait = c.Reason })
}

func (s *State) setProof(c SetProof) Result {
	return s.duringChange(c.Group, c.Term, func(g *Group) { g.Proof = c.Proof })
}

func (s *State) setAckKeepers(c SetAckKeepers) Result {
	g, known := s.groups[c.Group]
	lease, leased := s.leases[c.Group]
	covered := c.Grant != 0 && leased && lease.heldBy(c.Holder, c.Epoch) && lease.Sequence == c.Grant && lease.Term == c.Term
	switch {
	case c.Holder == "":
		return s.groupResult(c.Group, InvalidArgument)
	case !known:
		return s.groupResult(c.Group, GroupUnknown)
	case g.Term != c.Term:
		return s.groupResult(c.Group, TermMismatch)
	case g.Phase == Changing:
		return s.groupResult(c.Group, GroupChanging)
	case g.Acks.Holder != "" && !g.Acks.sameHolder(c.Holder, c.Epoch) && !covered:
		return s.groupResult(c.Group, LeaseNotHeld)
	case g.Acks.sameHolder(c.Holder, c.Epoch) && c.Choice < g.Acks.Choice:
		return s.groupResult(c.Group, ChoiceSuperseded)
	}
	g.Acks = AckKeepers{
		Holder: c.Holder, Epoch: c.Epoch, Claimed: true, Backup: c.Backup, Choice: c.Choice, Superseded: g.Acks.Superseded && !covered,
	}
	s.groups[c.Group] = g
	return s.groupResult(c.Group, Accepted)
}

// recordHolder records who is granted the lease of a group: the first holder of a term, or that
// there is a later one than the keepers of acknowledged positions.
func (s *State) recordHolder(group, holder string, epoch uint64) {
	g := s.groups[group]
	switch {
	case g.Acks.Holder == "":
		g.Acks = AckKeepers{Holder: holder, Epoch: epoch}
	case !g.Acks.sameHolder(holder, epoch):
		g.Acks.Superseded = true
	}
	s.groups[group] = g
}

// duringChange applies f to a group whose change of primary began at term.
func (s *State) duringChange(group string, term uint64, f func(g *Group)) Result {
	g, known := s.groups[group]
	switch {
	case !known:
		return s.groupResult(group, GroupUnknown)
	case g.Term != term:
		return s.groupResult(group, TermMismatch)
	case g.Phase != Changing:
		return s.groupResult(group, GroupNotChanging)
	}
	f(&g)
	s.groups[group] = g
	return s.groupResult(group, Accepted)
}

// setCopies does nothing during a change of primary, which decides on the copies that were
// known when it began.
func (s *State) setCopies(c SetCopies) Result {
	g, known := s.groups[c.Group]
	switch {
	case !known:
		return s.groupResult(c.Group, GroupUnknown)
	case g.Term != c.Term:
		return s.groupResult(c.Group, TermMismatch)
	case g.Phase == Changing:
		return s.groupResult(c.Group, GroupChanging)
	}
	g.Copies = c.Copies
	s.groups[c.Group] = g
	return s.groupResult(c.Group, Accepted)
}

func (s *State) endLease(group string) {
	delete(s.leases, group)
	s.clock.forget(group)
}

func (s *State) grantLeases(c GrantLeases, now time.Time) Result {
	res := LeaseResult{Outcomes: make([]LeaseOutcome, len(c.Leases))}
	for i, r := range c.Leases {
		refusal := s.checkGrant(c, r)
		if refusal == Accepted {
			l := Lease{
				Group: r.Group, Term: r.Term, Holder: c.Holder, Incarnation: c.Incarnation,
				Duration: r.Duration, Sequence: s.index,
			}
			s.leases[r.Group] = l
			s.clock.record(l, now)
			s.recordHolder(r.Group, c.Holder, c.Incarnation)
		}
		res.Outcomes[i] = LeaseOutcome{Group: r.Group, Refusal: refusal, Lease: s.leases[r.Group]}
	}
	return res
}

func (s *State) checkGrant(c GrantLeases, r LeaseRequest) Refusal {
	g, known := s.groups[r.Group]
	lease, leased := s.leases[r.Group]
	switch {
	case c.Holder == "" || r.Duration <= 0 || r.Duration > maxLeaseDuration:
		return InvalidArgument
	case !known:
		return GroupUnknown
	case g.Phase == Changing:
		return GroupChanging
	case g.Term != r.Term:
		return TermMismatch
	case leased && !lease.heldBy(c.Holder, c.Incarnation) && lease.Sequence != r.Previous:
		return LeaseHeld
	}
	return Accepted
}

func (s *State) returnLeases(c ReturnLeases) Result {
	res := LeaseResult{Outcomes: make([]LeaseOutcome, len(c.Leases))}
	for i, r := range c.Leases {
		lease, leased := s.leases[r.Group]
		refusal := LeaseNotHeld
		if leased && lease.heldBy(c.Holder, c.Incarnation) && lease.Sequence <= r.Sequence {
			s.endLease(r.Group)
			refusal = Accepted
		}
		res.Outcomes[i] = LeaseOutcome{Group: r.Group, Refusal: refusal, Lease: s.leases[r.Group]}
	}
	return res
}
