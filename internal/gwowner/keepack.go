package gwowner

import (
	"context"
	"time"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/pkg/gwsession"
)

// backupPatience is how long a commit waits for the backup alone. Then it also asks the replicas, which
// costs a slot of each.
const backupPatience = 50 * time.Millisecond

// guardsAcks reports whether positions of the server's group are kept before they are acknowledged.
func (s *server) guardsAcks() bool {
	return s.owner.guard.Acks != nil && !s.owner.unconfirmed(s.facts().Group)
}

// groupBackup returns the backup of the acknowledged positions of the server's group.
func (s *server) groupBackup() *ackBackup { return s.owner.ackBackup(s.facts().Group) }

// keepAck waits until the position of a commit is safe: the backup has stored it, or a replica has
// received it. It returns the choice of the backup, 0 for a replica, and false if ctx or the term ends
// before.
//
// A shared position includes other commits, which no replica may have received yet. If the primary were
// lost, no server would have what was acknowledged, and the group would wait for good. So it is kept
// once these are answered, too, which takes no longer than it takes a replica to receive them.
func (s *server) keepAck(ctx context.Context, term uint64, p gwsession.Position, shared bool) (choice uint64, ok bool) {
	b := s.groupBackup()
	w := b.submit(p)
	defer b.remove(w)
	if shared {
		s.answered.await(ctx, s.owner.clock, p)
	}
	patience := backupPatience
	if st := b.state(); !st.ready || st.instance == "" {
		patience = 0
	}
	t := s.owner.clock.NewTimer(patience)
	defer t.Stop()
	select {
	case <-w.done:
		return b.state().choice, true
	case <-ctx.Done():
		return 0, false
	case <-t.Chan():
	}
	ctx, cancel := s.whileServing(ctx, term)
	defer cancel()
	received := make(chan error, 1)
	go func() { received <- s.confirm.wait(ctx, p) }()
	select {
	case <-w.done:
		return b.state().choice, true
	case err := <-received:
		return 0, err == nil
	}
}

// whileServing returns a context that ends when the group's term ends, or a change of primary begins.
func (s *server) whileServing(ctx context.Context, term uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			changed := s.owner.views.Changed()
			if g := s.group(); g.Term != term || g.Changing {
				cancel()
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	}()
	return ctx, cancel
}

// storeAcked extends the own record. complete means that p covers what earlier holders acknowledged.
func (s *server) storeAcked(term uint64, p gwsession.Position, complete bool) {
	r := s.owner.ackRecord(s.facts().Group, term, p)
	r.Complete = complete
	s.owner.guard.Acks.Store(r)
}

// wantedKeepers returns the record of the keepers that this instance wants in the log; zero while there
// is none, as the backup has to store something first.
func (s *server) wantedKeepers(term uint64) gwcontrol.AckKeepersRequest {
	o := s.owner
	g := s.group()
	epoch := o.guard.Epoch()
	if g.Term != term || g.Primary != s.facts().Server || g.Changing || epoch == 0 {
		return gwcontrol.AckKeepersRequest{}
	}
	b := s.groupBackup()
	b.prime(g.Start)
	grant := o.leases.Grant(g.Group)
	_, covered := s.barrierPosition(leasePeriod{term: term, grant: grant})
	st := b.state() // after the barrier: what that covers is stored if the backup is ready
	if !st.ready {
		return gwcontrol.AckKeepersRequest{}
	}
	return gwcontrol.AckKeepersRequest{
		Holder: o.self(), Epoch: epoch, Backup: st.instance, Grant: grant, Covered: covered && grant != 0, Choice: st.choice,
	}
}

// backupRecorded reports whether the log names, under the present lease, the backup of a choice or of a
// later one.
func (s *server) backupRecorded(term, choice uint64) bool {
	o := s.owner
	grant := o.leases.Grant(s.facts().Group)
	return grant != 0 && s.groupBackup().isRecorded(term, gwcontrol.AckKeepersRequest{
		Holder: o.self(), Epoch: o.guard.Epoch(), Grant: grant, Choice: choice,
	})
}
