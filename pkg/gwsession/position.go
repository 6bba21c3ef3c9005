package gwsession

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Position is a position in the replication log of a group.
//
// The term increases with every change of primary. Offsets of different terms are
// comparable only up to the offset at which the later term began.
type Position struct {
	Term   uint64 `json:"term" cbor:"1,keyasint"`
	Offset uint64 `json:"offset" cbor:"2,keyasint"`
}

// Compare returns -1, 0 or +1, ordering by term and then by offset.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// AtLeast reports whether p is at or past q.
func (p Position) AtLeast(q Position) bool { return p.Compare(q) >= 0 }

// IsZero reports whether p is the zero position, the start of the log.
func (p Position) IsZero() bool { return p == Position{} }

// String formats p as "term/offset".
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// ParsePosition parses the format that String returns.
func ParsePosition(s string) (Position, error) {
	term, offset, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, fmt.Errorf("position %q is not of the form term/offset", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: term: %w", s, err)
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: offset: %w", s, err)
	}
	return Position{Term: t, Offset: o}, nil
}
