package gwpeer

import (
	"sync"
	"time"
)

// LivenessAction is what a connection has to do after LivenessMonitor.Check.
type LivenessAction int

// Actions of a connection.
const (
	// LivenessNoAction means that nothing is to be done.
	LivenessNoAction LivenessAction = iota
	// LivenessPing means that a ping is to be sent.
	LivenessPing
	// LivenessLost means that the connection is to be closed, as a ping was not answered.
	LivenessLost
)

const (
	// responseTimeout is how long the peer may take to send anything after data was
	// sent to it, before it is pinged. It exceeds the longest round trip and the pauses
	// of a machine whose processor quota is used up.
	responseTimeout = 500 * time.Millisecond
	// pingTimeout is how long the answer to a ping may take. An instance is declared
	// dead 1.3 s after its last answer at the earliest; by then, a connection that
	// alone stopped working has been replaced.
	pingTimeout = 700 * time.Millisecond
)

// LivenessMonitor detects a connection that stopped delivering data without a reset,
// while new connections between the same machines work. That can happen to all open
// connections of several machines at once.
//
// A peer that does not answer data within responseTimeout is pinged. A connection
// without traffic is pinged rarely.
type LivenessMonitor struct {
	mu sync.Mutex
	// idlePingAfter is the time without received data after which the peer is pinged
	// even if nothing was sent.
	idlePingAfter   time.Duration
	lastReceived    time.Time
	unansweredSince time.Time // first send since data was last received; zero if none
	pingSentAt      time.Time // zero if no ping is outstanding
	roundTrip       time.Duration
}

// NewLivenessMonitor returns the monitor of a new connection. A peer that has sent
// nothing for the time idle is pinged.
func NewLivenessMonitor(idle time.Duration, now time.Time) *LivenessMonitor {
	return &LivenessMonitor{idlePingAfter: idle, lastReceived: now}
}

// RecordSent records that data was sent. It reports whether it is the first since data
// was last received, in which case the next Check can be due earlier.
func (m *LivenessMonitor) RecordSent(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.unansweredSince.IsZero()
	if first {
		m.unansweredSince = now
	}
	return first
}

// NextCheck returns the time until the next Check is due, if nothing is sent or
// received before.
func (m *LivenessMonitor) NextCheck(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.pingSentAt.IsZero():
		return m.pingSentAt.Add(pingTimeout).Sub(now)
	case !m.unansweredSince.IsZero():
		return min(m.unansweredSince.Add(responseTimeout).Sub(now), m.lastReceived.Add(m.idlePingAfter).Sub(now))
	default:
		return m.lastReceived.Add(m.idlePingAfter).Sub(now)
	}
}

// RecordReceived records that data was received; pong is true for the answer to a ping.
func (m *LivenessMonitor) RecordReceived(now time.Time, pong bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if pong && !m.pingSentAt.IsZero() {
		m.roundTrip = now.Sub(m.pingSentAt)
	}
	m.lastReceived, m.unansweredSince, m.pingSentAt = now, time.Time{}, time.Time{}
}

// RoundTrip returns the round-trip time of the last ping, 0 before the first.
func (m *LivenessMonitor) RoundTrip() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roundTrip
}

// Check returns what to do now. After LivenessPing, the ping counts as sent.
func (m *LivenessMonitor) Check(now time.Time) LivenessAction {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.pingSentAt.IsZero():
		if now.Sub(m.pingSentAt) >= pingTimeout {
			return LivenessLost
		}
		return LivenessNoAction
	case !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) >= responseTimeout, now.Sub(m.lastReceived) >= m.idlePingAfter:
		m.pingSentAt = now
		return LivenessPing
	}
	return LivenessNoAction
}
