package gwfilter

import (
	"context"
	"slices"
	"strings"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwstatement"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// rollbackTimeout bounds the rollback at the server, which the caller does not wait for.
const rollbackTimeout = time.Second

// StatementHandler serves the callers of the statement protocol.
type StatementHandler struct {
	Entry *Entry
	Codec gwstatement.Codec
}

var _ gwstatement.Handler = StatementHandler{}

// Open returns a session for the database. Each database of this protocol is a caller
// in the manifest.
func (h StatementHandler) Open(ctx context.Context, startup gwstatement.Startup) (gwstatement.Session, *gwstatement.Failure) {
	s := &statementSession{codec: h.Codec, status: 'I', prepared: make(map[string]preparedStatement)}
	s.entry, s.caller, s.key = h.Entry, startup.Database, gwmanifest.DigestKey(startup.Key)
	s.stateHold = h.Entry.openStateHold(ctx)
	// A session begins with its connection, so that it has no earlier writes and needs no
	// barrier.
	s.state = s.state.WithToken(gwsession.Watermark{})
	if f := s.resolveCaller(ctx); f != nil {
		return nil, f
	}
	return s, nil
}

// statementSession is the session of one caller connection of the statement protocol.
// It keeps the session's values and prepared statements, which are established on the
// backend connection before a statement runs there.
type statementSession struct {
	session
	codec gwstatement.Codec
	// key identifies the caller's API key; checked is the manifest by which it had access.
	key     gwmanifest.KeyDigest
	checked *gwmanifest.Index
	// status is 'I' outside of a transaction, 'T' inside one and 'E' in a failed one.
	status byte
	// ended means that the connection is closed after the answer to the current statement.
	ended bool
	// begin is the kind of transaction that the next statement opens at a server.
	begin    gwbackend.Begin
	readOnly bool
	values   []gwbackend.SessionVariable
	prepared map[string]preparedStatement
	// stateBytes is the size of values and prepared, see entryBytes.
	stateBytes int
	// stateHold is the session's part of the memory for the state of all sessions.
	stateHold *gwbudget.Hold
}

// maxStateBytes bounds the values and prepared statements of a session. They are kept in memory
// and travel with each statement in a frame of at most 16 MiB.
const maxStateBytes = 8 << 20

// maxTotalStateBytes bounds the values and prepared statements of all sessions of an instance. The
// pool State of the budget bounds them further on instances with little memory.
const maxTotalStateBytes = 64 << 20

// entryOverhead is about the memory that a value or a prepared statement takes beside its texts.
const entryOverhead = 1 << 8

// maxStateEntries bounds the values and prepared statements of a session in number, as each SET
// copies the list of values.
const maxStateEntries = 8 << 10

// entryBytes returns the size of a value or a prepared statement.
func entryBytes(name, text string) int { return len(name) + len(text) + entryOverhead }

// Failures of statements that would exceed maxStateBytes or maxTotalStateBytes. Only the second
// may pass later.
var (
	sessionStateFull = &gwstatement.Failure{Code: gwstatement.Malformed, Text: "the values and prepared statements of the session exceed 8 MiB or 8,192"}
	totalStateFull   = &gwstatement.Failure{Code: gwstatement.Busy, Text: "the values and prepared statements of all sessions exceed the memory of the instance for them"}
)

type preparedStatement struct {
	gwbackend.PreparedStatement
	writes bool
	// execute is the text that executes the statement, up to its arguments.
	execute string
}

// answerBuffer collects the answer of one statement.
type answerBuffer struct{ b []byte }

func (a *answerBuffer) Write(p []byte) (int, error) {
	a.b = append(a.b, p...)
	return len(p), nil
}

// Discard drops what was written.
func (a *answerBuffer) Discard() bool {
	a.b = a.b[:0]
	return true
}

// Idle reports whether no transaction is open, so that the session may be closed.
func (s *statementSession) Idle() bool { return s.status == 'I' }

// Ended reports whether the session accepts no more statements.
func (s *statementSession) Ended() bool { return s.ended }

// Close rolls an open transaction back and releases the space of the session's state.
func (s *statementSession) Close() {
	s.rollback()
	s.addState(-s.stateBytes, false)
}

// Handle answers one statement.
func (s *statementSession) Handle(ctx context.Context, q gwstatement.Query, b []byte) []byte {
	if s.status != 'I' {
		unconfirmed := s.keysUnconfirmed(ctx)
		switch {
		case s.keyRevoked():
			return s.revoke(b)
		case unconfirmed:
			s.rollback()
			return s.fail(b, gwstatement.Aborted, keysNotChecked.Text)
		}
	}
	return s.handle(ctx, q, b)
}

// handle answers one statement of a caller that has access, as far as that is checked before.
func (s *statementSession) handle(ctx context.Context, q gwstatement.Query, b []byte) []byte {
	switch st := q.Statement.(type) {
	case gwstatement.Commit:
		return s.commit(ctx, q, b)
	case gwstatement.Rollback:
		s.rollback()
		return s.complete(b)
	case gwstatement.Invalid:
		return s.fail(b, gwstatement.Malformed, st.Reason)
	}
	if s.status == 'E' {
		return s.fail(b, gwstatement.Malformed, "the transaction has failed and must be ended")
	}
	switch st := q.Statement.(type) {
	case gwstatement.Refused:
		return s.fail(b, gwstatement.Busy, st.Reason)
	case gwstatement.Begin:
		return s.beginTransaction(ctx, st, b)
	case gwstatement.Set:
		if f := s.setValue(st); f != nil {
			return s.fail(b, f.Code, f.Text)
		}
		return s.complete(b)
	case gwstatement.Prepare:
		if f := s.prepare(st); f != nil {
			return s.fail(b, f.Code, f.Text)
		}
		return s.complete(b)
	case gwstatement.Deallocate:
		if p, ok := s.prepared[st.Name]; ok {
			s.addState(-entryBytes(st.Name, p.SQL), false)
			delete(s.prepared, st.Name)
		}
		return s.complete(b)
	case gwstatement.Execute:
		p, ok := s.prepared[st.Name]
		if !ok {
			return s.fail(b, gwstatement.NoStatement, "no statement is prepared under the name "+st.Name)
		}
		return s.execute(ctx, b, q.ID, p.execute+st.Arguments, p.writes, []gwbackend.PreparedStatement{p.PreparedStatement})
	case gwstatement.Write:
		return s.execute(ctx, b, q.ID, q.Text, true, nil)
	default:
		return s.execute(ctx, b, q.ID, q.Text, false, nil)
	}
}

// beginTransaction answers BEGIN. The transaction begins at a server with its first
// statement.
func (s *statementSession) beginTransaction(ctx context.Context, st gwstatement.Begin, b []byte) []byte {
	if s.status != 'I' {
		return s.fail(b, gwstatement.Malformed, "a transaction is already open")
	}
	if f := s.resolveCaller(ctx); f != nil {
		return s.refuse(b, f)
	}
	s.status, s.readOnly, s.begin = 'T', st.ReadOnly, gwbackend.BeginWrite
	if st.ReadOnly {
		s.begin = gwbackend.BeginRead
	}
	return s.complete(b)
}

// addState changes the size of the session's state, and returns a failure if it would exceed a
// bound. isNew means that a value or a prepared statement is added.
func (s *statementSession) addState(n int, isNew bool) *gwstatement.Failure {
	if s.stateBytes+n > maxStateBytes || isNew && len(s.values)+len(s.prepared) >= maxStateEntries {
		return sessionStateFull
	}
	if !s.takeTotalState(n) {
		return totalStateFull
	}
	s.stateBytes += n
	return nil
}

// setValue sets a value of the session, and returns a failure if there is no space for it.
func (s *statementSession) setValue(st gwstatement.Set) *gwstatement.Failure {
	i, found := slices.BinarySearchFunc(s.values, st.Name, func(v gwbackend.SessionVariable, name string) int { return strings.Compare(v.Name, name) })
	n := entryBytes(st.Name, st.Value)
	if found {
		n -= entryBytes(st.Name, s.values[i].Value)
	}
	if f := s.addState(n, !found); f != nil {
		return f
	}
	// The name and the value must not keep the whole message in memory.
	v := gwbackend.SessionVariable{Name: strings.Clone(st.Name), Value: strings.Clone(st.Value)}
	// A request in flight may still read the old slice.
	s.values = slices.Clone(s.values)
	if found {
		s.values[i] = v
		return nil
	}
	s.values = slices.Insert(s.values, i, v)
	return nil
}

// prepare defines a prepared statement of the session, and returns a failure if there is no
// space for it.
func (s *statementSession) prepare(st gwstatement.Prepare) *gwstatement.Failure {
	text := s.codec.ShapeText(st)
	n := entryBytes(st.Name, text)
	old, found := s.prepared[st.Name]
	if found {
		n -= entryBytes(st.Name, old.SQL)
	}
	if f := s.addState(n, !found); f != nil {
		return f
	}
	p := gwbackend.NewPreparedStatement(text, nil)
	s.prepared[strings.Clone(st.Name)] = preparedStatement{PreparedStatement: p, writes: st.Writes, execute: s.codec.ExecuteText(p.Name)}
	return nil
}

func (s *statementSession) complete(b []byte) []byte {
	return s.codec.AppendReady(s.codec.AppendComplete(b), s.status)
}

// fail answers with an error and marks an open transaction as failed.
func (s *statementSession) fail(b []byte, code gwstatement.Code, text string) []byte {
	if s.status == 'T' {
		s.rollback()
		s.status = 'E'
	}
	b = s.codec.AppendFailure(b, gwstatement.Failure{Code: code, Text: text})
	return s.codec.AppendReady(b, s.status)
}

// commit answers COMMIT.
func (s *statementSession) commit(ctx context.Context, q gwstatement.Query, b []byte) []byte {
	switch s.status {
	case 'I':
		return s.fail(b, gwstatement.Malformed, "no transaction is open")
	case 'E':
		s.rollback()
		return s.fail(b, gwstatement.Aborted, "the transaction had failed and was rolled back")
	}
	r := s.newStatementRequest(q.ID, q.Text, false, nil)
	r.backend.Statement.Commits = !s.readOnly
	return s.run(ctx, b, r, gwstatement.Scope{Transaction: true, Commits: !s.readOnly}, true)
}

// execute runs a read or a write, in the open transaction or on its own.
func (s *statementSession) execute(ctx context.Context, b []byte, id, text string, writes bool, prepared []gwbackend.PreparedStatement) []byte {
	autocommit := s.status == 'I'
	if autocommit {
		if f := s.resolveCaller(ctx); f != nil {
			return s.refuse(b, f)
		}
	}
	r := s.newStatementRequest(id, text, writes, prepared)
	r.backend.Statement.Commits = autocommit && writes
	return s.run(ctx, b, r, gwstatement.Scope{Transaction: !autocommit, Commits: autocommit && writes}, autocommit)
}

// newStatementRequest returns the request of a statement, with the session's state.
func (s *statementSession) newStatementRequest(id, text string, writes bool, prepared []gwbackend.PreparedStatement) *request {
	r := &request{
		session: &s.session, executes: true, w: &answerBuffer{}, kind: stmtRead,
		started: s.entry.Clock.Now(), rules: s.entry.rules(s.class),
		backend: gwbackend.Request{Prepared: prepared, Statement: &gwbackend.StatementRequest{ID: id, Text: text, Variables: s.values, Begin: s.begin}},
	}
	switch {
	case s.begin == gwbackend.BeginRead:
		r.kind = stmtBeginReadOnly
	case s.begin == gwbackend.BeginWrite:
		r.kind = stmtBegin
	case writes:
		r.kind = stmtWrite
	}
	return r
}

// run runs the request through the filters and appends its answer to b; endsTransaction
// means that no transaction is open afterwards.
func (s *statementSession) run(ctx context.Context, b []byte, r *request, scope gwstatement.Scope, endsTransaction bool) []byte {
	res := s.entry.chain(ctx, r)
	if res.Event != gwoutcome.Answered {
		s.dropTransaction()
		s.begin = gwbackend.NoBegin
		if endsTransaction {
			s.status = 'I'
		}
		s.entry.logAttempt("statement not served", r, res)
		return s.fail(b, gwstatement.CodeOf(res.Event, scope), res.Message)
	}
	s.begin = gwbackend.NoBegin
	s.status = res.TxStatus
	if !res.Position.IsZero() {
		s.recordWrite(res.Position)
	}
	if aim := r.rules.class.Aim.Duration; aim > 0 && s.entry.Clock.Since(r.started) > aim {
		s.entry.logAttempt("statement exceeded its latency aim", r, res)
	}
	b = appendAnswer(b, r.w.(*answerBuffer).b)
	return s.codec.AppendReady(b, s.status)
}

// rollback ends the transaction without waiting for the server.
func (s *statementSession) rollback() {
	up := s.transaction
	s.transaction, s.status, s.begin = nil, 'I', gwbackend.NoBegin
	if up == nil {
		return
	}
	req := gwowner.Request{
		Group: s.group, Server: s.transactionServer, Class: s.class, Customer: s.customer, Access: gwowner.Read, Timeout: rollbackTimeout,
		Request: gwbackend.Request{Statement: &gwbackend.StatementRequest{Text: s.codec.RollbackText(), Variables: s.values}},
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		up.Exec(ctx, &req, &answerBuffer{})
		up.Close()
	}()
}

// maxLoggedID bounds the id of a statement in a log line; a caller's may have up to 1 MiB.
const maxLoggedID = 64

// logAttempt logs why a statement was not served, was retried or was late, with the
// state that the decision was based on and its staleness.
func (e *Entry) logAttempt(msg string, r *request, res gwowner.Result) {
	view := e.Views.Current()
	g := view.Groups[r.session.group]
	id := ""
	if r.backend.Statement != nil {
		id = r.backend.Statement.ID
		id = id[:min(len(id), maxLoggedID)]
	}
	log := e.Log
	if r.session.customer != "" {
		log = log.With("customer", shortened(r.session.customer))
	}
	log.Info(msg, "id", id, "class", r.session.class, "group", r.session.group,
		"event", res.Event.String(), "reason", res.Message, "server", r.served.Name, "offers", r.attempts, "took", e.Clock.Since(r.started).String(),
		"manifest", view.Number, "term", g.Term, "primary", g.Primary, "changing", g.Changing, "position", r.exec.Position.String(),
		"serverPosition", res.Report.Position.String(), "staleness", res.Report.Staleness.String(), "load", res.Report.Load)
}
