package gwcontrol

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// voterPlan is what the leader knows when it plans the next change of the voters.
//
// A voter is replaced in one change, with quorums of the voters before and after it. If a member
// does not know that kind of change, another voter is promoted, then it is removed. In the other
// order the loss of a disk between the two steps would stop the group for good even if the
// replaced voter returned with its data. See docs/decisions/voter-identity.md.
type voterPlan struct {
	voterView
	st gwquorum.Status
	// current holds the identities under which the wanted instances take part.
	current []string
	// eligible holds the current identities, and the voters that are away for a short time,
	// that may vote.
	eligible []string
	// gone holds the voters whose instance has lost their data, as it takes part under another
	// identity, and away the other voters that are not wanted, without the eligible ones.
	gone, away []string
	// target is the number of voters.
	target int
}

// newVoterPlan returns a plan. Without a list of the voters in the manifest, a voter that answers
// is wanted, and one that does not stays until another can replace it.
func newVoterPlan(st gwquorum.Status, view voterView) voterPlan {
	p := voterPlan{voterView: view, st: st}
	for _, id := range view.identities {
		if id != "" {
			p.current = append(p.current, id)
		}
	}
	var absent []string // for a short time
	for _, id := range st.Voters {
		_, wanted := view.identities[voterName(id)]
		switch {
		case slices.Contains(p.current, id):
		case wanted:
			p.gone = append(p.gone, id)
		case !view.listed && p.answers(id):
			p.current = append(p.current, id)
		case view.listed || p.isSeatVacant(id):
			p.away = append(p.away, id)
		default:
			absent = append(absent, id)
		}
	}
	slices.Sort(p.current)
	p.eligible, p.target = p.current, len(view.identities)
	if !view.listed {
		p.setSeats(absent)
	}
	return p
}

// setSeats sets the eligible identities and the number of voters. absent holds the voters that
// are away for a short time.
func (p *voterPlan) setSeats(absent []string) {
	members := slices.DeleteFunc(slices.Clone(p.current), func(id string) bool { return !p.isMember(id) })
	p.eligible = seats(p.st, slices.Concat(members, absent), p.dataCentres)
	for _, id := range absent {
		if p.mayBeSucceeded(id) {
			p.eligible = slices.DeleteFunc(p.eligible, func(e string) bool { return e == id })
		}
		if !slices.Contains(p.eligible, id) {
			p.away = append(p.away, id)
		}
	}
	p.target = oddVoters(len(p.eligible))
	if n := len(p.st.Voters); p.target > n && slices.ContainsFunc(p.st.Voters, p.isPlaceless) {
		// One of them may be the successor of an instance that would be promoted.
		p.target = n
	}
	p.target = max(p.target, oddVoters(p.eligibleVoters()+len(p.away)), min(minVoters, len(p.st.Voters)))
}

// isSeatVacant reports whether a voter that is not live has been away for seatLimit. The others
// take it for live for some time after its last reply, and a leader that has just been elected
// has no reply yet.
func (p voterPlan) isSeatVacant(id string) bool {
	since, reply := p.lastSeen(voterName(id)), p.peer(id).LastReplyAt
	if reply.Before(since) {
		since = reply
	}
	return p.now.Sub(since) >= seatLimit && p.now.Sub(reply) >= replyLimit
}

// minVoters is the number of voters below which they are not reduced: of two, both are needed.
const minVoters = 3

// isPlaceless reports whether the data centre of a member's instance is not known.
func (p voterPlan) isPlaceless(id string) bool {
	_, known := p.dataCentres[voterName(id)]
	return !known
}

// mayBeSucceeded reports whether an absent voter of an unknown data centre, which the leader has
// not seen since its own start, has a younger learner that may be its successor.
func (p voterPlan) mayBeSucceeded(id string) bool {
	return p.isPlaceless(id) && slices.ContainsFunc(p.eligible, func(e string) bool {
		return slices.Contains(p.st.Learners, e) && p.st.Ranks[e] > p.st.Ranks[id]
	})
}

// oddVoters returns how many of n instances vote; the others stay learners. If an even
// number of voters is split into two halves by a partition, neither half has a quorum:
// six voters in two halves stopped all writes for 6 s.
func oddVoters(n int) int {
	if n > 2 && n%2 == 0 {
		return n - 1
	}
	return n
}

// next returns the next change, or none and the reason why a wanted one is not made.
func (p voterPlan) next() (gwquorum.Change, string) {
	if len(p.st.Outgoing) > 0 {
		return gwquorum.Change{}, fmt.Sprintf("a replacement of one of the voters %v is not committed", p.st.Outgoing)
	}
	for _, id := range p.current {
		if !p.isMember(id) {
			return gwquorum.Change{Kind: gwquorum.AddLearner, Instance: id, Rank: p.rankOfNew(id)}, ""
		}
	}
	change, reason := p.nextOfVoters()
	if change == (gwquorum.Change{}) {
		if id := p.uselessLearner(); id != "" {
			return p.remove(id), ""
		}
	}
	return change, reason
}

