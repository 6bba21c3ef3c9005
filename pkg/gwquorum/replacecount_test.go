package gwquorum

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// replaceCase is the replacement of one voter, which does not answer, by a learner that has
// caught up. Members are numbered as in orderCase of gwcontrol, with which it can be compared:
// the first one leads, the last one is the learner, the one before it the voter that is replaced.
type replaceCase struct {
	voters  int
	returns bool // the replaced voter returns with its disk
}

func (c replaceCase) id(i int) string { return string(rune('a' + i)) }

// memberships returns the memberships before, during and after the replacement.
func (c replaceCase) memberships() [3]Members {
	var all []string
	for i := range c.voters + 1 {
		all = append(all, c.id(i))
	}
	old, kept := all[:c.voters], all[:c.voters-1]
	replaced, learner := all[c.voters-1], all[c.voters]
	after := Members{Voters: append(slices.Clone(kept), learner), Learners: []string{replaced}}
	during := after.Clone()
	during.Outgoing = old
	return [3]Members{{Voters: old, Learners: []string{learner}}, during, after}
}

func (c replaceCase) index(id string) int { return int(id[0] - 'a') }

// reachable reports whether the members can know of the given numbers of entries.
func (c replaceCase) reachable(known []int) bool {
	if slices.Max(known) != known[0] || known[c.voters-1] != 0 {
		return false
	}
	return known[0] < 2 || c.memberships()[1].hasQuorum(func(id string) bool { return known[c.index(id)] >= 1 })
}

// stopped reports whether no member can ever be elected after the loss of one disk.
func (c replaceCase) stopped(known []int, lost int) bool {
	present := func(i int) bool { return i != lost && (c.returns || i != c.voters-1) }
	for candidate, entries := range known {
		m := c.memberships()[entries]
		grants := func(id string) bool { i := c.index(id); return present(i) && known[i] <= entries }
		if present(candidate) && m.isElector(c.id(candidate)) && m.hasQuorum(grants) {
			return false
		}
	}
	return true
}

// replaceCount is a number of situations, and of those that stop the group for good.
type replaceCount struct {
	stopped, all     int
	stoppedByLearner int // of stopped, those in which the learner's disk is lost
}

// count counts the situations with a replacement that is begun and not known to all.
func (c replaceCase) count() replaceCount {
	var n replaceCount
	known := make([]int, c.voters+1)
	for {
		i := 0
		for ; i < len(known) && known[i] == 2; i++ {
			known[i] = 0
		}
		if i == len(known) {
			return n
		}
		known[i]++
		if !c.reachable(known) {
			continue
		}
		for lost := range known {
			if lost == c.voters-1 {
				continue
			}
			n.all++
			if c.stopped(known, lost) {
				n.stopped++
				if lost == c.voters {
					n.stoppedByLearner++
				}
			}
		}
	}
}

// Guards against a replacement in which the loss of the learner's disk stops the group, as it does
// between a promotion and a removal, or that stops a group whose replaced voter returns.
func TestSituationsOfReplace(t *testing.T) {
	for _, tt := range []struct {
		replaceCase
		want replaceCount
	}{
		{replaceCase{voters: 3, returns: true}, replaceCount{all: 30}},
		{replaceCase{voters: 3}, replaceCount{stopped: 10, all: 30}},
		{replaceCase{voters: 4, returns: true}, replaceCount{all: 80}},
		{replaceCase{voters: 4}, replaceCount{stopped: 26, all: 80}},
		{replaceCase{voters: 5, returns: true}, replaceCount{all: 380}},
		{replaceCase{voters: 5}, replaceCount{all: 380}},
	} {
		t.Run(fmt.Sprintf("%d voters, returns %v", tt.voters, tt.returns), func(t *testing.T) {
			assert.Equal(t, tt.want, tt.count())
		})
	}
}
