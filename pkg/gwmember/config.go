package gwmember

import (
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	// DefaultTick is how often Tick should be called. Calls more than 300 ms
	// apart are taken for a stall and suspend failure detection.
	DefaultTick              = 50 * time.Millisecond
	DefaultProbeInterval     = 500 * time.Millisecond
	DefaultAckTimeout        = 100 * time.Millisecond
	DefaultProbeTimeout      = 300 * time.Millisecond
	DefaultSuspicionTimeout  = time.Second
	DefaultGossipInterval    = 100 * time.Millisecond
	DefaultRelayInterval     = time.Second
	DefaultDataCentreTimeout = 5 * time.Second
	DefaultSyncInterval      = 30 * time.Second
	DefaultTombstoneLifetime = 30 * time.Minute
	DefaultWatchers          = 3
	DefaultIndirectProbes    = 3
	DefaultGossipFanout      = 3
	DefaultRelays            = 2
)

const (
	joinRetry       = 500 * time.Millisecond // wait before the next comparison after joining
	seedRetry       = 200 * time.Millisecond // wait before the next seed is asked; the first may not have started yet
	seedInterval    = time.Minute            // a seed that is not known as live is asked
	reconnect       = 5 * time.Second        // a dead member is pinged in case a partition healed
	aheadInterval   = 500 * time.Millisecond // least time between two PeerAhead actions
	viewInterval    = 10 * time.Second       // a relay repeats which data centres it cannot reach
	viewLifetime    = 3 * viewInterval       // a relay's view that is not repeated is dropped
	confirmLifetime = time.Second            // another watcher's suspicion counts this long
	stall           = 6 * DefaultTick        // a longer gap between ticks means that this process stood still
	repairDelay     = 2 * time.Second        // rows of another data centre are compared if they differ this long
	localRepair     = 12 * time.Second       // the same in a data centre; tables differ up to sweepInterval when a tombstone ends
	settle          = 2 * time.Second        // a data centre is reported reachable after this long
	sweepInterval   = 10 * time.Second       // old tombstones are looked for
)

// Config configures Members. Zero values take the defaults.
type Config struct {
	Self Member
	// Seeds are peer addresses to join through.
	Seeds []string
	// ProbeInterval is the time between two pings to a watched member.
	ProbeInterval time.Duration
	// AckTimeout is the time between the attempts of one probe.
	AckTimeout time.Duration
	// ProbeTimeout is the time after which an unanswered probe is a suspicion.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time from a shared suspicion to the death declaration.
	SuspicionTimeout time.Duration
	// GossipInterval is the time between bursts while updates are pending.
	GossipInterval time.Duration
	// RelayInterval is the time between pings of a relay to a data centre.
	RelayInterval time.Duration
	// DataCentreTimeout is the silence after which a relay reports a data
	// centre as unreachable.
	DataCentreTimeout time.Duration
	// SyncInterval is the time between two table comparisons.
	SyncInterval time.Duration
	// TombstoneLifetime is how long a departed member is part of table comparisons; it
	// is forgotten after twice that time.
	TombstoneLifetime time.Duration
	Watchers          int // members that watch each member
	IndirectProbes    int // members asked to ping on behalf of a watcher
	GossipFanout      int // receivers of one gossip burst
	Relays            int // relays of each data centre
	// Rand chooses peers. The default is seeded by the runtime.
	Rand *rand.Rand
}

// withDefaults replaces zero values.
func (c Config) withDefaults() Config {
	orDuration(&c.ProbeInterval, DefaultProbeInterval)
	orDuration(&c.AckTimeout, DefaultAckTimeout)
	orDuration(&c.ProbeTimeout, DefaultProbeTimeout)
	orDuration(&c.SuspicionTimeout, DefaultSuspicionTimeout)
	orDuration(&c.GossipInterval, DefaultGossipInterval)
	orDuration(&c.RelayInterval, DefaultRelayInterval)
	orDuration(&c.DataCentreTimeout, DefaultDataCentreTimeout)
	orDuration(&c.SyncInterval, DefaultSyncInterval)
	orDuration(&c.TombstoneLifetime, DefaultTombstoneLifetime)
	orInt(&c.Watchers, DefaultWatchers)
	orInt(&c.IndirectProbes, DefaultIndirectProbes)
	orInt(&c.GossipFanout, DefaultGossipFanout)
	orInt(&c.Relays, DefaultRelays)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}

func orDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func orInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}
