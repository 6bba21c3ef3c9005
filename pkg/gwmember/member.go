package gwmember

// Member describes one instance.
type Member struct {
	Instance        string `json:"instance" cbor:"1,keyasint"`
	DataCentre      string `json:"dataCentre" cbor:"2,keyasint"`
	Region          string `json:"region" cbor:"3,keyasint"`
	Address         string `json:"address" cbor:"4,keyasint"`
	OperatorAddress string `json:"operatorAddress,omitempty" cbor:"5,keyasint,omitempty"`
	// Incarnation increases with every restart and every refutation of a claim.
	Incarnation uint64 `json:"incarnation" cbor:"6,keyasint"`
	// ControlOnly means that the instance is dedicated to the control plane: it may be
	// a voter but owns no backend servers.
	ControlOnly bool `json:"controlOnly,omitempty" cbor:"7,keyasint,omitempty"`
}

// Place returns the instance, data centre and region; it implements gwlease.Placed.
func (m Member) Place() (instance, dataCentre, region string) {
	return m.Instance, m.DataCentre, m.Region
}

// WithIncarnation returns a copy of m with another incarnation.
func (m Member) WithIncarnation(incarnation uint64) Member {
	m.Incarnation = incarnation
	return m
}

// Status is the status of a member as seen by one instance.
type Status uint8

// Statuses of a member. At equal incarnations, a later one in this list overrides an
// earlier one.
const (
	StatusUnknown Status = iota
	StatusAlive
	StatusSuspect
	StatusDead
	StatusLeft
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case StatusAlive:
		return "alive"
	case StatusSuspect:
		return "suspect"
	case StatusDead:
		return "dead"
	case StatusLeft:
		return "left"
	}
	return "unknown"
}

// Live reports whether a member with this status counts as running: alive or suspect.
func (s Status) Live() bool { return s == StatusAlive || s == StatusSuspect }

// Version is the latest manifest and control log entry that an instance has.
type Version struct {
	ManifestNumber uint64 `json:"manifestNumber" cbor:"1,keyasint"`
	ControlIndex   uint64 `json:"controlIndex" cbor:"2,keyasint"`
}

// Ahead reports whether v is newer than w in at least one component.
func (v Version) Ahead(w Version) bool {
	return v.ManifestNumber > w.ManifestNumber || v.ControlIndex > w.ControlIndex
}
