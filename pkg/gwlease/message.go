package gwlease

// GroupTerm identifies a group at a term of its primary.
type GroupTerm struct {
	Group string `json:"group" cbor:"1,keyasint"`
	Term  uint64 `json:"term" cbor:"2,keyasint"`
}

// Request asks for new leases or renewals of all groups that the holder wants.
type Request struct {
	Holder string `json:"holder" cbor:"1,keyasint"`
	// Epoch is different in every run of the same holder.
	Epoch uint64 `json:"epoch" cbor:"2,keyasint"`
	// Sequence increases with every request and return of an epoch.
	Sequence uint64      `json:"sequence" cbor:"3,keyasint"`
	Groups   []GroupTerm `json:"groups" cbor:"4,keyasint"`
}

// Return returns leases to the granter before they expire.
type Return struct {
	Holder   string      `json:"holder" cbor:"1,keyasint"`
	Epoch    uint64      `json:"epoch" cbor:"2,keyasint"`
	Sequence uint64      `json:"sequence" cbor:"3,keyasint"`
	Groups   []GroupTerm `json:"groups" cbor:"4,keyasint"`
}

// Answer is the granter's answer to a Request.
type Answer struct {
	Epoch    uint64 `json:"epoch" cbor:"1,keyasint"`
	Sequence uint64 `json:"sequence" cbor:"2,keyasint"`
	// Refused lists the groups that were not granted; all others were.
	Refused []Refusal `json:"refused,omitempty" cbor:"3,keyasint,omitempty"`
}

// Refusal is the refusal of the lease of one group.
type Refusal struct {
	Group  string `json:"group" cbor:"1,keyasint"`
	Reason Reason `json:"reason" cbor:"2,keyasint"`
	// Term is the group's current term as the granter knows it.
	Term uint64 `json:"term" cbor:"3,keyasint"`
}

// Reason is the cause of a refusal.
type Reason uint8

// Causes of a refusal.
const (
	ReasonHeld      Reason = iota + 1 // another holder's lease has not ended
	ReasonOldTerm                     // the group has a newer term
	ReasonReordered                   // the holder returned the lease after it sent this request
	ReasonStarting                    // the granter lost its table and waits until leases it may have granted have ended
)

// String returns the name of the reason.
func (r Reason) String() string {
	switch r {
	case ReasonHeld:
		return "held by another holder"
	case ReasonOldTerm:
		return "old term"
	case ReasonReordered:
		return "request older than the last return"
	case ReasonStarting:
		return "granter is starting"
	}
	return "unknown"
}
