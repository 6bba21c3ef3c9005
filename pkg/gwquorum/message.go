package gwquorum

import "time"

// MessageKind is the kind of a Message.
type MessageKind uint8

// Kinds of messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend // carries entries and the commit index; also the heartbeat
	MessageAppendReply
	MessageSnapshot // answered by MessageAppendReply
	MessageTimeoutNow
	MessageReadIndex
	MessageReadIndexReply
)

// Message is a message between nodes. Which fields are set depends on Kind.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`
	To   string      `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint,omitempty"`
	// Index is the candidate's last entry in a vote request and the entry before
	// Entries in an append. In a reply to an append it is the greatest entry known to
	// match or, if Reject is set, the previous entry that was rejected.
	Index     uint64    `cbor:"5,keyasint,omitempty"`
	LogTerm   uint64    `cbor:"6,keyasint,omitempty"` // term of the entry at Index
	Entries   []Entry   `cbor:"7,keyasint,omitempty"`
	Commit    uint64    `cbor:"8,keyasint,omitempty"`
	Reject    bool      `cbor:"9,keyasint,omitempty"`
	HintIndex uint64    `cbor:"10,keyasint,omitempty"` // greatest entry at which a rejecting follower's log may match
	HintTerm  uint64    `cbor:"11,keyasint,omitempty"` // term of the entry at HintIndex
	Transfer  bool      `cbor:"12,keyasint,omitempty"` // the leader itself asked for this election
	ReadRound uint64    `cbor:"13,keyasint,omitempty"` // confirmation round of reads, echoed in replies
	ReadID    uint64    `cbor:"14,keyasint,omitempty"` // identifies a forwarded read at the node that sent it
	Snapshot  *Snapshot `cbor:"15,keyasint,omitempty"`
	// SaveTime is how long the sender's saves take, in the reply to a pre-vote.
	SaveTime time.Duration `cbor:"16,keyasint,omitempty"`
}
