package gwquorum

// MessageKind is the kind of a Message.
type MessageKind uint8

// Kinds of messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend // entries, commit index and heartbeat in one
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
	// Index is the candidate's last entry in votes, the entry before Entries in
	// an append, and in a reply to an append the greatest entry known to match,
	// or the rejected previous entry if Reject is set.
	Index     uint64    `cbor:"5,keyasint,omitempty"`
	LogTerm   uint64    `cbor:"6,keyasint,omitempty"` // term of the entry at Index
	Entries   []Entry   `cbor:"7,keyasint,omitempty"`
	Commit    uint64    `cbor:"8,keyasint,omitempty"`
	Reject    bool      `cbor:"9,keyasint,omitempty"`
	HintIndex uint64    `cbor:"10,keyasint,omitempty"` // where a rejecting follower may match
	HintTerm  uint64    `cbor:"11,keyasint,omitempty"` // term of the entry at Hint
	Transfer  bool      `cbor:"12,keyasint,omitempty"` // vote asked for by the leader itself
	ReadRound uint64    `cbor:"13,keyasint,omitempty"` // confirmation round of reads, echoed by replies
	ReadID    uint64    `cbor:"14,keyasint,omitempty"` // identifies a forwarded read at its sender
	Snapshot  *Snapshot `cbor:"15,keyasint,omitempty"`
}
