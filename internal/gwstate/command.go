package gwstate

import (
	"time"

	"gentianward.example/gentianward/pkg/gwsession"
)

// Command is a change of the state. The set of commands is closed.
type Command interface{ command() }

// PublishManifest makes Text the manifest if Number follows the current one.
type PublishManifest struct {
	Number uint64 `cbor:"1,keyasint" json:"number"`
	Digest string `cbor:"2,keyasint" json:"digest"` // SHA-256 of Text, hex
	Text   string `cbor:"3,keyasint" json:"text"`
	// AnyLater accepts any number above the current one, and acknowledges a
	// lower or equal one without effect.
	AnyLater bool `cbor:"4,keyasint,omitempty" json:"anyLater,omitempty"`
}

// StartGroup records the primary of a group that is not known yet.
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
	Term     uint64             `cbor:"3,keyasint" json:"term"` // that the promoted server leads
	Primary  string             `cbor:"4,keyasint" json:"primary"`
	Start    gwsession.Position `cbor:"5,keyasint" json:"start"`
	// Previous is the sequence of the old lease that the leader saw expire; not
	// needed if that lease was returned.
	Previous uint64 `cbor:"6,keyasint,omitempty" json:"previous"`
	// Attempt is the term that BeginChange allocated. Servers that choose their
	// terms by themselves may lead another one; 0 means Term. A primary that
	// turns out to lead still keeps its term.
	Attempt uint64 `cbor:"7,keyasint,omitempty" json:"attempt,omitempty"`
}

// attempt returns the term that BeginChange allocated.
func (c FinishChange) attempt() uint64 {
	if c.Attempt != 0 {
		return c.Attempt
	}
	return c.Term
}

// GrantLeases grants or renews write leases for one holder. Each lease is
// granted or refused on its own.
type GrantLeases struct {
	Holder string `cbor:"1,keyasint" json:"holder"`
	// Incarnation tells restarts of the holder apart: a later one does not
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

// ReturnLeases ends leases before they expire. The holder must have stopped
// acknowledging writes.
type ReturnLeases struct {
	Holder      string        `cbor:"1,keyasint" json:"holder"`
	Incarnation uint64        `cbor:"2,keyasint" json:"incarnation"`
	Leases      []LeaseReturn `cbor:"3,keyasint" json:"leases"`
}

// LeaseReturn names one returned lease.
type LeaseReturn struct {
	Group string `cbor:"1,keyasint" json:"group"`
	// Sequence is that of the holder's latest grant. A return that is delayed
	// past a later grant has no effect.
	Sequence uint64 `cbor:"2,keyasint" json:"sequence"`
}

// Batch applies several commands as one log entry, so that the renewals of many
// holders share one sync. A batch holds no batches.
type Batch struct {
	Commands []Command `json:"commands"`
}

func (PublishManifest) command() {}
func (StartGroup) command()      {}
func (BeginChange) command()     {}
func (FinishChange) command()    {}
func (GrantLeases) command()     {}
func (ReturnLeases) command()    {}
func (Batch) command()           {}
