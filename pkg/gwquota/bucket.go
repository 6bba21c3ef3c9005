package gwquota

import "time"

const (
	// ReturnLimit is the greatest age of an admission that can be returned.
	ReturnLimit  = 2 * time.Second
	peakInterval = 100 * time.Millisecond
	// peakCount covers ReturnLimit, and the partial intervals at both ends.
	peakCount = int(ReturnLimit/peakInterval) + 2
	// maxWait bounds the time that a refused caller is told to wait, and maxSpread how much of it
	// is for those that were refused before. Not all of them return.
	maxWait   = 10 * time.Second
	maxSpread = time.Second
)

// bucket is a token bucket whose rate and capacity may change.
type bucket struct {
	rate, capacity, tokens float64
	at                     time.Time
	// promised is the latest time that a refused caller was told to return at.
	promised time.Time
	// peaks holds upper bounds of the tokens in past intervals, that of interval last at
	// last%peakCount; returnableAfter is when the capacity last changed.
	peaks           [peakCount]float64
	last            int64
	returnableAfter time.Time
}

func interval(t time.Time) int64 { return t.UnixNano() / int64(peakInterval) }

// advance adds the tokens of the time since the last call. Time that goes back adds none.
func (b *bucket) advance(now time.Time) {
	if !now.After(b.at) {
		return
	}
	if !b.at.IsZero() {
		b.tokens = min(b.capacity, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	b.notePeak(now)
}

// notePeak records the tokens as the peak of the current interval and of those that passed
// without a call, in which there were at most as many.
func (b *bucket) notePeak(now time.Time) {
	current := interval(now)
	if current == b.last {
		b.peaks[current%int64(peakCount)] = max(b.peaks[current%int64(peakCount)], b.tokens)
		return
	}
	for i := max(b.last+1, current-int64(peakCount)+1); i <= current; i++ {
		b.peaks[i%int64(peakCount)] = b.tokens
	}
	b.last = current
}

// take removes one token, or returns the time until there may be one for this caller. Callers
// that were refused before are expected first.
func (b *bucket) take(now time.Time) (wait time.Duration, ok bool) {
	b.advance(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if b.rate <= 0 || b.capacity < 1 {
		return maxWait, false
	}
	one := time.Duration(float64(time.Second) / b.rate)
	next := now.Add(time.Duration((1 - b.tokens) / b.rate * float64(time.Second)))
	if after := b.promised.Add(one); after.After(next) && after.Sub(next) <= maxSpread {
		next = after
	}
	b.promised = next
	return min(next.Sub(now), maxWait), false
}

// giveBack adds the token of an admission of the given age, or of a later one. It does nothing
// if the bucket would have been full without the admission at some time since: then the later
// admissions could have used tokens that would not have existed.
func (b *bucket) giveBack(now time.Time, age time.Duration) bool {
	b.advance(now)
	admitted := now.Add(-age)
	if admitted.Before(b.returnableAfter) || b.tokens+1 > b.capacity || interval(now)-interval(admitted) >= int64(peakCount) {
		return false
	}
	for i := interval(admitted); i <= b.last; i++ {
		if b.peaks[i%int64(peakCount)]+1 > b.capacity {
			return false
		}
	}
	for i := interval(admitted); i <= b.last; i++ {
		b.peaks[i%int64(peakCount)]++
	}
	b.tokens++
	return true
}

// set changes the rate and the capacity and adds tokens. A larger capacity brings none.
func (b *bucket) set(now time.Time, rate, capacity, tokens float64) {
	b.advance(now)
	if b.at.IsZero() {
		b.at = now
	}
	if capacity != b.capacity || tokens != 0 {
		b.returnableAfter = b.at
	}
	b.rate, b.capacity = rate, capacity
	b.tokens = min(capacity, b.tokens+tokens)
	b.notePeak(b.at)
}
