package gwcontrol

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstate"
)

// codeNotLeader is the error code of a voter that is not the leader; the message is
// the name of the leader, or empty.
const codeNotLeader = "notLeader"

// Client finds the leader of the replicated log and calls it.
type Client struct {
	node    *gwpeer.Node
	clock   clockwork.Clock
	log     *slog.Logger
	members *Membership
	views   *Views
	// local serves the calls if this instance leads; nil if it is not a voter.
	local *Leader

	mu          sync.Mutex
	leader      string
	lastContact lastContact
}

// NewClient returns a client; local is nil on an instance that is not a voter.
func NewClient(node *gwpeer.Node, clock clockwork.Clock, log *slog.Logger, members *Membership, views *Views, local *Leader) *Client {
	return &Client{node: node, clock: clock, log: log, members: members, views: views, local: local}
}

// AssumeExclusiveNames declares that two processes never run under the same instance
// name at the same time, for example because the name is the address that the process
// listens on. A restarted instance then does not wait for the leases of its earlier
// run to expire. It must be called before Run.
func (l *Leader) AssumeExclusiveNames() { l.exclusiveNames = true }

// Voters returns the peer addresses, by instance, of the voters that the manifest
// lists, or of the live control-only instances if no manifest lists voters.
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
	// No manifest lists voters: every control-only instance may be one.
	for _, m := range c.members.Topology().Live {
		if m.ControlOnly {
			out[m.Instance] = m.Address
		}
	}
	return out
}

// Leader returns the last known leader, or "" if there is none.
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

// candidates returns the voters to call, with the last known leader first and the others
// in random order.
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
	leaderCallTimeout = 700 * time.Millisecond
	leaderRetryDelay  = 30 * time.Millisecond
)

// callLeader calls voters until the leader answers or ctx ends. All requests to the
// leader are idempotent, so that a call whose answer was lost can be repeated.
func callLeader[Req, Resp any](ctx context.Context, c *Client, kind gwpeer.Kind, req Req, local func(context.Context, Req) (Resp, error)) (Resp, error) {
	resp, _, err := tryLeaders(ctx, c, kind, req, local)
	return resp, err
}

// tryLeaders is callLeader; it also returns the attempts that failed.
func tryLeaders[Req, Resp any](ctx context.Context, c *Client, kind gwpeer.Kind, req Req, local func(context.Context, Req) (Resp, error)) (Resp, attempts, error) {
	var last error
	var failed attempts
	for ctx.Err() == nil {
		for _, name := range c.candidates() {
			if ctx.Err() != nil {
				break
			}
			resp, err := callVoter(ctx, c, name, kind, req, local)
			if err == nil {
				c.setLeader(name)
				return resp, failed, nil
			}
			if isFinal(err) || hasNoHandler(err) {
				return resp, failed, err
			}
			last = err
			failed = failed.add(name, err)
			if hint := leaderHint(err); hint != "" && hint != name {
				c.setLeader(hint)
				break
			}
			c.setLeader("")
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(leaderRetryDelay):
		}
	}
	var zero Resp
	if last == nil {
		last = ctx.Err()
	}
	return zero, failed, &Error{Op: "call leader", Kind: Unavailable, Detail: kind.Name + failed.String(), Err: last}
}

// attempts holds the last result of each voter that a call was sent to, the latest one last.
type attempts []attempt

type attempt struct {
	voter, result string
	count         int
	// uncertain means that an attempt at this voter may have taken effect.
	uncertain bool
}

func (a attempts) uncertain() bool {
	return slices.ContainsFunc(a, func(t attempt) bool { return t.uncertain })
}

func (a attempts) add(voter string, err error) attempts {
	now := attempt{voter: voter, result: "no answer", count: 1}
	var e *Error
	var p *gwpeer.Error
	hint := leaderHint(err)
	switch {
	case hint != "":
		now.result = "names " + hint
	case errors.As(err, &p) && p.Code == codeNotLeader, errors.As(err, &e) && e.Kind == NotLeader:
		now.result = "knows no leader"
	case gwpeer.IsNotSent(err):
		now.result = "not reached"
	default:
		now.uncertain = true
	}
	if i := slices.IndexFunc(a, func(t attempt) bool { return t.voter == voter }); i >= 0 {
		now.count += a[i].count
		now.uncertain = now.uncertain || a[i].uncertain
		a = slices.Delete(a, i, i+1)
	}
	return append(a, now)
}

// String returns the results in parentheses, or "" if there are none.
func (a attempts) String() string {
	if len(a) == 0 {
		return ""
	}
	parts := make([]string, len(a))
	for i, t := range a {
		parts[i] = fmt.Sprintf("%s %s (%d)", t.voter, t.result, t.count)
	}
	return " [" + strings.Join(parts, ", ") + "]"
}

func callVoter[Req, Resp any](ctx context.Context, c *Client, name string, kind gwpeer.Kind, req Req, local func(context.Context, Req) (Resp, error)) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
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

