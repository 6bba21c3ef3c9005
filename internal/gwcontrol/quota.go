package gwcontrol

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwquota"
)

// QuotaLimits returns the limits of the customers of a manifest that have one, by name.
func QuotaLimits(m *gwmanifest.Index, r gwquota.Rules) map[string]gwquota.Limit {
	if m == nil {
		return nil
	}
	out := make(map[string]gwquota.Limit)
	for _, c := range m.Manifest().Customers {
		if c.Rate > 0 {
			out[c.Name] = gwquota.NewLimit(c.Rate, c.Burst, r)
		}
	}
	return out
}

// quotaLeader assigns the shares of customers' limits while this voter leads.
type quotaLeader struct {
	leader  *Leader
	clock   clockwork.Clock
	rules   gwquota.Rules
	confirm *confirmations

	mu     sync.Mutex
	term   uint64
	ledger *gwquota.Ledger // nil before the first report
	// manifest is the one whose limits ledger has.
	manifest *gwmanifest.Index
	// joining and leaving hold the instances whose entry in the log, or whose removal, has been
	// proposed in this term and may not have been applied.
	joining, leaving map[string]bool
	prunedAt         time.Time
	// holdsNothing means that a recorded instance has reported that it has no shares.
	holdsNothing bool

	// recording holds an element while the holders are recorded.
	recording chan struct{}
}

func newQuotaLeader(l *Leader, r gwquota.Rules) *quotaLeader {
	return &quotaLeader{
		leader: l, rules: r, confirm: &confirmations{clock: l.clock, confirm: l.consensus.ConfirmLeadership},
		joining: make(map[string]bool), leaving: make(map[string]bool), recording: make(chan struct{}, 1), clock: l.clock,
	}
}

// ServeQuotas makes the voter assign shares of customers' limits while it leads. It must be called
// before Run.
func (l *Leader) ServeQuotas(node *gwpeer.Node, r gwquota.Rules) {
	l.quotas = newQuotaLeader(l, r)
	gwpeer.Handle(node, kindQuota, func(ctx context.Context, from string, r gwquota.Report) (gwquota.Answer, error) {
		return withCode(l.Quota(ctx, from, r))
	})
}

