// Package gwmember maintains the membership of a deployment and detects failures,
// with a protocol similar to SWIM.
//
// Within a data centre, each member is watched by a few others: its predecessors on
// a ring ordered by hash. A watcher pings the member directly, then also through
// other members, and finally suspects it. It sends the suspicion to the member
// itself and to the other watchers. If a second watcher shares the suspicion and the
// member does not answer, the member is declared dead; a suspicion that nobody shares
// takes twice as long. Updates spread by gossip within the data centre, piggybacked
// on other messages and in messages of their own. A member that learns of a shared
// suspicion or of its own death increases its incarnation, which refutes the claim. In a
// small data centre a suspicion makes each member watch all others for some seconds, so
// that the losses of a partition are found together.
//
// Between data centres only relays communicate: the two members of each data centre
// with the lowest hash. When several members are lost at once, a relay also reports to
// others than the relays of a data centre, as these may be lost. A data centre that no relay of the own one can reach is
// reported as unreachable, and its members keep their last known status.
//
// Parts of a deployment that lost each other find each other again: the members of a data
// centre ping, at a constant rate that they share, seeds that are not live and members that
// are dead or have left. A member that answers is compared with. A table that reports a live
// member as dead is not believed before that member has had the time to refute it.
//
// Seeds may all be gone. An instance that can save addresses of members (Members.Known) gets
// them back in a later run (Config.Known) and pings those that no live member has: one after
// the other for some minutes after the start, then at the rate of the lost members. They are
// addresses to try and put nobody into the member table.
//
// Anti-entropy repairs lost updates: on joining, periodically and when digests
// differ, instances compare their member tables by digests of hash buckets. Every
// message is at most MaxMessageSize bytes in CBOR and carries the sender's Version.
//
// The package does no I/O: it opens no sockets, starts no goroutines and reads no
// clock. Callers pass the current time as an argument; it must be monotonic.
package gwmember
