package gwoutcome

import "time"

// Request holds the properties of a request on which ShouldRetry depends.
type Request struct {
	// Read means that the statement changes nothing and may be repeated.
	Read bool
	// Repeatable means that the caller's class allows reads to be sent again.
	Repeatable bool
	// Keyed means that the request carries a key, so that sending it again
	// cannot make it run twice.
	Keyed bool
	// Relayed means that part of an answer has been passed on to the caller.
	Relayed bool
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// Attempts counts the attempts made so far.
	Attempts int
}

// Retry is the decision whether and where a request is attempted again.
type Retry int

// Retry decisions.
const (
	// Stop means that the request is not retried and its outcome goes to the caller.
	Stop Retry = iota
	// Elsewhere means that the request may be sent to another server of the group.
	Elsewhere
	// Refresh means that the request waits for the group's current primary, which is
	// looked up again.
	Refresh
)

// MaxAttempts is the greatest number of attempts at one request.
const MaxAttempts = 8

// maxAttemptsOnce is the greatest number of attempts after an event that allows one retry.
const maxAttemptsOnce = 2

// ShouldRetry decides whether a request whose last attempt ended with e is attempted
// again. Callers must also respect a Budget.
func ShouldRetry(e Event, r Request) Retry {
	d := decisions[e]
	if r.Relayed || r.Remaining <= 0 || r.Attempts >= MaxAttempts || d.ran == ranYes {
		return Stop
	}
	if d.once && r.Attempts > maxAttemptsOnce {
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

// CountsAsFailure reports whether e counts as a failure of the backend server.
func CountsAsFailure(e Event) bool { return decisions[e].failure }

// CountsAsAttempt reports whether an attempt that ends with e counts towards the bounds of
// retries. A refusal does not: it costs little.
func CountsAsAttempt(e Event) bool { return decisions[e].failure || decisions[e].once }

// IsBusyOrLagging reports whether e is a refusal by a healthy server whose queue is full
// or that lags too far behind; an immediate retry at that server does not help.
func IsBusyOrLagging(e Event) bool { return e == QueueFull || e == TooStale }

// Health counts consecutive failures of one backend server and decides on its ejection.
//
// It is not safe for concurrent use.
type Health struct {
	consecutive  int
	ejectedUntil time.Time
	ejections    int
}

// Parameters of ejection; its duration doubles from baseEjection to maxEjection.
const (
	// FailuresToEject is the number of consecutive failures after which a server is ejected.
	FailuresToEject = 5
	baseEjection    = 500 * time.Millisecond
	maxEjection     = 10 * time.Second
)

// Observe records how an attempt ended and reports whether it ejects the server.
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

// Ejected reports whether the server is excluded from routing at now.
func (h *Health) Ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// Budget is a token bucket that bounds retries to a share of the requests, so that retries
// cannot multiply the load on failing servers. It is not safe for concurrent use.
type Budget struct {
	ratio, limit, tokens float64
}

// NewBudget returns a full budget that allows ratio retries per request on average and
// burst retries at once.
func NewBudget(ratio float64, burst int) *Budget {
	return &Budget{ratio: ratio, limit: float64(burst), tokens: float64(burst)}
}

// RecordRequest records the first attempt at a request, which adds to the budget.
func (b *Budget) RecordRequest() { b.tokens = min(b.limit, b.tokens+b.ratio) }

// Full reports whether the budget is at its limit, so that RecordRequest has no effect.
func (b *Budget) Full() bool { return b.tokens >= b.limit }

// Take uses up one retry and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
