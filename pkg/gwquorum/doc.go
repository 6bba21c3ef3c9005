// Package gwquorum implements the Raft consensus algorithm for a small group of
// voters: leader election with pre-vote, log replication, linearizable reads by
// read index, snapshots, single-server membership changes, replacement of one voter by
// another, and leadership transfer.
//
// A Node is a deterministic state machine without I/O. It opens no sockets, starts
// no goroutines and reads no clock; callers pass messages and the current time and
// carry out what Ready returns. A Node is not safe for concurrent use.
//
// # Driver
//
// The driver is the caller that does the I/O. After every Step, Tick, Propose or
// ReadIndex it does the following until Ready returns nothing:
//
//	rd := n.Ready()
//	send(rd.EarlyMessages())
//	store.Save(rd.HardState, rd.Entries, rd.Snapshot) // returns after the sync
//	send(rd.LateMessages())                           // only after the sync
//	if rd.Restore { machine.Restore(rd.Snapshot.Data, now) }
//	apply(rd.Committed)
//	answer(rd.Reads)                                  // once applied >= Index
//	n.Advance(rd)
//
// Without the early messages, all messages may be sent after the sync. When Save fails,
// the driver sends none of the late messages of that Ready and discards the node. It also
// discards a node whose Status has a Fault: its log contradicts the leader's.
//
// Step, Tick and Propose may also be called between Ready and Advance. A driver that saves on
// another goroutine does so, and carries out what ReadyDuringSave returns meanwhile, so that a
// slow disk keeps the node neither from its heartbeats nor from what others have saved. Tick
// is due about every 25 ms, a third of the heartbeat interval. Messages to one peer
// should be sent in order; a message out of order is handled correctly but costs one
// more round trip.
//
// # Snapshots
//
// A new member, and one that lacks entries which are larger than the state, is sent a snapshot.
// If SnapshotWanted returns true once Ready returns nothing, the driver passes the state after
// the last applied entry to ProvideSnapshot; without it, such a member stays behind. This
// snapshot is not saved at the leader. Compact, in contrast, replaces the log by a snapshot
// that is saved. A driver that lets other messages overtake a snapshot calls SnapshotBegan and
// SnapshotEnded.
//
// # Replacement of a voter
//
// Replace turns a learner into a voter and another voter into a learner. Of three voters,
// majorities before and after it may have no member in common. So its entry holds both
// memberships, and a node with that entry as its latest change needs quorums of both: for
// its election and, as the leader, for commits, reads, and to go on leading. Once it is
// committed, the leader appends the later membership alone. A later leader does so once it
// has committed an entry of its own term. No other change is accepted before.
//
// The replaced voter may be elected until the second entry is committed; it then hands the
// leadership over. It stays a learner until it is removed.
//
// Releases that do not know Replace ignore Members.Outgoing, and would take a quorum of the
// later voters for enough. The caller proposes it only if all members know it, and lets no
// member go back to such a release while Status.Outgoing is not empty. Members.Ranks is
// harmless to them, but a leader of such a release drops the ranks with its next change.
//
// # Guarantees
//
// There is at most one leader per term; a committed entry is never lost or changed;
// all nodes apply the same entries in the same order. These guarantees hold when
// messages are lost, repeated or reordered and when nodes restart, as long as a node
// keeps what Save reported as synced. A voter that lost its synced data must not rejoin
// under its old name as a voter: remove it and add it again as a learner.
package gwquorum
