package gwowner

import (
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Access says what a request needs of the server.
type Access uint8

// Accesses.
const (
	// Read runs on any server that satisfies the required position and staleness.
	Read Access = iota + 1
	// Write runs on the primary under its lease.
	Write
)

// Request is one exchange with a backend server.
type Request struct {
	Group  string `cbor:"1,keyasint"`
	Server string `cbor:"2,keyasint"`
	Class  string `cbor:"3,keyasint"`
	Access Access `cbor:"4,keyasint"`
	// Position is the one that the server must have reached.
	Position gwsession.Position `cbor:"5,keyasint"`
	// Staleness is the greatest accepted; 0 means that Position alone decides.
	Staleness time.Duration `cbor:"6,keyasint,omitempty"`
	// MaxWait bounds the wait for Position.
	MaxWait time.Duration `cbor:"7,keyasint,omitempty"`
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration `cbor:"8,keyasint"`
	// Key is the request key; empty when there is none.
	Key string `cbor:"9,keyasint,omitempty"`
	// PrimaryAcknowledges means that no replica has to confirm a write.
	PrimaryAcknowledges bool `cbor:"10,keyasint,omitempty"`
	// SkipChecks lets a read run without the checks of position, staleness and lease,
	// as the baseline policies require.
	SkipChecks bool `cbor:"11,keyasint,omitempty"`
	// RequireLease means that only the primary under its lease may serve a read.
	RequireLease bool `cbor:"12,keyasint,omitempty"`
	// QueueWait is the longest expected wait for a slot; 0 for any.
	QueueWait         time.Duration `cbor:"13,keyasint,omitempty"`
	gwbackend.Request `cbor:"20,keyasint"`
}

// Report is what the owner tells about a server with every answer.
type Report struct {
	Position gwsession.Position `cbor:"1,keyasint"`
	// Staleness is known only if StalenessKnown.
	Staleness      time.Duration `cbor:"2,keyasint,omitempty"`
	StalenessKnown bool          `cbor:"3,keyasint,omitempty"`
	// Load is the number of requests waiting and running per slot.
	Load float64 `cbor:"4,keyasint,omitempty"`
	// ServiceTime is the average time for which a request holds a slot.
	ServiceTime time.Duration `cbor:"5,keyasint,omitempty"`
	// Lag is how old a replica's log was when the replica last reported its position;
	// it is valid only if LagKnown.
	Lag      time.Duration `cbor:"6,keyasint,omitempty"`
	LagKnown bool          `cbor:"7,keyasint,omitempty"`
}

// Result tells how an exchange ended. The answer itself was written to the sink
// when Event is Answered.
type Result struct {
	Event gwoutcome.Event `cbor:"1,keyasint"`
	// State and Message describe an Event other than Answered.
	State   string `cbor:"2,keyasint,omitempty"`
	Message string `cbor:"3,keyasint,omitempty"`
	// TxStatus is that of the last ReadyForQuery.
	TxStatus byte `cbor:"4,keyasint,omitempty"`
	// Position is that of the acknowledged write; zero when nothing was written.
	Position gwsession.Position `cbor:"5,keyasint"`
	// Relayed means that a part of the answer has been passed on.
	Relayed bool `cbor:"6,keyasint,omitempty"`
	// SQLError is the SQLSTATE of an error in an answered request.
	SQLError string `cbor:"7,keyasint,omitempty"`
	Report   Report `cbor:"8,keyasint"`
	// Replayed means that a request with a key ran before, with Tag as its
	// command tag, and that no answer was written to the sink.
	Replayed bool   `cbor:"10,keyasint,omitempty"`
	Tag      string `cbor:"11,keyasint,omitempty"`
	// Term is that under which a write was sent, for looking up its request key.
	Term uint64 `cbor:"9,keyasint,omitempty"`
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
