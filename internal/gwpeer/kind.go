package gwpeer

import "strconv"

// Priority orders the streams of one connection when its bandwidth is short.
type Priority int8

// Priorities of kinds, most urgent first.
const (
	PriorityNormal  Priority = iota // requests and writes
	PriorityControl                 // elections, leases, membership
	PriorityBulk                    // large reads, snapshots
)

// Urgencies of RFC 9218, where a lower value is sent first; 3 is its default.
const (
	urgencyControl = 1
	urgencyNormal  = 3
	urgencyBulk    = 5
)

func (p Priority) urgency() int8 {
	switch p {
	case PriorityControl:
		return urgencyControl
	case PriorityBulk:
		return urgencyBulk
	default:
		return urgencyNormal
	}
}

// Kind identifies a type of message, call or stream on the links; its ID is
// sent and its name appears in logs and errors.
type Kind struct {
	ID       uint16
	Name     string
	Priority Priority
	// OperatorOnly opens the kind to operators and closes it to instances.
	OperatorOnly bool
}

// String returns the name, or the ID where the name is empty.
func (k Kind) String() string {
	if k.Name == "" {
		return "kind " + strconv.Itoa(int(k.ID))
	}
	return k.Name
}
