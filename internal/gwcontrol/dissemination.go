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

// Timing of the dissemination of views and directories.
const (
	pullTimeout       = 2 * time.Second
	directoryInterval = 2 * time.Second
	// repairInterval is the time between two comparisons while directories differ;
	// directoryInterval is that while they are equal.
	repairInterval = 50 * time.Millisecond
)

// pullView asks for the changes of the view after Index and Number.
type pullView struct {
	Index  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// viewMoved announces the new version of the sender's view.
type viewMoved struct {
	Version gwmember.Version `cbor:"1,keyasint"`
	// Forward marks a message that is sent to another data centre.
	Forward bool `cbor:"2,keyasint,omitempty"`
}

// pullDirectory sends facts, or only a digest to ask for all facts if the receiver's
// directory differs.
type pullDirectory struct {
	Digest uint64        `cbor:"1,keyasint"`
	Facts  []ServerFacts `cbor:"2,keyasint,omitempty"`
	// Forward asks the receiver to send new facts on to its own data centre.
	Forward bool `cbor:"3,keyasint,omitempty"`
}

type directoryFacts struct {
	Facts []ServerFacts `cbor:"1,keyasint,omitempty"`
	// Digest is the digest of the sender's directory.
	Digest uint64 `cbor:"2,keyasint"`
}

// Disseminator keeps the view and the directory of this instance equal to those of the
// others. Changes are sent to all members of the own data centre and to one member of
// each other data centre, which sends them on. Comparing the directory with that of a
// random peer repairs the effect of lost messages.
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
	d := &Disseminator{node: node, clock: clock, log: log, views: views, directory: directory, pulls: make(chan gwmember.Member, 16)}
	gwpeer.Handle(node, kindPullView, func(_ context.Context, _ string, r pullView) (ViewDelta, error) {
		return compressText(d.views.Current().Since(r.Index, r.Number)), nil
	})
	gwpeer.HandleDatagram(node, kindViewMoved, d.onViewMoved)
	gwpeer.Handle(node, kindDirectory, d.onDirectory)
	return d
}

// Attach sets the membership whose members the disseminator exchanges messages with.
func (d *Disseminator) Attach(m *Membership) { d.members = m }

// PeerAhead pulls the view of a peer that the membership has found to have a newer one.
func (d *Disseminator) PeerAhead(a gwmember.PeerAhead) { d.pullFrom(a.Member) }

// pullFrom queues a pull. If the queue is full, it does nothing, as the pulls that are
// waiting suffice.
func (d *Disseminator) pullFrom(m gwmember.Member) {
	select {
	case d.pulls <- m:
	default:
	}
}

// Run pulls views from peers that have newer ones, announces changes of the view and
// compares directories until ctx ends.
func (d *Disseminator) Run(ctx context.Context) {
	go d.repairDirectory(ctx)
	changed := d.views.Changed()
	// The view may have been restored after a restart. Without this, the others would
	// not learn of it before its next change.
	d.members.SetVersion(d.version())
	d.broadcastView(false)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.pulls:
			d.pullBounded(ctx, m)
		case <-changed:
			changed = d.views.Changed()
			d.members.SetVersion(d.version())
			d.broadcastView(false)
		}
	}
}

// maxPullWait is how long a pull may delay the next one: an unresponsive peer must not
// delay the view that another peer has.
const maxPullWait = 200 * time.Millisecond

func (d *Disseminator) pullBounded(ctx context.Context, m gwmember.Member) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.pull(ctx, m)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	case <-d.clock.After(maxPullWait):
	}
}

// repairDirectory compares the directory with those of random peers: immediately when
// the membership changes, and at repairInterval while a comparison finds a difference.
func (d *Disseminator) repairDirectory(ctx context.Context) {
	pause := repairInterval
	for {
		members := d.members.Changed()
		select {
		case <-ctx.Done():
			return
		case <-members:
		case <-d.clock.After(pause):
		}
		pause = directoryInterval
		if !d.compareDirectory(ctx) {
			pause = repairInterval
		}
	}
}

func (d *Disseminator) version() gwmember.Version {
	v := d.views.Current()
	return gwmember.Version{ManifestNumber: v.Number, ControlIndex: v.Index}
}

