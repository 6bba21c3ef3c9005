package gwcontrol

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstate"
)

// codeNotLeader is the code of an answer by a voter that does not lead; the
// message names the leader.
const codeNotLeader = "notLeader"

// Client finds the leader of the replicated log and calls it.
type Client struct {
	node    *gwpeer.Node
	clock   clockwork.Clock
	log     *slog.Logger
	members *Membership
	views   *Views
	// local is this instance's voter, nil if it is none.
	local *Leader

	mu      sync.Mutex
	leader  string
	contact contact
}

// NewClient returns a client; local is nil on an instance that is no voter.
func NewClient(node *gwpeer.Node, clock clockwork.Clock, log *slog.Logger, members *Membership, views *Views, local *Leader) *Client {
	return &Client{node: node, clock: clock, log: log, members: members, views: views, local: local}
}

// AssumeExclusiveNames tells that two processes can never run under one instance's name
// at the same time, as when the name is the address that the process listens on. A
// restarted instance then need not wait for the leases of its earlier run. It must
// be called before Run.
func (l *Leader) AssumeExclusiveNames() { l.exclusive = true }

// Voters returns the peer addresses of the manifest's voters by instance, or of
// the live instances dedicated to control if no manifest lists voters.
func (c *Client) Voters() map[string]string {
	out := make(map[string]string)
	if m := c.views.Current().Manifest; m != nil {
		for _, v := range m.Manifest().Voters {
			out[v.Instance] = v.Address
		}
	}
	if len(out) > 0 {
		return out
	}
	// No manifest lists voters: every instance that is dedicated to control may be one.
	for _, m := range c.members.Topology().Live {
		if m.ControlOnly {
			out[m.Instance] = m.Address
		}
	}
	return out
}

// Leader returns the last known leader, "" if unknown.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Client) setLeader(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = instance
}

// candidates returns the voters to ask, the presumed leader first.
func (c *Client) candidates() []string {
	voters := c.Voters()
	known := c.Leader()
	var out []string
	for name := range voters {
		if name != known {
			out = append(out, name)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	if _, ok := voters[known]; ok {
		out = append([]string{known}, out...)
	}
	return out
}

// Timing of calls to the leader.
const (
	leaderAttempt = 700 * time.Millisecond
	leaderPause   = 30 * time.Millisecond
)

// callLeader calls the leader until it answers or ctx ends. Requests to it are
// idempotent, so that a lost answer is made up for by another call.
func callLeader[Req, Resp any](ctx context.Context, c *Client, kind gwpeer.Kind, req Req, local func(context.Context, Req) (Resp, error)) (Resp, error) {
	var last error
	for ctx.Err() == nil {
		for _, name := range c.candidates() {
			resp, err := callVoter(ctx, c, name, kind, req, local)
			if err == nil {
				c.setLeader(name)
				return resp, nil
			}
			if final(err) {
				return resp, err
			}
			last = err
			if hint := leaderHint(err); hint != "" && hint != name {
				c.setLeader(hint)
				break
			}
			c.setLeader("")
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(leaderPause):
		}
	}
	var zero Resp
	if last == nil {
		last = ctx.Err()
	}
	return zero, &Error{Op: "call leader", Kind: Unavailable, Detail: kind.Name, Err: last}
}

func callVoter[Req, Resp any](ctx context.Context, c *Client, name string, kind gwpeer.Kind, req Req, local func(context.Context, Req) (Resp, error)) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderAttempt)
	defer cancel()
	if c.local != nil && c.local.Instance() == name {
		return local(ctx, req)
	}
	address, err := addressOf(c.Voters(), name)
	if err != nil {
		var zero Resp
		return zero, err
	}
	return gwpeer.Call[Req, Resp](ctx, c.node, address, kind, req)
}

// addressOf returns the address of a voter, which may be out of reach by now.
func addressOf(voters map[string]string, name string) (string, error) {
	address, ok := voters[name]
	if !ok {
		return "", &Error{Op: "find voter", Kind: Unavailable, Detail: fmt.Sprintf("%q is neither in the manifest nor a live member", name)}
	}
	return address, nil
}

