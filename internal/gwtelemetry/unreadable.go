package gwtelemetry

import (
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Senders of messages that cannot be read, as the label "from".
const (
	FromCaller   = "caller"
	FromServer   = "server"
	FromInstance = "instance"
)

// A caller that sends nothing but malformed messages must not displace the other lines of
// the log.
const (
	unreadableLinesPerSecond = 2
	unreadableLineBurst      = 20
)

// Unreadable counts the messages that an instance cannot read and logs some of them. A nil
// Unreadable does nothing. It is safe for concurrent use.
type Unreadable struct {
	log     *slog.Logger
	count   func(from, reason string)
	limiter *rate.Limiter
	skipped atomic.Int64
}

// NewUnreadable returns an Unreadable that calls count for each message.
func NewUnreadable(log *slog.Logger, count func(from, reason string)) *Unreadable {
	return &Unreadable{log: log, count: count, limiter: rate.NewLimiter(unreadableLinesPerSecond, unreadableLineBurst)}
}

// Record records a message from a peer. reason is one of few constants, bytes the length of
// the message as far as it was read, and cause quotes what it repeats of the message.
func (u *Unreadable) Record(from, peer, reason string, bytes int, cause error) {
	if u == nil {
		return
	}
	u.count(from, reason)
	if !u.limiter.Allow() {
		u.skipped.Add(1)
		return
	}
	u.log.Warn("message not read", "from", from, "peer", peer, "reason", reason, "bytes", bytes, "error", cause.Error(), "skipped", u.skipped.Swap(0))
}

// UnreadableMessage counts a message that could not be read.
func (m *Metrics) UnreadableMessage(from, reason string) {
	m.Counter("gentianward_unreadable_messages_total", Label{Name: "from", Value: from}, Label{Name: "reason", Value: reason}).Inc()
}
