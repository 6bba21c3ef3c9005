package gwowner

import (
	"context"
	"slices"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/pkg/gwlease"
	"gentianward.example/gentianward/pkg/gwmember"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Timing of the backup of acknowledged positions.
const (
	// storeTimeout bounds one message to the backup.
	storeTimeout = 200 * time.Millisecond
	// backupRetryDelay is the wait before a backup is looked for again while there is none.
	backupRetryDelay = 100 * time.Millisecond
	// backupReviewInterval is the time between two checks whether another backup would be better.
	backupReviewInterval = time.Second
	// backupAvoidance is how long an instance that did not store a position is not chosen again.
	backupAvoidance = 5 * time.Second
)

// AckGuard makes an owner acknowledge a write only once a second instance has stored its position, or
// a recorded replica has it. Servers that answer a write when any replica has it do not tell which
// one: it may be one of which nobody has heard, and nobody would miss it in a change of primary.
type AckGuard struct {
	// Acks holds the positions of this instance; nil for no guard.
	Acks *gwcontrol.Acks
	// Epoch returns the epoch of the instance's leases, 0 if it has none yet.
	Epoch func() uint64
	// Voters returns the addresses of the voters by instance. They are preferred as backups: a change
	// of primary takes place only on a side of a partition that has most of them.
	Voters func() map[string]string
}

// ackBackup stores the positions of the commits of one group at another instance before they are
// acknowledged. One message carries the greatest of them.
//
// The first message to an instance carries the greatest position that was submitted before it was
// chosen, so that what an earlier backup has stored, the present one has too.
type ackBackup struct {
	owner *Owner
	group string

	mu sync.Mutex
	// instance is the backup, empty while there is none. choice counts the choices.
	instance string
	choice   uint64
	// primed means that instance has stored primeTo: all that was submitted before it was chosen, and
	// what prime was called with.
	primed  bool
	primeTo gwsession.Position
	// none means that no instance could be chosen.
	none bool
	// submitted is the greatest position that the backup is to store.
	submitted gwsession.Position
	waiters   []*commitWaiter
	sending   bool
	// failedAt holds when instances last did not store a position.
	failedAt   map[string]time.Time
	reviewedAt time.Time
	// recorded holds who is known to be recorded as keepers of the acknowledged position, in
	// recordedTerm.
	recorded     gwcontrol.AckKeepersRequest
	recordedTerm uint64
}

// ackBackup returns the backup of a group's acknowledged positions. It outlives the servers of the
// group that this instance owns: one may still be draining when it is opened again.
func (o *Owner) ackBackup(group string) *ackBackup {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.backups[group]
	if b == nil {
		b = &ackBackup{owner: o, group: group, failedAt: make(map[string]time.Time)}
		if o.backups == nil {
			o.backups = make(map[string]*ackBackup)
		}
		o.backups[group] = b
	}
	return b
}

// backupState describes the backup as it may be recorded.
type backupState struct {
	instance string
	choice   uint64
	// ready means that the choice may be recorded: the instance is primed, or there is none.
	ready bool
}

func (b *ackBackup) state() backupState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return backupState{instance: b.instance, choice: b.choice, ready: b.primed || b.none}
}

// setRecorded records which keepers the log names in a term.
func (b *ackBackup) setRecorded(term uint64, k gwcontrol.AckKeepersRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordedTerm, b.recorded = term, k
}

// isRecorded reports whether the log names the keepers that are wanted, or the backup of a later choice,
// which has what the earlier one had.
func (b *ackBackup) isRecorded(term uint64, k gwcontrol.AckKeepersRequest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.recorded
	return b.recordedTerm == term && r.Holder == k.Holder && r.Epoch == k.Epoch && r.Grant == k.Grant && r.Choice >= k.Choice
}

// submit adds a position to those that the backup is to store. It returns the wait for it.
func (b *ackBackup) submit(p gwsession.Position) *commitWaiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &commitWaiter{position: p, done: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.raise(p)
	return w
}

func (b *ackBackup) remove(w *commitWaiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters = slices.DeleteFunc(b.waiters, func(v *commitWaiter) bool { return v == w })
}

// prime makes the backup store p although no commit waits for it.
func (b *ackBackup) prime(p gwsession.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.primeTo.AtLeast(p) && (b.primed || b.none || b.sending) {
		return
	}
	if !b.primeTo.AtLeast(p) {
		b.primeTo, b.primed = p, false
	}
	b.raise(p)
}

// raise records a position that is to be stored and sends it, unless a message is under way. b.mu is
// held.
func (b *ackBackup) raise(p gwsession.Position) {
	if p.AtLeast(b.submitted) {
		b.submitted = p
	}
	if !b.sending {
		b.sending = true
		go b.send()
	}
}

