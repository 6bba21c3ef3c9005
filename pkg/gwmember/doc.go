// Package gwmember keeps the members of a deployment and detects failures.
//
// Within a data centre every member is watched by a few others, its
// predecessors on a ring ordered by hash. A watcher pings directly, then
// through other members, then suspects; a suspicion is told to the member
// itself and to its other watchers. A suspicion that a second watcher shares
// ends in a death declaration unless the member answers; a suspicion that
// nobody shares takes twice as long. Updates spread by gossip within the data
// centre, piggybacked and in short bursts. A member that is told of a shared
// suspicion or of its own death raises its incarnation, which voids the claim.
//
// Between data centres only relays talk, the two members of each data centre
// with the lowest rendezvous hash. A data centre that no relay reaches is
// reported as unreachable and its members keep their last known state.
//
// Tables are compared and repaired by digests of hash buckets, on joining and
// periodically. Every message is at most MaxMessageSize bytes in CBOR and
// carries the sender's Version.
//
// The package is pure: it opens no sockets, starts no goroutines and reads no
// clock. Callers pass the current time as an argument; it must be monotonic.
package gwmember
