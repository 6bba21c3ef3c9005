package gwfilter

import (
	"context"
	"io"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwwire"
	"gentianward.example/gentianward/pkg/gwlimit"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwroute"
)

// writer receives raw messages of a backend server.
type writer = io.Writer

// request is a caller's request with its state in the chain of filters.
type request struct {
	session *session
	// backend is the request in the form that is sent to a backend server.
	backend gwbackend.Request
	// sql is the text that may contain a request key.
	sql string
	// executes is false for a request that only parses, describes or closes.
	executes bool
	w        answerWriter
	kind     stmtKind
	rules    rules
	started  time.Time
	// deadline is when the request fails, by the deadline of the caller's class.
	deadline time.Time
	need     gwroute.Need
	exec     gwowner.Request
	// attempts counts all attempts, including those that do not count as failures (see
	// gwoutcome.CountsAsAttempt).
	attempts int
	// backoff spaces the rounds of attempts.
	backoff gwoutcome.Backoff
	// refused is the last refusal by a server, if that server was full or too stale.
	refused gwowner.Result
	// served is the server of the last attempt; zero if none could be chosen.
	served gwroute.Server
	// away is the rule by which the last attempt of a read did not go to the own data centre.
	away gwroute.Rule
	// held is how long the request has waited for a change of primary.
	held time.Duration
	// bytes counts the bytes of the answer.
	bytes int64
	// admitted means that Entry.Quota has counted an attempt that has not run so far.
	admitted   bool
	admittedAt time.Time
}

// answerWriter receives the answer of one request.
type answerWriter interface {
	writer
	// Discard drops what was written, so that the request can be attempted again. It
	// returns false if the caller has already received a part of it.
	Discard() bool
}

func (s *session) newRequest(req gwwire.Request, w gwwire.ResponseWriter, k stmtKind) *request {
	r := &request{
		session: s, backend: req.BackendRequest(), sql: req.SQL, executes: req.Executes, w: w, kind: k,
		started: s.entry.Clock.Now(), rules: s.entry.rules(s.class),
	}
	if !req.Executes && req.Kind == gwwire.Extended {
		// Parsing, describing and closing change nothing.
		r.kind = stmtRead
	}
	return r
}

// read reports whether a replica may serve the request if it is fresh enough.
func (r *request) read() bool {
	if r.rules.class.ReadOnly {
		return true
	}
	return r.kind == stmtRead || r.kind == stmtBeginReadOnly
}

// handler runs a request.
type handler func(ctx context.Context, r *request) gwowner.Result

// filter adds one concern to a handler.
type filter func(next handler) handler

// chain returns a handler that runs the filters in order and then last.
func chain(last handler, filters ...filter) handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// Write forwards a part of the answer to the caller.
func (r *request) Write(b []byte) (int, error) {
	r.bytes += int64(len(b))
	return r.w.Write(b)
}

const (
	// replyAllowance is how long after the deadline the owner's answer may arrive: a
	// round trip between regions with some margin.
	replyAllowance = 100 * time.Millisecond
)

// initRequest sets the deadline and the fields that stay the same in all attempts.
func (e *Entry) initRequest(next handler) handler {
	return func(ctx context.Context, r *request) gwowner.Result {
		class := r.rules.class
		deadline := class.Deadline.Duration
		if deadline <= 0 {
			deadline = gwmanifest.DefaultDeadline
		}
		r.deadline = r.started.Add(deadline)
		// The owner stops at the deadline. Without waiting for its answer, the outcome
		// would be unknown.
		ctx, cancel := context.WithTimeout(ctx, deadline+replyAllowance)
		defer cancel()
		r.exec = gwowner.Request{
			Group: r.session.group, Class: r.session.class, Access: gwowner.Write,
			PrimaryAcknowledges: class.Acknowledge == gwmanifest.AcknowledgePrimary,
			Customer:            r.session.customer,
			Request:             r.backend,
			QueueWait:           gwlimit.QueueWait(class.Aim.Duration),
		}
		if r.read() {
			r.exec.Access = gwowner.Read
			r.exec.MaxWait = class.WaitBudget.Duration
		}
		r.need = gwroute.Need{Write: !r.read(), Policy: policy(r.rules.routing), WaitBudget: class.WaitBudget.Duration}
		r.exec.SkipChecks = r.read() && r.need.Policy == gwroute.RoundRobin
		if key, ok := r.key(); ok && !r.read() && r.executes {
			r.exec.Key = key
		}
		return next(ctx, r)
	}
}

// key returns the request key in the statement, or else the one set before it with SET.
func (r *request) key() (string, bool) {
	if key, ok := gwoutcome.KeyOf(r.sql); ok {
		return key, true
	}
	return r.session.requestKey, r.session.requestKey != ""
}

func policy(routing string) gwroute.Policy {
	switch routing {
	case gwmanifest.RoutingPrimaryOnly:
		return gwroute.PrimaryOnly
	case gwmanifest.RoutingRoundRobin:
		return gwroute.RoundRobin
	default:
		return gwroute.Session
	}
}

// observe reports finished requests to the observer.
func (e *Entry) observe(next handler) handler {
	return func(ctx context.Context, r *request) gwowner.Result {
		res := next(ctx, r)
		e.Observer.Observe(Observation{
			Class: r.session.class, Group: r.session.group, Customer: r.session.customer, Read: r.read(),
			Replica: r.served.Name != "" && !r.served.Primary, CrossRegion: r.served.Distance == gwroute.OtherRegion && r.served.Name != "",
			Event: res.Event, Duration: e.Clock.Since(r.started), Bytes: r.bytes, Staleness: res.Report.Staleness,
			Held: r.held, Away: r.away,
		})
		return res
	}
}