// review replaces a backup that has left, or that another instance is preferred to.
func (b *ackBackup) review() {
	now := b.owner.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.choice == 0 || b.sending || now.Sub(b.reviewedAt) < backupReviewInterval {
		return
	}
	b.reviewedAt = now
	if best, ok := b.owner.chooseBackup(b.group, b.avoided(now)); ok && best.Instance != b.instance {
		b.drop("another instance is preferred")
		b.none = false
		b.raise(b.submitted)
	}
}

// avoided returns the instances that did not store a position lately. b.mu is held.
func (b *ackBackup) avoided(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for instance, at := range b.failedAt {
		if now.Sub(at) < backupAvoidance {
			out[instance] = true
		} else {
			delete(b.failedAt, instance)
		}
	}
	return out
}

// drop ends the use of the backup. b.mu is held.
func (b *ackBackup) drop(reason string) {
	if b.instance != "" {
		b.owner.log.Info("backup of acknowledged positions dropped", "group", b.group, "backup", b.instance, "choice", b.choice, "reason", reason)
	}
	b.instance, b.primed = "", false
}

// send sends the greatest position to the backup until nothing is left to store.
func (b *ackBackup) send() {
	o := b.owner
	for {
		target, p, ok := b.next()
		if !ok {
			return
		}
		if target.Instance == "" {
			o.clock.Sleep(backupRetryDelay)
			continue
		}
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		err := o.storeAck(ctx, target, o.ackRecord(b.group, o.views.Current().Groups[b.group].Term, p))
		cancel()
		b.stored(target.Instance, p, err)
	}
}

// stored records the outcome of a message to the backup.
func (b *ackBackup) stored(instance string, p gwsession.Position, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.instance != instance:
	case err != nil:
		b.failedAt[instance] = b.owner.clock.Now()
		b.drop(err.Error())
	default:
		b.primed = b.primed || p.AtLeast(b.primeTo)
		b.waiters = slices.DeleteFunc(b.waiters, func(w *commitWaiter) bool {
			if !p.AtLeast(w.position) {
				return false
			}
			close(w.done)
			return true
		})
	}
}

// next returns the position to store and where, and false if nothing is left to store. Without an
// instance that could be the backup, the returned one has no name.
func (b *ackBackup) next() (target gwmember.Member, p gwsession.Position, ok bool) {
	o := b.owner
	leads := o.leadsGroup(b.group)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) == 0 && (b.primed || b.none || !leads) || o.ctx.Err() != nil {
		b.sending = false
		return target, p, false
	}
	_, present := o.present()
	if i := slices.IndexFunc(present, func(m gwmember.Member) bool { return m.Instance == b.instance }); i >= 0 {
		return present[i], b.submitted, true
	}
	b.drop("it has left")
	m, found := o.chooseBackup(b.group, b.avoided(o.clock.Now()))
	if !found && b.none {
		return target, p, true
	}
	b.instance, b.none, b.primeTo = m.Instance, !found, b.submitted
	b.choice++
	o.log.Info("backup of acknowledged positions chosen", "group", b.group, "backup", b.instance, "choice", b.choice)
	return m, b.submitted, true
}

// leadsGroup reports whether this instance owns the primary of a group.
func (o *Owner) leadsGroup(group string) bool {
	g := o.views.Current().Groups[group]
	if g.Changing {
		return false
	}
	return o.server(g.Primary) != nil || slices.ContainsFunc(o.drainingServers(), func(s *server) bool { return s.facts().Server == g.Primary })
}

// chooseBackup returns the instance that stores the positions of a group, without those to avoid: a
// voter of the own data centre or region, else one of the nearest instances.
func (o *Owner) chooseBackup(group string, avoid map[string]bool) (gwmember.Member, bool) {
	self, present := o.present()
	voters := o.guard.Voters()
	var near, others []gwmember.Member
	for _, m := range present {
		if m.Instance == self.Instance || avoid[m.Instance] {
			continue
		}
		others = append(others, m)
		if _, votes := voters[m.Instance]; votes && m.Region == self.Region {
			near = append(near, m)
		}
	}
	for _, candidates := range [][]gwmember.Member{near, others} {
		if name, ok := gwlease.Owner(group, self.DataCentre, self.Region, candidates); ok {
			return candidates[slices.IndexFunc(candidates, func(m gwmember.Member) bool { return m.Instance == name })], true
		}
	}
	return gwmember.Member{}, false
}

// self returns the name of this instance.
func (o *Owner) self() string {
	m, _ := o.present()
	return m.Instance
}

// ackRecord returns the record of this instance with a position.
func (o *Owner) ackRecord(group string, term uint64, p gwsession.Position) gwcontrol.AckRecord {
	return gwcontrol.AckRecord{Group: group, Term: term, Holder: o.self(), Epoch: o.guard.Epoch(), Position: p}
}
