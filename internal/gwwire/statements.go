package gwwire

import (
	"encoding/binary"
	"strings"
	"unique"

	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/internal/gwbackend"
)

// statement is a prepared statement of a session.
type statement struct {
	gwbackend.PreparedStatement
	batch bool // parsed in the current batch
}

// matches reports whether st has this SQL and these OIDs in wire format.
func (st *statement) matches(sql, oids []byte) bool {
	if st == nil || st.SQL != string(sql) || 4*len(st.ParameterOIDs) != len(oids) {
		return false
	}
	for i, oid := range st.ParameterOIDs {
		if binary.BigEndian.Uint32(oids[4*i:]) != oid {
			return false
		}
	}
	return true
}

// definition is a change of a name within the current batch.
type definition struct {
	name     string
	now, old *statement
}

// statements holds what a session's statement and portal names stand for.
type statements struct {
	unnamed       *statement
	named         map[string]*statement
	unnamedPortal *statement
	portals       map[string]*statement
	defined       []definition // of the current batch, one per Parse
}

func (s *statements) find(name []byte) *statement {
	if len(name) == 0 {
		return s.unnamed
	}
	return s.named[string(name)]
}

func (s *statements) set(name string, st *statement) {
	switch {
	case name == "":
		s.unnamed = st
	case st == nil:
		delete(s.named, name)
	default:
		if s.named == nil {
			s.named = make(map[string]*statement)
		}
		s.named[name] = st
	}
}

// define gives the name a statement. PostgreSQL refuses a name that is in use;
// here the new statement replaces the old one.
func (s *statements) define(name, sql, oids []byte, limit int) (*statement, error) {
	old := s.find(name)
	if old == nil && len(s.named) >= limit {
		return nil, fail("parse", KindInput, codeLimitExceeded, errors.Newf("more than %d prepared statements", limit))
	}
	st := old
	if !old.matches(sql, oids) {
		list := make([]uint32, 0, len(oids)/4)
		for ; len(oids) > 0; oids = oids[4:] {
			list = append(list, binary.BigEndian.Uint32(oids))
		}
		// Sessions with the same SQL share one copy of it.
		text := unique.Make(string(sql)).Value()
		st = &statement{PreparedStatement: gwbackend.NewPreparedStatement(text, list)}
	}
	key := ""
	if len(name) > 0 {
		key = string(name)
	}
	s.set(key, st)
	st.batch = true
	s.defined = append(s.defined, definition{name: key, now: st, old: old})
	return st, nil
}

// undo takes back the definitions whose Parse was not completed.
func (s *statements) undo(completed int) {
	for i := len(s.defined) - 1; i >= completed; i-- {
		d := s.defined[i]
		if d.now != d.old {
			s.set(d.name, d.old)
		}
	}
}

// commit ends the batch. Portals end with their transaction.
func (s *statements) commit(idle bool) {
	for i := range s.defined {
		s.defined[i].now.batch = false
		s.defined[i] = definition{}
	}
	s.defined = s.defined[:0]
	if idle {
		s.unnamedPortal = nil
		clear(s.portals)
	}
}

func (s *statements) drop(name []byte) {
	if len(name) == 0 {
		s.unnamed = nil
		return
	}
	delete(s.named, string(name))
}

// setPortal notes which statement a portal runs. It reports false if the
// session has too many named portals.
func (s *statements) setPortal(name []byte, st *statement, limit int) bool {
	if len(name) == 0 {
		s.unnamedPortal = st
		return true
	}
	if len(s.portals) >= limit {
		return false
	}
	if s.portals == nil {
		s.portals = make(map[string]*statement)
	}
	s.portals[string(name)] = st
	return true
}

func (s *statements) dropPortal(name []byte) {
	if len(name) == 0 {
		s.unnamedPortal = nil
		return
	}
	delete(s.portals, string(name))
}

func (s *statements) portal(name []byte) *statement {
	if len(name) == 0 {
		return s.unnamedPortal
	}
	return s.portals[string(name)]
}

// deallocate handles a DEALLOCATE of a name that the session has prepared by
// protocol messages. It reports false for any other SQL.
func (s *statements) deallocate(sql string) bool {
	const keyword = "deallocate "
	if len(sql) <= len(keyword) || !strings.EqualFold(sql[:len(keyword)], keyword) {
		return false
	}
	name := strings.TrimSpace(strings.TrimRight(sql[len(keyword):], "; \t\n"))
	if strings.EqualFold(name, "all") {
		clear(s.named)
		return true
	}
	if n := len(name); n > 2 && name[0] == '"' && name[n-1] == '"' {
		name = name[1 : n-1]
	}
	if _, ok := s.named[name]; !ok {
		return false
	}
	delete(s.named, name)
	return true
}
