package gwstandin

import (
	"sync"

	"gentianward.example/gentianward/pkg/gwsession"
)

// statement is a write statement as it was executed.
type statement struct {
	SQL  string `cbor:"1,keyasint"`
	Args []any  `cbor:"2,keyasint,omitempty"`
}

// entry is a committed write transaction.
type entry struct {
	Statements []statement `cbor:"1,keyasint"`
}

// termStart says that entries after Offset belong to Term, up to the next start.
type termStart struct {
	Term   uint64 `cbor:"1,keyasint" json:"term"`
	Offset uint64 `cbor:"2,keyasint" json:"offset"`
}

// repLog is the replication log of one server. Entry i has offset i+1. A
// slice of entries that was handed out is never overwritten.
type repLog struct {
	mu      sync.RWMutex
	entries []*entry
	terms   []termStart
	changed chan struct{}
}

func newRepLog() *repLog { return &repLog{changed: make(chan struct{})} }

// view is the state of the log at one moment.
type view struct {
	entries []*entry
	terms   []termStart
	changed <-chan struct{} // closed at the next change
}

func (l *repLog) view() view {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return view{entries: l.entries, terms: l.terms, changed: l.changed}
}

func (v view) position() gwsession.Position {
	return gwsession.Position{Term: v.term(), Offset: uint64(len(v.entries))}
}

func (v view) term() uint64 {
	if len(v.terms) == 0 {
		return 0
	}
	return v.terms[len(v.terms)-1].Term
}

// termBegan returns the offset at which the current term began.
func (v view) termBegan() uint64 {
	if len(v.terms) == 0 {
		return 0
	}
	return v.terms[len(v.terms)-1].Offset
}

func (l *repLog) position() gwsession.Position { return l.view().position() }

func (l *repLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// append adds committed transactions and returns the new position.
func (l *repLog) append(entries ...*entry) gwsession.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, entries...)
	l.notify()
	return gwsession.Position{Term: l.terms[len(l.terms)-1].Term, Offset: uint64(len(l.entries))}
}

// startTerm begins a term at the end of the log.
func (l *repLog) startTerm(term uint64) gwsession.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := uint64(len(l.entries))
	l.terms = append(l.terms[:len(l.terms):len(l.terms)], termStart{Term: term, Offset: offset})
	l.notify()
	return gwsession.Position{Term: term, Offset: offset}
}

// receive adds entries that follow offset from, and the terms of the primary
// that the log has reached. It returns false if entries are missing between.
func (l *repLog) receive(from uint64, entries []*entry, terms []termStart) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from != uint64(len(l.entries)) {
		return false
	}
	l.entries = append(l.entries, entries...)
	l.terms = reached(terms, uint64(len(l.entries)))
	l.notify()
	return true
}

// truncate drops the entries after offset, takes over the primary's terms and
// returns the number of dropped entries.
func (l *repLog) truncate(offset uint64, terms []termStart) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := uint64(len(l.entries)) - offset
	l.entries = l.entries[:offset:offset]
	l.terms = reached(terms, offset)
	l.notify()
	return dropped
}

// reached returns the terms that began at or before offset.
func reached(terms []termStart, offset uint64) []termStart {
	n := 0
	for n < len(terms) && terms[n].Offset <= offset {
		n++
	}
	return append([]termStart{}, terms[:n]...)
}

// commonPrefix returns the last offset up to which two logs of the same group
// are equal. Each term has one primary, so entries with equal term and offset
// are equal.
func commonPrefix(a []termStart, lenA uint64, b []termStart, lenB uint64) uint64 {
	end := min(lenA, lenB)
	offset := uint64(0)
	for offset < end {
		termA, endA := segment(a, offset, end)
		termB, endB := segment(b, offset, end)
		if termA != termB {
			break
		}
		offset = min(endA, endB)
	}
	return offset
}

// segment returns the term of the entry after offset and where its term ends.
func segment(terms []termStart, offset, end uint64) (term, termEnd uint64) {
	for _, t := range terms {
		if t.Offset > offset {
			return term, min(t.Offset, end)
		}
		term = t.Term
	}
	return term, end
}
