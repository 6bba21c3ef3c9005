// Package gwstate implements the state machine of the replicated control log:
// manifests, the primary and term of each group, and write leases.
//
// Apply is deterministic: the same commands at the same indexes give the same
// state and results on every voter. Nothing in the replicated state depends on
// a local clock. The leader of the log determines with its LeaseClock whether a
// lease has expired before it proposes a command; the command contains the
// sequence of the expired lease, and Apply compares only that.
//
// # Leases
//
// A grant renews the holder's own lease, takes a free one, or replaces the
// lease whose sequence is the request's Previous. The sequence of a lease is
// the log index of its latest grant, so a renewal that commits first makes the
// replacement fail.
//
// # Change of primary
//
// BeginChange stops grants and allocates the term of the next primary. Each
// further BeginChange allocates a greater term, so that two leaders of the log
// never promote servers at the same term. FinishChange takes effect only for the term
// allocated last, and only once the old lease has been returned or has expired.
//
// A State is safe for concurrent use.
package gwstate
