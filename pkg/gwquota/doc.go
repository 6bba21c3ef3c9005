// Package gwquota divides the limits of customers between the instances that admit operations.
//
// An Agent holds shares of customers' limits and admits operations from one token bucket for
// each. A Ledger, at the leader of the replicated log, assigns the shares: the sum of the shares
// of one customer that may be in use never exceeds Whole. Both are pure state machines without
// locks: callers pass the time, which must be that of a clock that also counts suspension, carry
// the messages, and serialize calls.
//
// The bound: the tokens of all agents and of the ledger's free part together never exceed
// Limit.Capacity and grow by Limit.Rate per second at most. In every window w at most
// Rate x w + Capacity operations are admitted, whichever agents, leaders or links fail.
package gwquota
