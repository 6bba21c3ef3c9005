package gwowner

import "gentianward.example/gentianward/internal/gwcontrol"

// settled reports whether this instance, whose data centre is own, has been a member
// for long enough to own servers of dataCentre.
func (o *Owner) settled(dataCentre, own string) bool {
	if !o.members.Joined() {
		return false
	}
	now := o.clock.Now()
	o.mu.Lock()
	if o.joinedAt.IsZero() {
		o.joinedAt = now
	}
	since := now.Sub(o.joinedAt)
	o.mu.Unlock()
	if dataCentre == own {
		return since >= o.settle
	}
	return since >= o.settleFar
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
