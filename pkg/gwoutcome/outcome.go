package gwoutcome

import (
	"gentianward.example/gentianward/pkg/gwsession"
)

// Outcome is how a request ended: NotRun, Done or Unknown.
type Outcome interface{ outcome() }

// NotRun means that the request certainly did not run.
type NotRun struct{ Reason string }

// Done means that the request ran and is durable as its class requires.
type Done struct{ Position gwsession.Position }

// Unknown means that the request may have run.
type Unknown struct{ Reason string }

func (NotRun) outcome()  {}
func (Done) outcome()    {}
func (Unknown) outcome() {}

// SQLSTATEs that are reported to callers.
const (
	// SQLStateNotRun reports a request that did not run and may be sent again.
	SQLStateNotRun = "57P03"
	// SQLStateConnectionUnknown reports a request whose answer was lost.
	SQLStateConnectionUnknown = "08007"
	// SQLStateCompletionUnknown reports a write that ran but was not confirmed.
	SQLStateCompletionUnknown = "40003"
)

// Event is how one attempt at a backend server ended.
type Event int

// Ways in which an attempt ends.
const (
	// Answered means that the server answered completely, with or without an SQL error.
	Answered Event = iota + 1
	// DialFailed means that no connection could be opened.
	DialFailed
	// QueueFull means that the owner refused the request at admission.
	QueueFull
	// Expired means that the deadline passed before the request got a slot.
	Expired
	// PeerUnreachable means that the request never reached the owner.
	PeerUnreachable
	// NotOwner means that the instance asked does not own the server.
	NotOwner
	// TooStale means that the replica does not satisfy the required position or staleness.
	TooStale
	// ServerReadOnly means that the server refused a write because it is a replica.
	ServerReadOnly
	// ServerRefused means that the server refused the request before running it, as when
	// it has no connections left.
	ServerRefused
	// BrokenBeforeSend means that the connection to the server broke before any byte was sent.
	BrokenBeforeSend
	// BrokenAfterSend means that the connection to the server broke before its answer arrived.
	BrokenAfterSend
	// PeerBroken means that the link to the owner broke before the answer arrived.
	PeerBroken
	// TimedOut means that the answer did not arrive before the deadline.
	TimedOut
	// NoLease means that the write was refused because the owner holds no lease.
	NoLease
	// LeaseLost means that the write ran but the lease ended before the acknowledgment.
	LeaseLost
	// Unconfirmed means that the write ran but no replica confirmed it in time.
	Unconfirmed
	// AnswerLost means that the answer counts as lost because the server had answered
	// many later statements; only statements that commit nothing end this way.
	AnswerLost
	// FreshnessUnknown means that the owner does not know the primary's position yet, as
	// after a start, and so cannot decide whether a replica is fresh enough.
	FreshnessUnknown
	// NotEncodable means that the request could not be put into a message, or could not be
	// read from one by the owner, so that it was not sent to the server.
	NotEncodable
	// ReplyUnreadable means that the server's answer arrived and cannot be read, as when one
	// of its rows is too long.
	ReplyUnreadable
	// SessionNotSet means that the request was not sent because the answer to a statement that
	// prepares the server's session cannot be read, or the state of that session is not known.
	SessionNotSet
	// OverQuota means that the entry instance refused the request because its customer has
	// reached its limit.
	OverQuota
)

// Known reports whether e is one of the events of this release; a later one may have more.
func (e Event) Known() bool { return e > 0 && int(e) < len(decisions) }

// String returns the name of the event as used in logs and metrics.
func (e Event) String() string {
	if e.Known() {
		return decisions[e].name
	}
	return "unknown event"
}

// ran is whether the statement ran at the backend server. A write that ran but whose
// effect may be lost, as after LeaseLost, counts as ranMaybe.
type ran int

const (
	ranNo ran = iota + 1
	ranYes
	ranMaybe
)

// decision is one row of the table of events: what an event implies for the request, for
// the health of the server and for routing. The columns are independent of each other.
type decision struct {
	name string
	ran  ran
	// failure means that the event counts as a failure of the server.
	failure bool
	// eject means that a single such event ejects the server from routing.
	eject bool
	// elsewhere allows a retry at another server, refresh one at the group's current
	// primary or owner.
	elsewhere, refresh bool
	// once allows only one retry.
	once bool
}

// decisions is the table of events.
var decisions = [...]decision{
	Answered:         {name: "answered", ran: ranYes},
	DialFailed:       {name: "dialFailed", ran: ranNo, failure: true, eject: true, elsewhere: true, refresh: true},
	QueueFull:        {name: "queueFull", ran: ranNo, elsewhere: true},
	Expired:          {name: "expired", ran: ranNo},
	PeerUnreachable:  {name: "peerUnreachable", ran: ranNo, elsewhere: true, refresh: true},
	NotOwner:         {name: "notOwner", ran: ranNo, elsewhere: true, refresh: true},
	TooStale:         {name: "tooStale", ran: ranNo, elsewhere: true},
	ServerReadOnly:   {name: "serverReadOnly", ran: ranNo, refresh: true},
	ServerRefused:    {name: "serverRefused", ran: ranNo, failure: true, elsewhere: true, refresh: true},
	BrokenBeforeSend: {name: "brokenBeforeSend", ran: ranNo, failure: true, elsewhere: true, refresh: true},
	BrokenAfterSend:  {name: "brokenAfterSend", ran: ranMaybe, failure: true, elsewhere: true},
	PeerBroken:       {name: "peerBroken", ran: ranMaybe, elsewhere: true},
	TimedOut:         {name: "timedOut", ran: ranMaybe, failure: true},
	NoLease:          {name: "noLease", ran: ranNo, refresh: true},
	LeaseLost:        {name: "leaseLost", ran: ranMaybe},
	Unconfirmed:      {name: "unconfirmed", ran: ranMaybe},
	AnswerLost:       {name: "answerLost", ran: ranMaybe, failure: true, elsewhere: true},
	FreshnessUnknown: {name: "freshnessUnknown", ran: ranNo, elsewhere: true},
	// The cause is in the request, so that another server would not do better.
	NotEncodable: {name: "notEncodable", ran: ranNo},
	// The cause may be a value that every server has: it must not eject them in turn.
	ReplyUnreadable: {name: "replyUnreadable", ran: ranMaybe, elsewhere: true, once: true},
	SessionNotSet:   {name: "sessionNotSet", ran: ranNo},
	// The limit applies at all instances, so that another one would not do better.
	OverQuota: {name: "overQuota", ran: ranNo},
}

// Of returns the outcome of a request whose only attempt ended with e; p is the position
// of an answered write.
func Of(e Event, p gwsession.Position) Outcome {
	switch decisions[e].ran {
	case ranNo:
		return NotRun{Reason: e.String()}
	case ranYes:
		return Done{Position: p}
	default:
		return Unknown{Reason: e.String()}
	}
}

// SQLState returns the SQLSTATE that reports e to a caller.
func SQLState(e Event) string {
	switch {
	case decisions[e].ran == ranNo:
		return SQLStateNotRun
	case e == LeaseLost || e == Unconfirmed:
		return SQLStateCompletionUnknown
	default:
		return SQLStateConnectionUnknown
	}
}
