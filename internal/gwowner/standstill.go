package gwowner

import (
	"sync"
	"time"
)

const (
	// standstillMargin is how late a timer may fire before the process counts as having stood
	// still. Timers of a busy process are a few milliseconds late.
	standstillMargin = 100 * time.Millisecond
	// maxExcusedSilence bounds the silence of a primary, without the time in which this process
	// stood still, that is put down to pauses of this process.
	maxExcusedSilence = time.Second
)

// standstill detects from the times of superviseAll, which are at most superviseInterval
// apart, that this process stood still, as one that gets no processor time does. The answers
// of all servers are then late. A primary was replaced, and the outcome of its writes was
// unknown, after its owner had stood still for 0.5 s.
type standstill struct {
	mu     sync.Mutex
	lastAt time.Time
	ended  time.Time
	awake  time.Duration
}

// record notes that the process runs.
func (s *standstill) record(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastAt.IsZero() {
		since := now.Sub(s.lastAt)
		if since > superviseInterval+standstillMargin {
			s.ended = now
		}
		s.awake += min(since, superviseInterval)
	}
	s.lastAt = now
}

// state returns when the last standstill ended, zero if there was none, and how long the
// process has run without the standstills.
func (s *standstill) state() (ended time.Time, awake time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended, s.awake
}

// silence returns for how long a primary that was last heard from at the given time has been
// silent. The time up to the end of a standstill of this process does not count. s.mu is held.
func (s *server) silence(heard, now time.Time) time.Duration {
	ended, awake := s.owner.standstill.state()
	if heard.After(s.heardAt) {
		s.heardAt, s.heardAwake = heard, awake
	}
	if awake-s.heardAwake < maxExcusedSilence {
		heard = laterOf(heard, ended)
	}
	return now.Sub(heard)
}
