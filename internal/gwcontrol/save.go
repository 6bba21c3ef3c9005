package gwcontrol

import (
	"context"
	"time"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// pendingSave is a save that runs on a goroutine of its own, so that a slow disk does not keep
// the voter from answering the others.
type pendingSave struct {
	ready gwquorum.Ready
	began time.Time
	done  chan error
}

// result returns the channel that receives the end of the save; nil if none runs.
func (p *pendingSave) result() <-chan error {
	if p == nil {
		return nil
	}
	return p.done
}

// processReady does whatever the node has ready, as far as it need not wait for a save, and
// compacts the log if it is due.
func (c *Consensus) processReady(ctx context.Context) error {
	for {
		rd := c.nextReady()
		if rd.Empty() && c.node.SnapshotWanted() {
			if err := c.provideSnapshot(); err != nil {
				return err
			}
			continue
		}
		if rd.Empty() {
			break
		}
		if rd.MustSave() {
			c.beginSave(ctx, rd)
			continue
		}
		if err := c.finish(ctx, rd); err != nil {
			return err
		}
	}
	c.updateStatus()
	return c.compact()
}

func (c *Consensus) nextReady() gwquorum.Ready {
	if c.saving != nil {
		return c.node.ReadyDuringSave()
	}
	return c.node.Ready()
}

func (c *Consensus) beginSave(ctx context.Context, rd gwquorum.Ready) {
	p := &pendingSave{ready: rd, began: c.Clock.Now(), done: make(chan error, 1)}
	c.saving = p
	for _, m := range rd.EarlyMessages() {
		c.send(ctx, m)
	}
	go func() { p.done <- c.Store.Save(rd.HardState, rd.Entries, rd.Snapshot) }()
}

// endSave finishes the work that has waited for the save.
func (c *Consensus) endSave(ctx context.Context, err error) error {
	p := c.saving
	c.saving = nil
	c.recordSave(p)
	if err != nil {
		return err
	}
	return c.finish(ctx, p.ready)
}

func (c *Consensus) recordSave(p *pendingSave) {
	now := c.Clock.Now()
	took := now.Sub(p.began)
	c.voterLog.saved(took, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowestSave = max(c.slowestSave, took)
}

// abandonSave waits for the end of a save, after which the store can be used again. Nothing is
// sent that depends on it, as the node is discarded.
func (c *Consensus) abandonSave() {
	if p := c.saving; p != nil {
		if err := <-p.done; err != nil {
			c.Log.Warn("save of a discarded voter failed", "error", err.Error())
		}
		c.saving = nil
		c.recordSave(p)
	}
}

// finish does the work of rd that follows its save.
func (c *Consensus) finish(ctx context.Context, rd gwquorum.Ready) error {
	for _, m := range rd.LateMessages() {
		c.send(ctx, m)
	}
	if rd.Restore && rd.Snapshot.Index > c.State.Index() {
		if err := c.State.Restore(rd.Snapshot.Data, c.Clock.Now()); err != nil {
			return err
		}
	}
	if rd.Restore {
		c.failProposals(rd.Snapshot.Index)
		c.compactedIndex = max(c.compactedIndex, rd.Snapshot.Index)
	}
	c.apply(rd.Committed)
	c.answerReads(rd.Reads)
	c.node.Advance(rd)
	if len(rd.Committed) > 0 || rd.Restore {
		c.OnApplied()
	}
	return nil
}

// failProposals answers the proposals up to index, whose entries a received snapshot has replaced:
// they are not applied one by one here.
func (c *Consensus) failProposals(index uint64) {
	for i, p := range c.proposals {
		if i <= index {
			p.done <- applied{err: errLostLeadership}
			delete(c.proposals, i)
		}
	}
}

// provideSnapshot gives the node the present state for members that are behind. It is not saved,
// so that it costs no sync.
func (c *Consensus) provideSnapshot() error {
	began := c.Clock.Now()
	data, err := c.State.Snapshot()
	if err != nil {
		return err
	}
	c.node.ProvideSnapshot(data)
	now := c.Clock.Now()
	c.voterLog.line(now, "snapshot made for members that are behind", "bytes", len(data),
		"took", now.Sub(began).Round(time.Millisecond).String(), "applied", c.node.Status().Applied)
	return nil
}

// compact takes a snapshot once compactEntries entries have been applied since the
// last one or the log has reached compactBytes. It waits until the entries are synced here.
func (c *Consensus) compact() error {
	index := c.State.Index()
	if c.saving != nil || index <= c.compactedIndex || index < c.compactedIndex+compactEntries && c.Store.Size() < compactBytes {
		return nil
	}
	if st := c.node.Status(); index > min(st.Applied, st.Synced) {
		return nil
	}
	data, err := c.State.Snapshot()
	if err != nil {
		return err
	}
	if err := c.node.Compact(index, data); err != nil {
		return err
	}
	c.compactedIndex = index
	return nil
}
