package gwmember

import (
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	// DefaultTick is the interval at which Tick should be called. An interval of 300 ms or
	// more counts as a stall of this process, and the silence of peers during it is ignored.
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
	joinRetry            = 500 * time.Millisecond  // wait between comparisons while and just after joining
	seedRetry            = 200 * time.Millisecond  // wait before the next seed is tried, as one may not have started yet
	reconnectInterval    = time.Second             // minimum time between two reconnect attempts of an instance
	reconnectRate        = 2                       // reconnect attempts per second of all members of a data centre together
	claimTimeout         = 1500 * time.Millisecond // how long a live member that a peer's table reports as dead has to answer
	claimRetry           = 400 * time.Millisecond  // wait between two pings of such a member
	aheadInterval        = 500 * time.Millisecond  // minimum time between two PeerAhead actions
	viewInterval         = 10 * time.Second        // how often a relay repeats its view of unreachable data centres
	viewLifetime         = 3 * viewInterval        // after which a relay's view that was not repeated is ignored
	confirmationLifetime = time.Second             // how long another watcher's suspicion counts
	stallThreshold       = 6 * DefaultTick         // an interval of this length or more between ticks counts as a stall of this process
	remoteRepairDelay    = 2 * time.Second         // how long another data centre's rows differ before they are compared
	// Tables of a data centre differ for up to sweepInterval when a tombstone expires.
	localRepairDelay = 4 * time.Second // the same within a data centre
	reachableDelay   = 2 * time.Second // how long a data centre is reachable before this is reported
	sweepInterval    = 2 * time.Second // how often expired tombstones are removed
)

const (
	// smallRing is the number of live members of a data centre up to which each of them watches
	// all others for alertPeriod after a suspicion. A partition can separate a member from most
	// of its few watchers; those that remain would find the losses of the next ones on the
	// ring one round after the other. In larger data centres, Config.Watchers bounds the
	// cost for each member.
	smallRing   = 16
	alertPeriod = 3 * time.Second
	// When massDeaths members or more have died within massLossPeriod, a relay reports those of
	// its data centre to massFanout more members of each other data centre. Some of its
	// contacts there are then likely to be lost as well.
	massDeaths     = 2
	massFanout     = 8
	massLossPeriod = 3 * time.Second
)

// Config configures Members. Zero values take the defaults.
type Config struct {
	Self Member
	// Seeds are the peer addresses to join through.
	Seeds []string
	// Known holds addresses at which members ran earlier, as Members.Known returned them.
	Known []KnownAddress
	// ProbeInterval is the time between two probes of a watched member.
	ProbeInterval time.Duration
	// AckTimeout is the time to wait for an acknowledgment before the next attempt of a probe.
	AckTimeout time.Duration
	// ProbeTimeout is the time after which an unanswered probe raises a suspicion.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time from the start of a suspicion to the death
	// declaration if another watcher shares it or the data centre has at most two live
	// members; otherwise the time is twice as long.
	SuspicionTimeout time.Duration
	// GossipInterval is the time between gossip rounds while updates are pending.
	GossipInterval time.Duration
	// RelayInterval is the time between pings from a relay to another data centre.
	RelayInterval time.Duration
	// DataCentreTimeout is the silence after which a relay reports a data
	// centre as unreachable.
	DataCentreTimeout time.Duration
	// SyncInterval is the time between two table comparisons.
	SyncInterval time.Duration
	// TombstoneLifetime is how long a dead or departed member takes part in table
	// comparisons; its row is removed after twice that time.
	TombstoneLifetime time.Duration
	Watchers          int // number of members that watch each member
	IndirectProbes    int // number of members asked to ping on behalf of a watcher
	GossipFanout      int // number of receivers of one gossip round
	Relays            int // number of relays of each data centre
	// Rand chooses peers and jitter. By default, it is randomly seeded.
	Rand *rand.Rand
}

// withDefaults returns a copy of c in which unset values have their defaults.
func (c Config) withDefaults() Config {
	setDefaultDuration(&c.ProbeInterval, DefaultProbeInterval)
	setDefaultDuration(&c.AckTimeout, DefaultAckTimeout)
	setDefaultDuration(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefaultDuration(&c.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefaultDuration(&c.GossipInterval, DefaultGossipInterval)
	setDefaultDuration(&c.RelayInterval, DefaultRelayInterval)
	setDefaultDuration(&c.DataCentreTimeout, DefaultDataCentreTimeout)
	setDefaultDuration(&c.SyncInterval, DefaultSyncInterval)
	setDefaultDuration(&c.TombstoneLifetime, DefaultTombstoneLifetime)
	setDefaultInt(&c.Watchers, DefaultWatchers)
	setDefaultInt(&c.IndirectProbes, DefaultIndirectProbes)
	setDefaultInt(&c.GossipFanout, DefaultGossipFanout)
	setDefaultInt(&c.Relays, DefaultRelays)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}

func setDefaultDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setDefaultInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}
