package gwcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/pkg/gwlease"
	"gentianward.example/gentianward/pkg/gwmember"
)

// Guards against servers that move several times while many members return within some hundred
// milliseconds: in a play three servers were opened and released again within 0.2 s.
func TestReturnedMembersOwnTogether(t *testing.T) {
	const delay = 300 * time.Millisecond
	start := time.Unix(100, 0)
	r := returned{delay: delay}
	for i := range 6 {
		r.observe(string(rune('a'+i)), gwmember.StatusAlive, start)
		r.observe(string(rune('a'+i)), gwmember.StatusDead, start)
	}
	var changes []time.Duration
	for at := time.Duration(0); at < 2*time.Second; at += 10 * time.Millisecond {
		if i := int(at / (50 * time.Millisecond)); at%(50*time.Millisecond) == 0 && i < 6 {
			r.observe(string(rune('a'+i)), gwmember.StatusAlive, start.Add(at))
		}
		if r.settle(start.Add(at)) {
			changes = append(changes, at)
		}
	}
	assert.Equal(t, []time.Duration{250*time.Millisecond + delay}, changes)
	r.observe("a", gwmember.StatusDead, start)
	r.observe("a", gwmember.StatusAlive, start)
	for at := time.Duration(0); at <= 2*delay; at += delay / 2 { // others return all the time
		assert.Equal(t, at == 2*delay, r.settle(start.Add(at)), "at %v", at)
		r.observe("b", gwmember.StatusDead, start.Add(at))
		r.observe("b", gwmember.StatusAlive, start.Add(at))
	}
}

// Guards against servers without an owner while an instance returns: the interim owner released
// them when it heard of the instance, 0.13 to 0.33 s after its start, and the instance opened
// them 0.40 s after its start.
func TestReturnedMemberOwnsLater(t *testing.T) {
	const delay = 300 * time.Millisecond
	start := time.Unix(100, 0)
	member := func(name, dataCentre string) gwmember.Member {
		return gwmember.Member{Instance: name, DataCentre: dataCentre, Region: "r"}
	}
	live := []gwmember.Member{member("a", "x"), member("b", "x"), member("c", "y"), {Instance: "core", DataCentre: "x", Region: "r", ControlOnly: true}}
	names := func(members []gwmember.Member) (out []string) {
		for _, m := range members {
			out = append(out, m.Instance)
		}
		return out
	}
	r := returned{delay: delay}
	for _, m := range live {
		r.observe(m.Instance, gwmember.StatusAlive, start)
	}
	assert.Equal(t, []string{"a", "b", "c"}, names(r.owners(live)), "a new member owns at once")
	r.observe("b", gwmember.StatusDead, start)
	r.observe("c", gwmember.StatusDead, start)
	r.observe("b", gwmember.StatusAlive, start.Add(time.Second))
	r.observe("c", gwmember.StatusAlive, start.Add(time.Second))
	r.observe("b", gwmember.StatusAlive, start.Add(time.Second+delay/2)) // its incarnation has changed
	assert.Equal(t, []string{"a", "c"}, names(r.owners(live)), "b has returned; y has only c")
	assert.False(t, r.settle(start.Add(time.Second+delay-1)))
	assert.True(t, r.settle(start.Add(time.Second+delay)))
	assert.Equal(t, []string{"a", "b", "c"}, names(r.owners(live)))
	r.observe("b", gwmember.StatusDead, start.Add(3*time.Second))
	r.observe("b", gwmember.StatusAlive, start.Add(4*time.Second))
	r.observe("b", gwmember.StatusDead, start.Add(4*time.Second))
	assert.False(t, r.settle(start.Add(5*time.Second)), "lost again")

	r = returned{delay: delay} // of an instance that has started while b was lost
	r.observe("b", gwmember.StatusDead, start)
	r.observe("b", gwmember.StatusAlive, start)
	assert.Equal(t, []string{"a", "b", "c"}, names(r.owners(live)), "its own view is not that of the others")

	off := returned{}
	off.observe("b", gwmember.StatusDead, start)
	off.observe("b", gwmember.StatusAlive, start)
	assert.Equal(t, []string{"a", "b", "c"}, names(off.owners(live)))
	owner, _ := gwlease.NewPlacement(off.owners(live)).Owner("s", "y", "r")
	assert.Equal(t, "c", owner)
}
