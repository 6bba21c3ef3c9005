package gwquorum_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// storeSnapshotSyncs is how many syncs one after the other gwstore makes for a snapshot: the file and
// its name, and a new log file and its name.
const storeSnapshotSyncs = 4

// slowDisks gives all members disks of which each sync takes d.
func (c *timedCluster) slowDisks(d time.Duration) {
	for _, m := range c.members {
		m.sync, m.snapshotSyncs = d, storeSnapshotSyncs
	}
}

// Guards against a new member that is sent one snapshot after the other, as it is silent for longer
// than an election timeout while it receives and saves each one.
func TestNewMemberCatchesUpBesideWrites(t *testing.T) {
	for _, tt := range []struct {
		entry    int
		interval time.Duration
		state    int
		sync     time.Duration
		rate     int // bytes per second of the links
	}{
		{256 << 10, 150 * time.Millisecond, 300 << 10, 155 * time.Millisecond, 30 << 17},
		{256 << 10, 150 * time.Millisecond, 300 << 10, 155 * time.Millisecond, 150 << 17},
		{256 << 10, 150 * time.Millisecond, 4 << 20, 155 * time.Millisecond, 30 << 17},
		{60 << 10, 150 * time.Millisecond, 5 << 20, 155 * time.Millisecond, 30 << 17},
	} {
		t.Run(fmt.Sprintf("%dKB each %s, state %dKB, sync %s, %d Mbit/s", tt.entry>>10, tt.interval, tt.state>>10, tt.sync, tt.rate>>17), func(t *testing.T) {
			c := newTimedCluster(11, "a", "b", "c")
			c.stateBytes = tt.state
			c.slowDisks(tt.sync)
			for _, l := range c.sortedLinks() {
				l.bytesPerSecond = tt.rate
			}
			c.run(3*time.Second, nil)
			require.NotNil(t, c.leader())
			c.write(40, tt.entry, tt.interval)
			replaced := c.ids[slices.IndexFunc(c.ids, func(id string) bool { return id != c.leader().id })]
			snapshots := 0
			c.onSend = func(m gwquorum.Message) {
				if m.To == "d" && m.Kind == gwquorum.MessageSnapshot {
					snapshots++
				}
			}
			next := c.now
			took, ok := c.replaceByNew("d", replaced, 5*catchUp, func() {
				if d := c.members["d"]; d != nil {
					d.sync, d.snapshotSyncs = tt.sync, storeSnapshotSyncs
				}
				for _, l := range c.sortedLinks() {
					l.bytesPerSecond = tt.rate
				}
				if !c.now.Before(next) {
					next = c.now.Add(tt.interval)
					c.propose(tt.entry)
				}
				c.compact(tt.entry)
			})
			t.Logf("the new member votes after %s and %d snapshots", took, snapshots)
			require.NoError(t, c.err)
			assert.True(t, ok)
			assert.Less(t, took, catchUp)
			assert.Equal(t, 1, snapshots)
		})
	}
}
