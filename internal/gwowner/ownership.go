package gwowner

import "gentianward.example/gentianward/internal/gwcontrol"

// recordJoin records when this instance became a member. It is called regularly and not
// only when there is a server to own: an instance that got its first one later waited for
// settle once more, and a change of primary waited with it for 0.4 s.
func (o *Owner) recordJoin() {
	if !o.members.Joined() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.joinedAt.IsZero() {
		o.joinedAt = o.clock.Now()
	}
}

// settled reports whether this instance, whose data centre is own, has been a member
// for long enough to own servers of dataCentre.
func (o *Owner) settled(dataCentre, own string) bool {
	if !o.members.Joined() {
		return false
	}
	o.mu.RLock()
	joinedAt := o.joinedAt
	o.mu.RUnlock()
	since := o.clock.Since(joinedAt)
	if dataCentre == own {
		return !joinedAt.IsZero() && since >= o.settle
	}
	return !joinedAt.IsZero() && since >= o.settleFar
}

// owns reports whether this instance should own the server.
func (o *Owner) owns(f gwcontrol.ServerFacts) bool {
	o.mu.RLock()
	released := o.released
	o.mu.RUnlock()
	t := o.members.Topology()
	m, ok := t.Owner(o.directory, f.Server, f.DataCentre, o.views.Current().Region(f.DataCentre))
	// settled is needed because an instance that does not know the other members yet
	// would own every server.
	return ok && !released && !f.Gone && m.Instance == t.Self.Instance && o.settled(f.DataCentre, t.Self.DataCentre) && o.views.Current().Manifest != nil
}
