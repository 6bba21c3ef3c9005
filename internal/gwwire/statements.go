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
	parsedInBatch bool // parsed in the current batch
}

// matches reports whether st has the given SQL and parameter OIDs, which are in wire
// format.
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

// definition records the change of a statement name by a Parse of the current batch.
type definition struct {
	name              string
	current, previous *statement
}

// statements maps a session's statement and portal names to statements.
type statements struct {
	unnamed       *statement
	named         map[string]*statement
	unnamedPortal *statement
	portals       map[string]*statement
	defined       []definition // by the current batch, one per Parse
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

// parse assigns a statement to name. PostgreSQL rejects a name that is already in use;
// here the new statement replaces the old one.
func (s *statements) parse(name, sql, oids []byte, limit int) (*statement, error) {
	previous := s.find(name)
	if previous == nil && len(s.named) >= limit {
		return nil, newError("parse statement", KindInput, codeLimitExceeded, errors.Newf("more than %d prepared statements", limit))
	}
	st := previous
	if !previous.matches(sql, oids) {
		list := make([]uint32, 0, len(oids)/4)
		for ; len(oids) > 0; oids = oids[4:] {
			list = append(list, binary.BigEndian.Uint32(oids))
		}
		// All sessions share one copy of the same SQL text.
		text := unique.Make(string(sql)).Value()
		st = &statement{PreparedStatement: gwbackend.NewPreparedStatement(text, list)}
	}
	key := ""
	if len(name) > 0 {
		key = string(name)
	}
	s.set(key, st)
	st.parsedInBatch = true
	s.defined = append(s.defined, definition{name: key, current: st, previous: previous})
	return st, nil
}

// undoParses restores the previous statements of the names whose Parse did not complete.
// completed is the number of Parse messages of the batch that did.
func (s *statements) undoParses(completed int) {
	for i := len(s.defined) - 1; i >= completed; i-- {
		d := s.defined[i]
		if d.current != d.previous {
			s.set(d.name, d.previous)
		}
	}
}

// endBatch makes the remaining changes of the current batch permanent. Outside of a
// transaction it also removes all portals, which last until their transaction ends.
func (s *statements) endBatch(idle bool) {
	for i := range s.defined {
		s.defined[i].current.parsedInBatch = false
		s.defined[i] = definition{}
	}
	s.defined = s.defined[:0]
	if idle {
		s.unnamedPortal = nil
		clear(s.portals)
	}
}

func (s *statements) closeStatement(name []byte) {
	if len(name) == 0 {
		s.unnamed = nil
		return
	}
	delete(s.named, string(name))
}

// setPortal records the statement that a portal executes. It returns false if the session
// has reached the limit of named portals.
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

func (s *statements) closePortal(name []byte) {
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

// deallocate executes a DEALLOCATE of a statement that was prepared by a Parse message, or
// of all of these. It returns false for any other SQL.
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
