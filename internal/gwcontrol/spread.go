package gwcontrol

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwmember"
)

// Timing of dissemination.
const (
	pullTimeout       = 2 * time.Second
	directoryInterval = 2 * time.Second
	// repairInterval is the time between two comparisons while directories differ.
	repairInterval = 50 * time.Millisecond
)

// pullView asks for what changed after Index and Number.
type pullView struct {
	Index  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// viewMoved tells that the sender's view is at a newer version.
type viewMoved struct {
	Version gwmember.Version `cbor:"1,keyasint"`
	// Forward asks a relay to tell its own data centre.
	Forward bool `cbor:"2,keyasint,omitempty"`
}

// pullDirectory offers facts and asks for those that the sender lacks.
type pullDirectory struct {
	Digest uint64        `cbor:"1,keyasint"`
	Facts  []ServerFacts `cbor:"2,keyasint,omitempty"`
	// Forward asks a relay to tell its own data centre.
	Forward bool `cbor:"3,keyasint,omitempty"`
}

type directoryFacts struct {
	Facts []ServerFacts `cbor:"1,keyasint,omitempty"`
	// Digest is that of the sender's directory.
	Digest uint64 `cbor:"2,keyasint"`
}

// Disseminator keeps the view and the directory of this instance equal to those of
// the others. Changes are sent to the own data centre and to one member of each
// other data centre, which sends them on; a comparison with a random peer
// repairs what was lost.
type Disseminator struct {
	node      *gwpeer.Node
	clock     clockwork.Clock
	log       *slog.Logger
	members   *Membership
	views     *Views
	directory *Directory
	pulls     chan gwmember.Member
}

// NewDisseminator returns a disseminator; Attach it to a membership before Run.
func NewDisseminator(node *gwpeer.Node, clock clockwork.Clock, log *slog.Logger, views *Views, directory *Directory) *Disseminator {
	s := &Disseminator{node: node, clock: clock, log: log, views: views, directory: directory, pulls: make(chan gwmember.Member, 16)}
	gwpeer.Handle(node, kindPullView, func(_ context.Context, _ string, r pullView) (ViewDelta, error) {
		return compressText(s.views.Current().Since(r.Index, r.Number)), nil
	})
	gwpeer.HandleDatagram(node, kindViewMoved, s.onViewMoved)
	gwpeer.Handle(node, kindDirectory, s.onDirectory)
	return s
}

// Attach sets the membership whose members the disseminator talks to.
func (s *Disseminator) Attach(m *Membership) { s.members = m }

// PeerAhead is the membership's report of a peer with a newer view.
func (s *Disseminator) PeerAhead(a gwmember.PeerAhead) { s.pullFrom(a.Member) }

// pullFrom requests a pull; one that is already waiting suffices.
func (s *Disseminator) pullFrom(m gwmember.Member) {
	select {
	case s.pulls <- m:
	default:
	}
}

// Run pulls views from peers that are ahead and compares directories until ctx ends.
func (s *Disseminator) Run(ctx context.Context) {
	go s.repairDirectory(ctx)
	changed := s.views.Changed()
	// The view may be one that was saved before a restart: nothing would tell
	// the others of it before its next change.
	s.members.SetVersion(s.version())
	s.tellView(false)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.pulls:
			s.pullPatiently(ctx, m)
		case <-changed:
			changed = s.views.Changed()
			s.members.SetVersion(s.version())
			s.tellView(false)
		}
	}
}

// pullPatience is how long a pull may keep the next one waiting: a peer that stands
// still must not hold back what another has.
const pullPatience = 200 * time.Millisecond

func (s *Disseminator) pullPatiently(ctx context.Context, m gwmember.Member) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.pull(ctx, m)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	case <-s.clock.After(pullPatience):
	}
}

// repairDirectory compares directories with random peers: at once when the
// membership changes, and quickly for as long as a comparison finds a difference.
func (s *Disseminator) repairDirectory(ctx context.Context) {
	pause := repairInterval
	for {
		members := s.members.Changed()
		select {
		case <-ctx.Done():
			return
		case <-members:
		case <-s.clock.After(pause):
		}
		pause = directoryInterval
		if !s.compareDirectory(ctx) {
			pause = repairInterval
		}
	}
}

func (s *Disseminator) version() gwmember.Version {
	v := s.views.Current()
	return gwmember.Version{ManifestNumber: v.Number, ControlIndex: v.Index}
}