// addressOf returns the address of a voter, or an error of kind Unavailable if the voter
// is no longer known.
func addressOf(voters map[string]string, name string) (string, error) {
	address, ok := voters[name]
	if !ok {
		return "", &Error{Op: "find voter", Kind: Unavailable, Detail: fmt.Sprintf("%q is neither in the manifest nor a live member", name)}
	}
	return address, nil
}

// isFinal reports whether err is a refusal, which calling another voter cannot change.
func isFinal(err error) bool {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind == Refused
	}
	code, remote := gwpeer.RemoteCode(err)
	return remote && code == Refused.String()
}

// IsRefused reports whether err says that a request was refused, here or by the
// leader, and must not be repeated unchanged.
func IsRefused(err error) bool { return isFinal(err) }

// leaderHint returns the leader that a voter named in err, or "" if it named none.
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

// codedError gives a NotLeader or Refused error the code that it has between peers.
func codedError(err error) error {
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
	consensus      *Consensus
	state          *gwstate.State
	clock          clockwork.Clock
	log            *slog.Logger
	owners         Owners
	voters         func() map[string]string
	topology       func() *Topology
	format         ManifestFormat
	manifest       func() *gwmanifest.Index
	promoter       Promoter
	observeCall    func(outcome string)
	exclusiveNames bool
	onChanged      func(group string, took time.Duration)

	// reconciling is set while reconcileVoters runs.
	reconciling atomic.Bool
	// undone is a change of the voters that is wanted and not made; owned by reconcileVoters.
	undone undoneChange
	// spares holds the learners without a planned vote; owned by reconcileVoters.
	spares spareLearners
	// identities holds the answers of the instances that may be voters.
	identities voterAnswers
	// handOvers holds the transfers of the leadership by a leader that is to be replaced; owned by
	// reconcileVoters.
	handOvers leadershipMoves
	// presence holds when and where the instances that may vote were last live.
	presence presence
	// endingRecords is set while endRecords runs.
	endingRecords atomic.Bool
	copies        copyKeeper
	// directory is that of this instance; nil if it is not used.
	directory *Directory
	// runs tells which run of a server has answered; nil if an answer counts for the run that the
	// directory names.
	runs *runTable
	// askAck asks the keepers of acknowledged positions; nil if there are none.
	askAck askAckFunc
	calls  openCalls
	moves  leadershipMoves
	// quotas holds the shares of customers' limits; nil if there are no limits.
	quotas *quotaLeader

	mu       sync.Mutex
	changing map[string]bool
	waits    changeWaits
}

// NewLeader returns the leader's services of a voter and registers them at its node.
func NewLeader(node *gwpeer.Node, c *Consensus) *Leader {
	l := &Leader{
		consensus: c, state: c.State, clock: c.Clock, log: c.Log,
		changing: make(map[string]bool), moves: make(leadershipMoves), waits: make(changeWaits),
	}
	l.identities.askOne = func(ctx context.Context, address string) (voterInfo, error) { return askVoter(ctx, node, address) }
	serveLeader(node, kindLease, l.Lease)
	serveLeader(node, kindReturnLease, l.ReturnLeases)
	serveLeader(node, kindPublish, l.Publish)
	serveLeader(node, kindStartGroup, l.StartGroup)
	gwpeer.Handle(node, kindSuspect, func(ctx context.Context, from string, r SuspectRequest) (Empty, error) {
		r.Reporter = from
		return withCode(l.Suspect(ctx, r))
	})
	serveLeader(node, kindHistory, l.History)
	serveLeader(node, kindCurrentManifest, l.CurrentManifest)
	serveLeader(node, kindContact, l.Contact)
	serveLeader(node, kindNearbyContact, l.NearbyContact)
	serveLeader(node, kindEndEarlierRuns, l.EndEarlierRuns)
	serveLeader(node, kindRecordCopies, l.RecordCopies)
	return l
}

// Instance returns the name of the voter.
func (l *Leader) Instance() string { return l.consensus.Instance }

// Attach sets the owners that carry out changes of primary, the client that provides
// the voters, the members and the manifest, and the function that is called with the
// duration of each completed change of primary. It must be called before Run.
func (l *Leader) Attach(o Owners, c *Client, changed func(group string, took time.Duration)) {
	l.owners, l.voters, l.topology, l.onChanged = o, c.Voters, c.members.Topology, changed
	l.format = c.views.format
	l.manifest = func() *gwmanifest.Index { return c.views.Current().Manifest }
}

func serveLeader[Req, Resp any](node *gwpeer.Node, kind gwpeer.Kind, f func(context.Context, Req) (Resp, error)) {
	gwpeer.Handle(node, kind, func(ctx context.Context, _ string, req Req) (Resp, error) {
		return withCode(f(ctx, req))
	})
}

// withCode applies codedError to the error of a handler, for callLeader to read.
func withCode[Resp any](resp Resp, err error) (Resp, error) {
	if err != nil {
		return resp, codedError(err)
	}
	return resp, nil
}
