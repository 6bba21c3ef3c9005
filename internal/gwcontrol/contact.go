package gwcontrol

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// Timing of the check that the leader can be reached.
const (
	contactInterval = 600 * time.Millisecond
	// contactTimeout is how long an answer of the leader proves that the leader is
	// reachable: two intervals and a round trip, so that a single lost message is
	// tolerated.
	contactTimeout = 1500 * time.Millisecond
)

// lastContact holds the time at which this instance sent the latest call that the
// leader, and hence a quorum of voters, has answered.
type lastContact struct{ at atomic.Pointer[time.Time] }

// Contact returns nil if this voter leads and is ready, and an error of kind NotLeader
// otherwise. A voter that is cut off leads for some hundred ms more.
func (l *Leader) Contact(context.Context, Empty) (Empty, error) {
	st := l.consensus.Status()
	if !st.LeaderReady {
		return Empty{}, &Error{Op: "confirm contact", Kind: NotLeader, Detail: voterName(st.Leader)}
	}
	return Empty{}, nil
}

// nearbyContact asks a voter how long ago it last heard from the leader.
type nearbyContact struct {
	// Holder and Epoch name the instance that asks and its run.
	Holder string `cbor:"1,keyasint,omitempty"`
	Epoch  uint64 `cbor:"2,keyasint,omitempty"`
}

type nearbyContactAnswer struct {
	// Age is the time since the voter last heard from a leader; negative if it knows none.
	Age time.Duration `cbor:"1,keyasint"`
	// EarlierLeases means that an earlier run of Holder may still hold leases.
	EarlierLeases bool `cbor:"2,keyasint,omitempty"`
}

// NearbyContact answers for the leader from what this voter, which may be a follower, has
// heard of it. Followers have applied the log, so that they also know of leases, except for
// those of the last moments.
func (l *Leader) NearbyContact(_ context.Context, r nearbyContact) (nearbyContactAnswer, error) {
	st := l.consensus.Status()
	a := nearbyContactAnswer{Age: -1}
	switch {
	case st.LeaderReady:
		a.Age = 0
	case st.Role == gwquorum.Follower && st.Leader != "":
		a.Age = max(0, l.clock.Since(st.LeaderHeardAt))
	}
	if r.Holder != "" { // asked once per start, unlike the age
		a.EarlierLeases = slices.ContainsFunc(l.state.Leases(), func(held gwstate.Lease) bool {
			return l.isLaterRun(held, r.Holder, r.Epoch)
		})
	}
	return a, nil
}

const (
	// nearbyTimeout bounds a call to a voter of the own data centre.
	nearbyTimeout = 300 * time.Millisecond
	// maxNearbyAge is the age up to which the contact of a nearby voter counts: several
	// heartbeats of the leader, and less than contactTimeout by more than contactInterval.
	maxNearbyAge = 800 * time.Millisecond
)

// askNearby asks a voter of the own data centre about the leader. It returns false if there
// is none or it does not know a leader.
//
// If every instance called the leader, the leader would have a link to each of them, and
// the calls would cross regions.
func (c *Client) askNearby(ctx context.Context, r nearbyContact) (nearbyContactAnswer, bool) {
	t := c.members.Topology()
	for name, address := range c.Voters() {
		if m, ok := t.Member(name); !ok || m.DataCentre != t.Self.DataCentre || name == t.Self.Instance {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, nearbyTimeout)
		a, err := gwpeer.Call[nearbyContact, nearbyContactAnswer](ctx, c.node, address, kindNearbyContact, r)
		cancel()
		if err == nil && a.Age >= 0 && a.Age <= maxNearbyAge {
			return a, true
		}
	}
	return nearbyContactAnswer{}, false
}

// MonitorContact asks for the leader at intervals until ctx ends, first at a voter of the
// own data centre, and calls changed whenever the contact is lost or regained.
func (c *Client) MonitorContact(ctx context.Context, changed func(inContact bool)) {
	ticker := c.clock.NewTicker(contactInterval)
	defer ticker.Stop()
	last := false
	for {
		go c.askLeader(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if now := c.InContact(); now != last {
			last = now
			changed(now)
		}
	}
}

func (c *Client) askLeader(ctx context.Context) {
	sent := c.clock.Now()
	if a, ok := c.askNearby(ctx, nearbyContact{}); ok {
		c.recordContact(sent.Add(-a.Age))
		return
	}
	sent = c.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	_, err := callLeader(ctx, c, kindContact, Empty{}, func(ctx context.Context, r Empty) (Empty, error) {
		return c.local.Contact(ctx, r)
	})
	if err != nil {
		c.log.Debug("leader of the replicated log not reached", "error", err)
		return
	}
	c.recordContact(sent)
}

// recordContact records that the leader worked at the given time.
func (c *Client) recordContact(sent time.Time) {
	for old := c.lastContact.at.Load(); old == nil || sent.After(*old); old = c.lastContact.at.Load() {
		if c.lastContact.at.CompareAndSwap(old, &sent) {
			return
		}
	}
}

// CutOff reports whether this instance has lost contact with the leader for longer than
// an election takes. It is false until the first contact after the start.
func (c *Client) CutOff() bool { return c.lastContact.at.Load() != nil && !c.InContact() }

// ContactAge returns how long ago the leader last answered a call, and false if it never did.
func (c *Client) ContactAge() (time.Duration, bool) {
	at := c.lastContact.at.Load()
	if at == nil {
		return 0, false
	}
	return c.clock.Since(*at), true
}

// InContact reports whether the leader has answered a call that was sent within the
// last contactTimeout. An instance without contact may be on the minority side of
// a network partition.
func (c *Client) InContact() bool {
	at := c.lastContact.at.Load()
	return at != nil && c.clock.Since(*at) < contactTimeout
}
