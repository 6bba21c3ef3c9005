package gwstate

// Result is the outcome of a command. The set of results is closed.
type Result interface{ result() }

// Refusal is the reason why a command, or one lease of it, had no effect.
type Refusal uint8

// Refusals. Accepted is the zero value.
const (
	Accepted         Refusal = iota
	NotSuccessor             // the manifest's number does not follow the current one
	NumberTaken              // another manifest was accepted with this number
	NumberForgotten          // the digest for this old number is no longer kept
	DigestMismatch           // the digest does not match the text
	GroupExists              // the group already has a primary
	GroupUnknown             // the group has no primary yet
	TermMismatch             // the group is at another term
	GroupChanging            // a change of primary is in progress
	GroupNotChanging         // no change of primary is in progress
	ChangeSuperseded         // a later BeginChange allocated a greater term
	LeaseHeld                // another holder's lease may still be in use
	LeaseNotHeld             // the holder does not have this lease
	InvalidArgument          // a required field is empty or a value is out of range
	CallOpen                 // a call to the platform is not known to be closed
	LeaseExpired             // the lease can only be renewed by a grant in the log
	ChoiceSuperseded         // the holder has chosen a later backup
)

var refusalNames = [...]string{
	"accepted", "not the successor", "number taken", "number forgotten", "digest mismatch", "group exists",
	"group unknown", "term mismatch", "group changing", "group not changing", "change superseded", "lease held",
	"lease not held", "invalid argument", "call open", "lease expired", "choice superseded",
}

// String returns the refusal in words.
func (r Refusal) String() string {
	if int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return "unknown"
}

// ManifestResult is the result of PublishManifest.
type ManifestResult struct {
	Refusal Refusal
	Resent  bool   // accepted earlier with the same digest, or acknowledged by AnyLater
	Current uint64 // number of the current manifest
	// AcceptedDigest is the digest of the manifest that was accepted with the number,
	// if there is one. Where AnyLater acknowledges an older number, it is the digest
	// of the current manifest.
	AcceptedDigest string
}

// GroupResult is the result of StartGroup, BeginChange and FinishChange.
type GroupResult struct {
	Refusal Refusal
	Group   Group // after the command; zero if unknown
	Lease   Lease // zero if there is none
}

// LeaseResult is the result of GrantLeases and ReturnLeases, in the order of the command.
type LeaseResult struct {
	Outcomes []LeaseOutcome
}

// LeaseOutcome is the result for the lease of one group.
type LeaseOutcome struct {
	Group   string
	Refusal Refusal
	Lease   Lease // after the command; zero if there is none
}

// BatchResult is the result of Batch, in the order of its commands.
type BatchResult struct {
	Results []Result
}

// QuotaHoldersResult is the result of SetQuotaHolders.
type QuotaHoldersResult struct{}

// Unreadable is the result of an entry that is not a known command. Only the state's index
// changes. A voter that runs an older version than the proposer must stop, because
// other voters may have decoded and applied the entry.
type Unreadable struct {
	Err error
}

// Repeated is the result of an entry whose index was already applied; the entry has no
// effect.
type Repeated struct {
	Applied uint64 // index of the last applied entry
}

func (ManifestResult) result()     {}
func (GroupResult) result()        {}
func (LeaseResult) result()        {}
func (BatchResult) result()        {}
func (QuotaHoldersResult) result() {}
func (Unreadable) result()         {}
func (Repeated) result()           {}
