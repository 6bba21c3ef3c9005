package gwcontrol

import (
	"time"

	"gentianward.example/gentianward/pkg/gwmember"
)

// returned tells which members were lost and have just returned. Such a member is not given
// servers yet: it opens none before it has known the others for a while
// (gwowner.Options.Settle), so that its servers would have no owner meanwhile.
//
// An instance that has just started takes part at once in what it finds: it has seen nobody
// getting lost, and the rows of lost members that it receives say nothing about its own view.
type returned struct {
	delay time.Duration
	live  map[string]bool
	lost  map[string]bool      // members that were live
	since map[string]time.Time // when members that were lost became live again
}

// maxLost bounds the lost members that are remembered. Most of those that do not return have
// been replaced by others with names of their own.
const maxLost = 4096

// observe records a change of a member.
func (r *returned) observe(instance string, status gwmember.Status, now time.Time) {
	if r.delay == 0 {
		return
	}
	if r.live == nil {
		r.live, r.lost, r.since = make(map[string]bool), make(map[string]bool), make(map[string]time.Time)
	}
	switch {
	case !status.Live():
		if r.live[instance] {
			if len(r.lost) >= maxLost {
				clear(r.lost)
			}
			r.lost[instance] = true
		}
		delete(r.live, instance)
		delete(r.since, instance)
	case r.lost[instance]:
		delete(r.lost, instance)
		r.live[instance], r.since[instance] = true, now
	default:
		r.live[instance] = true
	}
}

// settle ends the time of the members that have returned, and reports whether there were any. It
// ends together for all: when many return within a short time, each set of owners in between
// would move servers.
func (r *returned) settle(now time.Time) bool {
	if len(r.since) == 0 {
		return false
	}
	first, last := now, time.Time{}
	for _, since := range r.since {
		if since.Before(first) {
			first = since
		}
		if since.After(last) {
			last = since
		}
	}
	if now.Sub(last) < r.delay && now.Sub(first) < 2*r.delay {
		return false
	}
	clear(r.since)
	return true
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
