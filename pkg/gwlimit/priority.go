package gwlimit

// lowestWeighted is the priority from which on classes have the lowest weight.
const lowestWeighted = 3

// PriorityWeight returns the factor on the weight of a class with the given priority, 0
// being the most urgent: each step down halves the share of the slots, but no class starves.
//
// Load pattern: all but one server of a group are too stale, and the last one gets one and
// a half times what it can serve. With equal weights, urgent and other classes are refused
// in equal parts.
func PriorityWeight(priority int) int {
	return 1 << (lowestWeighted - min(max(0, priority), lowestWeighted))
}