// Quota answers the report of a quota agent.
func (l *Leader) Quota(ctx context.Context, from string, r gwquota.Report) (gwquota.Answer, error) {
	const op = "assign quota"
	q := l.quotas
	lead, leading := l.consensus.Leadership()
	if !leading || q == nil {
		return gwquota.Answer{}, &Error{Op: op, Kind: NotLeader, Detail: voterName(l.consensus.Status().Leader)}
	}
	if err := q.confirm.wait(ctx); err != nil {
		return gwquota.Answer{}, err
	}
	if len(r.Lines) == 0 && !q.mayHold(lead, from) {
		// A run without shares, which need not be recorded. It sends no changes from then on.
		return gwquota.Answer{Sequence: r.Sequence, Incomplete: r.Base != 0}, nil
	}
	if err := q.record(ctx, lead, from); err != nil {
		return gwquota.Answer{}, err
	}
	if now, leading := l.consensus.Leadership(); !leading || now.Term != lead.Term {
		return gwquota.Answer{}, &Error{Op: op, Kind: NotLeader}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.term != lead.Term {
		return gwquota.Answer{}, &Error{Op: op, Kind: NotLeader}
	}
	if !q.recorded(from) {
		return gwquota.Answer{}, &Error{Op: op, Kind: Unavailable, Detail: "the instance is being removed from the holders"}
	}
	answer, ok, err := q.ledger.Handle(q.clock.Now(), from, r)
	if err != nil || !ok {
		return gwquota.Answer{}, &Error{Op: op, Kind: Refused, Detail: "the report is malformed or not the latest", Err: err}
	}
	q.holdsNothing = q.holdsNothing || len(r.Lines) == 0 && r.Base == 0
	q.prune(lead)
	return answer, nil
}

// mayHold reports whether an instance is recorded as a holder of shares, or will be.
func (q *quotaLeader) mayHold(lead Leadership, instance string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prepare(lead)
	return q.recorded(instance) || q.joining[instance]
}

// prepare makes the ledger that of the term, with the limits of the current manifest; the caller
// holds the lock.
func (q *quotaLeader) prepare(lead Leadership) {
	if q.ledger == nil || q.term < lead.Term {
		// Entries of earlier terms have been applied, and nothing has been proposed in this.
		holders, recorded := q.leader.state.QuotaHolders()
		e := gwquota.Earlier{None: lead.NoManifest && !recorded}
		if recorded {
			e.Holders = holders
		}
		q.ledger = gwquota.NewLedger(lead.Since, e, q.leader.exclusiveNames)
		q.term, q.manifest, q.prunedAt = lead.Term, nil, q.clock.Now()
		clear(q.joining)
		clear(q.leaving)
		q.leader.log.Info("assigning shares of customers' limits", "term", lead.Term, "firstTerm", lead.NoManifest)
	}
	m := q.leader.manifest()
	if m == q.manifest || m == nil {
		return
	}
	places := 0
	for _, r := range m.Manifest().Regions {
		places += len(r.DataCentres)
	}
	q.ledger.SetLimits(QuotaLimits(m, q.rules), places)
	q.manifest = m
}

// confirmDelay is how long reports wait for others, to confirm the leadership once for all. Each
// confirmation is a message to every voter, and 18 agents send 40 reports per second.
const confirmDelay = 100 * time.Millisecond

// confirmations confirms the leadership for several calls at once.
type confirmations struct {
	clock   clockwork.Clock
	confirm func(ctx context.Context) error

	mu   sync.Mutex
	next *confirmation // nil if none has been announced
}

// confirmation is one confirmation that has not begun.
type confirmation struct {
	done chan struct{}
	err  error
}

// wait returns nil once a quorum has confirmed, after the start of the call, that this voter leads.
func (c *confirmations) wait(ctx context.Context) error {
	c.mu.Lock()
	n := c.next
	if n == nil {
		n = &confirmation{done: make(chan struct{})}
		c.next = n
		go c.run(n)
	}
	c.mu.Unlock()
	select {
	case <-n.done:
		return n.err
	case <-ctx.Done():
		return &Error{Op: "confirm leadership", Kind: Unavailable, Err: ctx.Err()}
	}
}

func (c *confirmations) run(n *confirmation) {
	defer close(n.done)
	<-c.clock.After(confirmDelay)
	c.mu.Lock()
	c.next = nil
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaderCallTimeout)
	defer cancel()
	n.err = c.confirm(ctx)
}

// quotaAttempts is the number of voters that a report is sent to. Agents report again soon, and
// while there is no leader, more attempts would load the links.
const quotaAttempts = 3

// ReportQuota sends the report of this instance's quota agent to the leader.
func (c *Client) ReportQuota(ctx context.Context, r gwquota.Report) (gwquota.Answer, error) {
	local := func(ctx context.Context, r gwquota.Report) (gwquota.Answer, error) {
		return c.local.Quota(ctx, c.members.Topology().Self.Instance, r)
	}
	var last error = &Error{Op: "report quota", Kind: Unavailable}
	tried := make(map[string]bool)
	for range quotaAttempts {
		name := c.untried(tried)
		if name == "" || ctx.Err() != nil {
			break
		}
		tried[name] = true
		answer, err := callVoter(ctx, c, name, kindQuota, r, local)
		if err == nil {
			c.setLeader(name)
			return answer, nil
		}
		last = err
		if isFinal(err) {
			break
		}
		c.setLeader(leaderHint(err))
		if mayHaveRun(err) {
			break
		}
	}
	return gwquota.Answer{}, last
}

// untried returns the voter to call next, or "".
func (c *Client) untried(tried map[string]bool) string {
	for _, name := range c.candidates() {
		if !tried[name] {
			return name
		}
	}
	return ""
}

// mayHaveRun reports whether a voter may have carried out the call that failed with err: it is
// neither an answer that the voter does not lead nor a call that was not sent.
func mayHaveRun(err error) bool {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind != NotLeader
	}
	code, remote := gwpeer.RemoteCode(err)
	return !gwpeer.IsNotSent(err) && (!remote || code != codeNotLeader)
}
