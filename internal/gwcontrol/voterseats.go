package gwcontrol

import (
	"cmp"
	"slices"
	"time"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// voterView is what the leader knows of the instances, beside the status of the log.
type voterView struct {
	// identities holds the current identities of the wanted instances by name, "" for one that
	// is not known.
	identities map[string]string
	// listed means that the manifest lists the wanted instances.
	listed bool
	// dataCentres holds the data centres of instances by name, as far as they are known.
	dataCentres map[string]string
	now         time.Time
	// lastSeen returns when an instance was last live.
	lastSeen func(name string) time.Time
	// replaces means that all members know gwquorum.Replace.
	replaces bool
	// firstStart reports whether an instance is one of the first start of the deployment.
	firstStart func(name string) bool
	// began returns when an instance began with an empty store, zero if that is not known.
	began func(name string) time.Time
}

// givenUp reports whether an instance has been away for absenceLimit.
func (v voterView) givenUp(name string) bool { return v.now.Sub(v.lastSeen(name)) >= absenceLimit }

// seniority orders the instances of a data centre by their ranks.
type seniority struct {
	ids   []string // the newest last
	ranks map[string]uint64
}

// newSeniority leaves out the instances that were given up and have a successor, unless they are
// alone.
func newSeniority(ids []string, ranks map[string]uint64) seniority {
	succeeded := func(id string) bool { return ranks[id] == gwquorum.RankSucceeded }
	s := seniority{ids: slices.DeleteFunc(slices.Clone(ids), succeeded), ranks: ranks}
	if len(s.ids) == 0 {
		s.ids = slices.Clone(ids)
	}
	slices.SortFunc(s.ids, func(a, b string) int { return cmp.Or(cmp.Compare(ranks[a], ranks[b]), cmp.Compare(a, b)) })
	return s
}

// younger returns how many instances are younger than the oldest ones.
func (s seniority) younger() int {
	n := 0
	for _, id := range s.ids {
		if s.ranks[id] > s.ranks[s.ids[0]] {
			n++
		}
	}
	return n
}

// eligible returns the instances that may vote, and those of the others that may vote as well if
// the number of voters is even without them.
//
// Each younger instance may be the successor of an older one, and once it has been up for some
// time, the older one may end at any moment while another disk is lost. Of j younger ones, up to
// j others end at no cost, and never the newest. As voters, the others make up for these ends
// if they are 2j, and more than that if they are more.
func (s seniority) eligible() (first, others []string) {
	j, newest := s.younger(), len(s.ids)-1
	switch {
	case j == 0 || newest > 2*j:
		return s.ids, nil
	case newest == 2*j:
		return s.ids[newest:], s.ids[:newest]
	default:
		return s.ids[newest:], nil
	}
}

// seats returns those of the given members that may vote, by the data centres of their instances.
// One of an unknown data centre counts as alone in it.
func seats(st gwquorum.Status, members []string, dataCentres map[string]string) []string {
	var out []string
	groups := make(map[string][]string)
	for _, id := range members {
		dc, known := dataCentres[voterName(id)]
		if !known {
			out = append(out, id)
			continue
		}
		groups[dc] = append(groups[dc], id)
	}
	var more []string
	for _, ids := range groups {
		first, others := newSeniority(ids, st.Ranks).eligible()
		out, more = append(out, first...), append(more, others...)
	}
	if oddVoters(len(out)) < len(out) {
		out = append(out, more...)
	}
	slices.Sort(out)
	return out
}

// rankOfNew returns the rank of an identity that is to be added, nil for that of a new member.
func (p voterPlan) rankOfNew(id string) *uint64 {
	rank := knownRank(p.st, voterName(id))
	switch {
	case rank != nil:
		return rank
	case p.firstStart != nil && p.firstStart(voterName(id)):
		return new(uint64)
	default:
		return p.rankBeforeYounger(id)
	}
}

// startMargin is the difference between two starts from which their order is taken for certain.
const startMargin = time.Second

// rankBeforeYounger returns a rank before those of the members of an instance's data centre that
// have started later and were known earlier, as it was out of reach; nil if there are none.
func (p voterPlan) rankBeforeYounger(id string) *uint64 {
	if p.began == nil || p.began(voterName(id)).IsZero() || p.isPlaceless(id) {
		return nil
	}
	dc, began := p.dataCentres[voterName(id)], p.began(voterName(id))
	var out *uint64
	for _, o := range slices.Concat(p.st.Voters, p.st.Learners) {
		rank := p.st.Ranks[o]
		younger := p.dataCentres[voterName(o)] == dc && p.began(voterName(o)).Sub(began) >= startMargin
		if younger && rank > 0 && rank != gwquorum.RankSucceeded && (out == nil || rank-1 < *out) {
			before := rank - 1
			out = &before
		}
	}
	return out
}

// knownRank returns the smallest rank that the log has for an instance, or RankSucceeded if it has
// that; nil if it has none. An instance that returns without its data is thus not taken for the
// successor of another.
func knownRank(st gwquorum.Status, name string) *uint64 {
	var out *uint64
	add := func(id string, rank uint64) {
		if voterName(id) != name || out != nil && *out == gwquorum.RankSucceeded {
			return
		}
		if out == nil || rank < *out || rank == gwquorum.RankSucceeded {
			out = &rank
		}
	}
	for id, rank := range st.Ranks {
		add(id, rank)
	}
	for _, id := range slices.Concat(st.Voters, st.Learners) {
		add(id, st.Ranks[id])
	}
	return out
}

// heir returns the member that takes the rank of one that is removed for good: the oldest younger
// one of its data centre, which is taken for its successor; "" if there is none.
func (p voterPlan) heir(removed string) string {
	dc, known := p.dataCentres[voterName(removed)]
	if !known || p.listed || p.answers(removed) || !p.givenUp(voterName(removed)) {
		return ""
	}
	var ids []string
	for _, id := range slices.Concat(p.st.Voters, p.st.Learners) {
		switch {
		case id == removed:
		case voterName(id) == voterName(removed):
			return ""
		case p.dataCentres[voterName(id)] == dc && p.st.Ranks[id] > p.st.Ranks[removed]:
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return newSeniority(ids, p.st.Ranks).ids[0]
}
