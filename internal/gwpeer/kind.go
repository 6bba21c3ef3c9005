package gwpeer

import "strconv"

// Priority orders the streams of one connection when its bandwidth is scarce.
type Priority int8

// Priorities of kinds. PriorityControl is the most urgent, PriorityBulk the least.
const (
	PriorityNormal  Priority = iota // requests and writes
	PriorityControl                 // elections, leases, membership
	PriorityBulk                    // large reads, snapshots
)

// Urgencies as in RFC 9218: lower values are sent first, and 3 is the default.
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

// Kind identifies a type of call, stream or datagram. The ID is sent on the wire; the
// name appears in logs and errors.
type Kind struct {
	ID       uint16
	Name     string
	Priority Priority
	// OperatorOnly permits the kind to operators and forbids it to instances. All other
	// kinds are for instances only.
	OperatorOnly bool
	// Large permits calls whose request or response has up to MaxLargeBytes instead of
	// MaxMessageBytes.
	Large bool
}

// maxBytes returns the limit of one request or response of the kind.
func (k Kind) maxBytes() int {
	if k.Large {
		return MaxLargeBytes
	}
	return MaxMessageBytes
}

// String returns the name, or a text with the ID if the name is empty.
func (k Kind) String() string {
	if k.Name == "" {
		return "kind " + strconv.Itoa(int(k.ID))
	}
	return k.Name
}
