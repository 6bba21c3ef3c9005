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
	// DefaultHeartbeat allows three lost heartbeats before an election.
	DefaultHeartbeat       = 75 * time.Millisecond
	DefaultSnapshotTimeout = 5 * time.Second
	DefaultBatchBytes      = 256 << 10
	DefaultWindow          = 16
	DefaultKeepEntries     = 1024
	DefaultPromoteLag      = 64
	DefaultPending         = 4096
	// DefaultDataBytes leaves room for one entry in a message of 16 MiB.
	DefaultDataBytes = 8 << 20
)

// Config configures a Node. Only ID and Rand are required.
type Config struct {
	ID   string
	Rand rand.Source // randomizes election timeouts and read identifiers; must differ between restarts
	// ElectionTimeout is the least time without a leader before an election;
	// the actual time is random between one and two of it.
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	SnapshotTimeout time.Duration // after which an unanswered snapshot is sent again
	BatchBytes      int           // bound of the entries in one message; one larger entry is sent alone
	Window          int           // unanswered messages with entries per peer
	KeepEntries     uint64        // entries kept in memory before a snapshot for slow followers
	PromoteLag      uint64        // greatest distance of a learner's synced log to the commit index at promotion
	DataBytes       int           // bound of the data of one entry
	Pending         int           // bound of uncommitted entries and of unanswered reads
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.SnapshotTimeout, DefaultSnapshotTimeout)
	setDefault(&c.BatchBytes, DefaultBatchBytes)
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.PromoteLag, DefaultPromoteLag)
	setDefault(&c.DataBytes, DefaultDataBytes)
	setDefault(&c.Pending, DefaultPending)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
