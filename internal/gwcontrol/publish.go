package gwcontrol

import (
	"context"
	"time"

	"gentianward.example/gentianward/internal/gwstate"
)

// PublishRequest asks the leader to make Text the current manifest.
type PublishRequest struct {
	Text []byte `cbor:"1,keyasint"`
}

// PublishResult holds the number and digest of the accepted manifest.
type PublishResult struct {
	Number uint64 `cbor:"1,keyasint" json:"number"`
	Digest string `cbor:"2,keyasint" json:"digest"`
	// Resent means that the same manifest had already been accepted, and not by an earlier
	// attempt of the same call.
	Resent bool `cbor:"3,keyasint" json:"resent"`
}

// Publish commits a manifest as the successor of the current one.
func (l *Leader) Publish(ctx context.Context, r PublishRequest) (PublishResult, error) {
	const op = "publish manifest"
	m, err := l.format.parse("manifest", r.Text)
	if err != nil {
		return PublishResult{}, &Error{Op: op, Kind: Refused, Detail: err.Error()}
	}
	cmd := gwstate.PublishManifest{Number: m.Number, Digest: m.Digest(), Text: string(r.Text), AnyLater: l.format.AnyLater}
	res, err := l.consensus.Propose(ctx, cmd)
	if err != nil {
		return PublishResult{}, err
	}
	mr, ok := res.(gwstate.ManifestResult)
	if !ok || mr.Refusal != gwstate.Accepted {
		return PublishResult{}, &Error{Op: op, Kind: Refused, Detail: describeRefusal(m.Number, mr)}
	}
	if !mr.Resent {
		l.log.Info("manifest accepted", "number", m.Number, "digest", cmd.Digest)
	}
	return PublishResult{Number: m.Number, Digest: cmd.Digest, Resent: mr.Resent}, nil
}

func describeRefusal(number uint64, r gwstate.ManifestResult) string {
	switch r.Refusal {
	case gwstate.NumberTaken:
		return "manifest number " + utoa(number) + " was accepted with digest " + r.AcceptedDigest
	case gwstate.NotSuccessor:
		return "the current manifest is number " + utoa(r.Current) + ", so that the next must be number " + utoa(r.Current+1)
	default:
		return r.Refusal.String()
	}
}

// CurrentManifestRequest asks for the newest manifest.
type CurrentManifestRequest struct {
	// Known is the number of the manifest that the sender has; its text need not be sent.
	Known uint64 `cbor:"1,keyasint"`
}

// CurrentManifest is the newest manifest. Text is empty if the request named this
// manifest as known; Number is 0 if there is no manifest.
type CurrentManifest struct {
	Number uint64 `cbor:"1,keyasint"`
	Text   []byte `cbor:"2,keyasint,omitempty"`
}

// CurrentManifest returns the newest manifest after a quorum has confirmed that this
// voter leads.
func (l *Leader) CurrentManifest(ctx context.Context, r CurrentManifestRequest) (CurrentManifest, error) {
	if err := l.consensus.ConfirmLeadership(ctx); err != nil {
		return CurrentManifest{}, err
	}
	m := l.state.Manifest()
	out := CurrentManifest{Number: m.Number}
	if m.Number != r.Known {
		out.Text = []byte(m.Text)
	}
	return out, nil
}

// CurrentManifest asks the leader for the newest manifest. The result is at least as new
// as every manifest that was acknowledged before the call.
func (c *Client) CurrentManifest(ctx context.Context) (CurrentManifest, error) {
	v := c.views.Current()
	m, err := callLeader(ctx, c, kindCurrentManifest, CurrentManifestRequest{Known: v.Number}, func(ctx context.Context, r CurrentManifestRequest) (CurrentManifest, error) {
		return c.local.CurrentManifest(ctx, r)
	})
	if err == nil && m.Number == v.Number {
		m.Text = v.Text
	}
	return m, err
}

// HistoryRequest asks for the accepted manifests.
type HistoryRequest struct{}

// HistoryEntry is one accepted manifest.
type HistoryEntry struct {
	Number    uint64    `cbor:"1,keyasint" json:"number"`
	Digest    string    `cbor:"2,keyasint" json:"digest"`
	Published time.Time `cbor:"3,keyasint" json:"published"`
}

// History returns the accepted manifests, oldest first, after a quorum has
// confirmed that this voter leads.
func (l *Leader) History(ctx context.Context, _ HistoryRequest) ([]HistoryEntry, error) {
	if err := l.consensus.ConfirmLeadership(ctx); err != nil {
		return nil, err
	}
	var out []HistoryEntry
	for _, m := range l.state.History() {
		out = append(out, HistoryEntry{Number: m.Number, Digest: m.Digest, Published: m.Published.Time()})
	}
	return out, nil
}

// StartGroupRequest asks to record the announced server as the first primary of its group.
type StartGroupRequest struct {
	Announcement Announcement `cbor:"1,keyasint"`
}

// Empty is a request or an answer without content.
type Empty struct{}

// StartGroup records the first primary of a group. A group that already has one keeps
// it, without an error.
func (l *Leader) StartGroup(ctx context.Context, r StartGroupRequest) (Empty, error) {
	a := r.Announcement
	cmd := gwstate.StartGroup{Group: a.Group, Primary: a.Server, Term: a.Term}
	cmd.Start.Term = a.Term
	cmd.Start.Offset = a.Offset
	res, err := l.consensus.Propose(ctx, cmd)
	if err != nil {
		return Empty{}, err
	}
	if gr, ok := res.(gwstate.GroupResult); ok && gr.Refusal != gwstate.Accepted && gr.Refusal != gwstate.GroupExists {
		return Empty{}, &Error{Op: "start group", Kind: Refused, Detail: gr.Refusal.String()}
	}
	return Empty{}, nil
}

// Publish asks the leader to make text the current manifest.
func (c *Client) Publish(ctx context.Context, text []byte) (PublishResult, error) {
	res, failed, err := tryLeaders(ctx, c, kindPublish, PublishRequest{Text: text}, c.localPublish)
	res.Resent = res.Resent && !failed.uncertain()
	return res, err
}

// History asks the leader for the accepted manifests.
func (c *Client) History(ctx context.Context) ([]HistoryEntry, error) {
	return callLeader(ctx, c, kindHistory, HistoryRequest{}, func(ctx context.Context, r HistoryRequest) ([]HistoryEntry, error) {
		return c.local.History(ctx, r)
	})
}

func (c *Client) localPublish(ctx context.Context, r PublishRequest) (PublishResult, error) {
	return c.local.Publish(ctx, r)
}

// StartGroup asks the leader to record the primary of a new group.
func (c *Client) StartGroup(ctx context.Context, a Announcement) error {
	_, err := callLeader(ctx, c, kindStartGroup, StartGroupRequest{Announcement: a}, func(ctx context.Context, r StartGroupRequest) (Empty, error) {
		return c.local.StartGroup(ctx, r)
	})
	return err
}
