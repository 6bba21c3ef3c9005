package gwmember

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxMessageSize is the greatest size of an encoded message in bytes. It fits
// into one datagram of any link.
const MaxMessageSize = 1200

const (
	messageBase   = 72  // bytes of a message without its lists, at most
	updateBase    = 48  // bytes of an update without its strings, at most
	maxUpdateSize = 560 // fits beside a table digest
)

// Kind tells what a message is for.
type Kind uint8

// Kinds of messages.
const (
	KindPing         Kind = iota + 1 // answered by KindAck
	KindAck                          // answers a ping with its sequence
	KindIndirectPing                 // asks the receiver to ping the target
	KindGossip                       // carries updates only
	KindSync                         // carries the digests of the sender's table
	KindSyncPage                     // answers KindSync with rows that differ
)

// Message is sent between members. It is best effort: it may be lost,
// repeated and reordered.
type Message struct {
	Kind     Kind    `cbor:"1,keyasint"`
	Sequence uint32  `cbor:"2,keyasint,omitempty"`
	Version  Version `cbor:"3,keyasint"`
	// Target is the instance that an indirect probe is about.
	Target  string   `cbor:"4,keyasint,omitempty"`
	Updates []Update `cbor:"5,keyasint,omitempty"`
	// Digest holds 4 bytes for each bucket of the sender's table.
	Digest []byte `cbor:"6,keyasint,omitempty"`
	// NextBucket is the first bucket to compare (sync) or still to compare (page).
	NextBucket uint16 `cbor:"7,keyasint,omitempty"`
	// Answer marks a sync that answers a sync and needs no further one, and a
	// page that found no difference.
	Answer bool `cbor:"8,keyasint,omitempty"`
	// LastPage marks the last page of an answer.
	LastPage bool `cbor:"9,keyasint,omitempty"`
	// Scope limits a comparison to the rows of one data centre.
	Scope string `cbor:"10,keyasint,omitempty"`
	// DigestSum is the digest in one number, of the sender's data centre if a relay
	// sends the message to another one, of the table otherwise.
	DigestSum uint32 `cbor:"11,keyasint,omitempty"`
	// DataCentreHash comes with the former: a hash of the data centres with live members.
	DataCentreHash uint32 `cbor:"12,keyasint,omitempty"`
}

// Update is one row of a member table.
type Update struct {
	Member Member `cbor:"1,keyasint"`
	Status Status `cbor:"2,keyasint"`
	// ViewVersion is set for relays: when it last changed or repeated its view, in
	// its own milliseconds, and the data centres that it cannot reach.
	ViewVersion uint64   `cbor:"3,keyasint,omitempty"`
	Unreachable []string `cbor:"4,keyasint,omitempty"`
}

// ErrorKind classifies an Error.
type ErrorKind uint8

// Kinds of errors.
const (
	ErrorTooLarge  ErrorKind = iota + 1 // a message or one of its parts is too large
	ErrorMalformed                      // a message cannot be decoded
	ErrorInvalid                        // a member lacks a name or an address
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return "gwmember: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Encode encodes a message in CBOR. It fails if the result would be larger
// than MaxMessageSize.
func Encode(msg Message) ([]byte, error) {
	b, err := cbor.Marshal(msg)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: ErrorMalformed, Err: errors.Wrap(err, "message")}
	}
	if len(b) > MaxMessageSize {
		err := errors.Newf("message has %d bytes, the limit is %d", len(b), MaxMessageSize)
		return nil, &Error{Op: "encode", Kind: ErrorTooLarge, Err: err}
	}
	return b, nil
}

// Decode decodes and checks a message. Unknown fields are ignored.
func Decode(b []byte) (Message, error) {
	var msg Message
	if len(b) > MaxMessageSize {
		err := errors.Newf("message has %d bytes, the limit is %d", len(b), MaxMessageSize)
		return msg, &Error{Op: "decode", Kind: ErrorTooLarge, Err: err}
	}
	if err := cbor.Unmarshal(b, &msg); err != nil {
		return Message{}, &Error{Op: "decode", Kind: ErrorMalformed, Err: errors.Wrap(err, "message")}
	}
	for _, u := range msg.Updates {
		if err := u.check(); err != nil {
			return Message{}, err
		}
	}
	return msg, nil
}

// Check reports whether the member has its names and address and fits into a
// message.
func (m Member) Check() error { return Update{Member: m}.check() }

func (u Update) check() error {
	m := u.Member
	if m.Instance == "" || m.DataCentre == "" || m.Address == "" {
		err := errors.Newf("member %q needs an instance, a data centre and an address", m.Instance)
		return &Error{Op: "check", Kind: ErrorInvalid, Err: err}
	}
	if n := u.size(); n > maxUpdateSize {
		err := errors.Newf("member %q takes %d bytes, the limit is %d", m.Instance, n, maxUpdateSize)
		return &Error{Op: "check", Kind: ErrorTooLarge, Err: err}
	}
	return nil
}

// size bounds the encoded size of an update from above.
func (u Update) size() int {
	m := u.Member
	n := updateBase + len(m.Instance) + len(m.DataCentre) + len(m.Region) + len(m.Address) + len(m.OperatorAddress)
	for _, dc := range u.Unreachable {
		n += 2 + len(dc)
	}
	return n
}

// room is the space left in a message for more updates, in bytes.
func (m Message) room() int {
	n := MaxMessageSize - messageBase - len(m.Target) - len(m.Scope) - len(m.Digest)
	for _, u := range m.Updates {
		n -= u.size()
	}
	return n
}