func (s *Disseminator) pull(ctx context.Context, m gwmember.Member) {
	v := s.views.Current()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	delta, err := gwpeer.Call[pullView, ViewDelta](ctx, s.node, m.Address, kindPullView, pullView{Index: v.Index, Number: v.Number})
	if err != nil {
		s.log.Debug("view not pulled", "from", m.Instance, "error", err)
		return
	}
	if delta, err = decompressText(delta); err == nil {
		_, err = s.views.Apply(delta)
	}
	if err != nil {
		s.log.Warn("view not applied", "from", m.Instance, "error", err)
	}
}

// targets returns the members to tell about a change: all of the own data
// centre, and one of each other, which tells its own.
func (s *Disseminator) targets(ownOnly bool) (near, far []gwmember.Member) {
	t := s.members.Topology()
	others := make(map[string][]gwmember.Member)
	for _, m := range t.Live {
		switch {
		case m.Instance == t.Self.Instance:
		case m.DataCentre == t.Self.DataCentre:
			near = append(near, m)
		case !ownOnly:
			others[m.DataCentre] = append(others[m.DataCentre], m)
		}
	}
	for _, list := range others {
		far = append(far, list[rand.IntN(len(list))])
	}
	return near, far
}

// tellView tells others that this instance has a newer view.
func (s *Disseminator) tellView(ownOnly bool) {
	near, far := s.targets(ownOnly)
	msg := viewMoved{Version: s.version()}
	for _, m := range near {
		_ = s.node.Send(m.Address, kindViewMoved, msg)
	}
	msg.Forward = true
	for _, m := range far {
		_ = s.node.Send(m.Address, kindViewMoved, msg)
	}
}

func (s *Disseminator) onViewMoved(from string, msg viewMoved) {
	if s.members == nil || !msg.Version.Ahead(s.version()) {
		return
	}
	if m, ok := s.members.Topology().Member(from); ok {
		s.pullFrom(m)
	}
}

// Broadcast sends new facts of backend servers to the other instances.
func (s *Disseminator) Broadcast(ctx context.Context, facts []ServerFacts, ownOnly bool) {
	near, far := s.targets(ownOnly)
	msg := pullDirectory{Digest: s.directory.Digest(), Facts: facts}
	for _, m := range near {
		go s.offer(ctx, m, msg)
	}
	msg.Forward = true
	for _, m := range far {
		go s.offer(ctx, m, msg)
	}
}

// offer sends facts to a peer; a comparison makes up for a failure.
func (s *Disseminator) offer(ctx context.Context, m gwmember.Member, msg pullDirectory) {
	_, _ = s.exchange(ctx, m, msg)
}

// compareDirectory compares the directory with that of a random peer, exchanges
// what either lacks, and reports whether they were equal.
func (s *Disseminator) compareDirectory(ctx context.Context) bool {
	t := s.members.Topology()
	if len(t.Live) < 2 {
		return false
	}
	m := t.Live[rand.IntN(len(t.Live))]
	if m.Instance == t.Self.Instance {
		return false
	}
	before := s.directory.Digest()
	theirs, err := s.exchange(ctx, m, pullDirectory{Digest: before})
	if err != nil {
		return true
	}
	if theirs != s.directory.Digest() {
		_, _ = s.exchange(ctx, m, pullDirectory{Digest: before, Facts: s.directory.All()})
	}
	return theirs == before
}

// exchange sends facts or a digest to a peer, merges its answer and returns its digest.
func (s *Disseminator) exchange(ctx context.Context, m gwmember.Member, msg pullDirectory) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := gwpeer.Call[pullDirectory, directoryFacts](ctx, s.node, m.Address, kindDirectory, msg)
	if err != nil {
		s.log.Debug("directory not exchanged", "with", m.Instance, "error", err)
		return 0, err
	}
	s.directory.Merge(answer.Facts)
	return answer.Digest, nil
}

// onDirectory merges offered facts, passes new ones on when asked to, and
// answers a different digest with all facts.
func (s *Disseminator) onDirectory(ctx context.Context, _ string, msg pullDirectory) (directoryFacts, error) {
	fresh := s.directory.Merge(msg.Facts)
	if msg.Forward && len(fresh) > 0 && s.members != nil {
		s.Broadcast(context.WithoutCancel(ctx), fresh, true)
	}
	digest := s.directory.Digest()
	if len(msg.Facts) > 0 || msg.Digest == digest {
		return directoryFacts{Digest: digest}, nil
	}
	return directoryFacts{Facts: s.directory.All(), Digest: digest}, nil
}
