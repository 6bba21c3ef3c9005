package gwcontrol

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwmember"
)

// Timing of the dissemination of views and directories.
const (
	pullTimeout       = 2 * time.Second
	directoryInterval = 2 * time.Second
	// repairInterval is the time between two comparisons while they change a directory;
	// directoryInterval is that while directories are equal, or differ for good because an
	// instance skips an entry of the other one.
	repairInterval = 50 * time.Millisecond
)

// pullView asks for the changes of the view after Index and Number.
type pullView struct {
	Index  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// Base is the number of a manifest that the answer may be encoded against; 0 for none,
	// as from instances of earlier releases.
	Base uint64 `cbor:"3,keyasint,omitempty"`
}

// viewMoved announces the new version of the sender's view.
type viewMoved struct {
	Version gwmember.Version `cbor:"1,keyasint"`
	// Delta holds the last change if it is small, which saves the receiver a pull.
	Delta *ViewDelta `cbor:"3,keyasint,omitempty"`
}

// Disseminator keeps the view and the directory of this instance equal to those of the
// others. An instance that receives a change passes it on to a few members of its own data
// centre (gwmember.Members.Forward), and a relay also to one relay of each other data
// centre. Comparing the directory with that of one of these members repairs the effect of
// lost messages.
type Disseminator struct {
	node      *gwpeer.Node
	clock     clockwork.Clock
	log       *slog.Logger
	members   *Membership
	views     *Views
	directory *Directory
	pulls     chan viewOffer
}

// viewOffer is a member that has a newer view.
type viewOffer struct {
	member  gwmember.Member
	version gwmember.Version
}

// NewDisseminator returns a disseminator; Attach it to a membership before Run.
func NewDisseminator(node *gwpeer.Node, clock clockwork.Clock, log *slog.Logger, views *Views, directory *Directory) *Disseminator {
	d := &Disseminator{node: node, clock: clock, log: log, views: views, directory: directory, pulls: make(chan viewOffer, 16)}
	gwpeer.Handle(node, kindPullView, func(_ context.Context, _ string, r pullView) (ViewDelta, error) {
		return d.views.EncodeSince(r.Index, r.Number, r.Base)
	})
	gwpeer.HandleDatagram(node, kindViewMoved, d.onViewMoved)
	gwpeer.Handle(node, kindDirectory, d.onDirectory)
	return d
}

// Attach sets the membership whose members the disseminator exchanges messages with.
func (d *Disseminator) Attach(m *Membership) { d.members = m }

// PeerAhead pulls the view of a peer that the membership has found to have a newer one.
func (d *Disseminator) PeerAhead(a gwmember.PeerAhead) {
	d.pullFrom(viewOffer{member: a.Member, version: a.Version})
}

