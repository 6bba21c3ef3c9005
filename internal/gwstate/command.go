package gwstate

import (
	"time"

	"gentianward.example/gentianward/pkg/gwsession"
)

// Command is a change of the state. The set of commands is closed.
type Command interface{ command() }

// PublishManifest makes Text the current manifest if Number follows the current number.
type PublishManifest struct {
	Number uint64 `cbor:"1,keyasint" json:"number"`
	Digest string `cbor:"2,keyasint" json:"digest"` // SHA-256 of Text, hex
	Text   string `cbor:"3,keyasint" json:"text"`
	// AnyLater means that any number above the current one is accepted, and that a
	// lower or equal one is acknowledged without effect.
	AnyLater bool `cbor:"4,keyasint,omitempty" json:"anyLater,omitempty"`
}

// StartGroup records the first primary of a group.
type StartGroup struct {
	Group   string `cbor:"1,keyasint" json:"group"`
	Primary string `cbor:"2,keyasint" json:"primary"`
	Term    uint64 `cbor:"3,keyasint" json:"term"`
	// Start is the position where the term begins.
	Start gwsession.Position `cbor:"4,keyasint" json:"start"`
}

// BeginChange stops lease grants of a group at FromTerm and allocates the next term.
type BeginChange struct {
	Group    string `cbor:"1,keyasint" json:"group"`
	FromTerm uint64 `cbor:"2,keyasint" json:"fromTerm"`
	Reason   string `cbor:"3,keyasint" json:"reason"`
}

// FinishChange records the promoted primary.
type FinishChange struct {
	Group    string             `cbor:"1,keyasint" json:"group"`
	FromTerm uint64             `cbor:"2,keyasint" json:"fromTerm"`
	Term     uint64             `cbor:"3,keyasint" json:"term"` // of the promoted server
	Primary  string             `cbor:"4,keyasint" json:"primary"`
	Start    gwsession.Position `cbor:"5,keyasint" json:"start"`
	// Previous is the sequence of the old lease that the leader saw expire. It is
	// not needed if that lease was returned.
	Previous uint64 `cbor:"6,keyasint,omitempty" json:"previous"`
	// Attempt is the term that BeginChange allocated; 0 means Term. It may differ
	// from Term if the server chooses its terms itself, and does if the old primary turns
	// out to be still leading and keeps its term.
	Attempt uint64 `cbor:"7,keyasint,omitempty" json:"attempt,omitempty"`
	// Copies holds the servers of the group that may confirm writes of the new term.
	Copies []CopyRef `cbor:"8,keyasint,omitempty" json:"copies,omitempty"`
}

// SetCopies replaces the copies of a group that serves at Term.
type SetCopies struct {
	Group  string    `cbor:"1,keyasint" json:"group"`
	Term   uint64    `cbor:"2,keyasint" json:"term"`
	Copies []CopyRef `cbor:"3,keyasint" json:"copies"`
}

// attempt returns the term that BeginChange allocated.
func (c FinishChange) attempt() uint64 {
	if c.Attempt != 0 {
		return c.Attempt
	}
	return c.Term
}

// NamePromotion records, before the call, which server the platform is asked to promote.
//
// With an empty Server, it ends the record of the call Previous of Fence, and in the same
// Attempt allows another server to be named.
type NamePromotion struct {
	Group string `cbor:"1,keyasint" json:"group"`
	// Attempt is the term that BeginChange allocated.
	Attempt uint64 `cbor:"2,keyasint" json:"attempt"`
	Server  string `cbor:"3,keyasint,omitempty" json:"server,omitempty"`
	// Fence is the term of the leader that makes the call; 0 records no call, as in earlier
	// releases.
	Fence  uint64 `cbor:"4,keyasint,omitempty" json:"fence,omitempty"`
	Holder string `cbor:"5,keyasint,omitempty" json:"holder,omitempty"` // the calling instance
	// Previous is the sequence of the recorded call that this command replaces or ends.
	Previous uint64 `cbor:"6,keyasint,omitempty" json:"previous,omitempty"`
	// Born is the start of the run of the server whose answer led to the call; 0 if that is unknown.
	Born uint64 `cbor:"7,keyasint,omitempty" json:"born,omitempty"`
}

