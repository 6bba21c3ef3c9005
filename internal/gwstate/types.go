package gwstate

import (
	"time"

	"gentianward.example/gentianward/pkg/gwsession"
)

// Timestamp is a proposer's time in milliseconds since 1970 UTC, for reports only.
type Timestamp int64

// Time returns the timestamp as a time in UTC.
func (s Timestamp) Time() time.Time { return time.UnixMilli(int64(s)).UTC() }

// Manifest is an accepted manifest.
type Manifest struct {
	Number    uint64    `cbor:"1,keyasint" json:"number"`
	Digest    string    `cbor:"2,keyasint" json:"digest"`
	Text      string    `cbor:"3,keyasint,omitempty" json:"text,omitempty"` // of the current one only
	Published Timestamp `cbor:"4,keyasint" json:"published"`
}

// manifestRecord is a manifest in the history.
type manifestRecord struct {
	Manifest Manifest `cbor:"1,keyasint"`
	// CompressedText is the text; set only for the latest manifests before the current one.
	CompressedText []byte `cbor:"2,keyasint,omitempty"`
}

// Phase indicates whether a change of primary is in progress.
type Phase uint8

// Phases of a group.
const (
	Serving Phase = iota
	Changing
)

// String returns the phase's name.
func (p Phase) String() string {
	if p == Changing {
		return "changing"
	}
	return "serving"
}

// Group is the control state of one group.
type Group struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Primary string `cbor:"2,keyasint" json:"primary"`
	Term    uint64 `cbor:"3,keyasint" json:"term"`
	// Start is the position where the term began.
	Start gwsession.Position `cbor:"4,keyasint" json:"start"`
	Phase Phase              `cbor:"5,keyasint" json:"phase"`
	Since Timestamp          `cbor:"6,keyasint" json:"since"` // when the phase began
	// NextTerm is the term to promote at while the phase is Changing.
	NextTerm uint64 `cbor:"7,keyasint,omitempty" json:"nextTerm,omitempty"`
	Reason   string `cbor:"8,keyasint,omitempty" json:"reason,omitempty"`
	// Copies holds the servers that may have confirmed writes of the term which no other
	// replica has. It contains servers that have ended until a replica is known to have all
	// that they had.
	Copies []CopyRef `cbor:"9,keyasint,omitempty" json:"copies,omitempty"`
	// Promoting is the server that the platform may have been asked to promote, without an
	// answer so far; empty unless the phase is Changing.
	Promoting string `cbor:"10,keyasint,omitempty" json:"promoting,omitempty"`
	// Call is the latest call to the platform about the group that is not known to be closed;
	// its Fence is 0 if there is none. It outlives the change of primary.
	Call PromotionCall `cbor:"13,keyasint,omitzero" json:"call,omitzero"`
	// Attempt is the log index of the BeginChange that began the present attempt; 0 unless
	// the phase is Changing.
	Attempt uint64 `cbor:"14,keyasint,omitempty" json:"attempt,omitempty"`
	// Wait is why the change of primary cannot end unless an operator acts; empty if it can,
	// or if there is none.
	Wait string `cbor:"11,keyasint,omitempty" json:"wait,omitempty"`
	// Proof is a position that covers every write acknowledged in the term, found by an
	// attempt of the change of primary; zero if none has found one yet.
	Proof gwsession.Position `cbor:"12,keyasint,omitempty" json:"proof,omitzero"`
	// Acks names the instances that know up to where writes of the term were acknowledged.
	Acks AckKeepers `cbor:"15,keyasint,omitzero" json:"acks,omitzero"`
}