func (p voterPlan) nextOfVoters() (gwquorum.Change, string) {
	few := p.eligibleVoters() < p.target
	if id := p.surplusVoter(); id != "" && (!few || !slices.Contains(p.eligible, id)) {
		// Also before another one is promoted: with two of five voters away, both successors made
		// seven voters, of which the two that were away counted as voters without a successor.
		if change, reason := p.ifSafe(p.remove(id)); reason == "" || !few {
			return change, reason
		}
	}
	if few {
		learner, voter := p.bestLearner(), p.seatToTake()
		switch {
		case learner == "":
			return gwquorum.Change{}, p.waitReason()
		case voter != "" && p.replaces && len(p.st.Voters) >= p.target:
			return p.ifSafe(gwquorum.Change{Kind: gwquorum.Replace, Instance: learner, Replaced: voter})
		default:
			return p.ifSafe(gwquorum.Change{Kind: gwquorum.Promote, Instance: learner})
		}
	}
	if learner, voter := p.successorOfVoter(); learner != "" && p.replaces {
		return p.ifSafe(gwquorum.Change{Kind: gwquorum.Replace, Instance: learner, Replaced: voter})
	}
	return gwquorum.Change{}, ""
}

// successorOfVoter returns an eligible learner that is the newest of its data centre and has caught
// up, and the oldest voter there. Where the others of the data centre may vote as well, the newest
// is the one that does not end at no cost.
func (p voterPlan) successorOfVoter() (learner, voter string) {
	for _, id := range p.eligible {
		if p.isVoter(id) || !p.isMember(id) || !p.caughtUp(id) {
			continue
		}
		s := p.seniorityBeside(id)
		voters := slices.DeleteFunc(slices.Clone(s.ids), func(o string) bool { return !p.isVoter(o) || s.ranks[o] >= s.ranks[id] })
		if s.ids[len(s.ids)-1] == id && len(voters) > 0 {
			return id, voters[0]
		}
	}
	return "", ""
}

// seniorityBeside returns the eligible instances of the data centre of one of them.
func (p voterPlan) seniorityBeside(id string) seniority {
	dc, known := p.dataCentres[voterName(id)]
	return newSeniority(slices.DeleteFunc(slices.Clone(p.eligible), func(o string) bool {
		other, otherKnown := p.dataCentres[voterName(o)]
		return o != id && (!known || !otherKnown || other != dc)
	}), p.st.Ranks)
}

func (p voterPlan) remove(id string) gwquorum.Change {
	return gwquorum.Change{Kind: gwquorum.Remove, Instance: id, Heir: p.heir(id)}
}

// ifSafe returns a change if the voters after it that answer and have caught up are a quorum, for
// a replacement those before it, too.
func (p voterPlan) ifSafe(c gwquorum.Change) (gwquorum.Change, string) {
	voters := slices.DeleteFunc(slices.Clone(p.st.Voters), func(v string) bool { return v == c.Instance || v == c.Replaced })
	if c.Kind != gwquorum.Remove {
		voters = append(voters, c.Instance)
	}
	groups := [][]string{voters}
	if c.Kind == gwquorum.Replace {
		groups = append(groups, p.st.Voters)
	}
	for _, voters := range groups {
		usable := 0
		for _, v := range voters {
			if p.caughtUp(v) {
				usable++
			}
		}
		if quorum := (gwquorum.Members{Voters: voters}).Quorum(); usable < quorum {
			return gwquorum.Change{}, fmt.Sprintf("%d of the voters %v would answer and have caught up, the quorum is %d", usable, voters, quorum)
		}
	}
	return c, ""
}

// waitReason says which learners are not promoted yet.
func (p voterPlan) waitReason() string {
	var waits []string
	for _, peer := range p.st.Peers {
		if peer.Learner {
			waits = append(waits, fmt.Sprintf("learner %s has entry %d of %d, answers: %t", peer.Instance, peer.Match, p.st.Commit, peer.Active))
		}
	}
	switch {
	case len(waits) > 0:
		return strings.Join(waits, "; ")
	case len(p.away) > 0:
		return fmt.Sprintf("no instance can replace %v", p.away)
	default:
		return fmt.Sprintf("%d of %d voters are known", p.eligibleVoters(), p.target)
	}
}

