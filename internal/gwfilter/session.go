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

// session is one caller connection.
type session struct {
	entry  *Entry
	caller string
	class  string
	group  string
	state  gwsession.Session
	// written is when the last write was acknowledged.
	written time.Time
	// key is the request key that SET gave for the next write.
	key string
	// transaction is set while a transaction is open at an owner.
	transaction upstream
	// server and write describe the open transaction.
	server string
	write  bool
}

// upstream carries requests to an owner, here or on another instance.
type upstream interface {
	Exec(ctx context.Context, req *gwowner.Request, out writer) gwowner.Result
	Close()
	// Owner returns the instance that the requests go to.
	Owner() string
}

// present verifies a session token and requires its positions from now on.
func (s *session) present(token string) error {
	w, err := s.entry.Signer.Verify(s.caller, token, s.entry.Clock.Now())
	if err != nil {
		return err
	}
	s.state = s.state.WithToken(w)
	s.written = s.entry.Clock.Now()
	return nil
}

// Handle runs one request of the caller.
func (s *session) Handle(ctx context.Context, req gwwire.Request, w gwwire.ResponseWriter) error {
	kind := classify(req.SQL)
	if s.transaction != nil {
		s.finish(ctx, s.newRequest(req, w, kind), req, w)
		return nil
	}
	switch kind {
	case stmtEmpty:
		if req.Kind == gwwire.Simple {
			w.Complete(req, "", 'I')
			return nil
		}
	case stmtSet:
		if s.set(req, w) {
			return nil
		}
	case stmtReset:
		w.Complete(req, strings.ToUpper(leadingWord(skipSpace(req.SQL))), 'I')
		return nil
	case stmtEndIdle:
		w.Complete(req, strings.ToUpper(leadingWord(skipSpace(req.SQL))), 'I')
		return nil
	case stmtUnsupported:
		w.Error(&pgconn.PgError{Severity: "ERROR", Code: stateUnsupported, Message: leadingWord(skipSpace(req.SQL)) + " is not supported on pooled connections"}, 'I')
		return nil
	}
	s.finish(ctx, s.newRequest(req, w, kind), req, w)
	return nil
}

// Close rolls back an open transaction.
func (s *session) Close() {
	if s.transaction != nil {
		s.transaction.Close()
		s.transaction = nil
	}
}

// Names of the parameters that the entry itself keeps.
const (
	parameterSession = "gentianward.session"
	parameterKey     = "gentianward.requestkey"
)

// set handles SET outside of a transaction and reports whether it did. A
// pooled connection keeps no parameters of one caller, so that others than the
// entry's own are accepted only when drivers send them as a matter of course.
func (s *session) set(req gwwire.Request, w gwwire.ResponseWriter) bool {
	v, ok := parseSet(req.SQL)
	if !ok {
		return false
	}
	switch {
	case v.name == parameterSession:
		if err := s.present(v.value); err != nil {
			w.Error(&pgconn.PgError{Severity: "ERROR", Code: stateBadToken, Message: err.Error()}, 'I')
			return true
		}
	case v.name == parameterKey:
		if !gwoutcome.ValidKey(v.value) {
			w.Error(&pgconn.PgError{Severity: "ERROR", Code: stateInvalidValue, Message: "a request key has 1 to 200 printable ASCII characters without spaces, quotes and backslashes"}, 'I')
			return true
		}
		s.key = v.value
	case !harmlessParameters[v.name]:
		w.Error(&pgconn.PgError{Severity: "ERROR", Code: stateUnsupported, Message: "SET " + v.name + " is not supported outside of a transaction; use SET LOCAL inside one"}, 'I')
		return true
	}
	w.Complete(req, "SET", 'I')
	return true
}

// harmlessParameters are set by drivers and change no result that matters here.
var harmlessParameters = map[string]bool{
	"application_name": true, "client_encoding": true, "extra_float_digits": true, "datestyle": true,
	"standard_conforming_strings": true, "client_min_messages": true, "timezone": true,
}

// finish runs the request through the filters and reports its end to the
// caller. A canceled read had no effect; the outcome of a canceled write stays
// what the filters say.
func (s *session) finish(ctx context.Context, r *request, req gwwire.Request, w gwwire.ResponseWriter) {
	res := s.entry.chain(ctx, r)
	if res.Event == gwoutcome.Answered {
		s.answered(req, w, res)
		return
	}
	inTransaction := s.transaction != nil
	s.dropTransaction()
	if !inTransaction && r.read() && errors.Is(context.Cause(ctx), gwwire.ErrCanceled) {
		res.State, res.Message = stateCanceled, "canceled by the caller"
	}
	w.Error(&pgconn.PgError{Severity: "ERROR", Code: res.State, Message: res.Message}, 'I')
}

// dropTransaction forgets a transaction that a failure has ended.
func (s *session) dropTransaction() {
	if s.transaction != nil {
		s.transaction.Close()
		s.transaction = nil
	}
}

// answered advances the session's watermark after an acknowledged write and
// tells the caller its new token.
func (s *session) answered(req gwwire.Request, w gwwire.ResponseWriter, res gwowner.Result) {
	if res.Replayed {
		w.Complete(req, res.Tag, 'I')
	}
	if res.Position.IsZero() {
		return
	}
	s.wrote(res.Position)
	token, err := s.entry.Signer.Issue(s.caller, s.state.Watermark(), s.written)
	if err == nil {
		w.ParameterStatus(parameterSession, token)
	}
}

// wrote advances the session's watermark after an acknowledged write.
func (s *session) wrote(p gwsession.Position) {
	s.state = s.state.WithWrite(s.group, p)
	s.written = s.entry.Clock.Now()
	s.key = ""
}
