package gwquorum

import (
	"slices"
)

// membershipRecord is a membership that is in effect from the entry at index on.
type membershipRecord struct {
	index   uint64
	members Members
}

// entryLog is the in-memory log: the entries after index base.
type entryLog struct {
	base, baseTerm uint64
	entries        []Entry
	stable         uint64 // greatest synced index
	commit         uint64
	applied        uint64
	// memberships holds the membership at the snapshot and all later ones, so that
	// truncating the log restores the earlier membership.
	memberships []membershipRecord
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index; ok is false if the log does not
// contain it.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.base-1].Term, true
	}
}

// between returns the entries in (after, to].
func (l *entryLog) between(after, to uint64) []Entry {
	after = max(after, l.base)
	if to <= after {
		return nil
	}
	return slices.Clip(l.entries[after-l.base : to-l.base])
}

// batch returns entries from index on of up to limit bytes in total, but at least one
// if the log has one.
func (l *entryLog) batch(index uint64, limit int) []Entry {
	all := l.between(index-1, l.last())
	size := 0
	for i, e := range all {
		size += e.size()
		if i > 0 && size > limit {
			return all[:i:i]
		}
	}
	return all
}

// size returns the approximate encoded size of the entries in (after, to].
func (l *entryLog) size(after, to uint64) int {
	size := 0
	for _, e := range l.between(after, to) {
		size += e.size()
	}
	return size
}

// keptBefore returns the index up to which entries may be dropped so that up to count entries of
// up to limit bytes in total are left before index.
func (l *entryLog) keptBefore(index, count uint64, limit int) uint64 {
	size, first := 0, index
	for first > l.base && index-first < count {
		if size += l.entries[first-l.base-1].size(); size > limit {
			break
		}
		first--
	}
	return first
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.Kind == EntryChange && e.Members != nil {
			l.memberships = append(l.memberships, membershipRecord{index: e.Index, members: e.Members.Clone()})
		}
	}
}

// truncate drops the entries from index on. The others are copied, because messages
// may still refer to slices of the old array.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.base-1])
	l.stable = min(l.stable, index-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// trim drops the entries up to and including index.
func (l *entryLog) trim(index uint64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, term
}

// reset replaces the log with a snapshot.
func (l *entryLog) reset(s Snapshot) {
	l.base, l.baseTerm, l.entries = s.Index, s.Term, nil
	l.stable, l.commit = s.Index, s.Index
	l.memberships = []membershipRecord{{index: s.Index, members: s.Members.Clone()}}
}

func (l *entryLog) members() Members { return l.memberships[len(l.memberships)-1].members }

// changeIndex returns the index of the latest membership change.
func (l *entryLog) changeIndex() uint64 { return l.memberships[len(l.memberships)-1].index }

// membersAt returns the membership in effect at index.
func (l *entryLog) membersAt(index uint64) Members {
	for _, r := range slices.Backward(l.memberships) {
		if r.index <= index {
			return r.members
		}
	}
	return l.memberships[0].members
}

// mayElect reports whether id has a vote in the committed membership or in a later one. One that
// a Replace turns into a learner may be the only one that can be elected until that is committed.
func (l *entryLog) mayElect(id string) bool {
	for _, r := range slices.Backward(l.memberships) {
		if r.members.isElector(id) {
			return true
		}
		if r.index <= l.commit {
			return false
		}
	}
	return false
}

// trimMemberships drops the memberships that were replaced at or before index.
func (l *entryLog) trimMemberships(index uint64) {
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
}

// upToDate reports whether a log whose last entry has the given index and term is at
// least as up-to-date as l.
func (l *entryLog) upToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || term == last && index >= l.last()
}

// matchHint returns the index and term of the last entry up to index whose term is at
// most term: the last entry at which the logs of a leader and a follower may match.
func (l *entryLog) matchHint(index, term uint64) (uint64, uint64) {
	for index = min(index, l.last()); index > l.base; index-- {
		if t, ok := l.term(index); ok && t <= term {
			return index, t
		}
	}
	return l.base, l.baseTerm
}
