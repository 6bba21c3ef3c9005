// Package gwquorum is a replicated log for a small group of voters: elections
// with pre-vote, log replication, quorum-confirmed reads, snapshots,
// one-at-a-time membership changes and leadership transfer.
//
// A Node is pure decision logic. It opens no sockets, starts no goroutines and
// reads no clock; callers pass messages and the current time and carry out what
// Ready returns. A Node is not safe for concurrent use.
//
// # Driver
//
// A driver repeats, after every Step, Tick, Propose or ReadIndex:
//
//	rd := n.Ready()
//	store.Save(rd.HardState, rd.Entries, rd.Snapshot) // returns after the sync
//	send(rd.Messages)                                 // only after the sync
//	if rd.Restore { machine.Restore(rd.Snapshot.Data, now) }
//	apply(rd.Committed)
//	answer(rd.Reads)                                  // once applied >= Index
//	n.Advance(rd)
//
// When Save fails, the driver sends nothing of that Ready and drops the node.
// It also drops a node whose Status has a Fault: the log contradicts the leader's.
// Step, Tick and Propose may also be called between Ready and Advance. Tick is
// due every 25 ms or so, a third of the heartbeat interval. Messages to one
// peer should be sent in order; others are correct but cost a round trip each.
//
// # Guarantees
//
// At most one leader per term; a committed entry is never lost or changed; all
// nodes apply the same entries in the same order. They hold with messages lost,
// repeated and reordered, and with restarts, as long as a node keeps what Save
// reported as synced. A voter that lost its synced data must not rejoin under
// its old name as a voter: remove it and add it again as a learner.
package gwquorum
