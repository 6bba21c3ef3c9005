package gwfilter

import (
	"context"
	"io"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwwire"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwroute"
)

// writer receives raw backend messages.
type writer = io.Writer

// request is one request on its way through the filters.
type request struct {
	session *session
	// backend is the request as it is sent to a backend server.
	backend gwbackend.Request
	// sql is the text in which a request key may stand.
	sql string
	// executes is false for a request that only parses or describes.
	executes bool
	w        answerWriter
	stmt     statement
	rules    rules
	started  time.Time
	// deadline is when the caller's class gives up.
	deadline time.Time
	need     gwroute.Need
	exec     gwowner.Request
	// offers counts the attempts, and backoff spaces them.
	offers  int
	backoff gwoutcome.Backoff
	// refused is the last refusal, if its server was full or late.
	refused gwowner.Result
	// served is the server that answered, and cross whether it is in another region.
	served gwroute.Server
	bytes  int64
}

// answerWriter receives the answer of one request.
type answerWriter interface {
	writer
	// Discard drops what was written, so that the request can be answered
	// anew. It reports false if the caller has received a part of it.
	Discard() bool
}

func (s *session) newRequest(req gwwire.Request, w gwwire.ResponseWriter, kind statement) *request {
	r := &request{
		session: s, backend: req.BackendRequest(), sql: req.SQL, executes: req.Executes, w: w, stmt: kind,
		started: s.entry.Clock.Now(), rules: s.entry.rules(s.class),
	}
	if !req.Executes && req.Kind == gwwire.Extended {
		// Parsing and describing change nothing.
		r.stmt = stmtRead
	}
	return r
}

// read reports whether the request goes to a replica if one is fresh enough.
func (r *request) read() bool {
	if r.rules.class.ReadOnly {
		return true
	}
	return r.stmt == stmtRead || r.stmt == stmtBeginReadOnly
}

// handler runs a request.
type handler func(ctx context.Context, r *request) gwowner.Result

// filter adds one concern to a handler.
type filter func(next handler) handler

// chain returns last behind the filters, the first of which runs first.
func chain(last handler, filters ...filter) handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// Write passes a part of the answer on to the caller.
func (r *request) Write(b []byte) (int, error) {
	r.bytes += int64(len(b))
	return r.w.Write(b)
}

const (
	// answerTime is the time for an owner's answer to arrive: a round trip
	// between regions and some.
	answerTime = 100 * time.Millisecond
	// queueShare is the part of a class's aim that one statement may wait for a
	// slot: a transaction of a few statements still meets it, and a caller that
	// is refused has time to come back.
	queueShare = 4
)

// bound sets the deadline and the request's fixed fields.
func (e *Entry) bound(next handler) handler {
	return func(ctx context.Context, r *request) gwowner.Result {
		class := r.rules.class
		deadline := class.Deadline.Duration
		if deadline <= 0 {
			deadline = gwmanifest.DefaultDeadline
		}
		r.deadline = r.started.Add(deadline)
		// The owner gives up at the deadline; its word on what happened is
		// better than none.
		ctx, cancel := context.WithTimeout(ctx, deadline+answerTime)
		defer cancel()
		r.exec = gwowner.Request{
			Group: r.session.group, Class: r.session.class, Access: gwowner.Write,
			PrimaryAcknowledges: class.Acknowledge == gwmanifest.AcknowledgePrimary,
			Request:             r.backend,
			QueueWait:           class.Aim.Duration / queueShare,
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

// key returns the request key of the statement or of a SET before it.
func (r *request) key() (string, bool) {
	if key, ok := gwoutcome.KeyOf(r.sql); ok {
		return key, true
	}
	return r.session.key, r.session.key != ""
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

// observe reports the finished request.
func (e *Entry) observe(next handler) handler {
	return func(ctx context.Context, r *request) gwowner.Result {
		res := next(ctx, r)
		e.Observer.Observe(Observation{
			Class: r.session.class, Group: r.session.group, Read: r.read(),
			Replica: r.served.Name != "" && !r.served.Primary, CrossRegion: r.served.Distance == gwroute.OtherRegion && r.served.Name != "",
			Event: res.Event, Duration: e.Clock.Since(r.started), Bytes: r.bytes, Staleness: res.Report.Staleness,
		})
		return res
	}
}
