package gwsession

import "time"

// maxQuestions bounds the questions whose position a replica has not reached.
const maxPending = 64

type timedPosition struct {
	at       time.Time
	position Position
}

// Freshness tracks how stale a replica may be without comparing clocks of
// different instances.
//
// A replica that has reached the position that the primary's owner answered is
// fresh as of the time at which the question was sent, on the clock of the
// instance that asked.
type Freshness struct {
	pending []timedPosition
	asOf    time.Time
}

// Answered records that a question sent at the given time was answered with p.
func (f *Freshness) RecordPrimary(sent time.Time, p Position) {
	if len(f.pending) == maxPending {
		// The oldest question is kept: it is the first that the replica will reach.
		f.pending = append(f.pending[:1], f.pending[2:]...)
	}
	f.pending = append(f.pending, timedPosition{at: sent, position: p})
}

// Reached records that the replica is at p.
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

// Reset forgets what is known, as after a change of the group's term.
func (f *Freshness) Reset() { *f = Freshness{} }

// Staleness returns an upper bound of the replica's staleness, and false when
// nothing is known.
func (f *Freshness) Staleness(now time.Time) (time.Duration, bool) {
	if f.asOf.IsZero() {
		return 0, false
	}
	return now.Sub(f.asOf), true
}
