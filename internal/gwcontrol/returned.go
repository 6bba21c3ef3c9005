package gwcontrol

import (
	"maps"
	"time"

	"gentianward.example/gentianward/pkg/gwmember"
)

// returned tells which members were lost and have been live again for less than delay. Such a
// member is not given servers yet: it opens none before it has known the others for a while
// (gwowner.Options.Settle), so that its servers would have no owner meanwhile.
type returned struct {
	delay time.Duration
	lost  map[string]bool
	since map[string]time.Time // when members that were lost became live again
}

// maxLost bounds the lost members that are remembered. Most of those that do not return have
// been replaced by others with names of their own.
const maxLost = 4096

// observe records a change of a member.
func (r *returned) observe(instance string, status gwmember.Status, now time.Time) {
	switch {
	case r.delay == 0:
	case !status.Live():
		if len(r.lost) >= maxLost || r.lost == nil {
			r.lost, r.since = make(map[string]bool), make(map[string]time.Time)
		}
		r.lost[instance] = true
		delete(r.since, instance)
	case r.lost[instance]:
		delete(r.lost, instance)
		r.since[instance] = now
	}
}

// settle forgets the members that have been live for long enough, and reports whether there
// were any.
func (r *returned) settle(now time.Time) bool {
	before := len(r.since)
	maps.DeleteFunc(r.since, func(_ string, since time.Time) bool { return now.Sub(since) >= r.delay })
	return len(r.since) < before
}

// owners returns the members that may own servers: all but control-only ones and those that have
// just returned. A data centre that has only such members keeps them.
func (r *returned) owners(live []gwmember.Member) []gwmember.Member {
	settled := make(map[string]bool) // data centres with members that have not just returned
	for _, m := range live {
		if _, just := r.since[m.Instance]; !m.ControlOnly && !just {
			settled[m.DataCentre] = true
		}
	}
	out := make([]gwmember.Member, 0, len(live))
	for _, m := range live {
		if _, just := r.since[m.Instance]; !m.ControlOnly && (!just || !settled[m.DataCentre]) {
			out = append(out, m)
		}
	}
	return out
}
