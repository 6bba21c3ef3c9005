package gwoutcome

import "time"

// Request is what the decisions need to know about a request.
type Request struct {
	// Read means that the statement changes nothing and may be repeated.
	Read bool
	// Repeatable means that the caller's class allows reads to be sent again.
	Repeatable bool
	// Keyed means that the request carries a key, so that sending it again
	// cannot make it run twice.
	Keyed bool
	// Relayed means that part of an answer has reached the caller.
	Relayed bool
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// Attempts counts the attempts made so far.
	Attempts int
}

// Retry says whether and where a request is attempted again.
type Retry int

// Ways of retrying.
const (
	// Stop means that the outcome is reported to the caller.
	Stop Retry = iota
	// Elsewhere means that another server of the group may serve it.
	Elsewhere
	// Refresh means that the group's current primary is looked up and waited for.
	Refresh
)

// MaxAttempts bounds the attempts at one request.
const MaxAttempts = 8

// ShouldRetry decides whether a request whose last attempt ended with e is
// attempted again. The caller of this function also consults a retry budget.
func ShouldRetry(e Event, r Request) Retry {
	d := decisions[e]
	if r.Relayed || r.Remaining <= 0 || r.Attempts >= MaxAttempts || d.ran == ranYes {
		return Stop
	}
	if d.ran == ranMaybe {
		if r.Keyed {
			return Refresh
		}
		if !r.Read || !r.Repeatable {
			return Stop
		}
	}
	switch {
	case r.Read && d.elsewhere:
		return Elsewhere
	case !r.Read && d.refresh:
		return Refresh
	default:
		return Stop
	}
}

// CountsAsFailure decides whether e counts against the backend server's health.
func CountsAsFailure(e Event) bool { return decisions[e].failure }

// IsLoad reports whether e is a refusal by a server that works, because it is full
// or late; asking it again at once does not help.
func IsBusyOrLagging(e Event) bool { return e == QueueFull || e == TooStale }

// Health counts recent failures of one backend server and decides on ejection.
//
// It is not safe for concurrent use.
type Health struct {
	consecutive  int
	ejectedUntil time.Time
	ejections    int
}

// Parameters of ejection.
const (
	// FailuresToEject is the number of consecutive failures after which a server is ejected.
	FailuresToEject = 5
	baseEjection    = 500 * time.Millisecond
	maxEjection     = 10 * time.Second
)

// Observe records how an attempt ended and reports whether the server was ejected by it.
func (h *Health) Observe(e Event, now time.Time) bool {
	if e == Answered {
		*h = Health{}
		return false
	}
	if !CountsAsFailure(e) {
		return false
	}
	h.consecutive++
	if !decisions[e].eject && h.consecutive < FailuresToEject {
		return false
	}
	h.ejectedUntil = now.Add(min(baseEjection<<min(h.ejections, 5), maxEjection))
	h.ejections++
	return true
}

// Ejected reports whether the server is out of routing at now.
func (h *Health) Ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// Budget bounds retries to a share of requests, so that retries cannot
// multiply the load of servers that are failing. It is not safe for concurrent use.
type Budget struct {
	ratio, limit, tokens float64
}

// NewBudget returns a budget that allows ratio retries per request on average
// and burst retries at once.
func NewBudget(ratio float64, burst int) *Budget {
	return &Budget{ratio: ratio, limit: float64(burst), tokens: float64(burst)}
}

// Request records a first attempt.
func (b *Budget) RecordRequest() { b.tokens = min(b.limit, b.tokens+b.ratio) }

// Full reports whether Request would change nothing.
func (b *Budget) Full() bool { return b.tokens >= b.limit }

// Take reports whether a retry is within the budget, and takes it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
