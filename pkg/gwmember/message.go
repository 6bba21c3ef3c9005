package gwmember

import (
	"slices"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxMessageSize is the maximum size of an encoded message in bytes. It fits into one
// datagram on any link.
const MaxMessageSize = 1200

const (
	maxMessageOverhead = 72  // bytes of a message without its strings, digest and updates, at most
	maxUpdateOverhead  = 54  // bytes of an update without its strings, at most
	maxUpdateSize      = 560 // bytes; fits into a message along with a table digest
)

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	KindPing         Kind = iota + 1 // answered by KindAck
	KindAck                          // answers a ping with the same sequence number
	KindIndirectPing                 // asks the receiver to ping Message.Target
	KindGossip                       // carries updates only
	KindSync                         // carries the digest of the sender's table
	KindSyncPage                     // answers KindSync with the rows of the buckets that differ
)

// Message is a message between members. Delivery is best effort: messages may be lost,
// repeated and reordered.
type Message struct {
	Kind     Kind    `cbor:"1,keyasint"`
	Sequence uint32  `cbor:"2,keyasint,omitempty"`
	Version  Version `cbor:"3,keyasint"`
	// Target is the instance to ping (indirect ping) or the one that answered such a ping
	// (forwarded acknowledgment).
	Target  string  `cbor:"4,keyasint,omitempty"`
	Updates Updates `cbor:"5,keyasint,omitempty"`
	// Digest holds 4 bytes per bucket of the sender's table or of Scope.
	Digest []byte `cbor:"6,keyasint,omitempty"`
	// NextBucket is the first bucket to compare (sync) or, unless zero, the first bucket
	// that was left out (page).
	NextBucket uint16 `cbor:"7,keyasint,omitempty"`
	// Answer marks a sync that answers another one and must not be answered by a third,
	// and a page that is sent because no bucket differs.
	Answer bool `cbor:"8,keyasint,omitempty"`
	// LastPage marks the last page that answers a sync.
	LastPage bool `cbor:"9,keyasint,omitempty"`
	// Scope limits a comparison to the rows of one data centre.
	Scope string `cbor:"10,keyasint,omitempty"`
	// DigestSum is the digest folded into one number: that of the sender's data centre if
	// a relay sends the message to another data centre, otherwise that of the table.
	DigestSum uint32 `cbor:"11,keyasint,omitempty"`
	// DataCentreHash is sent by relays to other data centres: a hash of the names of the
	// data centres with live members.
	DataCentreHash uint32 `cbor:"12,keyasint,omitempty"`
}

// Updates is a list of updates that are decoded independently of each other.
type Updates []Update

// UnmarshalCBOR implements cbor.Unmarshaler. An update that cannot be decoded becomes a zero
// one, which Receive skips.
func (u *Updates) UnmarshalCBOR(b []byte) error {
	var raw []cbor.RawMessage
	if err := cbor.Unmarshal(b, &raw); err != nil {
		return errors.Wrap(err, "updates")
	}
	*u = make(Updates, len(raw))
	for i, r := range raw {
		var one Update
		if cbor.Unmarshal(r, &one) == nil {
			(*u)[i] = one
		}
	}
	return nil
}

// Update is one row of a member table.
type Update struct {
	Member Member `cbor:"1,keyasint"`
	Status Status `cbor:"2,keyasint"`
	// ViewVersion and Unreachable are set for relays: the time when the relay last changed
	// or repeated its view, in milliseconds of its own clock, and the data centres that it
	// cannot reach.
	ViewVersion uint64   `cbor:"3,keyasint,omitempty"`
	Unreachable []string `cbor:"4,keyasint,omitempty"`
	// Age is how many seconds ago a dead or departed member became so, as the sender knows.
	Age uint32 `cbor:"5,keyasint,omitempty"`
}

// ErrorKind classifies an Error.
type ErrorKind uint8

// Kinds of errors.
const (
	ErrorTooLarge  ErrorKind = iota + 1 // a message or a member is too large
	ErrorMalformed                      // a message cannot be decoded
	ErrorInvalid                        // a member lacks its instance name, data centre or address, or its incarnation is too great
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

// Decode decodes a message. Unknown fields are ignored, and Receive skips updates that are
// not valid.
func Decode(b []byte) (Message, error) {
	var msg Message
	if len(b) > MaxMessageSize {
		err := errors.Newf("message has %d bytes, the limit is %d", len(b), MaxMessageSize)
		return msg, &Error{Op: "decode", Kind: ErrorTooLarge, Err: err}
	}
	if err := cbor.Unmarshal(b, &msg); err != nil {
		return Message{}, &Error{Op: "decode", Kind: ErrorMalformed, Err: errors.Wrap(err, "message")}
	}
	return msg, nil
}

// maxIncarnation leaves room for refutations. Incarnations are times in Unix milliseconds.
const maxIncarnation = 1 << 48

// Check returns an error if the member lacks its instance name, data centre or address, has a text
// that others cannot decode, does not fit into a message or has an incarnation that nothing could exceed.
func (m Member) Check() error { return Update{Member: m}.check() }

func (u Update) check() error {
	m := u.Member
	if m.Instance == "" || m.DataCentre == "" || m.Address == "" {
		err := errors.Newf("member %q lacks an instance name, a data centre or an address", m.Instance)
		return &Error{Op: "check", Kind: ErrorInvalid, Err: err}
	}
	if !u.decodable() {
		err := errors.Newf("member %q has a text that is not UTF-8, which others cannot decode", m.Instance)
		return &Error{Op: "check", Kind: ErrorInvalid, Err: err}
	}
	if m.Incarnation > maxIncarnation {
		err := errors.Newf("incarnation %d of member %q is above %d", m.Incarnation, m.Instance, uint64(maxIncarnation))
		return &Error{Op: "check", Kind: ErrorInvalid, Err: err}
	}
	if n := u.size(); n > maxUpdateSize {
		err := errors.Newf("member %q has %d bytes, the limit is %d", m.Instance, n, maxUpdateSize)
		return &Error{Op: "check", Kind: ErrorTooLarge, Err: err}
	}
	return nil
}

// decodable reports whether all texts of the update are UTF-8.
func (u Update) decodable() bool {
	m := u.Member
	return utf8.ValidString(m.Instance) && utf8.ValidString(m.DataCentre) && utf8.ValidString(m.Region) &&
		utf8.ValidString(m.Address) && utf8.ValidString(m.OperatorAddress) &&
		!slices.ContainsFunc(u.Unreachable, func(s string) bool { return !utf8.ValidString(s) })
}

// size returns an upper bound of the encoded size of an update in bytes.
func (u Update) size() int {
	m := u.Member
	n := maxUpdateOverhead + len(m.Instance) + len(m.DataCentre) + len(m.Region) + len(m.Address) + len(m.OperatorAddress)
	for _, dc := range u.Unreachable {
		n += 2 + len(dc)
	}
	return n
}

// freeBytes returns the space left in a message for more updates, in bytes.
func (m Message) freeBytes() int {
	n := MaxMessageSize - maxMessageOverhead - len(m.Target) - len(m.Scope) - len(m.Digest)
	for _, u := range m.Updates {
		n -= u.size()
	}
	return n
}
