package gwfilter

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwsql"
	"gentianward.example/gentianward/internal/gwwire"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// session is the session of one caller connection.
type session struct {
	entry  *Entry
	caller string
	class  string
	group  string
	// customer is the name of the customer of the current operation; empty for none.
	customer string
	state    gwsession.Session
	// writtenAt is when the watermark last advanced: by an acknowledged write, a barrier
	// or a session token.
	writtenAt time.Time
	// requestKey is the request key of the next write, as given with SET; empty if none.
	requestKey string
	// transaction is the upstream of the open transaction; nil if none is open.
	transaction upstream
	// transactionServer is the open transaction's server, and transactionWrites
	// whether the transaction is a write.
	transactionServer string
	transactionWrites bool
}

// upstream runs requests at an owner, on this or another instance.
type upstream interface {
	Exec(ctx context.Context, req *gwowner.Request, out writer) gwowner.Result
	Close()
	// Owner returns the name of the owner's instance.
	Owner() string
}

// acceptToken verifies a session token and makes its positions the session's minimum.
func (s *session) acceptToken(token string) error {
	w, err := s.entry.Signer.Verify(s.caller, token, s.entry.Clock.Now())
	if err != nil {
		return err
	}
	s.state = s.state.WithToken(w)
	s.writtenAt = s.entry.Clock.Now()
	return nil
}

// Handle runs one request of the caller and writes its answer.
func (s *session) Handle(ctx context.Context, req gwwire.Request, w gwwire.ResponseWriter) error {
	kind := classify(req.SQL)
	if req.Several {
		kind = stmtWrite
	}
	if s.transaction != nil {
		s.runRequest(ctx, s.newRequest(req, w, kind), req, w)
		return nil
	}
	if s.answer(kind, req, w) {
		return nil
	}
	s.customer = s.entry.customerOfCaller(s.caller)
	s.runRequest(ctx, s.newRequest(req, w, kind), req, w)
	return nil
}

// answer answers a request outside of a transaction that needs no server or can't run on
// pooled connections. It returns false for any other request.
func (s *session) answer(kind stmtKind, req gwwire.Request, w gwwire.ResponseWriter) bool {
	switch kind {
	case stmtEmpty:
		if req.Kind != gwwire.Simple {
			return false
		}
		w.Complete(req, "", 'I')
	case stmtSet:
		s.setParameter(req, w)
	case stmtReset:
		s.reset(req)
		w.Complete(req, completionTag(req.SQL), 'I')
	case stmtEnd:
		w.Complete(req, completionTag(req.SQL), 'I')
	case stmtUnsupported:
		refuse(w, sqlstateUnsupported, gwsql.LeadingWord(req.SQL)+" is not supported on pooled connections")
	case stmtWrite, stmtBegin:
		return req.Executes && s.refuseCombined(req, w)
	default:
		return false
	}
	return true
}

// refuseCombined refuses a request whose statements would lose a part of their effect: a
// SET of a parameter of the entry with other statements, which the server would run, and
// a request key with a BEGIN or COMMIT, as the key is recorded in a transaction of its
// own. It returns false for any other request.
func (s *session) refuseCombined(req gwwire.Request, w gwwire.ResponseWriter) bool {
	_, keyed := gwoutcome.KeyOf(req.SQL)
	switch {
	case setsOwnParameter(req.SQL):
		refuse(w, sqlstateUnsupported, "SET of a parameter of gentianward has to be a request of its own")
	case (keyed || s.requestKey != "") && controlsTransaction(req.SQL):
		refuse(w, sqlstateUnsupported, "a request with a request key can't begin or end a transaction")
	default:
		return false
	}
	return true
}

func refuse(w gwwire.ResponseWriter, state, message string) {
	w.Error(&pgconn.PgError{Severity: "ERROR", Code: state, Message: message}, 'I')
}

// completionTag returns the command tag of a statement that ends a transaction or resets
// session state.
func completionTag(sql string) string {
	l := gwsql.NewLexer(sql)
	word := l.First()
	switch {
	case word.Is("end"):
		return "COMMIT"
	case word.Is("abort"):
		return "ROLLBACK"
	case word.Is("discard"), word.Is("deallocate"):
		if object := l.Next(); word.Is("discard") || object.Is("all") {
			return strings.ToUpper(word.Text + " " + object.Text)
		}
	}
	return strings.ToUpper(word.Text)
}

// reset drops the request key if the statement resets it. A caller's connection pool
// resets a session before another user gets it, whose write must not run under the key.
func (s *session) reset(req gwwire.Request) {
	l := gwsql.NewLexer(req.SQL)
	if l.First().Is("deallocate") {
		return
	}
	name, _, _ := parameterName(l.Next(), &l)
	if req.Executes && (name == "all" || name == parameterRequestKey) {
		s.requestKey = ""
	}
}

// Close rolls back an open transaction.
func (s *session) Close() { s.dropTransaction() }

