package gwquorum

import (
	"maps"
	"math"
	"slices"
)

// maxFormer is the maximum number of former members whose ranks are kept.
const maxFormer = 32

// RankSucceeded is the rank of a former member that was removed with an heir. If it returns, it
// is not as old as its heir.
const RankSucceeded = math.MaxUint64

// Members is the membership of a group: voters count for quorums, learners only
// receive the log.
type Members struct {
	Voters   []string `cbor:"1,keyasint"`
	Learners []string `cbor:"2,keyasint,omitempty"`
	// Outgoing holds the voters of the membership before, while a Replace is in progress.
	// Everything then needs a quorum of Voters and one of Outgoing. The replaced voter is
	// among Learners.
	Outgoing []string `cbor:"3,keyasint,omitempty"`
	// Ranks holds the seniority of members by identity: the index of the entry with which
	// the member was added. One without a rank is as old as the group: 0. Those of some
	// former members are kept, so that one that returns is not taken for a new one.
	Ranks map[string]uint64 `cbor:"4,keyasint,omitempty"`
	// Former holds the former members whose ranks are kept, in the order of their removal.
	Former []string `cbor:"5,keyasint,omitempty"`
}

// Clone returns a deep copy.
func (m Members) Clone() Members {
	return Members{
		Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners),
		Outgoing: slices.Clone(m.Outgoing), Ranks: maps.Clone(m.Ranks), Former: slices.Clone(m.Former),
	}
}

// IsVoter reports whether id is a voter of the membership, or will be one after a Replace.
func (m Members) IsVoter(id string) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner of the membership, or will be one after a Replace.
func (m Members) IsLearner(id string) bool { return slices.Contains(m.Learners, id) }

// All returns the voters and learners, sorted.
func (m Members) All() []string {
	ids := slices.Concat(m.Voters, m.Learners)
	slices.Sort(ids)
	return ids
}

// Quorum returns the number of voters that form a majority. During a Replace, as many of
// the outgoing voters are needed as well.
func (m Members) Quorum() int { return majority(m.Voters) }

func majority(ids []string) int { return len(ids)/2 + 1 }

// joint reports whether a Replace is in progress.
func (m Members) joint() bool { return len(m.Outgoing) > 0 }

// electors returns the voters, and the outgoing ones that are not among them.
func (m Members) electors() []string {
	ids := slices.Clip(m.Voters)
	for _, id := range m.Outgoing {
		if !m.IsVoter(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// isElector reports whether id is a voter or an outgoing one.
func (m Members) isElector(id string) bool { return m.IsVoter(id) || slices.Contains(m.Outgoing, id) }

// hasQuorum reports whether has holds for a quorum of the voters and, during a Replace, for
// one of the outgoing voters.
func (m Members) hasQuorum(has func(id string) bool) bool {
	return hasMajority(m.Voters, has) && (!m.joint() || hasMajority(m.Outgoing, has))
}

func hasMajority(ids []string, has func(id string) bool) bool {
	count := 0
	for _, id := range ids {
		if has(id) {
			count++
		}
	}
	return count >= majority(ids)
}

// syncedByQuorum returns the greatest index that a quorum has synced, given the greatest one
// that each voter has.
func (m Members) syncedByQuorum(synced func(id string) uint64) uint64 {
	index := syncedByMajority(m.Voters, synced)
	if m.joint() {
		index = min(index, syncedByMajority(m.Outgoing, synced))
	}
	return index
}

func syncedByMajority(ids []string, synced func(id string) uint64) uint64 {
	if len(ids) == 0 {
		return 0
	}
	indexes := make([]uint64, 0, len(ids))
	for _, id := range ids {
		indexes = append(indexes, synced(id))
	}
	slices.Sort(indexes)
	return indexes[len(ids)-majority(ids)]
}

// withRank returns m with the rank of id.
func (m Members) withRank(id string, rank uint64) Members {
	m.Ranks = maps.Clone(m.Ranks)
	if m.Ranks == nil {
		m.Ranks = map[string]uint64{}
	}
	m.Ranks[id] = rank
	return m
}

// withFormer returns m with one more former member. Of too many, the rank of the one that was
// removed first is dropped.
func (m Members) withFormer(id string) Members {
	m.Former = append(without(m.Former, id), id)
	if len(m.Former) > maxFormer {
		m.Ranks = maps.Clone(m.Ranks)
		delete(m.Ranks, m.Former[0])
		m.Former = m.Former[1:]
	}
	return m
}

// without returns ids without id.
func without(ids []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
}
