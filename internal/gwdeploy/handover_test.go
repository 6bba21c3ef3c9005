package gwdeploy

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwmanifest"
)

// cutOff blocks or restores the links between one instance and all others. Servers stay
// reachable for everybody, so that two owners can use the same server.
func (d *Deployment) cutOff(n *Node, cut bool) {
	for _, o := range d.Instances() {
		if o != n {
			n.Instance().Block(o.Settings.PeerAddress, cut)
			o.Instance().Block(n.Settings.PeerAddress, cut)
		}
	}
}

// acknowledgedFrom returns the earliest and latest time from a time on at which rows
// whose id has one of the prefixes were acknowledged.
func (h *writeHistory) acknowledgedFrom(from time.Time, prefixes ...string) (first, last time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, at := range h.acknowledged {
		if at.Before(from) || !slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(id, p) }) {
			continue
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	return first, last
}

// insert inserts unique rows through one instance until ctx ends, like writer, but reads
// nothing.
func (h *writeHistory) insert(ctx context.Context, d *Deployment, instance int, group string) {
	c, err := pgx.Connect(ctx, d.URL(d.Instances()[instance], d.FirstCaller(), group))
	for n := 0; err == nil && ctx.Err() == nil && !c.IsClosed(); n++ {
		id := fmt.Sprintf("%s-%d-%d", group, instance, n)
		_, execErr := c.Exec(context.Background(), "insert into log (id) values ($1)", id)
		h.record(id, execErr)
		time.Sleep(2 * time.Millisecond)
	}
	if err == nil {
		_ = c.Close(context.Background())
	}
}

// Guards against two owners of a primary that both acknowledge writes: the first one is cut
// off from all other instances, but not from the server, its callers and the next owner's
// server connections.
func TestOwnerCutOffFromPeersStopsFirst(t *testing.T) {
	d := startTest(t, Options{Delay: true, EditManifest: func(m *gwmanifest.Manifest) {
		for i := range m.Classes {
			if !m.Classes[i].ReadOnly {
				// A write that waits for a replica could not be acknowledged behind the cut.
				m.Classes[i].Acknowledge = gwmanifest.AcknowledgePrimary
			}
		}
	}})
	group := d.Groups()[0]
	_, err := connect(t, d, 0, d.FirstCaller(), group).Exec(t.Context(), "create table log (id text)")
	require.NoError(t, err)
	owner := slices.Index(d.Instances(), d.Owner(group))
	require.GreaterOrEqual(t, owner, 0)
	other := (owner + 1) % len(d.Instances())
	h := newWriteHistory()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { h.writer(ctx, d, other, group) })
	// It does not read back: a read at a replica behind the cut would hold its session.
	wg.Go(func() { h.insert(ctx, d, owner, group) })
	prefix := func(instance int) string { return group + "-" + string(rune('0'+instance)) + "-" }
	time.Sleep(time.Second)

	cutAt := time.Now()
	d.cutOff(d.Instances()[owner], true)
	// Answers that were sent before the cut may arrive shortly after it.
	settled := cutAt.Add(300 * time.Millisecond)
	assert.Eventually(t, func() bool {
		first, _ := h.acknowledgedFrom(settled, prefix(other))
		return !first.IsZero()
	}, 15*time.Second, 20*time.Millisecond, "a write through the next owner")
	time.Sleep(2 * time.Second)
	first, _ := h.acknowledgedFrom(settled, prefix(other))
	_, last := h.acknowledgedFrom(time.Time{}, prefix(owner))
	t.Logf("the first owner acknowledged until %v and the next one from %v after the cut", last.Sub(cutAt), first.Sub(cutAt))
	assert.True(t, last.After(cutAt), "the first owner must go on until its lease ends, or nothing is tested")
	assert.True(t, last.Before(first), "the first owner acknowledged %v after the next one", last.Sub(first))

	d.cutOff(d.Instances()[owner], false)
	time.Sleep(2 * time.Second)
	cancel()
	wg.Wait()
	h.check(t, d, other, group)
}
