package gwcontrol

import (
	"math/bits"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// orderCase is the replacement of one voter, which does not answer, by a learner that has caught
// up, in two changes, or in one with two entries. Members are numbered; the last one is the
// learner, the one before it the voter that is replaced.
type orderCase struct {
	voters      int
	removeFirst bool
	replace     bool // with quorums of both after the first entry
	returns     bool // the replaced voter returns with its disk
}

// config returns the voters after a number of the changes, or both groups of them.
func (c orderCase) config(changes int) [][]int {
	if c.replace && changes == 1 {
		return slices.Concat(c.config(0), c.config(2))
	}
	var out []int
	for id := range c.voters + 1 {
		old, learner := id == c.voters-1, id == c.voters
		removed := changes == 2 || changes == 1 && c.removeFirst
		promoted := changes == 2 || changes == 1 && !c.removeFirst
		if !old && !learner || old && !removed || learner && promoted {
			out = append(out, id)
		}
	}
	return [][]int{out}
}

// holds reports whether the given members are a quorum of the voters after a number of changes.
func (c orderCase) holds(changes int, members func(id int) bool) bool {
	return !slices.ContainsFunc(c.config(changes), func(voters []int) bool {
		n := 0
		for _, id := range voters {
			if members(id) {
				n++
			}
		}
		return n <= len(voters)/2
	})
}

// reachable reports whether the members can know of the given numbers of changes, where the
// first member leads. The second change is made once the first is committed.
func (c orderCase) reachable(known []int) bool {
	if slices.Max(known) != known[0] || known[c.voters-1] != 0 {
		return false
	}
	return known[0] < 2 || c.holds(1, func(id int) bool { return known[id] >= 1 })
}

// stopped reports whether no member can ever be elected after the loss of one disk.
func (c orderCase) stopped(known []int, lost int) bool {
	present := func(id int) bool { return id != lost && (c.returns || id != c.voters-1) }
	for candidate, changes := range known {
		if present(candidate) && slices.Contains(slices.Concat(c.config(changes)...), candidate) &&
			c.holds(changes, func(id int) bool { return present(id) && known[id] <= changes }) {
			return false
		}
	}
	return true
}

// count returns in how many situations the loss of one disk stops the group for good, of those
// with a change that is begun and not known to all.
func (c orderCase) count() (stopped, all int) {
	known := make([]int, c.voters+1)
	for {
		i := 0
		for ; i < len(known) && known[i] == 2; i++ {
			known[i] = 0
		}
		if i == len(known) {
			return stopped, all
		}
		known[i]++
		if !c.reachable(known) {
			continue
		}
		for lost := range known {
			if lost == c.voters-1 {
				continue
			}
			all++
			if c.stopped(known, lost) {
				stopped++
			}
		}
	}
}

// Guards against an order of the changes in which the loss of a second disk stops the group for
// good although the replaced voter returns with its disk.
func TestOrderOfVoterChanges(t *testing.T) {
	tests := []struct {
		orderCase
		stopped, all int
	}{
		{orderCase{voters: 3, returns: true}, 0, 24},
		{orderCase{voters: 3, returns: true, removeFirst: true}, 8, 30},
		{orderCase{voters: 3}, 13, 24},
		{orderCase{voters: 3, removeFirst: true}, 10, 30},
		{orderCase{voters: 5, returns: true}, 0, 320},
		{orderCase{voters: 5, returns: true, removeFirst: true}, 0, 380},
		{orderCase{voters: 5}, 0, 320},
		{orderCase{voters: 5, removeFirst: true}, 0, 380},
		{orderCase{voters: 3, replace: true, returns: true}, 0, 30},
		{orderCase{voters: 3, replace: true}, 10, 30},
		{orderCase{voters: 5, replace: true, returns: true}, 0, 380},
		{orderCase{voters: 5, replace: true}, 0, 380},
	}
	for _, tt := range tests {
		stopped, all := tt.count()
		assert.Equal(t, [2]int{tt.stopped, tt.all}, [2]int{stopped, all}, "%+v", tt.orderCase)
	}
}

// successionCase is a group of instances, one per data centre, of which some have a successor that
// has caught up, and which have settled.
type successionCase struct {
	instances, disks int
	successors       []int // by data centre, how many there are, each the successor of the last one
}

// ids returns the identities in a data centre, the oldest first.
func (c successionCase) ids(dataCentre int) []string {
	var out []string
	for i := range c.successors[dataCentre] + 1 {
		out = append(out, string(rune('a'+dataCentre))+strings.Repeat("x", i))
	}
	return out
}

// settled returns the voters after the successors have started, one after the other.
func (c successionCase) settled(t *testing.T) []string {
	var live []string
	st := &memberStatus{gwquorum.Status{Commit: 10, Last: 10}}
	for dc := range c.instances {
		id := c.ids(dc)[0]
		live = append(live, id)
		st.Voters = append(st.Voters, id)
		st.Peers = append(st.Peers, gwquorum.PeerStatus{Instance: id, Match: 10})
	}
	st.ID = live[len(live)-1]
	st.settle(t, live...)
	for dc := range c.instances {
		for _, id := range c.ids(dc)[1:] {
			live = append(live, id)
			st.settle(t, live...)
		}
	}
	return st.Voters
}

// count returns in how many situations no quorum is left: any of the predecessors are gone, and any
// of the allowed number of other disks are lost.
func (c successionCase) count(voters []string) (stopped, all int) {
	var ids []string
	predecessors := 0 // a bit for each
	for dc := range c.instances {
		in := c.ids(dc)
		for range in[1:] {
			predecessors |= 1 << len(ids)
			ids = append(ids, in[0])
			in = in[1:]
		}
		ids = append(ids, in[0])
	}
	for lost := range 1 << len(ids) {
		left := 0
		for i, id := range ids {
			if lost&(1<<i) == 0 && slices.Contains(voters, id) {
				left++
			}
		}
		if bits.OnesCount(uint(lost&^predecessors)) > c.disks {
			continue
		}
		all++
		if left <= len(voters)/2 {
			stopped++
		}
	}
	return stopped, all
}

// Guards against voters of which the end of any predecessors, together with the loss of as many
// other disks as are allowed, leaves no quorum.
func TestVotersBesideTheirPredecessors(t *testing.T) {
	tests := []struct {
		successionCase
		all int
	}{
		{successionCase{3, 1, []int{0, 0, 0}}, 4},
		{successionCase{3, 1, []int{1, 0, 0}}, 8},
		{successionCase{3, 1, []int{2, 0, 0}}, 16},
		{successionCase{3, 1, []int{1, 1, 0}}, 16},
		{successionCase{3, 1, []int{2, 1, 0}}, 32},
		{successionCase{3, 1, []int{1, 1, 1}}, 32},
		{successionCase{4, 1, []int{0, 0, 0, 0}}, 5},
		{successionCase{4, 1, []int{1, 0, 0, 0}}, 10},
		{successionCase{4, 1, []int{0, 0, 0, 1}}, 10},
		{successionCase{4, 1, []int{1, 1, 1, 1}}, 80},
		{successionCase{5, 1, []int{1, 0, 0, 0, 0}}, 12},
		{successionCase{5, 2, []int{1, 0, 0, 0, 0}}, 32},
		{successionCase{5, 2, []int{1, 1, 1, 1, 1}}, 512},
		{successionCase{6, 1, []int{1, 0, 0, 0, 0, 0}}, 14},
		{successionCase{6, 2, []int{0, 0, 0, 0, 0, 0}}, 22},
		{successionCase{6, 2, []int{1, 0, 0, 0, 0, 0}}, 44},
		{successionCase{6, 2, []int{0, 0, 1, 0, 0, 1}}, 88},
		{successionCase{6, 2, []int{2, 0, 1, 0, 0, 0}}, 176},
		{successionCase{6, 2, []int{1, 1, 1, 1, 1, 1}}, 1408},
	}
	for _, tt := range tests {
		voters := tt.settled(t)
		stopped, all := tt.count(voters)
		assert.Equal(t, tt.all, all, "%+v", tt.successionCase)
		assert.Zero(t, stopped, "%+v: voters %v, of %d situations", tt.successionCase, voters, all)
	}
}