// Names of the session parameters that the entry handles itself.
const (
	parameterSession    = "gentianward.session"
	parameterRequestKey = "gentianward.requestkey"
)

// ownParameterPrefix begins the names of the parameters that the entry handles itself.
const ownParameterPrefix = "gentianward."

// setsOwnParameter reports whether the first statement of a request sets a parameter of
// the entry. A server would accept it in place of the entry, without its effect.
func setsOwnParameter(sql string) bool {
	l := gwsql.NewLexer(sql)
	if !l.First().Is("set") {
		return false
	}
	t, _ := skipScope(&l)
	name, _, _ := parameterName(t, &l)
	return strings.HasPrefix(name, ownParameterPrefix)
}

// setParameter answers a SET outside of a transaction. Pooled connections keep no
// parameters for a caller, so that parameters other than the entry's own are refused,
// except those that drivers always send. A request that does not execute the SET changes
// nothing.
func (s *session) setParameter(req gwwire.Request, w gwwire.ResponseWriter) {
	v, ok := parseSet(req.SQL)
	switch {
	case !ok:
		refuse(w, sqlstateUnsupported, "this form of SET is not supported outside of a transaction; use SET name = 'value'")
		return
	case v.name == parameterSession && req.Executes:
		if err := s.acceptToken(v.value); err != nil {
			refuse(w, sqlstateBadToken, err.Error())
			return
		}
	case v.name == parameterRequestKey && req.Executes:
		if !gwoutcome.ValidKey(v.value) {
			refuse(w, sqlstateInvalidValue, "a request key has 1 to 200 printable ASCII characters without spaces, quotes and backslashes")
			return
		}
		s.requestKey = v.value
	case !ignored(v) && v.name != parameterSession && v.name != parameterRequestKey:
		refuse(w, sqlstateUnsupported, "this SET of "+v.name+" is not supported outside of a transaction; use SET LOCAL inside one")
		return
	}
	w.Complete(req, "SET", 'I')
}

// ignoredParameters are accepted without effect: drivers set them, and they do not change
// results in a way that matters here. A parameter with a list of values is accepted with
// these only, in lower case and without hyphens: with others the server would read the
// caller's texts in another way than the caller means them.
var ignoredParameters = map[string][]string{
	"application_name": nil, "client_encoding": {"utf8", "unicode", "default"}, "extra_float_digits": nil, "datestyle": nil,
	"standard_conforming_strings": {"on", "true", "yes", "1", "default"}, "client_min_messages": nil, "timezone": nil,
}

// ignored reports whether the assignment is accepted without effect.
func ignored(v assignment) bool {
	values, ok := ignoredParameters[v.name]
	value := strings.ToLower(strings.Trim(v.value, `"`))
	return ok && (values == nil || slices.Contains(values, strings.ReplaceAll(value, "-", "")))
}

// runRequest runs the request through the filters and answers the caller. A read that
// the caller canceled had no effect and is reported as canceled; a canceled write keeps
// the outcome that the filters returned.
func (s *session) runRequest(ctx context.Context, r *request, req gwwire.Request, w gwwire.ResponseWriter) {
	res := s.entry.chain(ctx, r)
	if res.Event == gwoutcome.Answered {
		s.recordAnswer(req, w, res)
		return
	}
	inTransaction := s.transaction != nil
	s.dropTransaction()
	if !inTransaction && r.read() && errors.Is(context.Cause(ctx), gwwire.ErrCanceled) {
		res.State, res.Message = sqlstateCanceled, "canceled by the caller"
	}
	w.Error(&pgconn.PgError{Severity: "ERROR", Code: res.State, Message: res.Message}, 'I')
}

// dropTransaction closes the open transaction, if any, which rolls it back.
func (s *session) dropTransaction() {
	if s.transaction != nil {
		s.transaction.Close()
		s.transaction = nil
	}
}

// recordAnswer completes a replayed answer. After an acknowledged write it also advances
// the session's watermark and sends the caller the new session token.
func (s *session) recordAnswer(req gwwire.Request, w gwwire.ResponseWriter, res gwowner.Result) {
	if res.Replayed {
		w.Complete(req, res.Tag, 'I')
	}
	if res.Position.IsZero() {
		return
	}
	s.recordWrite(res.Position)
	// Without a token the next session asks the primary for its position, while an earlier token
	// would let it miss this write.
	token, err := s.entry.Signer.Issue(s.caller, s.state.Watermark(), s.writtenAt)
	if err != nil {
		token = ""
	}
	w.ParameterStatus(parameterSession, token)
}

// recordWrite advances the session's watermark after an acknowledged write and clears
// its request key.
func (s *session) recordWrite(p gwsession.Position) {
	s.state = s.state.WithWrite(s.group, p)
	s.writtenAt = s.entry.Clock.Now()
	s.requestKey = ""
}
