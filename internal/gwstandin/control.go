package gwstandin

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"

	"gentianward.example/gentianward/pkg/gwsession"
)

const (
	positionParameter = "gentianward.position"
	serverVersion     = "16.0 (gentianward stand-in)"

	// followTimeout bounds how long FOLLOW waits for the primary's first frame,
	// which determines the entries to drop. The server keeps trying afterwards.
	followTimeout = 2 * time.Second
)

// Report is the state that SHOW gentianward.position and GENTIANWARD FENCE return.
type Report struct {
	Role     Role
	Position gwsession.Position
	// PreviousTermEnd is the offset at which the previous term ended and the
	// current one began.
	PreviousTermEnd uint64
}

func textColumns(names ...string) []column {
	columns := make([]column, len(names))
	for i, name := range names {
		columns[i] = column{Name: name, OID: pgtype.TextOID}
	}
	return columns
}

var (
	reportColumns  = textColumns("role", "term", "offset", "previousTermEnd")
	promoteColumns = textColumns("position")
	followColumns  = textColumns("dropped")
)

func (r Report) values() []string {
	return []string{
		string(r.Role),
		strconv.FormatUint(r.Position.Term, 10),
		strconv.FormatUint(r.Position.Offset, 10),
		strconv.FormatUint(r.PreviousTermEnd, 10),
	}
}

func showColumns(sql string) []column {
	w := operands(sql)
	if len(w) == 1 && strings.EqualFold(w[0], positionParameter) {
		return reportColumns
	}
	return textColumns(strings.ToLower(strings.Join(w, "_")))
}

func controlColumns(sql string) []column {
	w := operands(sql)
	if len(w) == 0 {
		return nil
	}
	switch strings.ToUpper(w[0]) {
	case "FENCE":
		return reportColumns
	case "PROMOTE":
		return promoteColumns
	case "FOLLOW":
		return followColumns
	}
	return nil
}

// show executes SHOW for the position and for the few settings that clients request.
func (c *session) show(p *prepared, res *result) error {
	name := p.columns[0].Name
	if len(p.columns) > 1 {
		release, err := c.acquireSlot(true)
		if err != nil {
			return err
		}
		defer release()
		res.addTextRow(p.columns, c.server.Report().values()...)
		return nil
	}
	value := ""
	switch name {
	case "transaction_read_only", "default_transaction_read_only", "in_hot_standby":
		value = "off"
		if c.server.Role() == RoleReplica {
			value = "on"
		}
	case "server_version":
		value = serverVersion
	case "transaction_isolation", "transaction_isolation_level":
		value = "read committed"
	case "client_encoding", "server_encoding":
		value = "UTF8"
	case "standard_conforming_strings":
		value = "on"
	case "timezone", "time_zone":
		value = "UTC"
	default:
		return newError("show parameter", KindStatement, stateUndefinedObject, "unrecognized configuration parameter %q", name)
	}
	res.addTextRow(p.columns, value)
	return nil
}

// control executes GENTIANWARD FENCE, PROMOTE and FOLLOW. They use no slot, because
// a change of primary must not queue behind statements.
func (c *session) control(p *prepared, res *result) error {
	w := operands(p.sql)
	if len(w) < 2 {
		return newError("run control statement", KindStatement, stateSyntax, "expected GENTIANWARD FENCE|PROMOTE|FOLLOW <term>")
	}
	term, err := strconv.ParseUint(w[1], 10, 64)
	if err != nil {
		return newError("run control statement", KindStatement, stateSyntax, "term %q is not a number", w[1])
	}
	verb := strings.ToUpper(w[0])
	res.tag = p.keyword + " " + verb
	switch {
	case verb == "FENCE" && len(w) == 2:
		res.addTextRow(reportColumns, c.server.Fence(term).values()...)
	case verb == "PROMOTE" && len(w) == 2:
		position, err := c.server.Promote(term)
		if err != nil {
			return err
		}
		res.addTextRow(promoteColumns, position.String())
	case verb == "FOLLOW" && len(w) == 3:
		dropped, err := c.server.Follow(c.ctx, term, unquote(w[2]))
		if err != nil {
			return err
		}
		res.addTextRow(followColumns, strconv.FormatUint(dropped, 10))
	default:
		return newError("run control statement", KindStatement, stateSyntax, "expected GENTIANWARD FENCE <term>, PROMOTE <term> or FOLLOW <term> '<address>'")
	}
	return nil
}

