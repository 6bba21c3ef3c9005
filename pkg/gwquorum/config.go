package gwquorum

import (
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	// DefaultElectionTimeout lets an election finish within 1 s at a one-way delay of
	// 30 ms: it takes at most two timeouts plus two round trips and syncs.
	DefaultElectionTimeout = 300 * time.Millisecond
	// DefaultHeartbeatInterval allows three lost heartbeats before an election.
	DefaultHeartbeatInterval = 75 * time.Millisecond
	DefaultSnapshotTimeout   = 5 * time.Second
	// DefaultStallTimeout exceeds the time that any message takes of which the leader's
	// quorum survives: a heartbeat behind it must be answered within an election timeout.
	DefaultStallTimeout  = 4 * DefaultElectionTimeout
	DefaultMaxBatchBytes = 256 << 10
	DefaultMaxInflight   = 16
	DefaultKeepEntries   = 1024
	// DefaultKeepBytes lets a voter that was away for a moment continue with entries. Between
	// regions they take 0.3 s.
	DefaultKeepBytes = 1 << 20
	// DefaultMinSnapshotBytes is a quarter of what a link between regions carries in a round trip.
	DefaultMinSnapshotBytes = 64 << 10
	DefaultMaxPromoteLag    = 64
	// DefaultMaxPromoteLagBytes takes 0.3 s between regions, and is more than a learner lacks while
	// a configuration is written each 0.1 s.
	DefaultMaxPromoteLagBytes = 1 << 20
	DefaultMaxPending         = 4096
	// DefaultMaxPendingBytes is what a link of 30 Mbit/s carries in 0.3 s.
	DefaultMaxPendingBytes = 1 << 20
	// DefaultMaxDataBytes lets one entry fit into a message of 16 MiB.
	DefaultMaxDataBytes = 8 << 20
)

// Config configures a Node. Only ID and Rand are required.
type Config struct {
	ID   string
	Rand rand.Source // randomizes election timeouts and read IDs; must differ between restarts
	// ElectionTimeout is the minimum time without a leader before an election; the
	// actual time is random between one and two election timeouts.
	ElectionTimeout time.Duration
	// SaveTime is how long a save takes, as far as it is known before the first one.
	SaveTime          time.Duration
	HeartbeatInterval time.Duration
	SnapshotTimeout   time.Duration // after which an unanswered snapshot is sent again
	// StallTimeout is how long a leader with uncommitted entries or unanswered reads waits
	// for any progress before it gives way.
	StallTimeout  time.Duration
	MaxBatchBytes int    // maximum size of the entries in one message; a larger entry is sent alone
	MaxInflight   int    // maximum unanswered messages with entries per peer
	KeepEntries   uint64 // entries before the snapshot that stay in memory for slow followers
	// KeepBytes is the maximum size of these entries, or the size of the snapshot if that is
	// larger. A member that has part of the log is sent a snapshot if it lacks more.
	KeepBytes int
	// MinSnapshotBytes is KeepBytes for a voter without a log, and the size of the entries after
	// a snapshot up to which that is sent. A learner without a log is always sent a snapshot, as
	// it does not know the members before its own addition.
	MinSnapshotBytes int
	MaxPromoteLag    uint64 // maximum distance of a learner's synced log from the commit index at promotion
	// MaxPromoteLagBytes is the maximum size of the committed entries that a learner lacks then.
	MaxPromoteLagBytes int
	MaxDataBytes       int // maximum size of the data of one entry
	MaxPending         int // maximum uncommitted entries, and maximum unanswered reads
	// MaxPendingBytes is the maximum size of the uncommitted entries with which an entry of
	// more than 16 KB is accepted. A larger one is accepted if none is uncommitted.
	MaxPendingBytes int
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.SnapshotTimeout, DefaultSnapshotTimeout)
	setDefault(&c.StallTimeout, DefaultStallTimeout)
	setDefault(&c.MaxBatchBytes, DefaultMaxBatchBytes)
	setDefault(&c.MaxInflight, DefaultMaxInflight)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.KeepBytes, DefaultKeepBytes)
	setDefault(&c.MinSnapshotBytes, DefaultMinSnapshotBytes)
	setDefault(&c.MaxPromoteLag, DefaultMaxPromoteLag)
	setDefault(&c.MaxPromoteLagBytes, DefaultMaxPromoteLagBytes)
	setDefault(&c.MaxDataBytes, DefaultMaxDataBytes)
	setDefault(&c.MaxPending, DefaultMaxPending)
	setDefault(&c.MaxPendingBytes, DefaultMaxPendingBytes)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
