package gwsession

import "maps"

// Watermark holds, for each group, the position that a server must have reached before a
// session may read from it. It is immutable; the zero value requires nothing.
type Watermark struct {
	positions map[string]Position
}

// Position returns the required position of group, and false if there is none.
func (w Watermark) Position(group string) (Position, bool) {
	p, ok := w.positions[group]
	return p, ok
}

// Len returns the number of groups with a required position.
func (w Watermark) Len() int { return len(w.positions) }

// With returns a watermark that also requires p of group. It returns w itself if w already
// requires p or a later position.
func (w Watermark) With(group string, p Position) Watermark {
	if old, ok := w.positions[group]; ok && old.AtLeast(p) {
		return w
	}
	next := make(map[string]Position, len(w.positions)+1)
	maps.Copy(next, w.positions)
	next[group] = p
	return Watermark{positions: next}
}

// Merge returns a watermark with the later of the positions of w and v for each group.
func (w Watermark) Merge(v Watermark) Watermark {
	for group, p := range v.positions {
		w = w.With(group, p)
	}
	return w
}

// Session is the consistency state of one caller connection. It is immutable.
type Session struct {
	watermark Watermark
	barriers  map[string]bool
}

// Watermark returns the positions that reads of this session require.
func (s Session) Watermark() Watermark { return s.watermark }

// WithWrite returns the session after an acknowledged write to group at p.
func (s Session) WithWrite(group string, p Position) Session {
	s.watermark = s.watermark.With(group, p)
	return s
}

// WithToken returns the session after the caller has presented a verified token.
//
// A token contains every group that the session has written to, so that no group needs a
// barrier any more.
func (s Session) WithToken(w Watermark) Session {
	s.watermark = s.watermark.Merge(w)
	s.barriers = map[string]bool{allGroups: true}
	return s
}

// WithBarrier returns the session after the primary's owner has answered a barrier of group
// with p.
func (s Session) WithBarrier(group string, p Position) Session {
	s.watermark = s.watermark.With(group, p)
	next := maps.Clone(s.barriers)
	if next == nil {
		next = make(map[string]bool, 1)
	}
	next[group] = true
	s.barriers = next
	return s
}

// allGroups is the key of Session.barriers that stands for all groups, set by a token.
const allGroups = ""

// NeedsBarrier reports whether a read of group must first ask the primary's owner for its
// position, because the session may not know writes of its caller through other instances.
func (s Session) NeedsBarrier(group string) bool {
	return !s.barriers[group] && !s.barriers[allGroups]
}
