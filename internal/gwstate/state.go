package gwstate

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Number of latest manifests whose texts and whose digests are kept.
const (
	keptTexts   = 20
	keptDigests = 1000
)

// keptTextBytes bounds the compressed texts that are kept before the current one. A snapshot of the
// state is sent to each new member, in one message of 16 MiB at most; 20 texts of the largest
// configurations, 8 MiB each, do not fit.
const keptTextBytes = 256 << 10

// State is the replicated state.
type State struct {
	clock *LeaseClock

	mu        sync.RWMutex
	index     uint64
	manifests []manifestRecord // oldest first, consecutive numbers
	groups    map[string]Group
	leases    map[string]Lease
	// quotaHolders is nil if it was never set; it is replaced, never changed.
	quotaHolders []string
}

// New returns an empty state. The LeaseClock takes drift as the greatest relative
// difference between the rates of two instances' clocks.
func New(drift float64) *State {
	return &State{clock: newLeaseClock(drift), groups: map[string]Group{}, leases: map[string]Lease{}}
}

// Clock returns the state's lease clock.
func (s *State) Clock() *LeaseClock { return s.clock }

// Index returns the control index: the log index of the last applied entry.
func (s *State) Index() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index
}

// Manifest returns the current manifest; its number is 0 if there is none.
func (s *State) Manifest() Manifest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current()
}

func (s *State) current() Manifest {
	if len(s.manifests) == 0 {
		return Manifest{}
	}
	return s.manifests[len(s.manifests)-1].Manifest
}

// History returns the latest manifests, at most 1,000, oldest first. Only the
// current one has its text; ManifestText returns those of the latest 20, or fewer if they are large.
func (s *State) History() []Manifest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]Manifest, len(s.manifests))
	for i, r := range s.manifests {
		out[i] = r.Manifest
	}
	return out
}

// ManifestText returns the text of one of the latest 20 manifests, or fewer if their compressed
// texts exceed keptTextBytes.
func (s *State) ManifestText(number uint64) (string, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	i := slices.IndexFunc(s.manifests, func(r manifestRecord) bool { return r.Manifest.Number == number })
	switch {
	case i < 0 || i < len(s.manifests)-keptTexts:
		return "", false
	case i == len(s.manifests)-1:
		return s.manifests[i].Manifest.Text, true
	}
	if len(s.manifests[i].CompressedText) == 0 {
		return "", false
	}
	text, err := decompress(s.manifests[i].CompressedText)
	return string(text), err == nil
}

// Groups returns all groups, sorted by name.
func (s *State) Groups() []Group {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return sortedValues(s.groups)
}

// Group returns one group.
func (s *State) Group(name string) (Group, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	g, ok := s.groups[name]
	return g, ok
}

// QuotaHolders returns the names of the instances that may hold shares of customers' limits, and
// whether they were ever recorded.
func (s *State) QuotaHolders() (names []string, recorded bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.quotaHolders, s.quotaHolders != nil
}

// Lease returns the recorded lease of a group, which may have expired.
func (s *State) Lease(group string) (Lease, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.leases[group]
	return l, ok
}

// Leases returns all recorded leases, sorted by group.
func (s *State) Leases() []Lease {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return sortedValues(s.leases)
}

func sortedValues[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name])
	}
	return out
}

// FillPrevious returns g with Previous set for every requested group whose recorded
// lease has expired by this node's LeaseClock, and 0 for the others. Only the leader
// may call it.
func (s *State) FillPrevious(g GrantLeases, now time.Time) GrantLeases {
	g.Leases = slices.Clone(g.Leases)
	for i := range g.Leases {
		g.Leases[i].Previous = 0
		if seq, ok := s.clock.Expired(g.Leases[i].Group, now); ok {
			g.Leases[i].Previous = seq
		}
	}
	return g
}
