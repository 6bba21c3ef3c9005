package gwstate

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

type snapshot struct {
	Version   uint64           `cbor:"1,keyasint"`
	Index     uint64           `cbor:"2,keyasint"`
	Manifests []manifestRecord `cbor:"3,keyasint"`
	Groups    []Group          `cbor:"4,keyasint"`
	Leases    []Lease          `cbor:"5,keyasint"`
	// QuotaHolders is nil if it was never set.
	QuotaHolders []string `cbor:"6,keyasint,omitzero"`
}

// snapshotDecoder decodes what Snapshot encodes. The decoder's default limit of elements would refuse a
// snapshot of 131,073 groups, and no voter would start again; maxDecompressedBytes bounds them.
var snapshotDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Snapshot returns the encoded and compressed state. Equal states have equal
// encodings within one build of the program.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	b, err := cbor.Marshal(snapshot{
		Version: snapshotVersion, Index: s.index, Manifests: s.manifests,
		Groups: sortedValues(s.groups), Leases: sortedValues(s.leases), QuotaHolders: s.quotaHolders,
	})
	if err != nil {
		return nil, wrap("encode snapshot", KindEncode, err)
	}
	return compress(b), nil
}

// Restore replaces the state with that of a snapshot; empty data is the empty state.
// The wait of every lease restarts at now.
func (s *State) Restore(data []byte, now time.Time) error {
	snap := snapshot{Version: snapshotVersion}
	if len(data) > 0 {
		b, err := decompress(data)
		if err != nil {
			return wrap("restore snapshot", KindSnapshot, err)
		}
		if err := snapshotDecoder.Unmarshal(b, &snap); err != nil {
			return wrap("restore snapshot", KindSnapshot, err)
		}
	}
	if snap.Version != snapshotVersion {
		return wrap("restore snapshot", KindSnapshot, errors.Newf("snapshot version %d is not supported", snap.Version))
	}
	groups, leases := map[string]Group{}, map[string]Lease{}
	for _, g := range snap.Groups {
		groups[g.Name] = g
	}
	for _, l := range snap.Leases {
		leases[l.Group] = l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index, s.manifests, s.groups, s.leases = snap.Index, snap.Manifests, groups, leases
	s.quotaHolders = snap.QuotaHolders
	s.clock.restore(leases, now)
	return nil
}
