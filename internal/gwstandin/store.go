package gwstandin

import (
	"context"
	"sync"

	"gentianward.example/gentianward/pkg/gwsession"
)

// maxCopyLag is the number of log entries by which an unused copy may be
// behind before it is brought up to date in the background. Without it the
// first statement after many writes would pay for all of them.
const maxCopyLag = 64

func (s *Server) applyInBackground(ctx context.Context) {
	for {
		v := s.log.view()
		for _, c := range s.readers {
			s.applyIfBehind(c, len(v.entries))
		}
		select {
		case s.writerLock <- struct{}{}:
			s.applyIfBehind(s.writer, len(v.entries))
			<-s.writerLock
		default:
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) applyIfBehind(c *dataCopy, end int) {
	if !c.mu.TryLock() {
		return
	}
	defer c.mu.Unlock()
	if end-c.applied >= maxCopyLag {
		if err := c.catchUp(s.log); err != nil {
			s.o.Logger.Error("applying the log failed", "error", err)
		}
	}
}

// withReader calls fn with an up-to-date copy for reads, preferably a free one.
func (s *Server) withReader(start uint32, fn func(db *database) error) error {
	n := uint32(len(s.readers))
	for i := range n {
		if c := s.readers[(start+i)%n]; c.mu.TryLock() {
			defer c.mu.Unlock()
			return s.readCopy(c, fn)
		}
	}
	c := s.readers[start%n]
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.readCopy(c, fn)
}

func (s *Server) readCopy(c *dataCopy, fn func(db *database) error) error {
	if err := c.catchUp(s.log); err != nil {
		return err
	}
	return fn(c.db)
}

// writeTxn is the open write transaction. It holds the writer lock until it
// is done.
type writeTxn struct {
	server *Server

	mu         sync.Mutex // held during each statement and at the end
	statements []statement
	wrote      bool
	schema     bool
	done       bool
	cause      error // why the server ended the transaction, nil otherwise
}

// errNotWritable is the refusal of a replica and of a fenced primary.
func errNotWritable(op string) error {
	return newError(op, KindRole, stateReadOnly, "cannot execute %s in a read-only transaction", op)
}

// writable is called with mu held.
func (s *Server) writable() bool {
	return s.role == RolePrimary && s.fence <= s.log.view().term()
}

// lockWriter waits for the writer lock while the context lives.
func (s *Server) lockWriter(ctx context.Context) error {
	select {
	case s.writerLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// begin opens a write transaction. The caller holds the writer lock, which
// passes to the transaction or is released on error.
func (s *Server) begin(op string) (*writeTxn, error) {
	t := &writeTxn{server: s}
	s.writer.mu.Lock()
	err := s.writer.catchUp(s.log)
	if err == nil {
		err = s.writer.db.exec("BEGIN")
	}
	s.writer.mu.Unlock()
	if err != nil {
		<-s.writerLock
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.mu.Lock()
	ok := s.writable()
	if ok {
		s.openTxn = t
	}
	s.mu.Unlock()
	if !ok {
		t.rollback(errNotWritable(op))
		return nil, errNotWritable(op)
	}
	return t, nil
}

// rollback is called with t.mu held.
func (t *writeTxn) rollback(cause error) {
	if t.done {
		return
	}
	db := t.server.writer.db
	if db.inTransaction() {
		if err := db.exec("ROLLBACK"); err != nil {
			t.server.o.Logger.Error("rollback failed", "error", err)
		}
	}
	t.finish(cause)
}

func (t *writeTxn) finish(cause error) {
	t.done, t.cause = true, cause
	if t.schema {
		t.server.writer.db.clearCache()
	}
	t.server.mu.Lock()
	if t.server.openTxn == t {
		t.server.openTxn = nil
	}
	t.server.mu.Unlock()
	<-t.server.writerLock
}

// abort ends the transaction because the server may no longer write.
func (t *writeTxn) abort(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rollback(cause)
}

// use calls fn with the database of the transaction.
func (t *writeTxn) use(fn func(db *database) error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return t.cause
	}
	err := fn(t.server.writer.db)
	if err != nil && !t.server.writer.db.inTransaction() {
		t.finish(err) // some errors make SQLite roll back the whole transaction
	}
	return err
}

// record adds an executed statement to the transaction. It is called inside use.
func (t *writeTxn) record(st *stmt, sql string, args []any) {
	t.statements = append(t.statements, statement{SQL: sql, Args: args})
	if !st.readOnly {
		t.wrote = true
	}
	t.schema = t.schema || st.schema
}

// commit ends the transaction and returns its position, which is zero if it
// wrote nothing.
func (t *writeTxn) commit() (gwsession.Position, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return gwsession.Position{}, t.cause
	}
	if !t.wrote {
		t.rollback(nil)
		return gwsession.Position{}, nil
	}
	s := t.server
	// The fence is checked, the data are committed and the log is extended in
	// one step, so that no write is acknowledged after a fence was confirmed.
	s.mu.Lock()
	var err error
	if s.writable() {
		err = s.writer.db.exec("COMMIT")
	} else {
		err = errNotWritable("COMMIT")
	}
	if err != nil {
		s.mu.Unlock()
		t.rollback(err)
		return gwsession.Position{}, err
	}
	e := &entry{Statements: t.statements}
	p := s.log.append(e)
	s.writer.advance(int(p.Offset), e)
	s.mu.Unlock()
	t.finish(nil)
	return p, nil
}