// bestLearner returns the eligible learner that has caught up and has the longest synced log,
// or "".
func (p voterPlan) bestLearner() string {
	best := gwquorum.PeerStatus{}
	for _, peer := range p.st.Peers {
		if peer.Learner && slices.Contains(p.eligible, peer.Instance) && p.caughtUp(peer.Instance) &&
			(best.Instance == "" || peer.Match > best.Match) {
			best = peer
		}
	}
	return best.Instance
}

// seatToTake returns the voter that is replaced next, or "": one whose instance has lost its
// data, then one that is away, then one that is not eligible.
func (p voterPlan) seatToTake() string {
	ineligible := slices.DeleteFunc(slices.Clone(p.st.Voters), func(id string) bool { return slices.Contains(p.eligible, id) })
	for _, ids := range [][]string{p.gone, p.away, ineligible} {
		if len(ids) > 0 {
			return slices.MinFunc(ids, p.compareRemoval)
		}
	}
	return ""
}

// surplusVoter returns a voter that is not needed any more, or "". A voter that is gone, away or not
// eligible is kept as long as the number of voters does not exceed the target. If all are eligible,
// as one that was away has returned after its replacement was promoted, the one that is behind goes.
func (p voterPlan) surplusVoter() string {
	if len(p.st.Voters) <= p.target {
		return ""
	}
	if id := p.seatToTake(); id != "" {
		return id
	}
	return slices.MinFunc(p.st.Voters, p.compareRemoval)
}

func (p voterPlan) compareRemoval(a, b string) int {
	return cmp.Compare(p.removalOrder(a), p.removalOrder(b))
}

// removalOrder orders voters by what their removal costs: those that do not answer come first,
// then the others by their synced log, then the leader.
func (p voterPlan) removalOrder(id string) uint64 {
	peer := p.peer(id)
	switch {
	case id == p.st.ID:
		return p.st.Last + 2
	case !peer.Active:
		return 0
	default:
		return peer.Match + 1
	}
}

// nextLeader returns the voter that can lead while the leader is replaced or removed: one that
// stays, to which the leadership may be transferred now, and has the longest synced log; "" if there
// is none.
func (p voterPlan) nextLeader(moves leadershipMoves, now time.Time) string {
	best := gwquorum.PeerStatus{}
	for _, peer := range p.st.Peers {
		if !peer.Learner && slices.Contains(p.eligible, peer.Instance) && p.caughtUp(peer.Instance) && moves.allowed(peer.Instance, now) &&
			(best.Instance == "" || peer.Match > best.Match) {
			best = peer
		}
	}
	return best.Instance
}

// uselessLearner returns a learner that is not wanted and is given up, or not listed, or whose
// instance takes part under another identity; "" if there is none. One that answers is kept:
// a leader that has just started does not know all live instances.
func (p voterPlan) uselessLearner() string {
	for _, id := range p.st.Learners {
		replaced := slices.ContainsFunc(p.current, func(c string) bool { return voterName(c) == voterName(id) })
		if !slices.Contains(p.current, id) && (replaced || p.listed || !p.answers(id) && p.givenUp(voterName(id))) {
			return id
		}
	}
	return ""
}

func (p voterPlan) isVoter(id string) bool { return slices.Contains(p.st.Voters, id) }

func (p voterPlan) isMember(id string) bool {
	return p.isVoter(id) || slices.Contains(p.st.Learners, id)
}

// eligibleVoters returns how many of the voters are eligible.
func (p voterPlan) eligibleVoters() int {
	n := 0
	for _, id := range p.eligible {
		if p.isVoter(id) {
			n++
		}
	}
	return n
}

// peer returns the leader's view of another member, empty if it has none.
func (p voterPlan) peer(id string) gwquorum.PeerStatus {
	i := slices.IndexFunc(p.st.Peers, func(s gwquorum.PeerStatus) bool { return s.Instance == id })
	if i < 0 {
		return gwquorum.PeerStatus{}
	}
	return p.st.Peers[i]
}

// answers reports whether a member answers the leader, or is it.
func (p voterPlan) answers(id string) bool {
	return id == p.st.ID || p.peer(id).Active
}

// caughtUp reports whether a member answers and has synced the committed entries but for the
// last few. With steady writes a member in another region is always some entries behind.
func (p voterPlan) caughtUp(id string) bool {
	peer := p.peer(id)
	return id == p.st.ID || peer.Active && hasAlmostAll(p.st, peer)
}

// hasAlmostAll reports whether a member has synced the committed entries but for the last few, as
// gwquorum does. One that lacks entries which the leader does not have in memory needs a snapshot.
func hasAlmostAll(st gwquorum.Status, p gwquorum.PeerStatus) bool {
	return p.Match+1 >= st.First && p.Match+gwquorum.DefaultMaxPromoteLag >= st.Commit && p.LagBytes <= gwquorum.DefaultMaxPromoteLagBytes
}
