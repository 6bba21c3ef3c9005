package gwfilter

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"gentianward.example/gentianward/internal/gwowner"
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
	state  gwsession.Session
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
	switch kind {
	case stmtEmpty:
		if req.Kind == gwwire.Simple {
			w.Complete(req, "", 'I')
			return nil
		}
	case stmtSet:
		if s.setParameter(req, w) {
			return nil
		}
	case stmtReset:
		w.Complete(req, strings.ToUpper(leadingWord(skipSpace(req.SQL))), 'I')
		return nil
	case stmtEnd:
		w.Complete(req, strings.ToUpper(leadingWord(skipSpace(req.SQL))), 'I')
		return nil
	case stmtUnsupported:
		w.Error(&pgconn.PgError{Severity: "ERROR", Code: sqlstateUnsupported, Message: leadingWord(skipSpace(req.SQL)) + " is not supported on pooled connections"}, 'I')
		return nil
	}
	s.runRequest(ctx, s.newRequest(req, w, kind), req, w)
	return nil
}

// Close rolls back an open transaction.
func (s *session) Close() { s.dropTransaction() }

// Names of the session parameters that the entry handles itself.
const (
	parameterSession    = "gentianward.session"
	parameterRequestKey = "gentianward.requestkey"
)

// setParameter answers a SET outside of a transaction, and reports whether it could
// parse it. Pooled connections keep no parameters for a caller, so that parameters other
// than the entry's own are refused, except those that drivers always send.
func (s *session) setParameter(req gwwire.Request, w gwwire.ResponseWriter) bool {
	v, ok := parseSet(req.SQL)
	if !ok {
		return false
	}
	switch {
	case v.name == parameterSession:
		if err := s.acceptToken(v.value); err != nil {
			w.Error(&pgconn.PgError{Severity: "ERROR", Code: sqlstateBadToken, Message: err.Error()}, 'I')
			return true
		}
	case v.name == parameterRequestKey:
		if !gwoutcome.ValidKey(v.value) {
			w.Error(&pgconn.PgError{Severity: "ERROR", Code: sqlstateInvalidValue, Message: "a request key has 1 to 200 printable ASCII characters without spaces, quotes and backslashes"}, 'I')
			return true
		}
		s.requestKey = v.value
	case !ignoredParameters[v.name]:
		w.Error(&pgconn.PgError{Severity: "ERROR", Code: sqlstateUnsupported, Message: "SET " + v.name + " is not supported outside of a transaction; use SET LOCAL inside one"}, 'I')
		return true
	}
	w.Complete(req, "SET", 'I')
	return true
}

// ignoredParameters are accepted without effect: drivers set them, and they do not change
// results in a way that matters here.
var ignoredParameters = map[string]bool{
	"application_name": true, "client_encoding": true, "extra_float_digits": true, "datestyle": true,
	"standard_conforming_strings": true, "client_min_messages": true, "timezone": true,
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
	token, err := s.entry.Signer.Issue(s.caller, s.state.Watermark(), s.writtenAt)
	if err == nil {
		w.ParameterStatus(parameterSession, token)
	}
}

// recordWrite advances the session's watermark after an acknowledged write and clears
// its request key.
func (s *session) recordWrite(p gwsession.Position) {
	s.state = s.state.WithWrite(s.group, p)
	s.writtenAt = s.entry.Clock.Now()
	s.requestKey = ""
}
