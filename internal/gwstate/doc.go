// Package gwstate is the state machine driven by the replicated log: manifests,
// the primary and term of each group, and write leases.
//
// Apply is deterministic: the same commands at the same indexes give the same
// state and results on every voter. Nothing in the replicated state depends on
// a clock. Lease expiry is judged by the leader of the log with its LeaseClock
// before it proposes; the command names the sequence of the lease that the
// leader saw expire, and Apply compares only that.
//
// # Leases
//
// A grant renews the holder's own lease, takes a free one, or replaces the
// lease whose sequence the command names in Previous. The sequence of a lease
// is the log index of its latest grant, so a renewal that commits first makes
// the replacement fail.
//
// # Change of primary
//
// BeginChange stops grants and allocates the term of the next primary. Each
// further BeginChange allocates a greater one, so two controllers never promote
// servers at the same term. FinishChange takes effect only with the term
// allocated last and once the old lease is returned or expired.
//
// A State may be used by several goroutines.
package gwstate
