package gwquota

import (
	"cmp"
	"slices"
)

const (
	// needFactor is the ratio of the share that an agent gets to its demand if that is possible,
	// as demands are known with an error of 30%.
	needFactor = 1.3
	// evenPart is the part of what nobody needs that is divided evenly, so that callers who move
	// to another data centre find a share there. The rest follows the demand.
	evenPart = 0.5
	// minOperations is the least capacity, in operations, of the share of an agent without
	// demand, and minFraction the least fraction. At a customer above its limit whose callers
	// are all in one of six data centres, the others hold 4% in vain.
	minOperations = 1.5
	minFraction   = 1.0 / 128
	// lackBelow is the part of what an agent needs, or can get, below which it lacks shares, so
	// that those of others are reduced.
	lackBelow = 0.85
	// leastRate is the difference in operations per second that is never made up for: the demand
	// of small customers is mostly noise. Without it agents sent 4.6 reports per second instead
	// of 2.
	leastRate = 0.3
)

// claim is what one agent has told about a customer.
type claim struct {
	wanted bool
	demand float64
	name   string // of the agent
	holds  bool   // a share
}

// active reports whether the claim is for a share at all.
func (c claim) active() bool { return c.wanted || c.demand > 0 }

// allotment is what one agent should get.
type allotment struct {
	target Parts
	// enough is the least share with which the agent does not lack any.
	enough Parts
}

// allocate returns what the agents with the given claims should get. The sum of the targets is at
// most Whole.
func allocate(l Limit, claims []claim) []allotment {
	out := make([]allotment, len(claims))
	active := 0
	for _, c := range claims {
		if c.active() {
			active++
		}
	}
	if active == 0 || l.Rate <= 0 {
		return out
	}
	if partsOf(1/float64(active)).of(l.Capacity) < 1 {
		return allocateFew(l, claims)
	}
	least := leastFraction(l, active)
	needs, sum, demand := make([]float64, len(claims)), 0.0, 0.0
	for i, c := range claims {
		if c.active() {
			needs[i] = max(least, needFactor*c.demand/l.Rate)
			sum += needs[i]
			demand += c.demand
		}
	}
	tolerated := min(leastRate/l.Rate, 1)
	for i, c := range claims {
		if !c.active() {
			continue
		}
		f := fraction(needs[i], sum, least, active, c.demand, demand)
		out[i].target = partsOf(f)
		out[i].enough = partsOf(min(needs[i], f)*lackBelow - tolerated)
	}
	return out
}

// allocateFew divides a capacity that is too small for a whole operation at each agent evenly
// between as many as can have one: those with the most demand, where a share counts twice.
func allocateFew(l Limit, claims []claim) []allotment {
	rank := func(c claim) float64 {
		if c.holds {
			return 2*c.demand + 1
		}
		return c.demand
	}
	order := make([]int, 0, len(claims))
	for i, c := range claims {
		if c.active() {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(rank(claims[j]), rank(claims[i])), cmp.Compare(claims[i].name, claims[j].name))
	})
	out := make([]allotment, len(claims))
	few := max(1, int(l.Capacity))
	for few > 1 && partsOf(1/float64(few)).of(l.Capacity) < 1 { // rounded down
		few--
	}
	for _, i := range order[:min(few, len(order))] {
		out[i].target = partsOf(1 / float64(few))
		out[i].enough = out[i].target
	}
	return out
}

// leastFraction returns the fraction of an agent without demand.
func leastFraction(l Limit, active int) float64 {
	return min(1/float64(active), max(minFraction, minOperations/l.Capacity))
}

// fraction returns the fraction of one of the active agents. sum is that of all needs, and all
// the demand of all agents.
func fraction(need, sum, least float64, active int, demand, all float64) float64 {
	n := float64(active)
	if sum <= 1 {
		if all == 0 {
			return need + (1-sum)/n
		}
		return need + (1-sum)*(evenPart/n+(1-evenPart)*demand/all)
	}
	// The needs above the least share what the least leaves.
	return least + (1-n*least)*(need-least)/(sum-n*least)
}

func partsOf(fraction float64) Parts { return Parts(max(0, min(fraction, 1)) * float64(Whole)) }
