package gwquorum

import (
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	// DefaultElectionTimeout lets an election finish within 1 s at 30 ms one-way
	// delay: at most two timeouts plus two round trips and syncs.
	DefaultElectionTimeout = 300 * time.Millisecond
	// DefaultHeartbeatInterval allows three lost heartbeats before an election.
	DefaultHeartbeatInterval = 75 * time.Millisecond
	DefaultSnapshotTimeout   = 5 * time.Second
	DefaultMaxBatchBytes     = 256 << 10
	DefaultMaxInflight       = 16
	DefaultKeepEntries       = 1024
	DefaultMaxPromoteLag     = 64
	DefaultMaxPending        = 4096
	// DefaultMaxDataBytes leaves room for one entry in a message of 16 MiB.
	DefaultMaxDataBytes = 8 << 20
)

// Config configures a Node. Only ID and Rand are required.
type Config struct {
	ID   string
	Rand rand.Source // randomizes election timeouts and read identifiers; must differ between restarts
	// ElectionTimeout is the least time without a leader before an election;
	// the actual time is random between one and two of it.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	SnapshotTimeout   time.Duration // after which an unanswered snapshot is sent again
	MaxBatchBytes     int           // bound of the entries in one message; one larger entry is sent alone
	MaxInflight       int           // unanswered messages with entries per peer
	KeepEntries       uint64        // entries kept in memory before a snapshot for slow followers
	MaxPromoteLag     uint64        // greatest distance of a learner's synced log to the commit index at promotion
	MaxDataBytes      int           // bound of the data of one entry
	MaxPending        int           // bound of uncommitted entries and of unanswered reads
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.SnapshotTimeout, DefaultSnapshotTimeout)
	setDefault(&c.MaxBatchBytes, DefaultMaxBatchBytes)
	setDefault(&c.MaxInflight, DefaultMaxInflight)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.MaxPromoteLag, DefaultMaxPromoteLag)
	setDefault(&c.MaxDataBytes, DefaultMaxDataBytes)
	setDefault(&c.MaxPending, DefaultMaxPending)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
