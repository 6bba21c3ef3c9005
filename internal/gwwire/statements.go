package gwwire

import (
	"encoding/binary"
	"unique"

	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwsql"
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

// size returns the number of bytes that a session keeps for st under the name.
func (st *statement) size(name string) int {
	if st == nil {
		return 0
	}
	return len(name) + len(st.SQL) + 4*len(st.ParameterOIDs)
}

// maxBatchParses limits the Parse messages of a batch. Each costs 287 bytes, so that
// 8 MiB of the shortest ones, of 12 bytes, would cost 200 MB.
const maxBatchParses = 16 << 10

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
	bytes         int          // sum of the sizes of the named statements and portals
}

func (s *statements) find(name []byte) *statement {
	if len(name) == 0 {
		return s.unnamed
	}
	return s.named[string(name)]
}

func (s *statements) set(name string, st *statement) {
	if name != "" {
		s.bytes += st.size(name) - s.named[name].size(name)
	}
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
func (s *statements) parse(name, sql, oids []byte, limits *Limits) (*statement, error) {
	previous := s.find(name)
	if previous == nil && len(s.named) >= limits.Statements {
		return nil, newError("parse statement", KindInput, codeLimitExceeded, errors.Newf("more than %d prepared statements", limits.Statements))
	}
	if len(name) > 0 && s.bytes-previous.size(string(name))+len(name)+len(sql)+len(oids) > limits.StatementBytes {
		return nil, newError("parse statement", KindInput, codeLimitExceeded, errors.Newf("prepared statements of more than %d bytes", limits.StatementBytes))
	}
	if len(s.defined) >= maxBatchParses {
		return nil, newError("parse statement", KindInput, codeLimitExceeded, errors.Newf("more than %d Parse messages in one batch", maxBatchParses))
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
		for name := range s.portals {
			s.closePortal([]byte(name))
		}
	}
}

func (s *statements) closeStatement(name []byte) {
	s.set(string(name), nil)
}

// setPortal records the statement that a portal executes. It returns an error if the
// session has reached the limit of named portals or of bytes.
func (s *statements) setPortal(name []byte, st *statement, limits *Limits) error {
	if len(name) == 0 {
		s.unnamedPortal = st
		return nil
	}
	if len(s.portals) >= limits.Statements {
		return newError("bind portal", KindInput, codeLimitExceeded, errors.Newf("more than %d named portals", limits.Statements))
	}
	s.closePortal(name)
	key := string(name)
	if s.bytes+len(key)+st.size(key) > limits.StatementBytes {
		return newError("bind portal", KindInput, codeLimitExceeded, errors.Newf("prepared statements and portals of more than %d bytes", limits.StatementBytes))
	}
	if s.portals == nil {
		s.portals = make(map[string]*statement)
	}
	s.portals[key] = st
	s.bytes += len(key) + st.size(key)
	return nil
}

func (s *statements) closePortal(name []byte) {
	if len(name) == 0 {
		s.unnamedPortal = nil
		return
	}
	if st, ok := s.portals[string(name)]; ok {
		key := string(name)
		s.bytes -= len(key) + st.size(key)
		delete(s.portals, key)
	}
}

func (s *statements) portal(name []byte) *statement {
	if len(name) == 0 {
		return s.unnamedPortal
	}
	return s.portals[string(name)]
}

// deallocate executes DEALLOCATE [PREPARE] of a statement that was prepared by a Parse
// message, or of all of these, and returns the command tag. It returns "" for any other
// SQL.
func (s *statements) deallocate(sql string) (tag string) {
	l := gwsql.NewLexer(sql)
	if !l.First().Is("deallocate") {
		return ""
	}
	object := l.Next()
	if object.Is("prepare") {
		object = l.Next()
	}
	name, ok := object.Name()
	switch {
	case !ok || !l.AtEnd():
		return ""
	case object.Is("all"):
		for name := range s.named {
			s.set(name, nil)
		}
		return "DEALLOCATE ALL"
	case s.named[name] == nil:
		return ""
	}
	s.set(name, nil)
	return "DEALLOCATE"
}