func (d *Disseminator) pull(ctx context.Context, m gwmember.Member) {
	v := d.views.Current()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	delta, err := gwpeer.Call[pullView, ViewDelta](ctx, d.node, m.Address, kindPullView, pullView{Index: v.Index, Number: v.Number})
	if err != nil {
		d.log.Debug("view not pulled", "from", m.Instance, "error", err)
		return
	}
	if delta, err = decompressText(delta); err == nil {
		_, err = d.views.Apply(delta)
	}
	if err != nil {
		d.log.Warn("view not applied", "from", m.Instance, "error", err)
	}
}

// targets returns the members to send a change to: all others of the own data centre,
// and unless localOnly, one member of each other data centre, which sends it on.
func (d *Disseminator) targets(localOnly bool) (local, remote []gwmember.Member) {
	t := d.members.Topology()
	others := make(map[string][]gwmember.Member)
	for _, m := range t.Live {
		switch {
		case m.Instance == t.Self.Instance:
		case m.DataCentre == t.Self.DataCentre:
			local = append(local, m)
		case !localOnly:
			others[m.DataCentre] = append(others[m.DataCentre], m)
		}
	}
	for _, list := range others {
		remote = append(remote, list[rand.IntN(len(list))])
	}
	return local, remote
}

// broadcastView announces the version of this instance's view.
func (d *Disseminator) broadcastView(localOnly bool) {
	local, remote := d.targets(localOnly)
	msg := viewMoved{Version: d.version()}
	for _, m := range local {
		_ = d.node.SendDatagram(m.Address, kindViewMoved, msg)
	}
	msg.Forward = true
	for _, m := range remote {
		_ = d.node.SendDatagram(m.Address, kindViewMoved, msg)
	}
}

func (d *Disseminator) onViewMoved(from string, msg viewMoved) {
	if d.members == nil || !msg.Version.Ahead(d.version()) {
		return
	}
	if m, ok := d.members.Topology().Member(from); ok {
		d.pullFrom(m)
	}
}

// Broadcast sends new facts of backend servers to the other instances, or with localOnly
// to those of the own data centre.
func (d *Disseminator) Broadcast(ctx context.Context, facts []ServerFacts, localOnly bool) {
	local, remote := d.targets(localOnly)
	msg := pullDirectory{Digest: d.directory.Digest(), Facts: facts}
	for _, m := range local {
		go d.push(ctx, m, msg)
	}
	msg.Forward = true
	for _, m := range remote {
		go d.push(ctx, m, msg)
	}
}

// push sends facts to a peer. If it fails, a later comparison repairs the difference.
func (d *Disseminator) push(ctx context.Context, m gwmember.Member, msg pullDirectory) {
	_, _ = d.exchange(ctx, m, msg)
}

// compareDirectory compares the directory with that of a random peer, exchanges the
// facts that differ, and reports whether the two were equal. It also reports true if the
// peer did not answer, and false if no other member was chosen.
func (d *Disseminator) compareDirectory(ctx context.Context) bool {
	t := d.members.Topology()
	if len(t.Live) < 2 {
		return false
	}
	m := t.Live[rand.IntN(len(t.Live))]
	if m.Instance == t.Self.Instance {
		return false
	}
	before := d.directory.Digest()
	theirs, err := d.exchange(ctx, m, pullDirectory{Digest: before})
	if err != nil {
		return true
	}
	if theirs != d.directory.Digest() {
		_, _ = d.exchange(ctx, m, pullDirectory{Digest: before, Facts: d.directory.All()})
	}
	return theirs == before
}

// exchange sends facts or a digest to a peer, merges the facts in its answer and returns
// the peer's digest.
func (d *Disseminator) exchange(ctx context.Context, m gwmember.Member, msg pullDirectory) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := gwpeer.Call[pullDirectory, directoryFacts](ctx, d.node, m.Address, kindDirectory, msg)
	if err != nil {
		d.log.Debug("directory not exchanged", "with", m.Instance, "error", err)
		return 0, err
	}
	d.directory.Merge(answer.Facts)
	return answer.Digest, nil
}

// onDirectory merges the received facts and sends new ones on if Forward is set. It
// answers a message without facts with all facts if the digests differ.
func (d *Disseminator) onDirectory(ctx context.Context, _ string, msg pullDirectory) (directoryFacts, error) {
	fresh := d.directory.Merge(msg.Facts)
	if msg.Forward && len(fresh) > 0 && d.members != nil {
		d.Broadcast(context.WithoutCancel(ctx), fresh, true)
	}
	digest := d.directory.Digest()
	if len(msg.Facts) > 0 || msg.Digest == digest {
		return directoryFacts{Digest: digest}, nil
	}
	return directoryFacts{Facts: d.directory.All(), Digest: digest}, nil
}
