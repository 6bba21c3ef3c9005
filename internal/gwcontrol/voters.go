package gwcontrol

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io/fs"
	"path"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// voterInfo is what a voter tells about itself.
type voterInfo struct {
	ID string `cbor:"1,keyasint"`
	// Initialized means that the voter knows a replicated log.
	Initialized bool `cbor:"2,keyasint"`
}

// identityFile holds the identity of a voter in its data folder.
const identityFile = "voter"

// Timing of voters.
const (
	identityInterval = 20 * time.Millisecond
	voterTimeout     = 500 * time.Millisecond
	votersInterval   = 250 * time.Millisecond
	identityBytes    = 8
)

// IdentityOptions configures the choice of a voter's identity.
type IdentityOptions struct {
	Instance string
	Node     *gwpeer.Node
	Clock    clockwork.Clock
	FS       gwstore.FS
	Folder   string
	// StoreEmpty means that the store has never been written to.
	StoreEmpty bool
	// InitialVoters are the peer addresses of the first voters by instance; empty on an
	// instance that the manifest of the first start does not list.
	InitialVoters map[string]string
}

// LoadIdentity returns the identity of a voter: the saved one, the first one when
// the whole system starts, and a new one when this instance has lost its data.
//
// The whole system starts if every first voter answers that it knows no
// replicated log. Until all have answered, the voter waits: one that cannot be
// asked may know the log in which this instance has voted.
func LoadIdentity(ctx context.Context, o IdentityOptions) (Identity, error) {
	saved, err := o.FS.ReadFile(path.Join(o.Folder, identityFile))
	if err == nil {
		return Identity{ID: string(saved)}, nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return Identity{}, err
	}
	identity := Identity{ID: o.Instance}
	if o.StoreEmpty {
		fresh, err := o.wholeSystemStarts(ctx)
		if err != nil {
			return Identity{}, err
		}
		if fresh {
			for name := range o.InitialVoters {
				identity.First = append(identity.First, name)
			}
			slices.Sort(identity.First)
		} else {
			identity.ID = newIdentity(o.Instance)
		}
	}
	if err := gwstore.WriteFile(o.FS, o.Folder, identityFile, []byte(identity.ID)); err != nil {
		return Identity{}, err
	}
	return identity, nil
}

func newIdentity(instance string) string {
	var b [identityBytes]byte
	_, _ = rand.Read(b[:])
	return instance + identitySeparator + hex.EncodeToString(b[:])
}

// wholeSystemStarts asks the other first voters until one knows a log or all
// have answered that they do not.
func (o IdentityOptions) wholeSystemStarts(ctx context.Context) (bool, error) {
	if _, listed := o.InitialVoters[o.Instance]; !listed {
		return false, nil
	}
	waiting := make(map[string]string)
	for name, address := range o.InitialVoters {
		if name != o.Instance {
			waiting[name] = address
		}
	}
	for len(waiting) > 0 {
		for name, address := range waiting {
			info, err := askVoter(ctx, o.Node, address)
			switch {
			case err != nil:
			case info.Initialized:
				return false, nil
			default:
				delete(waiting, name)
			}
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-o.Clock.After(identityInterval):
		}
	}
	return true, nil
}

func askVoter(ctx context.Context, node *gwpeer.Node, address string) (voterInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, voterTimeout)
	defer cancel()
	return gwpeer.Call[Empty, voterInfo](ctx, node, address, kindVoter, Empty{})
}

// ServeIdentity answers other voters that ask for this voter's identity. Every
// instance that may become a voter serves it, so that the first start of the
// whole system can be told from a loss of data.
func (c *Consensus) ServeIdentity(hasData bool) {
	gwpeer.Handle(c.Node, kindVoter, func(context.Context, string, Empty) (voterInfo, error) {
		st := c.Status()
		return voterInfo{ID: st.ID, Initialized: hasData || st.Commit > 0}, nil
	})
}

// keepVotersOnce runs keepVoters unless an earlier run has not ended.
func (l *Leader) keepVotersOnce(ctx context.Context, wanted map[string]string) {
	if !l.keeping.CompareAndSwap(false, true) {
		return
	}
	defer l.keeping.Store(false)
	l.keepVoters(ctx, wanted)
}

