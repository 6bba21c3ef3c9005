package gwsession

import "time"

// maxPending bounds the primary positions that a replica has not reached yet.
const maxPending = 64

// timedPosition is a position of the primary and the time at which it was asked for or
// recorded.
type timedPosition struct {
	at       time.Time
	position Position
}

// Freshness bounds the staleness of a replica without comparing the clocks of different
// instances.
//
// The instance asks the primary's owner for the primary's position. A replica that has
// reached the answered position is fresh as of the time at which the request was sent, on
// the clock of the instance that sent it.
type Freshness struct {
	pending []timedPosition
	asOf    time.Time
}

// RecordPrimary records that a request sent at the given time was answered with p.
func (f *Freshness) RecordPrimary(sent time.Time, p Position) {
	if len(f.pending) == maxPending {
		// The oldest position is kept: it is the first that the replica will reach.
		f.pending = append(f.pending[:1], f.pending[2:]...)
	}
	f.pending = append(f.pending, timedPosition{at: sent, position: p})
}

// RecordReplica records that the replica has reached p.
func (f *Freshness) RecordReplica(p Position) {
	n := 0
	for _, q := range f.pending {
		if !p.AtLeast(q.position) {
			break
		}
		if q.at.After(f.asOf) {
			f.asOf = q.at
		}
		n++
	}
	f.pending = append(f.pending[:0], f.pending[n:]...)
}

// Reset discards all state, as is needed after a change of the group's term.
func (f *Freshness) Reset() { *f = Freshness{} }

// Staleness returns an upper bound of the replica's staleness, and false if none is known.
func (f *Freshness) Staleness(now time.Time) (time.Duration, bool) {
	if f.asOf.IsZero() {
		return 0, false
	}
	return now.Sub(f.asOf), true
}
