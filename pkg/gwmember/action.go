package gwmember

// Action is what the caller has to do: one of SendMessage, MemberChanged,
// DataCentreChanged and PeerAhead.
type Action interface{ action() }

// SendMessage asks to send a message to a peer address, best effort.
type SendMessage struct {
	To      string
	Message Message
}

// MemberChanged reports a new member, status or incarnation.
type MemberChanged struct {
	Member Member
	Status Status
}

// DataCentreChanged reports that a data centre became unreachable from this
// one or reachable again. Its members keep their last known state.
type DataCentreChanged struct {
	DataCentre string
	Reachable  bool
}

// PeerAhead reports that a peer has a newer version, at most every half
// second.
type PeerAhead struct {
	Member  Member
	Version Version
}

func (SendMessage) action()       {}
func (MemberChanged) action()     {}
func (DataCentreChanged) action() {}
func (PeerAhead) action()         {}