// Report returns the role and the position in the replication log.
func (s *Server) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report()
}

// report is Report for callers that hold mu.
func (s *Server) report() Report {
	v := s.log.view()
	return Report{Role: s.role, Position: v.position(), PreviousTermEnd: v.termStartOffset()}
}

// Fence makes the server refuse writes and replication of terms before term. After
// the call, its log receives no more entries of such terms. A repeated or lower
// fence changes nothing.
func (s *Server) Fence(term uint64) Report {
	s.mu.Lock()
	raised := term > s.fence
	s.fence = max(s.fence, term)
	t := s.openTxn
	writable := s.writable()
	report := s.report()
	if raised && s.following != nil {
		s.following.reconnect()
	}
	s.mu.Unlock()
	if t != nil && !writable {
		t.abort(notWritableError("COMMIT"))
	}
	if raised {
		s.o.Logger.Info("server fenced", "term", term, "position", report.Position.String())
	}
	return report
}

// Promote makes the server the primary of a new term that begins at the end of its
// log. A repeated call for the term of which it is primary returns the same
// position.
func (s *Server) Promote(term uint64) (gwsession.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.log.view()
	current := v.term()
	if s.role == RolePrimary && term == current && s.fence <= term {
		return gwsession.Position{Term: term, Offset: v.termStartOffset()}, nil
	}
	if term <= current {
		return gwsession.Position{}, newError("promote server", KindRole, stateNotInPrerequisiteState, "term %d is not after the current term %d", term, current)
	}
	if term < s.fence {
		return gwsession.Position{}, newError("promote server", KindRole, stateNotInPrerequisiteState, "term %d is fenced by term %d", term, s.fence)
	}
	if s.following != nil {
		s.following.cancel()
		s.following = nil
	}
	s.role = RolePrimary
	s.fence = term
	p := s.log.startTerm(term)
	s.announceNow()
	s.o.Logger.Info("server promoted to primary", "term", term, "position", p.String())
	return p, nil
}

// Follow makes the server a replica of the primary at address and returns the
// number of write transactions that it dropped because the primary does not have
// them. A repeated call with the same term and address returns the same number.
func (s *Server) Follow(ctx context.Context, term uint64, address string) (uint64, error) {
	f, err := s.becomeReplica(term, address)
	if err != nil {
		return 0, err
	}
	timeout := s.o.Clock.NewTimer(followTimeout)
	defer timeout.Stop()
	select {
	case <-f.reconciled:
		s.mu.Lock()
		defer s.mu.Unlock()
		return f.dropped, nil
	case <-f.ctx.Done():
		return 0, newError("follow primary", KindRole, stateNotInPrerequisiteState, "following %s was ended by a later change of role or a shutdown", address)
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-timeout.Chan():
		return 0, newError("follow primary", KindConnection, stateConnectionFailure, "primary %s was not reached within %v; the server keeps trying", address, followTimeout)
	}
}

// becomeReplica changes the role to replica and starts to follow the primary.
func (s *Server) becomeReplica(term uint64, address string) (*following, error) {
	s.mu.Lock()
	if s.run == nil {
		s.mu.Unlock()
		return nil, newError("follow primary", KindRole, stateNotInPrerequisiteState, "the server is not running")
	}
	if f := s.following; f != nil && f.term == term && f.address == address {
		s.mu.Unlock()
		return f, nil
	}
	current := s.log.view().term()
	switch {
	case address == "" || address == s.address:
		s.mu.Unlock()
		return nil, newError("follow primary", KindRole, stateNotInPrerequisiteState, "address %q is empty or this server's own", address)
	case term < s.fence || term < current || s.role == RolePrimary && term == current:
		s.mu.Unlock()
		return nil, newError("follow primary", KindRole, stateNotInPrerequisiteState, "term %d is not after term %d of this server", term, max(s.fence, current))
	}
	if s.following != nil {
		s.following.cancel()
	}
	changed := s.role != RoleReplica
	s.role, s.fence = RoleReplica, term
	f := newFollowing(term, address)
	s.startReplication(s.run, f)
	t := s.openTxn
	if changed {
		s.announceNow()
	}
	s.mu.Unlock()
	if t != nil {
		t.abort(notWritableError("COMMIT"))
	}
	return f, nil
}