// final reports whether err is the leader's own answer.
func final(err error) bool {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind == Refused
	}
	code, remote := gwpeer.RemoteCode(err)
	return remote && code == Refused.String()
}

// IsRefused reports whether err says that a request was understood and must not
// be repeated as it is, here or at the leader.
func IsRefused(err error) bool { return final(err) }

// leaderHint returns the leader that a voter named, "" if it named none.
func leaderHint(err error) string {
	var e *Error
	if errors.As(err, &e) && e.Kind == NotLeader {
		return e.Detail
	}
	var p *gwpeer.Error
	if errors.As(err, &p) && p.Code == codeNotLeader && p.Err != nil {
		return p.Err.Error()
	}
	return ""
}

// remoteError turns an error of a leader's service into one with a code.
func remoteError(err error) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	switch e.Kind {
	case NotLeader:
		return gwpeer.Codef(codeNotLeader, "%s", e.Detail)
	case Refused:
		return gwpeer.Codef(Refused.String(), "%s", e.Detail)
	default:
		return err
	}
}

// Leader serves the calls that only the leader of the replicated log answers.
type Leader struct {
	consensus *Consensus
	state     *gwstate.State
	clock     clockwork.Clock
	log       *slog.Logger
	owners    Owners
	voters    func() map[string]string
	topology  func() *Topology
	format    ManifestFormat
	manifest  func() *gwmanifest.Index
	promoter  Promoter
	exclusive bool
	changed   func(group string, took time.Duration)

	// keeping means that the members of the log are being compared with the manifest.
	keeping atomic.Bool

	mu       sync.Mutex
	changing map[string]bool
}

// NewLeader registers the leader's services at the node of a voter.
func NewLeader(node *gwpeer.Node, c *Consensus) *Leader {
	l := &Leader{consensus: c, state: c.State, clock: c.Clock, log: c.Log, changing: make(map[string]bool)}
	serveLeader(node, kindLease, l.Lease)
	serveLeader(node, kindReturn, l.Return)
	serveLeader(node, kindPublish, l.Publish)
	serveLeader(node, kindStart, l.StartGroup)
	gwpeer.Handle(node, kindSuspect, func(ctx context.Context, from string, r SuspectRequest) (Empty, error) {
		r.Reporter = from
		return withCode(l.Suspect(ctx, r))
	})
	serveLeader(node, kindHistory, l.History)
	serveLeader(node, kindCurrent, l.Current)
	serveLeader(node, kindContact, l.Contact)
	serveLeader(node, kindEndRuns, l.EndRuns)
	return l
}

// Instance returns the name of the voter.
func (l *Leader) Instance() string { return l.consensus.Instance }

// Attach sets the owners that changes of primary call, the client that knows the
// voters of the manifest and the members, and what is told about the duration of
// each change of primary. It must be called before Run.
func (l *Leader) Attach(o Owners, c *Client, changed func(group string, took time.Duration)) {
	l.owners, l.voters, l.topology, l.changed = o, c.Voters, c.members.Topology, changed
	l.format = c.views.format
	l.manifest = func() *gwmanifest.Index { return c.views.Current().Manifest }
}

// Promoter asks whatever runs the backend servers to make one the primary.
// Promote may be repeated; fence rises whenever another instance leads.
type Promoter interface {
	Promote(ctx context.Context, group, server string, fence uint64) error
}

// UsePromoter makes changes of primary go through p. It must be called before Run.
func (l *Leader) UsePromoter(p Promoter) { l.promoter = p }

func serveLeader[Req, Resp any](node *gwpeer.Node, kind gwpeer.Kind, f func(context.Context, Req) (Resp, error)) {
	gwpeer.Handle(node, kind, func(ctx context.Context, _ string, req Req) (Resp, error) {
		return withCode(f(ctx, req))
	})
}

// withCode gives an error the code that callLeader reads.
func withCode[Resp any](resp Resp, err error) (Resp, error) {
	if err != nil {
		return resp, remoteError(err)
	}
	return resp, nil
}
