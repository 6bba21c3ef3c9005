package gwowner

import (
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Access is the kind of access that a request needs.
type Access uint8

// Kinds of access.
const (
	// Read may run on any server that satisfies the required position and staleness.
	Read Access = iota + 1
	// Write must run on the primary while its lease is held.
	Write
)

// Request is one request to a backend server, sent to the server's owner.
type Request struct {
	Group  string `cbor:"1,keyasint"`
	Server string `cbor:"2,keyasint"`
	Class  string `cbor:"3,keyasint"`
	Access Access `cbor:"4,keyasint"`
	// Position is the position that the server must have reached before a read.
	Position gwsession.Position `cbor:"5,keyasint"`
	// Staleness is the greatest staleness that a read accepts; 0 for any.
	Staleness time.Duration `cbor:"6,keyasint,omitempty"`
	// MaxWait bounds the wait for Position.
	MaxWait time.Duration `cbor:"7,keyasint,omitempty"`
	// Timeout is the remaining time until the caller's deadline.
	Timeout time.Duration `cbor:"8,keyasint"`
	// Key is the request key; empty if there is none.
	Key string `cbor:"9,keyasint,omitempty"`
	// PrimaryAcknowledges means that a write needs no confirmation by a replica.
	PrimaryAcknowledges bool `cbor:"10,keyasint,omitempty"`
	// SkipChecks lets a read run without the checks of position, staleness and lease,
	// as the baseline policies require.
	SkipChecks bool `cbor:"11,keyasint,omitempty"`
	// RequireLease means that only the primary under its lease may serve a read.
	RequireLease bool `cbor:"12,keyasint,omitempty"`
	// QueueWait is the longest wait for a slot that the request accepts: with a longer
	// expected wait it is refused at once. 0 accepts any.
	QueueWait time.Duration `cbor:"13,keyasint,omitempty"`
	// Customer is the name of the customer on whose connections the request runs; empty if the
	// deployment has no customers.
	Customer          string `cbor:"14,keyasint,omitempty"`
	gwbackend.Request `cbor:"20,keyasint"`
}

// Report is the state of a server, which the owner sends with every result.
type Report struct {
	Position gwsession.Position `cbor:"1,keyasint"`
	// Staleness is an upper bound of the age of the data; it is valid only if
	// StalenessKnown.
	Staleness      time.Duration `cbor:"2,keyasint,omitempty"`
	StalenessKnown bool          `cbor:"3,keyasint,omitempty"`
	// Load is the number of waiting and running requests per slot.
	Load float64 `cbor:"4,keyasint,omitempty"`
	// ServiceTime is the average time for which a request holds a slot.
	ServiceTime time.Duration `cbor:"5,keyasint,omitempty"`
	// Lag is how old a replica's log was when the replica last reported its position;
	// it is valid only if LagKnown.
	Lag      time.Duration `cbor:"6,keyasint,omitempty"`
	LagKnown bool          `cbor:"7,keyasint,omitempty"`
	// Speed is set if the server is not at its usual speed.
	Speed *Speed `cbor:"8,keyasint,omitempty"`
}

// Result describes how a request ended. If Event is Answered, the answer itself has been
// written to the caller's sink.
type Result struct {
	Event gwoutcome.Event `cbor:"1,keyasint"`
	// State is the SQLSTATE and Message the text of an Event other than Answered.
	State   string `cbor:"2,keyasint,omitempty"`
	Message string `cbor:"3,keyasint,omitempty"`
	// TxStatus is the transaction status in the last ReadyForQuery.
	TxStatus byte `cbor:"4,keyasint,omitempty"`
	// Position is the position of the acknowledged write; zero if nothing was written.
	Position gwsession.Position `cbor:"5,keyasint"`
	// Relayed means that at least a part of the answer has been written to the caller's
	// sink.
	Relayed bool `cbor:"6,keyasint,omitempty"`
	// SQLError is the SQLSTATE of the error with which the server answered, if any.
	SQLError string `cbor:"7,keyasint,omitempty"`
	Report   Report `cbor:"8,keyasint"`
	// Replayed means that a request with a key was done before, with Tag as its command
	// tag, and that no answer was written to the sink.
	Replayed bool   `cbor:"10,keyasint,omitempty"`
	Tag      string `cbor:"11,keyasint,omitempty"`
	// Term is the term under which a write was sent, for looking up its request key.
	Term uint64 `cbor:"9,keyasint,omitempty"`
	// Exact is the event if earlier releases do not know it; Event is then the one that
	// means the same to them.
	Exact gwoutcome.Event `cbor:"12,keyasint,omitempty"`
	// OwnerSilent means that the owner's answer did not arrive, in contrast to an answer
	// of the owner that the server did not answer.
	OwnerSilent bool `cbor:"-"`
}

// failed returns the result of a request that ended with e.
func failed(e gwoutcome.Event, detail string) Result {
	r := Result{Event: e, State: gwoutcome.SQLState(e), TxStatus: 'I'}
	switch gwoutcome.Of(e, gwsession.Position{}).(type) {
	case gwoutcome.NotRun:
		r.Message = "not run: " + detail
	case gwoutcome.Unknown:
		r.Message = "outcome unknown: " + detail
	case gwoutcome.Done:
	}
	return r
}

// olderEvents maps the events that the last release does not know to events with the same
// consequences there. An unknown event ended its session.
var olderEvents = map[gwoutcome.Event]gwoutcome.Event{
	gwoutcome.NotEncodable: gwoutcome.Expired, gwoutcome.SessionNotSet: gwoutcome.Expired, gwoutcome.ReplyUnreadable: gwoutcome.Unconfirmed,
	gwoutcome.OverQuota: gwoutcome.Expired,
}

// toWire returns the result in the form in which it is sent to another instance.
func (r Result) toWire() Result {
	if older, ok := olderEvents[r.Event]; ok {
		r.Exact, r.Event = r.Event, older
	}
	return r
}

// fromWire returns the result that another instance has sent.
func (r Result) fromWire() Result {
	switch {
	case r.Exact.Known():
		r.Event = r.Exact
	case !r.Event.Known():
		r.Event, r.Message = gwoutcome.PeerBroken, "outcome unknown: the owner reported an event of another release"
		r.State = gwoutcome.SQLState(r.Event)
	}
	r.Exact = 0
	return r
}
