package gwmember

// Action is something for the caller to do or to react to: one of SendMessage,
// MemberChanged, DataCentreChanged, PartFound, UpdateSkipped and PeerAhead.
type Action interface{ action() }

// SendMessage asks the caller to send a message to a peer address, best effort.
type SendMessage struct {
	To      string
	Message Message
}

// MemberChanged reports a new member or a change of a member, its status or incarnation.
type MemberChanged struct {
	Member Member
	Status Status
}

// DataCentreChanged reports that a data centre became unreachable from the own one or
// reachable again. Its members keep their last known status.
type DataCentreChanged struct {
	DataCentre string
	Reachable  bool
}

// PartFound reports that a member has answered that was not known as live, so that the
// tables of both are compared.
type PartFound struct{ Member Member }

// UpdateSkipped reports that a message of an instance contained an update that is not valid.
type UpdateSkipped struct {
	From string
	Err  error
}

// PeerAhead reports that a peer has a newer version. It is issued at most once in 500 ms.
type PeerAhead struct {
	Member  Member
	Version Version
}

func (SendMessage) action()       {}
func (MemberChanged) action()     {}
func (DataCentreChanged) action() {}
func (PartFound) action()         {}
func (UpdateSkipped) action()     {}
func (PeerAhead) action()         {}