// pullFrom queues a pull. If the queue is full, it does nothing, as the pulls that are
// waiting suffice.
func (d *Disseminator) pullFrom(o viewOffer) {
	select {
	case d.pulls <- o:
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
	announced := d.announceView(d.views.Current())
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-d.pulls:
			if o.version.Ahead(d.version()) { // not received from another member meanwhile
				d.pullBounded(ctx, o.member)
			}
		case <-changed:
			changed = d.views.Changed()
			d.members.SetVersion(d.version())
			announced = d.announceView(announced)
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

// repairDirectory compares the directory with those of other instances: soon after the
// first other member is known, and at repairInterval while a comparison changes one of them.
func (d *Disseminator) repairDirectory(ctx context.Context) {
	pause := repairInterval
	for {
		var members <-chan struct{}
		if len(d.members.Topology().Live) < 2 {
			members = d.members.Changed()
		}
		select {
		case <-ctx.Done():
			return
		case <-members:
		case <-d.clock.After(pause):
		}
		pause = directoryInterval
		if d.compareDirectory(ctx) {
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
	delta, err := gwpeer.Call[pullView, ViewDelta](ctx, d.node, m.Address, kindPullView, pullView{Index: v.Index, Number: v.Number, Base: v.Number})
	if err != nil {
		d.log.Debug("view not pulled", "from", m.Instance, "error", err)
		return
	}
	_, err = d.views.ApplyEncoded(delta)
	if err != nil && delta.Base > 0 {
		delta, err = gwpeer.Call[pullView, ViewDelta](ctx, d.node, m.Address, kindPullView, pullView{Index: v.Index, Number: v.Number})
		if err == nil {
			_, err = d.views.ApplyEncoded(delta)
		}
	}
	if err != nil {
		d.log.Warn("view not applied", "from", m.Instance, "error", err)
	}
}

// targets returns the members that a change is passed on to: some of the own data centre
// and, if everywhere is set, one relay of each other data centre.
func (d *Disseminator) targets(everywhere bool) []gwmember.Member {
	t := d.members.Topology()
	out := slices.Clone(t.Forward)
	if everywhere {
		for _, relays := range t.Relays {
			out = append(out, relays[rand.IntN(len(relays))])
		}
	}
	return out
}

// maxPushedGroups is the number of changed groups up to which an announcement contains the
// change itself.
const maxPushedGroups = 4

// announceView announces the version of this instance's view, with the changes since
// before if they are small, and returns that view.
func (d *Disseminator) announceView(before *View) *View {
	v := d.views.Current()
	msg := viewMoved{Version: gwmember.Version{ManifestNumber: v.Number, ControlIndex: v.Index}}
	if delta := v.Since(before.Index, before.Number); before.Index > 0 && len(delta.Text) == 0 && len(delta.Groups) <= maxPushedGroups {
		msg.Delta = &delta
	}
	for _, m := range d.targets(d.members.Topology().IsRelay) {
		if err := d.node.SendDatagram(m.Address, kindViewMoved, msg); err != nil {
			d.log.Debug("view not announced", "to", m.Instance, "error", err)
		}
	}
	return v
}

func (d *Disseminator) onViewMoved(from string, msg viewMoved) {
	if d.members == nil || !msg.Version.Ahead(d.version()) {
		return
	}
	if msg.Delta != nil {
		// A delta that starts after the own view is refused and pulled instead.
		if _, err := d.views.Apply(*msg.Delta); err == nil && !msg.Version.Ahead(d.version()) {
			return
		}
	}
	if m, ok := d.members.Topology().Member(from); ok {
		d.pullFrom(viewOffer{member: m, version: msg.Version})
	}
}

// Broadcast sends new facts of backend servers to the other instances. The instance at
// which a server has announced itself sends them to all data centres.
func (d *Disseminator) Broadcast(ctx context.Context, facts []ServerFacts) {
	d.passOn(ctx, facts, true)
}

// passOn sends facts to the members that changes are passed on to.
func (d *Disseminator) passOn(ctx context.Context, facts []ServerFacts, everywhere bool) {
	msg := pullDirectory{Digest: d.directory.Digest(), Facts: facts}
	for _, m := range d.targets(everywhere) {
		go d.push(ctx, m, msg)
	}
}

// push sends facts to a peer. If it fails, a later comparison repairs the difference.
func (d *Disseminator) push(ctx context.Context, m gwmember.Member, msg pullDirectory) {
	_, _ = d.exchange(ctx, m, msg)
}

// compareDirectory compares the directory with that of one of the members that changes are
// passed on to, and reports whether this has changed one of them.
func (d *Disseminator) compareDirectory(ctx context.Context) bool {
	peers := d.targets(d.members.Topology().IsRelay)
	if len(peers) == 0 {
		return false // no other instance is known yet
	}
	m := peers[rand.IntN(len(peers))]
	changed, err := d.directory.compare(func(msg pullDirectory) (directoryFacts, error) { return d.exchange(ctx, m, msg) })
	return err == nil && changed
}

// exchange sends facts or a digest to a peer and merges the facts in its answer.
func (d *Disseminator) exchange(ctx context.Context, m gwmember.Member, msg pullDirectory) (directoryFacts, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := gwpeer.Call[pullDirectory, directoryFacts](ctx, d.node, m.Address, kindDirectory, msg)
	if err != nil {
		d.log.Debug("directory not exchanged", "with", m.Instance, "error", err)
		return answer, err
	}
	d.directory.Merge(d.usable(m.Instance, answer.Facts))
	return answer, nil
}

// usable returns the facts of a peer's message that can be recorded.
func (d *Disseminator) usable(from string, facts []ServerFacts) []ServerFacts {
	return Usable(facts, func(f ServerFacts, err error) {
		d.log.Warn("entry of a peer's directory skipped", "from", from, "server", f.Server, "error", err.Error())
	})
}

// onDirectory merges the received facts, passes new ones on and answers.
func (d *Disseminator) onDirectory(ctx context.Context, from string, msg pullDirectory) (directoryFacts, error) {
	fresh := d.directory.Merge(d.usable(from, msg.Facts))
	if len(fresh) > 0 && d.members != nil {
		d.passOn(context.WithoutCancel(ctx), fresh, d.members.Topology().IsRelay)
	}
	return d.directory.answer(msg), nil
}
