package gwcontrol

import (
	"context"

	"gentianward.example/gentianward/internal/gwpeer"
)

// PullNewest brings the view of this instance up to that of a voter: the leader, or another one
// if that cannot be reached before ctx ends. A voter that is not the leader may lag by the
// interval of the leader's heartbeats.
func (c *Client) PullNewest(ctx context.Context) error {
	voters := c.Voters()
	err := error(&Error{Op: "pull newest view", Kind: Unavailable, Detail: "no voter is known"})
	for _, name := range c.candidates() {
		if ctx.Err() != nil {
			break
		}
		if c.local != nil && c.local.Instance() == name {
			continue // its own log has updated the view
		}
		if err = c.pullView(ctx, voters[name]); err == nil {
			return nil
		}
	}
	return err
}

// pullView applies the changes of the view that another instance has.
func (c *Client) pullView(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	v := c.views.Current()
	delta, err := gwpeer.Call[pullView, ViewDelta](ctx, c.node, address, kindPullView, pullView{Index: v.Index, Number: v.Number, Base: v.Number})
	if err != nil {
		return err
	}
	_, err = c.views.ApplyEncoded(delta)
	return err
}

// ConfirmNewest brings the manifest of this instance up to the newest one that was acknowledged
// before the call, as a quorum of voters confirms.
func (c *Client) ConfirmNewest(ctx context.Context) error {
	m, err := c.CurrentManifest(ctx)
	if err != nil {
		return err
	}
	v := c.views.Current()
	if m.Number <= v.Number {
		return nil
	}
	_, err = c.views.Apply(ViewDelta{From: v.Index, Index: v.Index, Number: m.Number, Text: m.Text})
	return err
}