// SetWait records whether a change of primary waits for good, and why; the empty Reason means
// that it does not.
type SetWait struct {
	Group string `cbor:"1,keyasint" json:"group"`
	// Term is the term that the change began at.
	Term   uint64 `cbor:"2,keyasint" json:"term"`
	Reason string `cbor:"3,keyasint,omitempty" json:"reason,omitempty"`
}

// SetProof records a position that covers every write acknowledged in Term, before a server is
// promoted, so that a later leader need not ask servers that may have ended.
type SetProof struct {
	Group string             `cbor:"1,keyasint" json:"group"`
	Term  uint64             `cbor:"2,keyasint" json:"term"`
	Proof gwsession.Position `cbor:"3,keyasint" json:"proof"`
}

// SetAckKeepers records the instances that keep the positions of acknowledged writes of Term. Keepers
// of another holder are replaced only by the instance that holds the lease of Grant and has read, under
// it, a position that covers what earlier holders acknowledged.
type SetAckKeepers struct {
	Group  string `cbor:"1,keyasint" json:"group"`
	Term   uint64 `cbor:"2,keyasint" json:"term"`
	Holder string `cbor:"3,keyasint" json:"holder"`
	Epoch  uint64 `cbor:"4,keyasint" json:"epoch"`
	Backup string `cbor:"5,keyasint,omitempty" json:"backup,omitempty"`
	// Grant is the sequence of the lease under which that position was read; 0 if none was.
	Grant uint64 `cbor:"6,keyasint,omitempty" json:"grant,omitempty"`
	// Choice counts the backups that the holder has chosen. A command that arrives after one with a
	// later choice has no effect.
	Choice uint64 `cbor:"7,keyasint,omitempty" json:"choice,omitempty"`
}

// GrantLeases grants or renews write leases for one holder. Each lease is
// granted or refused on its own.
type GrantLeases struct {
	Holder string `cbor:"1,keyasint" json:"holder"`
	// Incarnation distinguishes the holder's restarts: a later incarnation does not
	// renew the lease of an earlier one, whose process may still be running.
	Incarnation uint64         `cbor:"2,keyasint" json:"incarnation"`
	Leases      []LeaseRequest `cbor:"3,keyasint" json:"leases"`
}

// LeaseRequest asks for the write lease of one group.
type LeaseRequest struct {
	Group    string        `cbor:"1,keyasint" json:"group"`
	Term     uint64        `cbor:"2,keyasint" json:"term"`
	Duration time.Duration `cbor:"3,keyasint" json:"duration"`
	// Previous is the sequence of another holder's lease that the leader saw expire.
	Previous uint64 `cbor:"4,keyasint,omitempty" json:"previous"`
}

// ReturnLeases ends leases before they expire. The holder must already have stopped
// acknowledging writes under them.
type ReturnLeases struct {
	Holder      string        `cbor:"1,keyasint" json:"holder"`
	Incarnation uint64        `cbor:"2,keyasint" json:"incarnation"`
	Leases      []LeaseReturn `cbor:"3,keyasint" json:"leases"`
}

// LeaseReturn identifies one returned lease.
type LeaseReturn struct {
	Group string `cbor:"1,keyasint" json:"group"`
	// Sequence is that of the latest grant that the holder knows. A return that is
	// applied after a later grant has no effect.
	Sequence uint64 `cbor:"2,keyasint" json:"sequence"`
}

// SetQuotaHolders replaces the names of the instances that may hold shares of customers' limits.
// It is complete, so that a voter whose earlier release could not read the previous one is right
// after the next.
type SetQuotaHolders struct {
	Names []string `cbor:"1,keyasint" json:"names"`
}

// Batch applies several commands as one log entry, so that the renewals of many
// holders share one sync. A batch cannot contain another batch.
type Batch struct {
	Commands []Command `json:"commands"`
}

func (PublishManifest) command() {}
func (StartGroup) command()      {}
func (BeginChange) command()     {}
func (FinishChange) command()    {}
func (SetCopies) command()       {}
func (NamePromotion) command()   {}
func (SetWait) command()         {}
func (SetProof) command()        {}
func (SetAckKeepers) command()   {}
func (SetQuotaHolders) command() {}
func (GrantLeases) command()     {}
func (ReturnLeases) command()    {}
func (Batch) command()           {}
