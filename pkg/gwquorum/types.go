package gwquorum

import (
	"slices"
	"time"
)

// HardState is the part of a node's state that must be synced to disk before
// messages that depend on it are sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint,omitempty"`
	// Commit is a lower bound of the commit index. It is saved only along with other
	// changes, because a restarted node learns the current one from the leader.
	Commit uint64 `cbor:"3,keyasint"`
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryData   EntryKind = iota // a command for the state machine
	EntryEmpty                   // appended by a new leader to commit the entries of earlier terms
	EntryChange                  // a membership change
)

// Entry is one entry of the replicated log. Indexes start at 1.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members *Members  `cbor:"5,keyasint,omitempty"` // for EntryChange, the membership from this entry on
}

// entryOverhead is an upper bound of an entry's encoded size without its data and members.
const entryOverhead = 32

// size returns the approximate encoded size in bytes.
func (e Entry) size() int {
	n := entryOverhead + len(e.Data)
	if e.Members != nil {
		for _, id := range slices.Concat(e.Members.Voters, e.Members.Learners, e.Members.Outgoing) {
			n += len(id) + 2
		}
		for id := range e.Members.Ranks {
			n += len(id) + 11
		}
		for _, id := range e.Members.Former {
			n += len(id) + 2
		}
	}
	return n
}

// Snapshot is the state of the state machine after the entry at Index. The snapshot
// that bootstraps a group has Index 0 and names the first voters.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint,omitempty"`
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	AddLearner ChangeKind = iota + 1 // adds an instance that receives the log but has no vote
	Promote                          // turns a learner that has caught up into a voter
	Remove                           // removes a voter or learner
	// Replace turns a learner that has caught up into a voter in place of another voter,
	// which becomes a learner. A release without this kind takes the membership in between
	// for the one after it, so all members must know it before it is proposed.
	Replace
)

// Change is a membership change of one instance.
type Change struct {
	Kind     ChangeKind `cbor:"1,keyasint" json:"kind"`
	Instance string     `cbor:"2,keyasint" json:"instance"`
	// Replaced is the voter that becomes a learner, for Replace.
	Replaced string `cbor:"3,keyasint,omitempty" json:"replaced,omitempty"`
	// Rank is the rank of the learner, for AddLearner; nil gives it the rank that is kept
	// for it, or else that of a new member.
	Rank *uint64 `cbor:"4,keyasint,omitempty" json:"rank,omitempty"`
	// Heir is a member that takes the rank of the removed one if that is smaller, for
	// Remove; "" if there is none. The removed one then has RankSucceeded.
	Heir string `cbor:"5,keyasint,omitempty" json:"heir,omitempty"`
}

// Role is the role of a node.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	names := [...]string{"follower", "preCandidate", "candidate", "leader"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// ReadState answers one ReadIndex call.
type ReadState struct {
	ID uint64
	// Index is the entry that the state machine must have applied before the read
	// is executed.
	Index uint64
	// Failed is set if the leader changed or did not answer; Index is then 0.
	Failed bool
}

// Ready is the work that a node has for its driver.
type Ready struct {
	HardState HardState   // to save; always the current one
	Entries   []Entry     // to save; they replace all saved entries from the first one's index on
	Snapshot  *Snapshot   // to save; nil if there is none
	Restore   bool        // the state machine must be restored from Snapshot
	Messages  []Message   // to send: see EarlyMessages and LateMessages
	Committed []Entry     // to apply, in order; with Restore, after it
	Reads     []ReadState // answered reads, after Committed was applied

	hardStateChanged bool
	duringSave       bool // returned by ReadyDuringSave
	early, late      []Message
}

// MustSave reports whether there is something to save.
func (r Ready) MustSave() bool { return r.hardStateChanged || len(r.Entries) > 0 || r.Snapshot != nil }

// EarlyMessages returns the messages that may be sent before the save, in order: those that
// promise nothing that is unsaved. Replies among them may confirm less than the late ones.
func (r Ready) EarlyMessages() []Message {
	if !r.MustSave() {
		return nil
	}
	return r.early
}

// LateMessages returns the messages to send after the save.
func (r Ready) LateMessages() []Message {
	if !r.MustSave() {
		return r.Messages
	}
	return r.late
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return !r.MustSave() && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Status describes the state of a node.
type Status struct {
	ID     string
	Role   Role
	Term   uint64
	Vote   string // "" if the node has not voted in the term
	Leader string // "" if unknown
	// LeaderHeardAt is when the last message of Leader arrived.
	LeaderHeardAt time.Time
	Commit        uint64
	Applied       uint64
	Last          uint64 // index of the last entry
	LastTerm      uint64 // term of the last entry
	Synced        uint64 // index of the last entry that is synced here
	Snapshot      uint64 // index of the snapshot
	First         uint64 // index of the first entry in memory
	Voters        []string
	Learners      []string
	// Outgoing holds the voters before a Replace that is in progress, nil if there is none.
	Outgoing []string
	// Ranks holds the ranks of members by identity: see Members.Ranks.
	Ranks map[string]uint64
	// LeaderReady is set on a leader that has applied an entry of its own term, and
	// hence every entry that earlier leaders committed.
	LeaderReady  bool
	Transferring string       // target of a leadership transfer, "" if none is in progress
	Peers        []PeerStatus // on the leader, sorted by instance
	Fault        error        // why the node halted, nil if it works
}

// PeerStatus is the leader's view of another member.
type PeerStatus struct {
	Instance string
	Learner  bool
	State    string // "probing", "replicating" or "restoring", as of its log
	Match    uint64 // greatest index known to be synced on the peer
	Next     uint64 // next index to send
	Active   bool   // answered within the election timeout
	// LagBytes is the approximate size of the committed entries in memory after Match, of the
	// last Config.MaxPromoteLag ones at most.
	LagBytes int
	// LastReplyAt is when the last reply arrived, or when replication to the peer began.
	LastReplyAt time.Time
}