// keepVoters makes the members of the replicated log those of the manifest, one
// change at a time: new ones are added as learners, promoted once they have
// caught up, and only then are others removed.
func (l *Leader) keepVoters(ctx context.Context, wanted map[string]string) {
	st := l.consensus.Status()
	current := make(map[string]bool)
	for name, address := range wanted {
		current[l.currentIdentity(ctx, name, address, st)] = true
	}
	silent := l.silentVoters(st, wanted)
	for _, id := range silent {
		current[id] = true
	}
	number := len(current)
	if !l.votersListed() {
		number = oddVoters(number)
	}
	if change, ok := nextChange(st, current, silent, number); ok {
		if change.Kind == gwquorum.Remove && change.Instance == st.ID {
			l.consensus.TransferLeadership(ctx)
			return
		}
		err := l.consensus.Change(ctx, change)
		l.log.Info("voters change", "kind", int(change.Kind), "voter", change.Instance, "error", err)
	}
}

// currentIdentity returns the identity under which an instance takes part now,
// or the one that the log knows if the instance does not answer.
func (l *Leader) currentIdentity(ctx context.Context, name, address string, st gwquorum.Status) string {
	if name == l.Instance() {
		return st.ID
	}
	if info, err := askVoter(ctx, l.consensus.Node, address); err == nil && info.ID != "" {
		return info.ID
	}
	for _, id := range slices.Concat(st.Voters, st.Learners) {
		if voterName(id) == name {
			return id
		}
	}
	return name
}

// silentVoters returns the voters that no manifest lists and that are not live.
// They stay voters until an instance that can take their place has caught up.
func (l *Leader) silentVoters(st gwquorum.Status, wanted map[string]string) []string {
	if l.votersListed() {
		return nil
	}
	var out []string
	for _, id := range st.Voters {
		if _, live := wanted[voterName(id)]; !live {
			out = append(out, id)
		}
	}
	return out
}

// votersListed reports whether the manifest names the voters.
func (l *Leader) votersListed() bool {
	m := l.manifest()
	return m != nil && len(m.Manifest().Voters) > 0
}

// oddVoters returns how many of n instances vote; the others are spare. Of an even
// number, two halves that lose each other would both be without a quorum: six voters in
// two halves stopped all writes for 6 s.
func oddVoters(n int) int {
	if n > 2 && n%2 == 0 {
		return n - 1
	}
	return n
}

// nextChange returns the next step from the members of the log to current, of which
// the given number are voters and the others learners. A silent voter makes room for a
// learner that has caught up.
func nextChange(st gwquorum.Status, current map[string]bool, silent []string, number int) (gwquorum.Change, bool) {
	voters := 0
	for _, id := range st.Voters {
		if current[id] {
			voters++
		}
	}
	for id := range current {
		if !slices.Contains(st.Voters, id) && !slices.Contains(st.Learners, id) {
			return gwquorum.Change{Kind: gwquorum.AddLearner, Instance: id}, true
		}
	}
	for _, id := range st.Learners {
		if !current[id] {
			return gwquorum.Change{Kind: gwquorum.Remove, Instance: id}, true
		}
	}
	for _, id := range st.Learners {
		if caughtUp(st, id) {
			if len(silent) > 0 {
				return gwquorum.Change{Kind: gwquorum.Remove, Instance: silent[0]}, true
			}
			if voters < number {
				return gwquorum.Change{Kind: gwquorum.Promote, Instance: id}, true
			}
		}
	}
	if voters < number && len(st.Learners) > 0 {
		return gwquorum.Change{}, false
	}
	for _, id := range st.Voters {
		if !current[id] {
			return gwquorum.Change{Kind: gwquorum.Remove, Instance: id}, true
		}
	}
	return gwquorum.Change{}, false
}

// caughtUp reports whether a learner answers and has synced what is committed.
func caughtUp(st gwquorum.Status, id string) bool {
	return slices.ContainsFunc(st.Peers, func(p gwquorum.PeerStatus) bool {
		return p.Instance == id && p.Active && p.Match >= st.Commit
	})
}
