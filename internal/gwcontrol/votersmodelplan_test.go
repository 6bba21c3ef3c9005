package gwcontrol

import (
	"time"

	"gentianward.example/gentianward/pkg/gwmember"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// observe records the live instances, as every instance does.
func (m *votersModel) observe(x *modelInstance) {
	if m.now.Before(x.nextPresence) {
		return
	}
	x.nextPresence = m.now.Add(voterCheckInterval)
	var live []gwmember.Member
	for _, name := range m.names {
		if m.live(x, name) {
			live = append(live, gwmember.Member{Instance: name, DataCentre: m.instances[name].dataCentre, ControlOnly: true})
		}
	}
	x.presence.observe(live, m.now)
	for _, v := range live {
		if id := m.answer(x, v.Instance); id != "" && v.Instance != x.name {
			x.identities.begin(v.Instance, m.now)
			x.identities.end(v.Instance, m.now, m.instances[v.Instance].voterInfo(m), true, m.now)
		}
	}
}

// voterInfo returns the answer to the question for the identity.
func (x *modelInstance) voterInfo(m *votersModel) voterInfo {
	info := voterInfo{ID: x.id, Replaces: m.replaces}
	if x.upSince.Equal(x.firstUp) {
		if info.FirstStart = x.id == x.name; !info.FirstStart {
			info.Age = m.now.Sub(x.firstUp)
		}
	}
	return info
}

// plan returns the plan of a leader.
func (m *votersModel) plan(x *modelInstance, st gwquorum.Status) voterPlan {
	x.nextPresence = time.Time{}
	m.observe(x)
	view := voterView{
		identities:  make(map[string]string),
		dataCentres: x.presence.dataCentres(),
		now:         m.now,
		lastSeen:    x.presence.lastSeen,
		firstStart:  x.identities.firstStart,
		began:       x.identities.began,
		replaces:    x.identities.replaces(st),
	}
	for _, name := range m.names {
		if m.live(x, name) {
			view.identities[name] = currentIdentity(name, m.answer(x, name), st)
		}
	}
	return newVoterPlan(st, view)
}

// live reports whether an instance takes another for live.
func (m *votersModel) live(observer *modelInstance, name string) bool {
	x := m.instances[name]
	switch {
	case x == observer:
		return true
	case m.now.Sub(observer.upSince) < joinAfter || x.upSince.IsZero() || m.now.Sub(x.upSince) < joinAfter && x.node != nil:
		return false
	default:
		return x.outSince.IsZero() || m.now.Sub(x.outSince) < deathAfter
	}
}

// answer returns the identity that an instance tells another, "" if it does not answer or has
// none yet.
func (m *votersModel) answer(observer *modelInstance, name string) string {
	x := m.instances[name]
	if !m.reachable(x) || m.now.Before(observer.cut) || m.now.Before(x.identityChosen) {
		return ""
	}
	return x.id
}

// leader returns the leader of the greatest term that has applied an entry of it, or nil.
func (m *votersModel) leader() *modelInstance {
	var best *modelInstance
	for _, name := range m.names {
		x := m.instances[name]
		if x.node != nil && x.status().LeaderReady && (best == nil || x.status().Term > best.status().Term) {
			best = x
		}
	}
	return best
}
