package gwlimit

import "time"

const (
	// refusalMemory is how long a refusal counts: refused callers come back after about
	// 250 ms.
	refusalMemory = 2 * time.Second
	// maxRefusals bounds the operations whose refusals are remembered. It exceeds those of
	// refusalMemory, sweepInterval and the tries in between at a server with two slots that gets ten
	// times what it can serve: 1,800 refused operations a second for 3.3 s.
	maxRefusals = 8192
	// sweepInterval is the least time between two searches for refusals that no longer count.
	sweepInterval = 500 * time.Millisecond
	// lastTryRefusals is the number of refusals after which a caller has one try left.
	lastTryRefusals = 2
	// crowdTime is how long a load counts as a crowd at its start, until the rate of new
	// operations shows whether it is one.
	crowdTime = time.Second
	// aimMargin is the part of the aim in which an answer is expected, as estimates of waits
	// are off by some hundredths.
	aimMargin = 0.9
)

// refusal counts how often an operation was refused.
type refusal struct {
	count       int
	first, last time.Time
}

// refusals remembers the operations that were refused lately, by their keys.
type refusals struct {
	byKey map[uint64]refusal
	swept time.Time
}

// of returns the earlier refusals of an operation, zero if there are none. More than a
// caller has tries come from several operations with the same key, so that the count
// begins again.
func (r *refusals) of(key uint64, now time.Time) refusal {
	f := r.byKey[key]
	if f.count > lastTryRefusals || now.Sub(f.last) > refusalMemory {
		return refusal{}
	}
	return f
}

// add counts a refusal of an operation.
func (r *refusals) add(key uint64, now time.Time) {
	if key == 0 {
		return
	}
	if now.Sub(r.swept) > sweepInterval {
		r.sweep(now)
	}
	f := r.of(key, now)
	if f.count == 0 {
		f.first = now
	}
	f.count, f.last = f.count+1, now
	if _, ok := r.byKey[key]; ok || len(r.byKey) < maxRefusals {
		r.byKey[key] = f
	}
}

// sweep drops the refusals that no longer count.
func (r *refusals) sweep(now time.Time) {
	r.swept = now
	for key, f := range r.byKey {
		if now.Sub(f.last) > refusalMemory {
			delete(r.byKey, key)
		}
	}
}

// forget drops the refusals of an operation that was admitted.
func (r *refusals) forget(key uint64) { delete(r.byKey, key) }

// acceptsWait reports whether a request accepts the expected wait.
//
// Load pattern: all callers come back at once after an outage. Those that were refused
// twice would be lost for good, while the server is idle a moment later: they wait up to
// the whole aim, of which MaxWait is a part.
//
// Load pattern: an overload lasts. Waits beyond MaxWait make all later answers late, and so
// does a slot for a caller that was refused so long ago that it misses its aim anyway.
func (q *FairQueue) acceptsWait(it *Item, wait time.Duration, now time.Time) bool {
	s := q.class(it.Class)
	before := q.refusals.of(it.Key, now)
	if before.count == 0 {
		s.arrivals.add(1, now)
	}
	if it.MaxWait <= 0 {
		return true
	}
	loadedSince := q.loadedSince(it, s)
	if wait <= it.MaxWait/2 {
		*loadedSince = time.Time{}
		return true
	}
	if loadedSince.IsZero() {
		*loadedSince = now
	}
	aim := queueWaitDivisor * it.MaxWait
	crowd := q.isCrowd(s, *loadedSince, now)
	switch {
	case crowd && before.count >= lastTryRefusals:
		return wait <= aim
	case !crowd && before.count > 0:
		inAim := time.Duration(aimMargin * float64(aim))
		return wait <= it.MaxWait && now.Sub(before.first)+wait+q.expectedService(s) <= inAim
	default:
		return wait <= it.MaxWait
	}
}

// isCrowd reports whether the load of a class is expected to end by itself: it has just
// begun, unless the server has become slow, or new operations arrive more slowly than the server
// serves them.
func (q *FairQueue) isCrowd(s *classState, loadedSince, now time.Time) bool {
	served := float64(q.slots) / q.expectedService(s).Seconds()
	return now.Sub(loadedSince) < crowdTime && !s.slowed || s.arrivals.perSecond(now) < served
}