// AckKeepers names the instances that keep the position of each acknowledged write of a term: the
// holder of the write lease, which acknowledges them, and a backup, which has stored each position
// before its write is acknowledged, unless a recorded copy has confirmed that write.
type AckKeepers struct {
	Holder string `cbor:"1,keyasint" json:"holder"`
	Epoch  uint64 `cbor:"2,keyasint" json:"epoch"` // the holder's incarnation
	// Claimed means that the holder has recorded itself. It acknowledges nothing before, unless it
	// runs a release that keeps no positions.
	Claimed bool   `cbor:"3,keyasint,omitempty" json:"claimed,omitempty"`
	Backup  string `cbor:"4,keyasint,omitempty" json:"backup,omitempty"` // empty if there is none
	// Superseded means that another instance was granted the lease since.
	Superseded bool `cbor:"5,keyasint,omitempty" json:"superseded,omitempty"`
	// Choice counts the backups that the holder has chosen.
	Choice uint64 `cbor:"6,keyasint,omitempty" json:"choice,omitempty"`
}

// Recorded reports whether c would change nothing.
func (a AckKeepers) Recorded(c SetAckKeepers) bool {
	return a.Claimed && a.sameHolder(c.Holder, c.Epoch) && a.Choice == c.Choice && a.Backup == c.Backup && (!a.Superseded || c.Grant == 0)
}

func (a AckKeepers) sameHolder(holder string, epoch uint64) bool {
	return a.Holder == holder && a.Epoch == epoch
}

// PromotionCall is a call to the platform as it was recorded before it was sent.
type PromotionCall struct {
	Server string `cbor:"1,keyasint" json:"server"`
	// Fence is the term of the leader that makes the call, which the call carries.
	Fence  uint64 `cbor:"2,keyasint" json:"fence"`
	Holder string `cbor:"3,keyasint" json:"holder"` // the calling instance
	// Sequence is the log index of the record.
	Sequence uint64 `cbor:"4,keyasint" json:"sequence"`
	// Born is the start of the run of the server whose answer led to the call; 0 if that is unknown.
	Born uint64 `cbor:"5,keyasint,omitempty" json:"born,omitempty"`
}

// CopyRef identifies the data of one run of a backend server.
type CopyRef struct {
	Server string `cbor:"1,keyasint" json:"server"`
	// Born is the start of the run; 0 if the server does not announce it.
	Born uint64 `cbor:"2,keyasint,omitempty" json:"born,omitempty"`
	// Address is where the run listens; empty if it was recorded by an earlier release.
	Address string `cbor:"3,keyasint,omitempty" json:"address,omitempty"`
	// Leaving means that the run has announced its end, after which its data is gone.
	Leaving bool `cbor:"4,keyasint,omitempty" json:"leaving,omitempty"`
}

// SameRun reports whether c and d are the same run of a server.
func (c CopyRef) SameRun(d CopyRef) bool { return c.Server == d.Server && c.Born == d.Born }

// Returned reports whether d is a later run at the address of c, which crashed: such a run
// has the log of c unless that was lost. A server that starts again under its id has
// nothing, and so may one that takes the address of a leaving one.
func (c CopyRef) Returned(d CopyRef) bool {
	return c.Address != "" && c.Address == d.Address && c.Server != d.Server && !c.Leaving && c.Born != 0 && d.Born > c.Born
}

// Lease is a write lease as recorded in the log. It stays recorded after it has
// expired, until it is returned or replaced or a change of primary finishes.
type Lease struct {
	Group       string        `cbor:"1,keyasint" json:"group"`
	Term        uint64        `cbor:"2,keyasint" json:"term"`
	Holder      string        `cbor:"3,keyasint" json:"holder"`
	Incarnation uint64        `cbor:"4,keyasint" json:"incarnation"`
	Duration    time.Duration `cbor:"5,keyasint" json:"duration"`
	Sequence    uint64        `cbor:"6,keyasint" json:"sequence"` // log index of the latest grant
}

// heldBy reports whether the lease belongs to this incarnation of holder.
func (l Lease) heldBy(holder string, incarnation uint64) bool {
	return l.Holder == holder && l.Incarnation == incarnation
}
