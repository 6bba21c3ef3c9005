package gwfilter

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwwire"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwroute"
	"gentianward.example/gentianward/pkg/gwsession"
)

// SQLSTATE codes of refused sessions and statements.
const (
	sqlstateCannotConnect = "57P03"
	sqlstateUndefinedDB   = "3D000"
	sqlstateNoPrivilege   = "42501"
	sqlstateBadToken      = "28000"
	sqlstateUnsupported   = "0A000"
	sqlstateReadOnlyClass = "25006"
	sqlstateInvalidValue  = "22023"
	sqlstateCanceled      = "57014"
)

// Observation describes one finished request.
type Observation struct {
	Class, Group string
	// Customer is empty in deployments without customers.
	Customer string
	Read     bool
	// Replica means that a replica served the request.
	Replica bool
	// CrossRegion means that the server is in another region.
	CrossRegion bool
	Event       gwoutcome.Event
	Duration    time.Duration
	Bytes       int64 // of the answer
	// Staleness is that of the server, as it matters for reads at replicas; 0 if unknown.
	Staleness time.Duration
	// Held is how long the request waited for a change of primary.
	Held time.Duration
	// Away is the rule by which a read did not go to a server of the own data centre; empty if it did.
	Away gwroute.Rule
}

// Observer receives an Observation of every finished request.
type Observer interface {
	Observe(o Observation)
	// NotAuthenticated is called for a caller that is refused because its API key is not known, or
	// no longer, in which case customer is the one that had it.
	NotAuthenticated(customer string)
}

// Options configures an Entry.
type Options struct {
	Node      *gwpeer.Node
	Clock     clockwork.Clock
	Log       *slog.Logger
	Views     *gwcontrol.Views
	Directory *gwcontrol.Directory
	Members   *gwcontrol.Membership
	Owner     *gwowner.Owner
	Signer    *gwsession.Signer
	Observer  Observer
	// Budget bounds the memory of sessions, statements and answers; nil for no bound but that of
	// the sessions.
	Budget *gwbudget.Budget
	// LeaderLost reports whether this instance has lost contact with the leader of
	// the control log; nil means never.
	LeaderLost func() bool
	// Quota limits the operations of customers; nil means no limits.
	Quota Quota
	// PullManifest requests the newest manifest; nil if that is not possible.
	PullManifest func(ctx context.Context) error
	// KeysValid is how long ago PullManifest must have succeeded for API keys to give access; 0 for
	// any time. With a bound, PullManifest must return the newest manifest.
	KeysValid time.Duration
}

// Entry serves the callers that are connected to one instance.
type Entry struct {
	Options
	chain    handler
	barriers *barriers
	servers  *serverTable
	streams  *gwpeer.StreamPool
	inflight *inflight
	newest   newest
	// rng is safe for concurrent use, see sharedSource.
	rng *rand.Rand
	// turn counts the requests of the round-robin policy.
	turn atomic.Uint64
	// stateBytes is the size of the values and prepared statements of all sessions of the
	// statement protocol, see entryBytes.
	stateBytes atomic.Int64

	// refusals bounds the log lines about callers without access.
	refusals        *rate.Limiter
	refusalsSkipped atomic.Int64

	mu     sync.Mutex
	budget *gwoutcome.Budget
	// budgetUsed is false while the retry budget is full, so that first attempts
	// need not lock mu.
	budgetUsed atomic.Bool
}

// sharedSource is a random source for concurrent use. It returns the runtime's random
// numbers, which need no lock. A source of the entry's own would need one, for which all
// of its sessions would contend.
type sharedSource struct{}

// Uint64 returns a random number.
func (sharedSource) Uint64() uint64 { return rand.Uint64() }

// Parameters of the retry budget: the greatest ratio of retries to requests, and the
// greatest number of retries in a burst.
const (
	retryRatio = 0.2
	retryBurst = 100
)

// Callers without access must not displace the other lines of the log.
const (
	refusalLinesPerSecond = 1
	refusalLineBurst      = 10
)

// New returns an entry.
func New(o Options) *Entry {
	e := &Entry{
		Options:  o,
		barriers: newBarriers(o.Owner.Barrier),
		servers:  newServerTable(),
		streams:  o.Node.NewStreamPool(gwcontrol.KindExec),
		inflight: newInflight(),
		newest:   newest{clock: o.Clock, pull: o.PullManifest},
		refusals: rate.NewLimiter(refusalLinesPerSecond, refusalLineBurst),
		rng:      rand.New(sharedSource{}),
		budget:   gwoutcome.NewBudget(retryRatio, retryBurst),
	}
	e.chain = chain(e.execute, e.observe, e.initRequest, e.admit, e.consistency, e.retry)
	return e
}

// Lookup returns the credential of a caller from the manifest.
func (e *Entry) Lookup(_ context.Context, s gwwire.Startup) (gwwire.Credential, bool, error) {
	m := e.Views.Current().Manifest
	if m == nil {
		return gwwire.Credential{}, false, gwwire.Fatal(sqlstateCannotConnect, "the instance has no manifest yet")
	}
	c, ok := m.Caller(s.User)
	return gwwire.Credential{Verifier: c.Verifier, Trust: c.Trust}, ok, nil
}

// Authenticate returns the session of a caller whose credential has been verified.
func (e *Entry) Authenticate(_ context.Context, s gwwire.Startup) (gwwire.Session, error) {
	m := e.Views.Current().Manifest
	if m == nil {
		return nil, gwwire.Fatal(sqlstateCannotConnect, "the instance has no manifest yet")
	}
	group, ok := m.Group(s.Database)
	if !ok {
		return nil, gwwire.Fatal(sqlstateUndefinedDB, "database \""+s.Database+"\" is not in the manifest; a group is selected with database/group")
	}
	caller, ok := m.Caller(s.User)
	if !ok || !caller.Allows(group) {
		return nil, gwwire.Fatal(sqlstateNoPrivilege, "caller \""+s.User+"\" may not use database \""+s.Database+"\"")
	}
	ses := &session{entry: e, caller: caller.Name, class: caller.Class, group: group.Name}
	if token := s.SessionToken(); token != "" {
		if err := ses.acceptToken(token); err != nil {
			return nil, gwwire.Fatal(sqlstateBadToken, err.Error())
		}
	}
	return ses, nil
}

// rules are the parts of the current manifest that apply to a request.
type rules struct {
	class   gwmanifest.Class
	limits  gwmanifest.Limits
	routing string
}

func (e *Entry) rules(class string) rules {
	m := e.Views.Current().Manifest
	if m == nil {
		return rules{}
	}
	c, _ := m.Class(class)
	return rules{class: c, limits: m.Manifest().Limits, routing: m.Manifest().Routing}
}

func (e *Entry) nextTurn() uint64 { return e.turn.Add(1) }
