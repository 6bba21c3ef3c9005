package gwstandin

import (
	"slices"
	"sync"
	"sync/atomic"

	"gentianward.example/gentianward/pkg/gwsession"
)

// statement is a statement of a write transaction with its arguments.
type statement struct {
	SQL  string `cbor:"1,keyasint"`
	Args []any  `cbor:"2,keyasint,omitempty"`
}

// entry is a committed write transaction.
type entry struct {
	Statements []statement `cbor:"1,keyasint"`
}

// termStart is the start of a term: entries after Offset belong to Term, up to the
// next start.
type termStart struct {
	Term   uint64 `cbor:"1,keyasint" json:"term"`
	Offset uint64 `cbor:"2,keyasint" json:"offset"`
}

// repLog is the replication log of one server. The entry with index i has offset
// i+1. Readers load the current view without a lock.
type repLog struct {
	mu      sync.Mutex // serializes changes
	current atomic.Pointer[view]
}

// view is an immutable snapshot of the log.
type view struct {
	entries []*entry
	terms   []termStart
	changed chan struct{} // closed at the next change of the log
}

func newRepLog() *repLog {
	l := &repLog{}
	l.current.Store(&view{changed: make(chan struct{})})
	return l
}

func (l *repLog) view() *view { return l.current.Load() }

// setView replaces the current view. The caller holds mu.
func (l *repLog) setView(entries []*entry, terms []termStart) *view {
	v := &view{entries: entries, terms: terms, changed: make(chan struct{})}
	close(l.current.Swap(v).changed)
	return v
}

func (v *view) position() gwsession.Position {
	return gwsession.Position{Term: v.term(), Offset: uint64(len(v.entries))}
}

func (v *view) term() uint64 {
	if len(v.terms) == 0 {
		return 0
	}
	return v.terms[len(v.terms)-1].Term
}

// termStartOffset returns the offset at which the current term began.
func (v *view) termStartOffset() uint64 {
	if len(v.terms) == 0 {
		return 0
	}
	return v.terms[len(v.terms)-1].Offset
}

func (l *repLog) position() gwsession.Position { return l.view().position() }

// append adds a committed transaction and returns the new position.
func (l *repLog) append(e *entry) gwsession.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.view()
	return l.setView(append(v.entries, e), v.terms).position()
}

// startTerm begins a term at the end of the log.
func (l *repLog) startTerm(term uint64) gwsession.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.view()
	start := termStart{Term: term, Offset: uint64(len(v.entries))}
	return l.setView(v.entries, append(slices.Clip(v.terms), start)).position()
}

// appendReceived adds entries that follow offset from, and those of the primary's
// terms that the log has reached. It returns false, without a change, unless the log
// ends at offset from.
func (l *repLog) appendReceived(from uint64, entries []*entry, terms []termStart) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.view()
	if from != uint64(len(v.entries)) {
		return false
	}
	all := append(v.entries, entries...)
	l.setView(all, termsUpTo(terms, uint64(len(all))))
	return true
}

// truncate drops the entries after offset, adopts the primary's terms and returns
// the number of dropped entries. Older views keep the dropped entries.
func (l *repLog) truncate(offset uint64, terms []termStart) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.view()
	l.setView(v.entries[:offset:offset], termsUpTo(terms, offset))
	return uint64(len(v.entries)) - offset
}

// termsUpTo returns the terms that began at or before offset.
func termsUpTo(terms []termStart, offset uint64) []termStart {
	n := 0
	for n < len(terms) && terms[n].Offset <= offset {
		n++
	}
	return append([]termStart{}, terms[:n]...)
}

// commonPrefixLength returns the number of leading entries that two logs of the
// same group share. Each term has one primary, so entries with the same term and
// offset are equal.
func commonPrefixLength(a []termStart, lenA uint64, b []termStart, lenB uint64) uint64 {
	end := min(lenA, lenB)
	offset := uint64(0)
	for offset < end {
		termA, endA := termSegment(a, offset, end)
		termB, endB := termSegment(b, offset, end)
		if termA != termB {
			break
		}
		offset = min(endA, endB)
	}
	return offset
}

// termSegment returns the term of the entry after offset and the offset, at most
// end, at which that term ends.
func termSegment(terms []termStart, offset, end uint64) (term, termEnd uint64) {
	for _, t := range terms {
		if t.Offset > offset {
			return term, min(t.Offset, end)
		}
		term = t.Term
	}
	return term, end
}
